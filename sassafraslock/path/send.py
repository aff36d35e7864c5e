"""Fourth stage: one attempt at one server."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from sassafraslock import clock, header_names, http_messages
from sassafraslock.decisions import candidates, registry, server_health
from sassafraslock.path import route
from sassafraslock.services import server_connection, upstream


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt: where it went and why, what came back, and after how long.

    ``exchange`` is none where the time ran out before an answer.
    """

    choice: candidates.Choice
    exchange: server_connection.Exchange | None
    sent_ms: int
    took_ms: int
    abandoned: bool = False


class Sender:
    """Sends requests to servers and watches the time."""

    __slots__ = ("_upstream", "_names")

    def __init__(self, connections: upstream.Upstream, names: header_names.HeaderNames) -> None:
        self._upstream = connections
        self._names = names

    async def send(
        self,
        routed: route.RoutedRequest,
        choice: candidates.Choice,
        health: server_health.ServerHealth,
        patience_ms: int,
        may_abandon: typing.Callable[[], bool],
    ) -> Attempt:
        """Send a request to the chosen server and wait for the answer.

        :param routed: the request.
        :param choice: the server.
        :param health: this entry's notes on the server.
        :param patience_ms: the time after which another server may be asked instead.
        :param may_abandon: tells, once that time is over, whether it may.
        """
        sent_ms = clock.monotonic_ms()
        left_ms = routed.remaining_ms(sent_ms)
        data = self._encode(routed, choice.server, left_ms)
        health.in_flight += 1
        health.probing = health.connect_failures > 0
        exchange = asyncio.ensure_future(
            self._upstream.exchange(
                choice.server.report.address,
                data,
                routed.incoming.request_id,
                routed.incoming.request.method == "HEAD",
            )
        )
        abandoned = False
        try:
            if 0 < patience_ms < left_ms:
                await asyncio.wait((exchange,), timeout=patience_ms / 1000)
                abandoned = not exchange.done() and may_abandon()
            if not exchange.done() and not abandoned:
                left_ms = routed.remaining_ms(clock.monotonic_ms())
                await asyncio.wait((exchange,), timeout=max(0, left_ms) / 1000)
        finally:
            health.in_flight -= 1
            health.probing = False
            if not exchange.done():
                exchange.cancel()
        took_ms = clock.monotonic_ms() - sent_ms
        outcome = exchange.result() if exchange.done() and not exchange.cancelled() else None
        return Attempt(choice, outcome, sent_ms, took_ms, abandoned)

    def _encode(self, routed: route.RoutedRequest, server: registry.Server, left_ms: int) -> bytes:
        names, request = self._names, routed.incoming.request
        own = (names.deadline_ms, names.target_server, names.request_id)
        headers = [
            (n, v) for n, v in http_messages.end_to_end_headers(request.headers) if n not in own
        ]
        headers.append((names.request_id, routed.incoming.request_id))
        headers.append((names.deadline_ms, str(max(1, left_ms)).encode()))
        headers.append((names.target_server, server.server_id.encode("latin-1")))
        return http_messages.encode_request(request.method, routed.target, headers, request.body)
