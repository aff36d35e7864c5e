"""What an entry believes of servers' loads, from its own answers and from other entries."""

from __future__ import annotations

import typing

from sassafraslock.decisions import load_reports, registry, server_health, typical_load


class HealthOf(typing.Protocol):
    """Finds an entry's notes on a server."""

    def __call__(self, server: registry.Server) -> server_health.ServerHealth:
        """Return the notes.

        :param server: the server.
        """


class LoadView:
    """Loads by server, with the mean of its service and region where nothing was heard lately."""

    __slots__ = ("_registry", "_health_of", "_reports", "_typical", "_marks", "_marks_generation")

    def __init__(self, servers: registry.Registry, health_of: HealthOf) -> None:
        self._registry = servers
        self._health_of = health_of
        self._reports = load_reports.LoadReports()
        self._typical: dict[tuple[str, str], typical_load.TypicalLoad] = {}
        self._marks: dict[int, registry.Server] = {}
        self._marks_generation = -1

    def load(
        self, server: registry.Server, health: server_health.ServerHealth, now_ms: int
    ) -> float:
        """Return the requests that run or wait at a server, as far as known.

        :param server: the server.
        :param health: the notes on it.
        :param now_ms: the present time.
        """
        return health.load(now_ms, self._typical_load(server).mean(now_ms))

    def note(self, server: registry.Server, told: server_health.ReportedLoad, now_ms: int) -> None:
        """Take in the load that a server told with an answer to this entry.

        :param server: the server.
        :param told: its figures.
        :param now_ms: the present time.
        """
        load = told.running + told.waiting
        self._reports.note(_mark(server), load, now_ms)
        self._learn(server, load, now_ms, now_ms)

    def reported_loads(self, now_ms: int) -> list[load_reports.LoadReport]:
        """Return the loads that entries nearby should hear of.

        :param now_ms: the present time.
        """
        return self._reports.told(now_ms)

    def merge_loads(self, reports: list[load_reports.LoadReport], now_ms: int) -> None:
        """Take in what another entry heard.

        :param reports: the loads.
        :param now_ms: the present time.
        """
        marks = self._servers_by_mark()
        for report in reports:
            server = marks.get(report.mark)
            at_ms = now_ms - max(0, report.age_ms)
            if server is not None and self._reports.note(report.mark, report.load, at_ms):
                self._learn(server, report.load, at_ms, now_ms)

    def _learn(self, server: registry.Server, load: int, at_ms: int, now_ms: int) -> None:
        health = self._health_of(server)
        health.note_load(load, at_ms)
        self._typical_load(server).note(health.others_load, now_ms)

    def _typical_load(self, server: registry.Server) -> typical_load.TypicalLoad:
        name = (server.report.service, server.region)
        found = self._typical.get(name)
        if found is None:
            found = self._typical[name] = typical_load.TypicalLoad()
        return found

    def _servers_by_mark(self) -> dict[int, registry.Server]:
        if self._marks_generation != self._registry.generation:
            self._marks_generation = self._registry.generation
            self._marks = {_mark(server): server for server in self._registry.servers.values()}
        return self._marks


def _mark(server: registry.Server) -> int:
    return load_reports.mark_of(registry.start_name(server))
