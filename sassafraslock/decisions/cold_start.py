"""Rate limit on requests from this entry to cold servers."""

from __future__ import annotations

import dataclasses
import typing

from sassafraslock.decisions import hashing

ASSIGNED_ENTRIES = 2  # per cold server
SAFETY_RATIO = 0.5  # share of a server's rate limit that its assigned entries use together


@dataclasses.dataclass(slots=True)
class _TokenBucket:
    tokens: float
    at_ms: int


class ColdStartLimiter:
    """Limits requests to cold servers, so that all entries together keep to each server's rate.

    Only :data:`ASSIGNED_ENTRIES` entries send to a cold server; all entries with the same view of
    the live ones agree on them. Each assigned entry has a token bucket with an equal part of
    half the limit. If entries disagree on who is alive, twice as many may consider themselves
    assigned, and the limit still holds.

    ``granted`` and ``held_back`` count calls of :meth:`try_acquire`. ``on_asked`` is called in
    each with the id of the server's start, whether the request was granted, and the time.
    """

    __slots__ = ("own_id", "granted", "held_back", "on_asked", "_overage", "_slack", "_buckets")

    def __init__(self, own_id: str, overage: float, slack: float) -> None:
        self.own_id = own_id
        self.granted = 0
        self.held_back = 0
        self.on_asked: typing.Callable[[str, bool, int], None] = lambda start, granted, now_ms: None
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

        :param server_id: the id of the server's start.
        :param cold_per_s: the requests per second that the server tolerates while cold.
        :param entry_ids: the live entries, including this one.
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

    def retain(self, server_ids: set[str]) -> None:
        """Discard all token buckets except those of the given servers.

        :param server_ids: the ids of the starts of the servers to keep.
        """
        self._buckets = {k: v for k, v in self._buckets.items() if k in server_ids}


def assigned_entries(server_id: str, entry_ids: list[str]) -> list[str]:
    """Return the entries that may send to a cold or newly joined server.

    They are chosen by rendezvous hashing, whatever the order of ``entry_ids``.

    :param server_id: the id of the server or of its start.
    :param entry_ids: the live entries.
    """
    ranked = sorted(
        entry_ids, key=lambda e: hashing.rendezvous_score(server_id, e, 1.0), reverse=True
    )
    return ranked[:ASSIGNED_ENTRIES]
