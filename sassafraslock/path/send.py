"""Fourth stage: sends one attempt to one server."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from sassafraslock import clock, header_names, http_messages
from sassafraslock.decisions import candidates, cold_admission, registry, server_health
from sassafraslock.path import route
from sassafraslock.services import backpressure_watch, server_connection, upstream


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt: the chosen server, the result and the time taken.

    ``exchange`` is none if the attempt was cancelled without a result: at the request's deadline,
    or at the soft timeout, in which case ``abandoned`` is true.
    """

    choice: candidates.Choice
    exchange: server_connection.Exchange | None
    sent_ms: int
    took_ms: int
    abandoned: bool = False


@dataclasses.dataclass(slots=True)
class _ServerObserver:
    """Passes the heads of one server's answers on, and tells whether it may get the request."""

    choice: candidates.Choice
    watch: backpressure_watch.BackpressureWatch
    cold: cold_admission.ColdAdmission

    @property
    def server(self) -> registry.Server:
        """The server that was chosen, with the row of that time."""
        return self.choice.server

    def __call__(self, status: int, headers: http_messages.Headers) -> None:
        now_ms = clock.monotonic_ms()
        self.watch.record_head(self.server, status, headers, now_ms, clock.wall_ms())

    def may_send(self) -> bool:
        """Return whether the server may still get the request, by what is known now."""
        now_ms = clock.monotonic_ms()
        if self.watch.is_closed(self.server, now_ms):
            return False
        return self.choice.is_cold or not self.cold.has_become_cold(self.server, now_ms)


class Sender:
    """Sends requests to servers, and cancels them at the deadline or the soft timeout.

    Servers are told the ``entry_id``, if the entry header has a name.
    """

    __slots__ = ("_upstream", "_names", "_watch", "_cold", "_entry_id")

    def __init__(
        self,
        connections: upstream.Upstream,
        names: header_names.HeaderNames,
        watch: backpressure_watch.BackpressureWatch,
        cold: cold_admission.ColdAdmission,
        entry_id: str,
    ) -> None:
        self._entry_id = entry_id.encode("latin-1")
        self._upstream = connections
        self._names = names
        self._watch = watch
        self._cold = cold

    async def send(
        self,
        routed: route.RoutedRequest,
        choice: candidates.Choice,
        health: server_health.ServerHealth,
        soft_timeout_ms: int,
        may_abandon: typing.Callable[[], bool],
    ) -> Attempt:
        """Send a request to the chosen server and wait for the answer.

        :param routed: the request.
        :param choice: the chosen server with the reasons for it.
        :param health: this entry's statistics of the server; its requests in flight are counted.
        :param soft_timeout_ms: the time after which the attempt may be abandoned for another
            server, 0 for never.
        :param may_abandon: called once if the soft timeout passes without an answer; returns
            whether to abandon the attempt.
        """
        sent_ms = clock.monotonic_ms()
        remaining_ms = routed.remaining_ms(sent_ms)
        health.in_flight += 1
        health.probing = health.connect_failures > 0
        exchange = asyncio.ensure_future(
            self._upstream.exchange(
                choice.server.report.address,
                lambda: self._encode(routed, choice.server),
                routed.incoming.request_id,
                routed.incoming.request.method == "HEAD",
                _ServerObserver(choice, self._watch, self._cold),
            )
        )
        abandoned = False
        try:
            if 0 < soft_timeout_ms < remaining_ms:
                await asyncio.wait((exchange,), timeout=soft_timeout_ms / 1000)
                abandoned = not exchange.done() and may_abandon()
            if not exchange.done() and not abandoned:
                remaining_ms = routed.remaining_ms(clock.monotonic_ms())
                await asyncio.wait((exchange,), timeout=max(0, remaining_ms) / 1000)
        finally:
            health.in_flight -= 1
            health.probing = False
            if not exchange.done():
                exchange.cancel()
        took_ms = clock.monotonic_ms() - sent_ms
        outcome = exchange.result() if exchange.done() and not exchange.cancelled() else None
        return Attempt(choice, outcome, sent_ms, took_ms, abandoned)

    def _encode(self, routed: route.RoutedRequest, server: registry.Server) -> bytes:
        remaining_ms = routed.remaining_ms(clock.monotonic_ms())
        names, request = self._names, routed.incoming.request
        replaced = (names.deadline_ms, names.target_server, names.request_id, names.entry)
        headers = [
            (n, v)
            for n, v in http_messages.end_to_end_headers(request.headers)
            if n not in replaced
        ]
        headers.append((names.request_id, routed.incoming.request_id))
        headers.append((names.deadline_ms, str(max(1, remaining_ms)).encode()))
        headers.append((names.target_server, server.server_id.encode("latin-1")))
        if names.entry:
            headers.append((names.entry, self._entry_id))
        return http_messages.encode_request(request.method, routed.target, headers, request.body)
