"""Refusals of requests for which no server is available."""

from __future__ import annotations

from sassafraslock import errors
from sassafraslock.decisions import backpressure, candidates, registry


class RefusalBuilder:
    """Tells why no server may get a request, and when one may."""

    __slots__ = ("_registry", "_backpressure")

    def __init__(self, servers: registry.Registry, asked: backpressure.Backpressure) -> None:
        self._registry = servers
        self._backpressure = asked

    def no_server(self, request: candidates.PlacementRequest, now_ms: int) -> errors.Refusal:
        """Return the refusal of a request that has no candidate server.

        :param request: the request, with the servers that its placement left out.
        :param now_ms: the current monotonic time.
        """
        if request.left_out.is_held:
            return self._held(request, now_ms)
        usable = self._registry.usable_servers(request.service.name)
        return candidates.no_server_refusal(request, len(usable))

    def paused(self, request: candidates.PlacementRequest, now_ms: int) -> errors.Refusal | None:
        """Return a refusal if all servers for a request asked for a pause, otherwise ``None``.

        :param request: the request, of which all attempts were made.
        :param now_ms: the current monotonic time.
        """
        allowed = self._allowed_servers(request)
        holds = [self._backpressure.hold(server, now_ms) for server in allowed]
        if not holds or any(hold is not backpressure.Hold.PAUSED for hold in holds):
            return None
        request.left_out.paused = len(holds)
        return self._held(request, now_ms)

    def _held(self, request: candidates.PlacementRequest, now_ms: int) -> errors.Refusal:
        default_ms = candidates.MAX_RETRY_AFTER_MS
        waits_ms = [
            self._backpressure.wait_ms(server, now_ms, default_ms)
            for server in self._allowed_servers(request)
        ]
        return candidates.held_refusal(request, waits_ms)

    def _allowed_servers(self, request: candidates.PlacementRequest) -> list[registry.Server]:
        usable = self._registry.usable_servers(request.service.name)
        return [server for server in usable if request.allows(server)]
