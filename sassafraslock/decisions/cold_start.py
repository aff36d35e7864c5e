"""Rate limit on requests from this entry to cold servers."""

from __future__ import annotations

import dataclasses
import typing

from sassafraslock.decisions import hashing

ASSIGNED_ENTRIES = 2  # per cold server
SAFETY_RATIO = 0.5  # share of a server's rate limit that its assigned entries use together
# An entry sends nothing to cold servers for so long after its start: it may not know all entries,
# and its process may have sent some right before it was started again.
SETTLE_MS = 1_000
BUCKET_RETENTION_MS = 10_000


@dataclasses.dataclass(slots=True)
class _TokenBucket:
    tokens: float
    at_ms: int


class ColdStartLimiter:
    """Limits requests to cold servers, so that all entries together keep to each server's rate.

    Only :data:`ASSIGNED_ENTRIES` entries send to a cold server; all entries that know the same ones
    agree on them. Each assigned entry has a token bucket with an equal part of half the limit. If
    entries know different ones, twice as many may consider themselves assigned, and the limit still
    holds. All starts of a server share a bucket, as there may be two starts in a second.

    ``granted`` and ``held_back`` count calls of :meth:`try_acquire`. ``on_asked`` is called in
    each with the id of the server, whether the request was granted, and the time.
    """

    __slots__ = (
        "own_id",
        "granted",
        "held_back",
        "on_asked",
        "_overage",
        "_slack",
        "_buckets",
        "_started_ms",
    )

    def __init__(
        self, own_id: str, overage: float, slack: float, started_ms: int = -SETTLE_MS
    ) -> None:
        self.own_id = own_id
        self.granted = 0
        self.held_back = 0
        self.on_asked: typing.Callable[[str, bool, int], None] = (
            lambda server, granted, now_ms: None
        )
        self._started_ms = started_ms
        self._overage = overage
        self._slack = slack
        self._buckets: dict[str, _TokenBucket] = {}

    def set_bounds(self, overage: float, slack: float) -> None:
        """Replace the bounds on what cold servers may get.

        :param overage: the factor by which a cold server's rate is multiplied.
        :param slack: the requests per second that are added to it.
        """
        self._overage = overage
        self._slack = slack

    def try_acquire(
        self, server_id: str, cold_per_s: float, entry_ids: list[str], now_ms: int
    ) -> bool:
        """Return whether this entry may send a request to a cold server, and count it if so.

        :param server_id: the server.
        :param cold_per_s: the requests per second that the server tolerates while cold.
        :param entry_ids: the entries from which those that may send are chosen.
        :param now_ms: the current monotonic time.
        """
        is_granted = self._take_token(server_id, cold_per_s, entry_ids, now_ms)
        self.granted += is_granted
        self.held_back += not is_granted
        self.on_asked(server_id, is_granted, now_ms)
        return is_granted

    def _take_token(
        self, server_id: str, cold_per_s: float, entry_ids: list[str], now_ms: int
    ) -> bool:
        if now_ms - self._started_ms < SETTLE_MS:
            return False
        if self.own_id not in assigned_entries(server_id, entry_ids):
            return False
        per_s = SAFETY_RATIO * (cold_per_s * self._overage + self._slack) / ASSIGNED_ENTRIES
        # A full bucket and its refill over one second together hold at most per_s, if that is >= 1.
        burst = max(1.0, per_s / 2)
        rate = max(0.0, per_s - burst)
        bucket = self._buckets.setdefault(server_id, _TokenBucket(burst, now_ms))
        bucket.tokens = min(burst, bucket.tokens + rate * (now_ms - bucket.at_ms) / 1000)
        bucket.at_ms = now_ms
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def discard_unused(self, now_ms: int) -> None:
        """Discard the token buckets that were not used for :data:`BUCKET_RETENTION_MS`.

        :param now_ms: the current monotonic time.
        """
        oldest_ms = now_ms - BUCKET_RETENTION_MS
        self._buckets = {k: v for k, v in self._buckets.items() if v.at_ms > oldest_ms}


def assigned_entries(server_id: str, entry_ids: list[str]) -> list[str]:
    """Return the entries that may send to a cold or newly joined server.

    They are chosen by rendezvous hashing, whatever the order of ``entry_ids``.

    :param server_id: the server.
    :param entry_ids: the entries to choose from.
    """
    ranked = sorted(
        entry_ids, key=lambda e: hashing.rendezvous_score(server_id, e, 1.0), reverse=True
    )
    return ranked[:ASSIGNED_ENTRIES]
