"""Load estimates of servers, from answers to this entry and from reports of other entries."""

from __future__ import annotations

import typing

from sassafraslock.decisions import load_reports, registry, server_health, typical_load


class HealthLookup(typing.Protocol):
    """Finds this entry's health record of a server."""

    def __call__(self, server: registry.Server) -> server_health.ServerHealth:
        """Return the health record.

        :param server: the server.
        """


class LoadView:
    """Estimates the load of servers.

    A server without a recent report is assumed to have the mean load of its service and region.
    """

    __slots__ = ("_registry", "_health_of", "_reports", "_typical")

    def __init__(self, servers: registry.Registry, health_of: HealthLookup) -> None:
        self._registry = servers
        self._health_of = health_of
        self._reports = load_reports.LoadReports()
        self._typical: dict[tuple[str, str], typical_load.TypicalLoad] = {}

    def load(
        self, server: registry.Server, health: server_health.ServerHealth, now_ms: int
    ) -> float:
        """Return the estimated number of requests that run or wait at a server.

        :param server: the server.
        :param health: its health record.
        :param now_ms: the current monotonic time.
        """
        return health.load(now_ms, self._typical_load(server).mean(now_ms))

    def typical_loads(self, service: str, now_ms: int) -> dict[str, float]:
        """Return the mean loads of a service's servers, by region.

        :param service: the service.
        :param now_ms: the current monotonic time.
        """
        found = ((region, t) for (name, region), t in self._typical.items() if name == service)
        return {region: typical.mean(now_ms) for region, typical in found}

    def record(self, server: registry.Server, load: int, now_ms: int) -> None:
        """Record the load that a server reported with an answer to this entry.

        :param server: the server.
        :param load: the requests that run or wait there, without the answered one.
        :param now_ms: the current monotonic time.
        """
        self._reports.record(registry.start_hash(server), load, now_ms)
        self._update(server, load, now_ms, now_ms)

    def recent_reports(self, now_ms: int) -> list[load_reports.LoadReport]:
        """Return the loads to send to entries nearby.

        :param now_ms: the current monotonic time.
        """
        return self._reports.recent(now_ms)

    def merge_reports(self, reports: list[load_reports.LoadReport], now_ms: int) -> None:
        """Merge loads that another entry knows.

        Loads of unregistered servers, and loads older than the recorded one, are ignored.

        :param reports: the loads.
        :param now_ms: the current monotonic time.
        """
        servers = self._registry.by_start_hash()
        for report in reports:
            server = servers.get(report.start_hash)
            at_ms = now_ms - max(0, report.age_ms)
            if server is not None and self._reports.record(report.start_hash, report.load, at_ms):
                self._update(server, report.load, at_ms, now_ms)

    def forget_start(self, server: registry.Server, now_ms: int) -> None:
        """Forget the load and the health of a start, since another one may run by now.

        Until its next report it is assumed to have the typical load.

        :param server: the server.
        :param now_ms: the current monotonic time.
        """
        self._reports.forget(registry.start_hash(server))
        self._health_of(server).forget_start(now_ms)

    def _update(self, server: registry.Server, load: int, at_ms: int, now_ms: int) -> None:
        health = self._health_of(server)
        if health.record_load(load, at_ms):
            self._typical_load(server).record(health.others_load, now_ms)

    def _typical_load(self, server: registry.Server) -> typical_load.TypicalLoad:
        key = (server.report.service, server.region)
        typical = self._typical.get(key)
        if typical is None:
            typical = self._typical[key] = typical_load.TypicalLoad()
        return typical
