"""Hears which servers leave, from their answers and from peers, and logs each once."""

from __future__ import annotations

from sassafraslock import events, http_messages
from sassafraslock.decisions import backpressure, departing_servers, heard_from, registry
from sassafraslock.services import invalid_headers

LEAVING = b"1"


class DepartingWatch:
    """Records the servers whose answers say that they leave.

    Only :data:`LEAVING` says so, once or more. An answer without it changes nothing.
    """

    __slots__ = ("invalid", "_asked", "_registry", "_header")

    def __init__(
        self, asked: backpressure.Backpressure, servers: registry.Registry, header: bytes
    ) -> None:
        self.invalid = invalid_headers.InvalidHeaders(
            events.Event.SERVER_LEAVING_INVALID,
            "server's header that says whether it leaves is not 1, so it is ignored",
        )
        self._asked = asked
        self._registry = servers
        self._header = header

    def record_head(
        self, server: registry.Server, headers: http_messages.Headers, now_ms: int
    ) -> None:
        """Record whether the head of an answer says that its server leaves.

        :param server: the server.
        :param headers: the headers, with names in lower case.
        :param now_ms: the current monotonic time.
        """
        values = [value.strip(b" \t") for name, value in headers if name == self._header]
        if not self._header or not values:
            return
        if any(value != LEAVING for value in values):
            self.invalid.record(server, values)
            return
        self._record(server, registry.start_hash(server), heard_from.HeardFrom.SERVER, now_ms)

    def recent_reports(self, now_ms: int) -> list[departing_servers.DepartureReport]:
        """Return the servers that leave, to send to other entries.

        :param now_ms: the current monotonic time.
        """
        return self._asked.departures.recent_reports(now_ms)

    def merge_reports(self, reports: list[departing_servers.DepartureReport], now_ms: int) -> None:
        """Merge what another entry knows; unregistered servers are ignored.

        :param reports: the servers that leave.
        :param now_ms: the current monotonic time.
        """
        servers = self._registry.by_start_hash()
        for report in reports:
            server = servers.get(report.start_hash)
            if server is not None:
                heard_ms = now_ms - max(0, report.age_ms)
                source = heard_from.HeardFrom.PEER
                self._record(server, report.start_hash, source, heard_ms)

    def _record(
        self,
        server: registry.Server,
        start_hash: int,
        source: heard_from.HeardFrom,
        heard_ms: int,
    ) -> None:
        if self._asked.record_departure(start_hash, source, heard_ms):
            events.log(
                events.Event.SERVER_LEAVING,
                "server says that it leaves; it gets no new requests",
                server=server.server_id,
                service=server.report.service,
                heard_from=source,
            )
