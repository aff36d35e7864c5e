"""What servers ask of this entry: to send nothing more, or no more than a rate."""

from __future__ import annotations

import collections.abc
import enum

from sassafraslock.decisions import (
    departing_servers,
    entry_view,
    heard_from,
    registry,
    server_limits,
    server_rate_limiter,
)


class Hold(enum.Enum):
    """Why a server gets no request now."""

    LEAVING = "leaving"
    RATE_LIMITED = "rate limited"


class Backpressure:
    """Holds what each start of a server asks for, and tells whether it may get a request.

    Everything that sends to servers asks :meth:`hold` when it chooses one, and :meth:`is_closed`
    right before the request is written.
    """

    __slots__ = ("departures", "limits", "_limiter", "_registry")

    def __init__(
        self,
        own_id: str,
        servers: registry.Registry,
        entries: entry_view.EntryView,
        started_ms: int = -server_rate_limiter.SETTLE_MS,
    ) -> None:
        self.departures = departing_servers.DepartingServers()
        self.limits = server_limits.ServerLimits()
        self._limiter = server_rate_limiter.ServerRateLimiter(
            own_id, self.limits, entries, started_ms
        )
        self._registry = servers
        servers.exclude(self.departures)

    def hold(self, server: registry.Server, now_ms: int) -> Hold | None:
        """Return why a server gets no request now, ``None`` if it may get one.

        :param server: the server.
        :param now_ms: the current monotonic time.
        """
        if self.departures and registry.start_hash(server) in self.departures:
            return Hold.LEAVING
        return None if self._limiter.may_send(server, now_ms) else Hold.RATE_LIMITED

    def acquire(self, server: registry.Server, now_ms: int) -> None:
        """Count a request that is sent to a server; call it only if it has no :meth:`hold`.

        :param server: the server.
        :param now_ms: the current monotonic time.
        """
        self._limiter.acquire(server, now_ms)

    def wait_ms(self, server: registry.Server, now_ms: int) -> int | None:
        """Return the time until this entry may send to a server, ``None`` if that is unknown.

        :param server: the server; the time is 0 if it asks for nothing.
        :param now_ms: the current monotonic time.
        """
        if registry.start_hash(server) in self.departures:
            return None
        return self._limiter.wait_ms(server, now_ms)

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

    def describe(self, start_hash: int) -> dict[str, object]:
        """Return what a server asks for, by whom it was told, for people.

        :param start_hash: the hash of the id of the server's start.
        """
        fields: dict[str, object] = {}
        departure = self.departures.departure_of(start_hash)
        if departure is not None:
            fields["leaving_heard_from"] = departure.source
        limit = self.limits.limit_of(start_hash)
        if limit is not None:
            fields["limit_per_s"] = limit
            fields["limit_heard_from"] = self.limits.source_of(start_hash)
        return fields

    def retain(self, start_hashes: collections.abc.Set[int], now_ms: int) -> None:
        """Discard what all servers except the given ones ask for.

        :param start_hashes: the hashes of the ids of the starts to keep.
        :param now_ms: the current monotonic time.
        """
        self.departures.retain(start_hashes, now_ms)
        self._limiter.retain(start_hashes)
