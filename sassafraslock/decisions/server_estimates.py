"""Estimates of how soon a server would answer a request."""

from __future__ import annotations

from sassafraslock import routing_table
from sassafraslock.decisions import (
    candidates,
    cold_admission,
    load_view,
    object_memory,
    registry,
    route_latency,
    server_health,
    work_pace,
)

# Share of queued requests whose object is assumed to be in the server's memory.
QUEUED_KNOWN_SHARE = 0.7
COLD_FACTOR = 2.0  # by which a cold server is slower


class ServerEstimates:
    """Combines what is known of routes, objects, loads and servers to an expected time."""

    __slots__ = ("_latencies", "_objects", "_loads", "_paces", "_cold")

    def __init__(
        self,
        objects: object_memory.ObjectMemory,
        loads: load_view.LoadView,
        paces: work_pace.WorkPace,
        cold: cold_admission.ColdAdmission,
    ) -> None:
        self._latencies: dict[str, route_latency.RouteLatency] = {}
        self._objects = objects
        self._loads = loads
        self._paces = paces
        self._cold = cold

    def latency_of(self, route: routing_table.Route) -> route_latency.RouteLatency:
        """Return the latency averages of a route, initially derived from its target latency.

        :param route: the route.
        """
        latency = self._latencies.get(route.name)
        if latency is None:
            latency = route_latency.RouteLatency.from_target(route.target_latency_ms)
            self._latencies[route.name] = latency
        return latency

    def evaluate(
        self,
        request: candidates.PlacementRequest,
        server: registry.Server,
        health: server_health.ServerHealth,
        is_home: bool,
        now_ms: int,
    ) -> candidates.Choice:
        """Return a server as a candidate for a request, with its estimates.

        :param request: the request.
        :param server: the server.
        :param health: this entry's record of the server.
        :param is_home: whether the server is the object's home.
        :param now_ms: the current monotonic time.
        """
        latency = self.latency_of(request.route)
        affinity = self._affinity(request, server, is_home, now_ms)
        cold = self._cold.is_cold(server, now_ms)
        slots = max(1, server.report.slots)
        load = self._loads.load(server, health, now_ms)
        known_ms = latency.expected_ms(route_latency.ObjectAffinity.KNOWN)
        new_ms = latency.expected_ms(route_latency.ObjectAffinity.NEW)
        mean_ms = QUEUED_KNOWN_SHARE * known_ms + (1 - QUEUED_KNOWN_SHARE) * new_ms
        queue_ms = max(0.0, load + 1 - slots) / slots * mean_ms
        usual_ms = latency.expected_ms(affinity) + queue_ms
        factor = health.slow_factor(now_ms) * (COLD_FACTOR if cold else 1.0)
        factor *= self._paces.factor(server, usual_ms, now_ms)
        expected_ms = factor * usual_ms + health.rtt_ms
        return candidates.Choice(
            server, expected_ms, affinity, load, is_home, cold, factor * queue_ms
        )

    def _affinity(
        self,
        request: candidates.PlacementRequest,
        server: registry.Server,
        is_home: bool,
        now_ms: int,
    ) -> route_latency.ObjectAffinity:
        if not request.is_sticky or self.has_handled(request, server, now_ms):
            return route_latency.ObjectAffinity.KNOWN
        return route_latency.ObjectAffinity.HOME if is_home else route_latency.ObjectAffinity.NEW

    def has_handled(
        self, request: candidates.PlacementRequest, server: registry.Server, now_ms: int
    ) -> bool:
        """Return whether a server recently handled the request's object.

        :param request: the request.
        :param server: the server.
        :param now_ms: the current monotonic time.
        """
        return request.is_sticky and self._objects.has_handled(
            request.object_hash, registry.start_hash(server), now_ms
        )
