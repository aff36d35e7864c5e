"""Servers that joined recently and have not answered this entry yet."""

from __future__ import annotations

import typing

from sassafraslock.decisions import registry, server_health

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

    def _may_get_requests(self, server: registry.Server, now_ms: int) -> bool:
        evacuated = server.report.zone in self._registry.evacuated_zones
        if server.draining or server.is_cold(now_ms) or evacuated:
            return False
        health = self._health_of(server)
        return not health.in_flight and health.is_available(now_ms)
