"""What servers ask of this entry: nothing more, nothing for a while, or no more than a rate."""

from __future__ import annotations

import collections.abc
import enum

from sassafraslock.decisions import (
    departing_servers,
    entry_view,
    heard_from,
    registry,
    server_limits,
    server_pauses,
    server_rate_limiter,
)

# A row may be lost and written again for the same start, which still asks for the same.
ABSENT_RETENTION_MS = 60_000


class Hold(enum.Enum):
    """Why a server gets no request now."""

    LEAVING = "leaving"
    PAUSED = "paused"
    RATE_LIMITED = "rate limited"


class Backpressure:
    """Holds what each start of a server asks for, and tells whether it may get a request.

    Everything that sends to servers asks :meth:`hold` when it chooses one, and :meth:`is_closed`
    right before the request is written.
    """

    __slots__ = (
        "departures",
        "pauses",
        "limits",
        "_limiter",
        "_registry",
        "_registered",
        "_absent_since_ms",
    )

    def __init__(
        self,
        own_id: str,
        servers: registry.Registry,
        entries: entry_view.EntryView,
        started_ms: int = -server_rate_limiter.SETTLE_MS,
    ) -> None:
        self.departures = departing_servers.DepartingServers()
        self.pauses = server_pauses.ServerPauses(own_id)
        self.limits = server_limits.ServerLimits()
        self._limiter = server_rate_limiter.ServerRateLimiter(
            own_id, self.limits, entries, started_ms
        )
        self._registry = servers
        self._registered: set[int] = set()
        self._absent_since_ms: dict[int, int] = {}
        servers.exclude(self.departures)

    def hold(self, server: registry.Server, now_ms: int) -> Hold | None:
        """Return why a server gets no request now, ``None`` if it may get one.

        :param server: the server.
        :param now_ms: the current monotonic time.
        """
        if self.departures or self.pauses:
            start_hash = registry.start_hash(server)
            if start_hash in self.departures:
                return Hold.LEAVING
            if not self.pauses.may_send(start_hash, now_ms):
                return Hold.PAUSED
        return None if self._limiter.may_send(server, now_ms) else Hold.RATE_LIMITED

    def is_closed(self, server: registry.Server, now_ms: int) -> bool:
        """Return whether a server wants nothing at all now, not even what was placed already.

        :param server: the server.
        :param now_ms: the current monotonic time.
        """
        if not self.departures and not self.pauses:
            return False
        start_hash = registry.start_hash(server)
        return start_hash in self.departures or self.pauses.is_paused(start_hash, now_ms)

    def acquire(self, server: registry.Server, now_ms: int) -> None:
        """Count a request that is sent to a server; call it only if it has no :meth:`hold`.

        :param server: the server.
        :param now_ms: the current monotonic time.
        """
        self.pauses.acquire(registry.start_hash(server), now_ms)
        self._limiter.acquire(server, now_ms)

    def wait_ms(self, server: registry.Server, now_ms: int, default_ms: int) -> int:
        """Return the time until this entry may send to a server.

        :param server: the server.
        :param now_ms: the current monotonic time.
        :param default_ms: the time if it is unknown, and the longest time for a rate limit, since
            limits change.
        """
        limiter_ms = self._limiter.wait_ms(server, now_ms)
        limit_ms = default_ms if limiter_ms is None else min(default_ms, limiter_ms)
        pause_ms = self.pauses.wait_ms(registry.start_hash(server), now_ms)
        return max(pause_ms, limit_ms) or default_ms

    def record_departure(
        self, start_hash: int, source: heard_from.HeardFrom, heard_ms: int
    ) -> bool:
        """Record that a server leaves, so that it is not among the usable ones any more.

        :param start_hash: the hash of the id of the server's start.
        :param source: who told this entry.
        :param heard_ms: when the server said so.
        :returns: whether this is new.
        """
        is_new = self.departures.record(start_hash, source, heard_ms)
        if is_new:
            self._registry.mark_changed()
        return is_new

    def describe(self, start_hash: int, now_ms: int) -> dict[str, object]:
        """Return what a server asks for, by whom it was told, for people.

        :param start_hash: the hash of the id of the server's start.
        :param now_ms: the current monotonic time.
        """
        fields: dict[str, object] = {}
        departure = self.departures.departure_of(start_hash)
        if departure is not None:
            fields["leaving_heard_from"] = departure.source
        if self.pauses.is_paused(start_hash, now_ms):
            fields["pause_left_ms"] = self.pauses.left_ms(start_hash, now_ms)
        limit = self.limits.limit_of(start_hash)
        if limit is not None:
            fields["limit_per_s"] = limit
            fields["limit_heard_from"] = self.limits.source_of(start_hash)
        return fields

    def retain(self, start_hashes: collections.abc.Set[int], now_ms: int) -> None:
        """Discard what servers ask for that have had no row for :data:`ABSENT_RETENTION_MS`.

        :param start_hashes: the hashes of the ids of all registered starts.
        :param now_ms: the current monotonic time.
        """
        for start_hash in self._registered - start_hashes:
            self._absent_since_ms[start_hash] = now_ms
        self._registered = set(start_hashes)
        self._absent_since_ms = {
            h: since_ms
            for h, since_ms in self._absent_since_ms.items()
            if h not in start_hashes and now_ms - since_ms < ABSENT_RETENTION_MS
        }
        kept = self._registered | self._absent_since_ms.keys()
        self.departures.retain(kept)
        self.pauses.retain(kept)
        self._limiter.retain(kept)
