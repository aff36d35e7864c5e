"""A collector: holds the shares of its region's entries and grants tokens from them."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

from sassafraslock.quotas import (
    grant_log,
    lease_book,
    limits,
    messages,
    outbox,
    pulls,
    token_bucket,
)

HORIZON_MS = 250  # tokens are asked for ahead of need for this time
WAIT_MS = 240  # for the answers of two other collectors, one after the other
MIN_AHEAD = 2  # with less expected in that time, most tokens would become void
MAX_WAITING = 64  # asks for one limit
MAX_UNKNOWN_LIMITS = 1_024
IDLE_MS = 10_000  # after which a limit that is not in the intents is forgotten
LIMITED_ENDS_MS = 10_000


@dataclasses.dataclass(slots=True)
class _Waiting:
    sender: str
    run: int
    number: int
    until_ms: int


@dataclasses.dataclass(slots=True)
class Counters:
    """What this entry did so far with tokens."""

    granted: int = 0
    refused: int = 0
    returned: int = 0
    voided: float = 0.0


class Collector:
    """Decides on asks; whatever it sends goes to the outbox."""

    __slots__ = (
        "is_active",
        "counters",
        "book",
        "pulls",
        "limited_since_ms",
        "_own_id",
        "_terms",
        "_outbox",
        "_known",
        "_buckets",
        "_unknown_used_ms",
        "_waiting",
        "_grants",
        "_refused_ms",
    )

    def __init__(
        self,
        own_id: str,
        terms: limits.Terms,
        box: outbox.Outbox,
        numbers: collections.abc.Iterator[int],
        now_ms: int,
    ) -> None:
        self.is_active = False
        self.counters = Counters()
        self.book = lease_book.LeaseBook(now_ms)
        self.pulls = pulls.Pulls(box, numbers)
        # Since when requests of a limit are refused; a limit without an entry is not used up.
        self.limited_since_ms: dict[str, int] = {}
        self._own_id = own_id
        self._terms = terms
        self._outbox = box
        self._known: dict[str, limits.Limit] = {}
        self._buckets: dict[str, token_bucket.TokenBucket] = {}
        self._unknown_used_ms: dict[str, int] = {}
        self._waiting: dict[str, collections.deque[_Waiting]] = {}
        self._grants = grant_log.GrantLog()
        self._refused_ms: dict[str, int] = {}

    def set_terms(self, terms: limits.Terms, now_ms: int) -> None:
        """Take up changed bounds.

        :param terms: the bounds.
        :param now_ms: the current monotonic time.
        """
        self._terms = terms
        self.apply_limits(list(self._known.values()), now_ms)

    def apply_limits(self, known: list[limits.Limit], now_ms: int) -> None:
        """Take up the limits in force; a bucket of a lowered one is cut at once.

        :param known: the limits.
        :param now_ms: the current monotonic time.
        """
        self._known = {limit.key: limit for limit in known}
        self._unknown_used_ms = {k: t for k, t in self._unknown_used_ms.items() if k in self._known}
        if not self.is_active:
            return
        self._settle_all(now_ms)
        self._buckets = {k: b for k, b in self._buckets.items() if k in self._known}
        self._unknown_used_ms.clear()
        for limit in known:
            bucket = self._buckets.get(limit.key)
            capacity = self._terms.capacity(limit)
            if bucket is None:
                self._add_bucket(limit)
            elif bucket.limit != limit or bucket.capacity != capacity:
                bucket.change_limit(limit, capacity, self.book.share)
        self.pulls.forget(self._buckets)

    def _add_bucket(self, limit: limits.Limit) -> token_bucket.TokenBucket:
        capacity = self._terms.capacity(limit)
        bucket = token_bucket.TokenBucket(limit, capacity, self.book.share_ms)
        self._buckets[limit.key] = bucket
        return bucket

    def start(self, now_ms: int) -> None:
        """Begin to collect, without any share.

        :param now_ms: the current monotonic time.
        """
        self.book.advance(now_ms)
        self.is_active = True
        for limit in self._known.values():
            self._add_bucket(limit)

    def stop(self, now_ms: int) -> list[str]:
        """Stop to collect, and return the owners of the shares that were held.

        :param now_ms: the current monotonic time.
        """
        owners = self.book.owners()
        for key in list(self._waiting):
            self._refuse_waiting(key, now_ms)
        self.is_active = False
        self.book.clear(now_ms)
        for bucket in self._buckets.values():
            self.counters.voided += bucket.stock.voided + bucket.stock.count(now_ms)
        self._buckets.clear()
        self._unknown_used_ms.clear()
        return owners

    def recount(self, weight: collections.abc.Callable[[str, float], float], now_ms: int) -> None:
        """Bring the shares in force up to date with the leases and the entries known.

        :param weight: as in :meth:`lease_book.LeaseBook.recount`.
        :param now_ms: the current monotonic time.
        """
        self._settle_all(now_ms)
        before = self.book.share
        self.book.share = self.book.recount(weight)
        if self.book.share < before:
            self._settle_buckets()

    def _settle_all(self, now_ms: int) -> None:
        self.book.advance(now_ms)
        self._settle_buckets()

    def _settle_buckets(self) -> None:
        for bucket in self._buckets.values():
            bucket.settle(self.book.share, self.book.share_ms)

    def _bucket(self, item: messages.AskItem, now_ms: int) -> token_bucket.TokenBucket | None:
        """Return the settled bucket of an ask, none if too many limits are unknown here."""
        if self.book.advance(now_ms):
            self._settle_buckets()
        bucket = self._buckets.get(item.key)
        if item.key not in self._known:
            limit = limits.Limit(item.key, item.rate_per_s, item.burst)
            if bucket is None:
                if len(self._unknown_used_ms) >= MAX_UNKNOWN_LIMITS or item.rate_per_s <= 0:
                    return None
                bucket = self._add_bucket(limit)
            self._unknown_used_ms[item.key] = now_ms
        if bucket is not None:
            bucket.settle(self.book.share, self.book.share_ms)
        return bucket

    def decide(self, sender: str, run: int, item: messages.AskItem, now_ms: int) -> None:
        """Grant, refuse or keep an entry's ask for one token.

        :param sender: the entry.
        :param run: its process.
        :param item: the ask.
        :param now_ms: the current monotonic time.
        """
        if not self.is_active:
            verdict = messages.Verdict.NOT_COLLECTING
            self._outbox.answer(sender, run, messages.AnswerItem(item.number, verdict))
            return
        if self._grants.is_known((sender, run, item.number)):
            return
        bucket = self._bucket(item, now_ms)
        waiting = _Waiting(sender, run, item.number, now_ms + WAIT_MS)
        if bucket is None:
            self._answer_refusal(None, waiting, now_ms)
            return
        bucket.demand.record(now_ms)
        queue = self._waiting.get(item.key)
        if not queue and self._grant(bucket, waiting, now_ms):
            return
        self._keep_or_refuse(bucket, waiting, now_ms)

    def _keep_or_refuse(
        self, bucket: token_bucket.TokenBucket, waiting: _Waiting, now_ms: int
    ) -> None:
        key = bucket.limit.key
        queue = self._waiting.setdefault(key, collections.deque())
        held = bucket.level + bucket.stock.count(now_ms) + self.pulls.open_count(key)
        needed = 1 + len(queue) + self._needed_ahead(bucket, now_ms) - held
        if len(queue) < MAX_WAITING and self.pulls.start(bucket.limit, needed, now_ms):
            queue.append(waiting)
            item = messages.AnswerItem(waiting.number, messages.Verdict.PENDING)
            self._outbox.answer(waiting.sender, waiting.run, item)
            return
        self._answer_refusal(bucket, waiting, now_ms)

    def _needed_ahead(self, bucket: token_bucket.TokenBucket, now_ms: int) -> int:
        """Return how many tokens beyond its own the region needs for a while."""
        expected = bucket.demand.per_ms(now_ms) * HORIZON_MS
        if expected < MIN_AHEAD:
            return 0
        own = bucket.limit.rate_per_s / 1_000 * self.book.share * HORIZON_MS
        return max(0, int(expected - own - bucket.level - bucket.stock.count(now_ms)))

    def _grant(self, bucket: token_bucket.TokenBucket, waiting: _Waiting, now_ms: int) -> bool:
        until_ms = bucket.take(self._terms.validity_ms, now_ms)
        if until_ms is None:
            return False
        self.counters.granted += 1
        asker = (waiting.sender, waiting.run, waiting.number)
        self._grants.add(asker, grant_log.Grant(bucket.limit.key, until_ms), now_ms)
        item = messages.AnswerItem(
            waiting.number,
            messages.Verdict.GRANTED,
            1,
            min(until_ms - now_ms, messages.MAX_LEASE_MS),
        )
        self._outbox.answer(waiting.sender, waiting.run, item)
        return True

    def _answer_refusal(
        self, bucket: token_bucket.TokenBucket | None, waiting: _Waiting, now_ms: int
    ) -> None:
        verdict, wait_ms = messages.Verdict.UNKNOWN, 0
        if bucket is not None and (self.book.share > 0 or self.pulls.was_heard(now_ms)):
            verdict = messages.Verdict.USED_UP
            wait_ms = bucket.promise_wait_ms(self.book.share, now_ms)
            self.counters.refused += 1
            key = bucket.limit.key
            self._refused_ms[key] = now_ms
            self.limited_since_ms.setdefault(key, now_ms)
        item = messages.AnswerItem(waiting.number, verdict, wait_ms=wait_ms)
        self._outbox.answer(waiting.sender, waiting.run, item)

    def give_surplus(self, sender: str, run: int, item: messages.AskItem, now_ms: int) -> None:
        """Answer another collector, which gets what this region does not need.

        :param sender: the collector.
        :param run: its process.
        :param item: its ask.
        :param now_ms: the current monotonic time.
        """
        if self._grants.is_known((sender, run, item.number)):
            return
        bucket = self._bucket(item, now_ms) if self.is_active else None
        if bucket is None:
            verdict = messages.Verdict.NOT_COLLECTING
            self._outbox.answer(sender, run, messages.AnswerItem(item.number, verdict))
            return
        surplus = bucket.surplus(HORIZON_MS, now_ms)
        # Parts of a token only where they make up a whole one; other parts would become void.
        count = item.count if surplus >= item.count else int(surplus)
        bucket.level -= count
        if count:
            until_ms = now_ms + self._terms.validity_ms
            self._grants.add((sender, run, item.number), grant_log.Grant("", until_ms), now_ms)
        rate_per_ms = bucket.limit.rate_per_s / 1_000 * self.book.share
        wait_ms = min(1_000, int(1 / rate_per_ms)) if rate_per_ms > 0.001 else 1_000
        verdict = messages.Verdict.GRANTED if count else messages.Verdict.USED_UP
        answer = messages.AnswerItem(
            item.number, verdict, count, self._terms.validity_ms, wait_ms, max(0.0, surplus - count)
        )
        self._outbox.answer(sender, run, answer)

    def take_pulled(self, sender: str, item: messages.AnswerItem, now_ms: int) -> bool:
        """Take another collector's answer, and return whether it was to an ask of this one.

        :param sender: the other collector.
        :param item: its answer.
        :param now_ms: the current monotonic time.
        """
        taken = self.pulls.take_answer(sender, item, now_ms)
        if taken is None:
            return False
        key, count, until_ms = taken
        bucket = self._buckets.get(key)
        if bucket is None:
            self.counters.voided += count
            return True
        bucket.stock.add(count, until_ms)
        self._serve_waiting(key, now_ms)
        return True

    def _serve_waiting(self, key: str, now_ms: int) -> None:
        """Grant to those that wait, and refuse them if no other collector may help."""
        queue, bucket = self._waiting.get(key), self._buckets.get(key)
        if not queue or bucket is None:
            return
        if self.book.advance(now_ms):
            self._settle_buckets()
        bucket.settle(self.book.share, self.book.share_ms)
        while queue and self._grant(bucket, queue[0], now_ms):
            queue.popleft()
        needed = len(queue) - bucket.level - self.pulls.open_count(key)
        if queue and not self.pulls.start(bucket.limit, needed, now_ms):
            self._refuse_waiting(key, now_ms)

    def _refuse_waiting(self, key: str, now_ms: int) -> None:
        for waiting in self._waiting.pop(key, ()):
            self._answer_refusal(self._buckets.get(key), waiting, now_ms)

    def take_back(self, sender: str, run: int, number: int, now_ms: int) -> None:
        """Take a token that no request used, which another one may use as long as it is valid.

        :param sender: the entry.
        :param run: its process.
        :param number: the number of the ask for the token.
        :param now_ms: the current monotonic time.
        """
        grant = self._grants.take_back((sender, run, number), now_ms)
        bucket = self._buckets.get(grant.key) if grant is not None else None
        if grant is None or bucket is None:
            self.counters.voided += 1
            return
        self.counters.returned += 1
        bucket.stock.add(1, grant.until_ms)
        self._serve_waiting(grant.key, now_ms)

    def tick(self, now_ms: int) -> None:
        """Ask others ahead of need, and end what waits too long.

        :param now_ms: the current monotonic time.
        """
        if self.book.advance(now_ms):
            self._settle_buckets()
        self.pulls.expire(now_ms)
        for key, bucket in list(self._buckets.items()):
            if self._waiting.get(key) or bucket.demand.per_ms(now_ms) * HORIZON_MS >= 1:
                bucket.settle(self.book.share, self.book.share_ms)
                self._refuse_late(key, bucket, now_ms)
                self._serve_waiting(key, now_ms)
                ahead = self._needed_ahead(bucket, now_ms) - self.pulls.open_count(key)
                if ahead > 0:
                    self.pulls.start(bucket.limit, ahead, now_ms)
        self._forget_idle(now_ms)

    def _refuse_late(self, key: str, bucket: token_bucket.TokenBucket, now_ms: int) -> None:
        queue = self._waiting.get(key)
        while queue and queue[0].until_ms <= now_ms:
            self._answer_refusal(bucket, queue.popleft(), now_ms)

    def levels(self) -> dict[str, float]:
        """Return the tokens in each bucket."""
        return {key: bucket.level for key, bucket in self._buckets.items()}

    def _forget_idle(self, now_ms: int) -> None:
        for key in [k for k, t in self._unknown_used_ms.items() if now_ms - t >= IDLE_MS]:
            del self._unknown_used_ms[key]
            self._buckets.pop(key, None)
            self._waiting.pop(key, None)
        for key in [k for k, t in self._refused_ms.items() if now_ms - t >= LIMITED_ENDS_MS]:
            del self._refused_ms[key]
            self.limited_since_ms.pop(key, None)
