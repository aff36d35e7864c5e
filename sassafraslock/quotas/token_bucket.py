"""A collector's tokens of one limit: its bucket, tokens with an end, and the demand for them."""

from __future__ import annotations

import bisect
import math

from sassafraslock.quotas import limits

DEMAND_MEMORY_MS = 500
MAX_WAIT_MS = 10_000
EPSILON = 1e-9  # of a token, for rounding


class TokenStock:
    """Tokens, and parts of them, that left their bucket before and may be used for a while."""

    __slots__ = ("voided", "_tokens")

    def __init__(self) -> None:
        self.voided = 0.0
        self._tokens: list[tuple[int, float]] = []

    def add(self, count: float, until_ms: int) -> None:
        """Add tokens.

        :param count: their number.
        :param until_ms: when they become void.
        """
        if count > 0:
            bisect.insort(self._tokens, (until_ms, count))

    def count(self, now_ms: int) -> float:
        """Return how many are valid; void ones are dropped.

        :param now_ms: the current monotonic time.
        """
        while self._tokens and self._tokens[0][0] <= now_ms:
            self.voided += self._tokens.pop(0)[1]
        return sum(n for _, n in self._tokens)

    def take(self, most: float) -> tuple[float, int | None]:
        """Take valid tokens, and return how many and the earliest end of them, none without any.

        :param most: how many to take at most.
        """
        taken, until_ms = 0.0, None
        while self._tokens and taken < most:
            end_ms, count = self._tokens.pop(0)
            until_ms = end_ms if until_ms is None else until_ms
            used = min(count, most - taken)
            taken += used
            if count - used > EPSILON:
                self._tokens.insert(0, (end_ms, count - used))
                break
        return taken, until_ms


class Demand:
    """How many tokens a second were asked for, by an average that forgets."""

    __slots__ = ("_sum", "_at_ms")

    def __init__(self) -> None:
        self._sum = 0.0
        self._at_ms = 0

    def record(self, now_ms: int) -> None:
        """Count one ask.

        :param now_ms: the current monotonic time.
        """
        self._sum = self._decayed(now_ms) + 1
        self._at_ms = now_ms

    def _decayed(self, now_ms: int) -> float:
        return self._sum * math.exp((self._at_ms - now_ms) / DEMAND_MEMORY_MS)

    def per_ms(self, now_ms: int) -> float:
        """Return the asks a millisecond.

        :param now_ms: the current monotonic time.
        """
        return self._decayed(now_ms) / DEMAND_MEMORY_MS


class TokenBucket:
    """Tokens of one limit that arise from a collector's shares.

    The bucket is empty at first. It gains its rate times the share, and holds its capacity times
    the share; what a share that is gone had held is lost at once.
    """

    __slots__ = ("limit", "capacity", "level", "stock", "demand", "_share_ms", "_promised_ms")

    def __init__(self, limit: limits.Limit, capacity: float, share_ms: float) -> None:
        self.limit = limit
        self.capacity = capacity
        self.level = 0.0
        self.stock = TokenStock()
        self.demand = Demand()
        self._share_ms = share_ms
        self._promised_ms = 0.0

    def settle(self, share: float, share_ms: float) -> None:
        """Add what arose since the last call, up to the capacity.

        :param share: the least share in force since that call, this moment included.
        :param share_ms: the integral of the shares up to now.
        """
        gained = self.limit.rate_per_s / 1_000 * (share_ms - self._share_ms)
        self._share_ms = share_ms
        self.level = min(self.capacity * share, self.level + gained)

    def change_limit(self, limit: limits.Limit, capacity: float, share: float) -> None:
        """Take up a changed limit; the bucket has been settled.

        :param limit: the limit from now on.
        :param capacity: what the buckets of all collectors may hold.
        :param share: the share in force.
        """
        self.limit, self.capacity = limit, capacity
        self.level = min(self.level, capacity * share)

    def take(self, validity_ms: int, now_ms: int) -> int | None:
        """Take a token of the settled bucket and return until when it is valid, none if none is.

        :param validity_ms: how long a token is valid after it left the bucket.
        :param now_ms: the current monotonic time.
        """
        if self.stock.count(now_ms) + self.level < 1 - EPSILON:
            return None
        taken, until_ms = self.stock.take(1.0)
        self.level = max(0.0, self.level - (1 - taken))
        return now_ms + validity_ms if until_ms is None else until_ms

    def surplus(self, horizon_ms: int, now_ms: int) -> float:
        """Return how many whole tokens the own region does not need for a while.

        :param horizon_ms: that while.
        :param now_ms: the current monotonic time.
        """
        own = self.demand.per_ms(now_ms) * horizon_ms
        return self.level if own < 0.5 else max(0.0, self.level - own)

    def promise_wait_ms(self, share: float, now_ms: int) -> int:
        """Return after which time a refused caller may get a token.

        Each refused caller gets a later time than the one before, as each uses a token when it
        returns.

        :param share: the share in force.
        :param now_ms: the current monotonic time.
        """
        per_ms = self.limit.rate_per_s / 1_000 * max(share, 0.01)
        first_ms = now_ms + max(0.0, 1 - self.level) / per_ms
        promised_ms = max(first_ms, self._promised_ms + 1 / per_ms)
        self._promised_ms = min(promised_ms, now_ms + MAX_WAIT_MS)
        return max(1, round(self._promised_ms - now_ms))
