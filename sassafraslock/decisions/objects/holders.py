"""Selects a server that has a request's object in memory, in whichever region it is."""

from __future__ import annotations

import collections
import enum
import math
import typing

from sassafraslock.decisions import candidates, object_memory, registry, server_ranking


class Result(enum.Enum):
    """What became of a placement on a sticky route, as the metrics show it."""

    IN_MEMORY = "in_memory"
    MOVED = "moved"  # no server that has the object may get the request and answers in time
    UNKNOWN = "unknown"  # no server is known to have the object


class ChoiceBuilder(typing.Protocol):
    """Evaluates a server for a request."""

    def __call__(
        self, request: candidates.PlacementRequest, server: registry.Server, now_ms: int
    ) -> candidates.Choice | None:
        """Return the server with its estimates, ``None`` if it may not get the request now.

        :param request: the request.
        :param server: the server.
        :param now_ms: the current monotonic time.
        """


class HolderChooser:
    """Keeps an object where it is in memory for as long as it is served there in time.

    Region plans and rendezvous order decide only where an object is run for the first time, and
    where it goes once its servers are gone, full or too slow. Otherwise each change of a plan and
    each server that comes back would make objects slow that are in memory elsewhere.
    """

    __slots__ = ("counts", "_region", "_registry", "_memory", "_ranking", "_build_choice")

    def __init__(
        self,
        region: str,
        servers: registry.Registry,
        memory: object_memory.ObjectMemory,
        ranking: server_ranking.ServerRanking,
        build_choice: ChoiceBuilder,
    ) -> None:
        self.counts: collections.Counter[Result] = collections.Counter()
        self._region = region
        self._registry = servers
        self._memory = memory
        self._ranking = ranking
        self._build_choice = build_choice

    def choose(
        self, request: candidates.PlacementRequest, planned: str, now_ms: int
    ) -> candidates.Choice | None:
        """Return the server that should answer first of those that have the object in memory.

        :param request: the request.
        :param planned: the region that the plan selects for the object.
        :param now_ms: the current monotonic time.
        :returns: ``None`` if the route is not sticky or no such server answers within its target.
        """
        if not request.is_sticky:
            return None
        handlers = self._memory.handlers(request.object_hash, now_ms)
        choices = self._choices(request, handlers, now_ms)
        soonest_ms = min((choice.expected_ms for choice in choices), default=math.inf)
        if soonest_ms > request.route.target_latency_ms:
            self.counts[Result.MOVED if handlers else Result.UNKNOWN] += 1
            return None
        self.counts[Result.IN_MEMORY] += 1
        limit_ms = soonest_ms + candidates.LEAVE_HOME_MARGIN_MS
        best = max(
            (choice for choice in choices if choice.expected_ms <= limit_ms),
            key=lambda choice: server_ranking.home_score(request.key, choice.server),
        )
        homes = self._ranking.servers(request.service.name, planned, request.key)[:1]
        best.is_home = best.server in homes
        best.selection = _selection_of(best, choices, homes)
        return best

    def _choices(
        self, request: candidates.PlacementRequest, handlers: list[int], now_ms: int
    ) -> list[candidates.Choice]:
        starts = self._registry.usable_by_start_hash()
        choices: list[candidates.Choice] = []
        for start_hash in handlers:
            server = starts.get(start_hash)
            if server is None or not self._may_serve(request, server):
                continue
            choice = self._build_choice(request, server, now_ms)
            if choice is not None:
                choices.append(choice)
        return choices

    def _may_serve(self, request: candidates.PlacementRequest, server: registry.Server) -> bool:
        if server.server_id in request.tried or not request.allows(server):
            return False
        return server.region == self._region or not request.own_region_only


def _selection_of(
    best: candidates.Choice, choices: list[candidates.Choice], homes: list[registry.Server]
) -> candidates.Selection:
    if best.server in homes:
        return candidates.Selection.HOME
    if any(choice.server in homes for choice in choices):
        return candidates.Selection.SOONER
    return candidates.Selection.HOLDER
