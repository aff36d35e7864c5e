"""Hears the rate limits that servers name, from answers and from peers, and logs each change."""

from __future__ import annotations

from sassafraslock import events, http_messages
from sassafraslock.decisions import heard_from, registry, server_limits
from sassafraslock.services import invalid_headers


class LimitWatch:
    """Records the limits in the heads of answers.

    A limit that is not a plain decimal number, or that is there more than once, changes nothing.
    """

    __slots__ = ("limits", "invalid", "_registry", "_header")

    def __init__(
        self, limits: server_limits.ServerLimits, servers: registry.Registry, header: bytes
    ) -> None:
        self.limits = limits
        self._registry = servers
        self.invalid = invalid_headers.InvalidHeaders(
            events.Event.SERVER_LIMIT_INVALID,
            "server named an invalid rate limit, which is ignored; it must be one decimal number",
        )
        self._header = header

    def record_head(
        self, server: registry.Server, status: int, headers: http_messages.Headers, now_ms: int
    ) -> None:
        """Record the limit that the head of any answer names, also of a late or repeated one.

        :param server: the server to which the connection was opened.
        :param status: the HTTP status of the answer.
        :param headers: its headers, with names in lower case.
        :param now_ms: the current monotonic time.
        """
        if not self._header or status == http_messages.MISDIRECTED:
            return
        values = [value for name, value in headers if name == self._header]
        if not values:
            return
        per_s = server_limits.parse(values[0]) if len(values) == 1 else None
        if per_s is None:
            self.invalid.record(server, values)
            return
        start_hash = registry.start_hash(server)
        previous = self.limits.limit_of(start_hash)
        if self.limits.record_named(start_hash, per_s, now_ms):
            _log_change(server, per_s, previous, heard_from.HeardFrom.SERVER)

    def record_answer(
        self,
        server: registry.Server,
        response: http_messages.Response,
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """Record the complete answer to a request; without a limit, it ends the server's limit.

        :param server: the server.
        :param response: the answer.
        :param sent_ms: when the request was sent.
        :param now_ms: the current monotonic time.
        """
        if not self.limits.has_any or any(name == self._header for name, _ in response.headers):
            return
        start_hash = registry.start_hash(server)
        previous = self.limits.limit_of(start_hash)
        if self.limits.record_unnamed(start_hash, sent_ms, now_ms):
            _log_change(server, None, previous, heard_from.HeardFrom.SERVER)

    def recent_reports(self, now_ms: int) -> list[server_limits.LimitReport]:
        """Return the limits to send to other entries.

        :param now_ms: the current monotonic time.
        """
        return self.limits.recent_reports(now_ms)

    def merge_reports(self, reports: list[server_limits.LimitReport], now_ms: int) -> None:
        """Merge limits that another entry knows; those of unregistered servers are ignored.

        :param reports: the limits.
        :param now_ms: the current monotonic time.
        """
        servers = self._registry.by_start_hash()
        for report in reports:
            server = servers.get(report.start_hash)
            if server is None or not report.is_valid:
                continue
            previous = self.limits.limit_of(report.start_hash)
            if self.limits.merge(report, now_ms):
                _log_change(server, report.per_s, previous, heard_from.HeardFrom.PEER)


def _log_change(
    server: registry.Server,
    per_s: float | None,
    previous: float | None,
    source: heard_from.HeardFrom,
) -> None:
    message = "server takes any rate again" if per_s is None else "server named a rate limit"
    events.log(
        events.Event.SERVER_LIMIT_CHANGED,
        message,
        server=server.server_id,
        service=server.report.service,
        limit_per_s=per_s,
        previous_per_s=previous,
        heard_from=source,
    )
