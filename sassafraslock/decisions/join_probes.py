"""Servers that joined recently and have not answered this entry yet."""

from __future__ import annotations

import typing

from sassafraslock.decisions import backpressure, candidates, registry, server_health

MAX_WAIT_MS = 15_000  # how long after it joined a server may get a first probe
# Until then, only requests that lose no time by it become probes.
PATIENT_MS = 2_000


class JoinProbes:
    """Tells which joined servers are due for a probe request.

    A single early request reveals a faulty server before many requests are sent to it.
    """

    __slots__ = ("_registry", "_health_of", "_joined_ms")

    def __init__(
        self,
        servers: registry.Registry,
        health_of: typing.Callable[[registry.Server], server_health.ServerHealth],
    ) -> None:
        self._registry = servers
        self._health_of = health_of
        self._joined_ms: dict[str, int] = {}

    def record(self, server_id: str, now_ms: int) -> None:
        """Record that a server joined.

        :param server_id: the server.
        :param now_ms: the current monotonic time.
        """
        self._joined_ms[server_id] = now_ms

    def due(self, service: str, is_slowed: bool, now_ms: int) -> list[registry.Server]:
        """Return the servers of a service that may get a probe, in the order in which they joined.

        Servers that answered or joined more than :data:`MAX_WAIT_MS` ago are forgotten. Cold and
        draining servers, and those with a request in flight, are left out for now.

        :param service: the service.
        :param is_slowed: whether the request would be faster elsewhere.
        :param now_ms: the current monotonic time.
        """
        due: list[registry.Server] = []
        for server_id, joined_ms in list(self._joined_ms.items()):
            server = self._registry.servers.get(server_id)
            is_late = now_ms - joined_ms > MAX_WAIT_MS
            if server is None or self._health_of(server).answers or is_late:
                del self._joined_ms[server_id]
            elif is_slowed and now_ms - joined_ms < PATIENT_MS:
                continue
            elif server.report.service == service and self._may_get_requests(server, now_ms):
                due.append(server)
        return due

    def next_server(
        self,
        request: candidates.PlacementRequest,
        planned: str,
        is_slowed: bool,
        asked: backpressure.Backpressure,
        now_ms: int,
    ) -> registry.Server | None:
        """Return the server that a request probes, if any.

        It is one of the planned region, since many servers join at once when a system starts. Only
        the first attempts of idempotent requests are probes.

        :param request: the request.
        :param planned: the region that is planned for it.
        :param is_slowed: whether the request would be faster elsewhere.
        :param asked: what servers ask of this entry.
        :param now_ms: the current monotonic time.
        """
        if not request.idempotent or request.attempts:
            return None
        for server in self.due(request.service.name, is_slowed, now_ms):
            if server.region != planned or not request.allows(server):
                continue
            if asked.hold(server, now_ms) is None:
                return server
        return None

    def _may_get_requests(self, server: registry.Server, now_ms: int) -> bool:
        evacuated = server.report.zone in self._registry.evacuated_zones
        if server.draining or server.is_cold(now_ms) or evacuated:
            return False
        health = self._health_of(server)
        return not health.in_flight and health.is_available(now_ms)
