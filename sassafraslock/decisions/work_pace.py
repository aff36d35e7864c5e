"""How long work takes on servers at this moment, as they report it with their load."""

from __future__ import annotations

import dataclasses
import heapq
import math

import msgspec

from sassafraslock import field_types
from sassafraslock.decisions import registry

# Machines are slow for some 600 ms at a time. In the bench, 400 ms gained more than 250 ms.
HALF_LIFE_MS = 400.0
MAX_AGE_MS = 800  # of figures that are told to others
MAX_REPORTS = 32  # per gossip message, which adds 2 KB a second to gossip
USUAL_PERCENT = 100
MIN_PERCENT, MAX_PERCENT = 25, 1_000  # figures beyond these count as these
MEAN_WEIGHT = 0.02  # of a new figure in the mean of its service


class PaceReport(msgspec.Struct, frozen=True, array_like=True):
    """The figure of one start of a server, as entries send it to each other.

    :param start_hash: the hash of the start's id.
    :param percent: how long work takes there, in percent of the usual time.
    :param age_ms: how long ago the server reported it.
    """

    start_hash: field_types.Hash32
    percent: field_types.Count
    age_ms: field_types.AgeMs


@dataclasses.dataclass(slots=True)
class _TimedPace:
    percent: int
    at_ms: int


class WorkPace:
    """The latest figure of each server, by which its expected time is weighed.

    A figure counts relative to the mean of its service, which the measured latencies contain
    already, and less the older it is. So no estimate changes by a step that all entries see at
    once, except right after a response.
    """

    __slots__ = ("_registry", "_paces", "_mean_percents")

    def __init__(self, servers: registry.Registry) -> None:
        self._registry = servers
        self._paces: dict[int, _TimedPace] = {}
        self._mean_percents: dict[str, float] = {}

    def record(self, server: registry.Server, percent: int, at_ms: int) -> None:
        """Record a figure unless a later one of the same start was recorded.

        :param server: the server.
        :param percent: how long work takes there, in percent of the usual time.
        :param at_ms: when the server reported it.
        """
        start_hash = registry.start_hash(server)
        percent = min(MAX_PERCENT, max(MIN_PERCENT, percent))
        latest = self._paces.get(start_hash)
        if latest is not None and at_ms <= latest.at_ms:
            return
        self._paces[start_hash] = _TimedPace(percent, at_ms)
        service = server.report.service
        mean_percent = self._mean_percents.get(service, float(USUAL_PERCENT))
        self._mean_percents[service] = mean_percent + MEAN_WEIGHT * (percent - mean_percent)

    def factor(self, server: registry.Server, work_ms: float, now_ms: int) -> float:
        """Return by how much longer than usual a server's work should take, 1 if unknown.

        The figure loses its meaning while the work runs too, so it counts less for long work.

        :param server: the server.
        :param work_ms: how long the work would take usually.
        :param now_ms: the current monotonic time.
        """
        if not self._paces:
            return 1.0
        pace = self._paces.get(registry.start_hash(server))
        if pace is None:
            return 1.0
        half_lives = max(work_ms, 1.0) / HALF_LIFE_MS
        mean_weight = (1.0 - 0.5**half_lives) / (half_lives * math.log(2))
        weight = mean_weight * 0.5 ** (max(0, now_ms - pace.at_ms) / HALF_LIFE_MS)
        mean_percent = self._mean_percents.get(server.report.service, float(USUAL_PERCENT))
        return 1.0 + weight * (pace.percent / mean_percent - 1.0)

    def forget_start(self, server: registry.Server) -> None:
        """Forget the figure of a start, since another one may run by now.

        :param server: the server.
        """
        self._paces.pop(registry.start_hash(server), None)

    def recent_reports(self, now_ms: int) -> list[PaceReport]:
        """Return the latest figures for a message, at most :data:`MAX_REPORTS`.

        Figures older than :data:`MAX_AGE_MS` are discarded.

        :param now_ms: the current monotonic time.
        """
        oldest_ms = now_ms - MAX_AGE_MS
        self._paces = {h: p for h, p in self._paces.items() if p.at_ms > oldest_ms}
        newest = heapq.nlargest(MAX_REPORTS, self._paces.items(), key=lambda item: item[1].at_ms)
        return [PaceReport(h, p.percent, max(0, now_ms - p.at_ms)) for h, p in newest]

    def merge_reports(self, reports: list[PaceReport], now_ms: int) -> None:
        """Merge the figures that another entry knows; those of unknown servers are ignored.

        :param reports: the figures.
        :param now_ms: the current monotonic time.
        """
        servers = self._registry.by_start_hash()
        for report in reports:
            server = servers.get(report.start_hash)
            if server is not None:
                self.record(server, report.percent, now_ms - max(0, report.age_ms))
