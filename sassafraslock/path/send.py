"""Fourth stage: sends one attempt to one server."""

from __future__ import annotations

import asyncio
import dataclasses

from sassafraslock import clock, header_names, http_messages
from sassafraslock.decisions import candidates, cold_admission, registry, server_health
from sassafraslock.path import route
from sassafraslock.services import backpressure_watch, server_connection, upstream


@dataclasses.dataclass(slots=True)
class Attempt:
    """One ended attempt: the chosen server, the result and the time taken.

    ``exchange`` is none if the attempt was cancelled without a result: at the request's deadline,
    or since another server answered first, in which case ``abandoned`` is true. ``health`` holds
    this entry's statistics of the server's start that got the request.
    """

    choice: candidates.Choice
    exchange: server_connection.Exchange | None
    sent_ms: int
    took_ms: int
    abandoned: bool = False
    health: server_health.ServerHealth = dataclasses.field(
        default_factory=server_health.ServerHealth
    )


class PendingAttempt:
    """An attempt in flight, which counts among the server's requests until it is ended."""

    __slots__ = ("choice", "health", "sent_ms", "exchange")

    def __init__(
        self,
        choice: candidates.Choice,
        health: server_health.ServerHealth,
        sent_ms: int,
        exchange: asyncio.Task[server_connection.Exchange],
    ) -> None:
        self.choice = choice
        self.health = health
        self.sent_ms = sent_ms
        self.exchange = exchange
        health.in_flight += 1
        health.probing = health.connect_failures > 0

    def cancel(self) -> None:
        """End the attempt without a result."""
        self.health.in_flight -= 1
        self.health.probing = False
        self.exchange.cancel()

    def end(self, now_ms: int, abandoned: bool = False) -> Attempt:
        """Return the ended attempt; without a result, it is cancelled.

        :param now_ms: the current monotonic time.
        :param abandoned: whether it is cancelled since another server answered.
        """
        self.cancel()
        is_done = self.exchange.done() and not self.exchange.cancelled()
        result = self.exchange.result() if is_done else None
        took_ms = now_ms - self.sent_ms
        abandoned = abandoned and not is_done
        return Attempt(self.choice, result, self.sent_ms, took_ms, abandoned, self.health)


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
    """Sends requests to servers.

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

    def start(
        self,
        routed: route.RoutedRequest,
        choice: candidates.Choice,
        health: server_health.ServerHealth,
        now_ms: int,
    ) -> PendingAttempt:
        """Begin to send a request to the chosen server.

        :param routed: the request.
        :param choice: the chosen server with the reasons for it.
        :param health: this entry's statistics of the server.
        :param now_ms: the current monotonic time.
        """
        exchange = self._upstream.exchange(
            choice.server.report.address,
            lambda: self._encode(routed, choice.server),
            routed.incoming.request_id,
            routed.incoming.request.method == "HEAD",
            _ServerObserver(choice, self._watch, self._cold),
        )
        return PendingAttempt(choice, health, now_ms, asyncio.ensure_future(exchange))

    def _encode(self, routed: route.RoutedRequest, server: registry.Server) -> bytes:
        remaining_ms = routed.remaining_ms(clock.monotonic_ms())
        names, request = self._names, routed.incoming.request
        replaced = {names.deadline_ms, names.target_server, names.request_id, names.entry}
        if routed.has_workspaces:
            replaced |= {names.credential, names.workspace}
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
        if routed.workspace is not None:
            headers.append((names.workspace, routed.workspace.name.encode("latin-1")))
        return http_messages.encode_request(request.method, routed.target, headers, request.body)
