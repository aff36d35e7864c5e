"""Hears what servers ask for in their answers, and what peers know of it."""

from __future__ import annotations

from sassafraslock import clock, header_names, http_messages
from sassafraslock.decisions import backpressure, registry
from sassafraslock.services import departing_watch, limit_watch, metrics, pause_watch

MAX_DUMPED = 256  # servers


class BackpressureWatch:
    """Passes heads of answers to the watches of rate limits, pauses and servers that leave.

    An answer of another server, which has taken over the address, is left out: it is not known
    which server gave it.
    """

    __slots__ = ("limits", "departing", "pauses", "_asked", "_registry")

    def __init__(
        self,
        asked: backpressure.Backpressure,
        servers: registry.Registry,
        names: header_names.HeaderNames,
    ) -> None:
        self.limits = limit_watch.LimitWatch(asked.limits, servers, names.rate_limit)
        self.departing = departing_watch.DepartingWatch(asked, servers, names.leaving)
        self.pauses = pause_watch.PauseWatch(asked)
        self._asked = asked
        self._registry = servers

    def record_head(
        self,
        server: registry.Server,
        status: int,
        headers: http_messages.Headers,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Record what the head of any answer asks for, also of a late or repeated one.

        :param server: the server to which the connection was opened.
        :param status: the HTTP status of the answer.
        :param headers: its headers, with names in lower case.
        :param now_ms: the current monotonic time.
        :param wall_ms: the current wall clock time, for dates.
        """
        if status == http_messages.MISDIRECTED:
            return
        self.limits.record_head(server, status, headers, now_ms)
        self.departing.record_head(server, headers, now_ms)
        self.pauses.record_head(server, status, headers, now_ms, wall_ms)

    def record_answer(
        self,
        server: registry.Server,
        response: http_messages.Response,
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """Record the complete answer to a request; what it does not ask for may have ended.

        :param server: the server.
        :param response: the answer.
        :param sent_ms: when the request was sent.
        :param now_ms: the current monotonic time.
        """
        self.limits.record_answer(server, response, sent_ms, now_ms)
        if response.status not in pause_watch.REJECTION_STATUSES:
            self._asked.pauses.record_answer(registry.start_hash(server), sent_ms)

    def is_closed(self, server: registry.Server, now_ms: int) -> bool:
        """Return whether a server wants nothing at all now, not even what was placed already.

        :param server: the server.
        :param now_ms: the current monotonic time.
        """
        return self._asked.is_closed(server, now_ms)

    def gauges(self, now_ms: int) -> metrics.BackpressureGauges:
        """Return how many registered servers ask for what, and the invalid heads so far.

        :param now_ms: the current monotonic time.
        """
        starts = self._registry.by_start_hash()
        return metrics.BackpressureGauges(
            limited=len(self._asked.limits.in_force()),
            invalid_limits=self.limits.invalid.count,
            leaving=sum(start_hash in self._asked.departures for start_hash in starts),
            invalid_leaving=self.departing.invalid.count,
            paused=self._asked.pauses.paused_count(now_ms),
            invalid_pauses=self.pauses.invalid.count,
        )

    def dump(self) -> dict[str, object]:
        """Return what servers ask for, by their ids."""
        now_ms = clock.monotonic_ms()
        asked: dict[str, object] = {}
        for start_hash, server in self._registry.by_start_hash().items():
            fields = self._asked.describe(start_hash, now_ms)
            if fields and len(asked) < MAX_DUMPED:
                asked[server.server_id] = fields
        return asked
