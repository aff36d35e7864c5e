"""Server selection: the object's home server unless another one would answer much sooner."""

from __future__ import annotations

from sassafraslock import errors, routing_table
from sassafraslock.decisions import (
    backpressure,
    candidates,
    cold_admission,
    cold_start,
    entry_view,
    fair_admission,
    join_probes,
    load_view,
    object_memory,
    placement_refusals,
    region_choice,
    region_plan,
    registry,
    route_latency,
    server_estimates,
    server_health,
    server_ranking,
    server_restarts,
    spill_budget,
    work_pace,
)
from sassafraslock.decisions.objects import distances, holders

CANDIDATES = 4
REMOTE_CANDIDATES = 2  # per region when a request spills over
CONNECTION_RATIO = 0.5  # share of a server's connections that all entries together may use
MIN_CONNECTIONS = 2


class Placer:
    """Selects servers by registry, region plans and own health records, which may be outdated."""

    __slots__ = (
        "homes_by_demand",
        "registry",
        "health",
        "objects",
        "region",
        "cold",
        "fairness",
        "estimates",
        "loads",
        "paces",
        "backpressure",
        "_ranking",
        "_spills",
        "_join_probes",
        "_regions",
        "_refusals",
        "holders",
        "_distances",
    )

    def __init__(
        self,
        region: str,
        servers: registry.Registry,
        entries: entry_view.EntryView,
        cold_limiter: cold_start.ColdStartLimiter,
        asked: backpressure.Backpressure | None = None,
        restarts: server_restarts.ServerRestarts | None = None,
        homes_by_demand: bool = True,
    ) -> None:
        self.homes_by_demand = homes_by_demand
        self.registry = servers
        self.health: dict[str, server_health.ServerHealth] = {}
        self.objects = object_memory.ObjectMemory()
        self._regions = region_choice.RegionChooser(region)
        self.region = region
        restarts = restarts or server_restarts.ServerRestarts(cold_limiter.own_id, servers)
        self.cold = cold_admission.ColdAdmission(cold_limiter, restarts, entries)
        self.backpressure = asked or backpressure.Backpressure(
            cold_limiter.own_id, servers, entries
        )
        self.loads = load_view.LoadView(servers, self.health_of)
        self.fairness = fair_admission.FairAdmission(self.loads)
        self.paces = work_pace.WorkPace(servers)
        self.estimates = server_estimates.ServerEstimates(
            self.objects, self.loads, self.paces, self.cold
        )
        self._ranking = server_ranking.ServerRanking(servers)
        self._refusals = placement_refusals.RefusalBuilder(servers, self.backpressure)
        self._distances = distances.RegionDistances(region)
        self.holders = holders.HolderChooser(
            region, servers, self.objects, self._ranking, self._holder_choice
        )
        self._join_probes = join_probes.JoinProbes(servers, self.health_of)
        self._spills = spill_budget.SpillBudget()

    @property
    def plans(self) -> dict[tuple[str, frozenset[str]], region_plan.RegionPlan]:
        """The plan of each service and set of allowed regions."""
        return self._regions.plans

    def health_of(self, server: registry.Server) -> server_health.ServerHealth:
        """Return this entry's health record of a server's current start, created on first use.

        :param server: the server.
        """
        start_id = registry.start_id(server)
        health = self.health.get(start_id)
        if health is None:
            health = self.health[start_id] = server_health.ServerHealth()
        return health

    def latency_of(self, route: routing_table.Route) -> route_latency.RouteLatency:
        """Return the latency averages of a route.

        :param route: the route.
        """
        return self.estimates.latency_of(route)

    def discard_removed(self, now_ms: int) -> None:
        """Discard the state of servers that left the registry.

        Health records with requests in flight are kept.

        :param now_ms: the current monotonic time.
        """
        start_ids = {registry.start_id(s) for s in self.registry.servers.values()}
        self.health = {k: v for k, v in self.health.items() if k in start_ids or v.in_flight}
        self.cold.limiter.discard_unused(now_ms)
        self.backpressure.retain(self.registry.by_start_hash().keys(), now_ms)

    def forget_start(self, server: registry.Server, now_ms: int) -> None:
        """Forget what holds for a server's start alone, since it has ended.

        :param server: the server, whose row may still name that start.
        :param now_ms: the current monotonic time.
        """
        start_hash = registry.start_hash(server)
        self.loads.forget_start(server, now_ms)
        self.paces.forget_start(server)
        self.objects.forget_start(start_hash, now_ms)
        self.backpressure.pauses.forget_start(start_hash)

    def place(
        self, request: candidates.PlacementRequest, now_ms: int
    ) -> candidates.Choice | errors.Refusal:
        """Return the server for a request, or a refusal with the reason.

        The request counts towards what the chosen server takes.

        :param request: the request.
        :param now_ms: the current monotonic time.
        """
        leaving = self.registry.departing_count(request.service.name)
        request.left_out = candidates.LeftOut(leaving=leaving)
        busy_ms = self.latency_of(request.route).expected_ms(route_latency.ObjectAffinity.KNOWN)
        self.fairness.begin(request, busy_ms, now_ms)
        choice = self._select(request, now_ms)
        self.fairness.end(request, choice, busy_ms, now_ms)
        if isinstance(choice, candidates.Choice):
            self.backpressure.acquire(choice.server, now_ms)
        return choice

    def _select(
        self, request: candidates.PlacementRequest, now_ms: int
    ) -> candidates.Choice | errors.Refusal:
        planned = self._regions.planned(request)
        self._spills.record_placed(now_ms)
        held = self._held_choice(request, planned, now_ms)
        if held is not None:
            return self._join_probe(request, planned, held, now_ms) or held
        choices = self._choices(request, planned, planned, CANDIDATES, now_ms)
        chosen = candidates.best_choice(choices, request.shed)
        if chosen is not None:
            chosen.selection = candidates.selection_of(chosen, choices[0])
            chosen = self._join_probe(request, planned, chosen, now_ms) or chosen
        if chosen is None or candidates.is_too_late(chosen, request):
            chosen = self._spill_over(request, planned, chosen, now_ms) or chosen
        if chosen is None:
            return self._refusals.no_server(request, now_ms)
        if candidates.is_too_late(chosen, request):
            return candidates.too_late_refusal(chosen, request)
        per_s = request.service.cold_per_s
        if not chosen.is_cold or self.cold.try_acquire(chosen.server, per_s, now_ms):
            return chosen
        return self._cold_fallback(request, choices, now_ms)

    def _join_probe(
        self,
        request: candidates.PlacementRequest,
        planned: str,
        chosen: candidates.Choice,
        now_ms: int,
    ) -> candidates.Choice | None:
        """Return a recently joined server that has not answered this entry yet, if there is one.

        A request whose object the chosen server has in memory would take several times as long as
        a probe, so it becomes one only if others are rare.
        """
        is_known = chosen.affinity is route_latency.ObjectAffinity.KNOWN
        is_slowed = request.is_sticky and is_known
        server = self._join_probes.next_server(
            request, planned, is_slowed, self.backpressure, now_ms
        )
        if server is None:
            return None
        probe = self.estimates.evaluate(request, server, self.health_of(server), False, now_ms)
        probe.selection = candidates.Selection.JOIN_PROBE
        return probe

    def record_join(self, server_id: str, now_ms: int) -> None:
        """Record that a server joined, so that it gets a probe request soon.

        Only the entries assigned to the server send it one. Without traffic it gets none: all
        servers join when a system starts, and become homes by its first requests.

        :param server_id: the server; ignored if it is not registered.
        :param now_ms: the current monotonic time.
        """
        server = self.registry.servers.get(server_id)
        if server is None or not self._spills.has_traffic(now_ms):
            return
        if self.cold.may_probe_joined(server):
            self._join_probes.record(server_id, now_ms)

    def _choices(
        self,
        request: candidates.PlacementRequest,
        region: str,
        planned: str,
        count: int,
        now_ms: int,
    ) -> list[candidates.Choice]:
        """Return the usable servers of a region in the object's rendezvous order, its home first.

        If the home is unavailable, cold or wants no request now, the next server becomes a home as
        well, since the home takes few requests only. All entries agree on that server, so it soon
        has the object in memory. A home that is full or was tried already has no such substitute.
        Besides the first servers, the list holds all those known to have the object in memory.
        """
        choices: list[candidates.Choice] = []
        is_home = region == planned
        for server in self._ranking.servers(request.service.name, region, request.key):
            if len(choices) >= count and not self.estimates.has_handled(request, server, now_ms):
                continue
            health = self.health_of(server)
            if server.is_expired(now_ms) or not health.is_available(now_ms) or server.is_down:
                continue
            if not request.allows(server):
                continue
            full = health.in_flight >= self._connection_limit(request)
            if full or server.server_id in request.tried:
                is_home = False
                continue
            hold = self.backpressure.hold(server, now_ms)
            if hold is not None:
                request.left_out.add(hold)
                continue
            choices.append(self.estimates.evaluate(request, server, health, is_home, now_ms))
            is_home = is_home and choices[-1].is_cold
        return choices

    def _held_choice(
        self, request: candidates.PlacementRequest, planned: str, now_ms: int
    ) -> candidates.Choice | None:
        return self.holders.choose(request, planned, now_ms) if self.homes_by_demand else None

    def _holder_choice(
        self, request: candidates.PlacementRequest, server: registry.Server, now_ms: int
    ) -> candidates.Choice | None:
        """Return a server that has the object in memory, if it may get the request now."""
        health = self.health_of(server)
        if server.is_expired(now_ms) or not health.is_available(now_ms) or server.is_down:
            return None
        if self.cold.is_cold(server, now_ms) or self.backpressure.hold(server, now_ms) is not None:
            return None
        if health.in_flight >= self._connection_limit(request):
            return None
        choice = self.estimates.evaluate(request, server, health, False, now_ms)
        choice.expected_ms += self._distances.missing_ms(server.region, health.rtt_ms)
        return choice

    def _connection_limit(self, request: candidates.PlacementRequest) -> int:
        """Return how many requests this entry may have in flight at one server."""
        share = CONNECTION_RATIO * request.service.max_connections / request.entry_count
        return max(MIN_CONNECTIONS, int(share))

    def _spill_over(
        self,
        request: candidates.PlacementRequest,
        planned: str,
        chosen: candidates.Choice | None,
        now_ms: int,
    ) -> candidates.Choice | None:
        """Return the best server of another region if it is better than the chosen one.

        The limit on such requests does not apply if the planned region has no server for the
        request.
        """
        if request.own_region_only:
            return None
        serving = {s.region for s in self.registry.usable_servers(request.service.name)}
        is_served = planned in serving and (chosen is not None or request.left_out.is_held)
        if is_served and not self._spills.may_spill(now_ms):
            return None
        regions = serving - {planned}
        choices: list[candidates.Choice] = []
        for region in sorted(regions):
            choices += self._choices(request, region, planned, REMOTE_CANDIDATES, now_ms)
        fitting = (
            c for c in choices if not c.is_cold and (chosen is None or candidates.has_room(c))
        )
        best = min(fitting, key=lambda c: c.expected_ms, default=None)
        if best is None or (chosen is not None and best.expected_ms >= chosen.expected_ms):
            return None
        self._spills.record_spilled(now_ms)
        best.selection = candidates.Selection.OTHER_REGION
        return best

    def _cold_fallback(
        self, request: candidates.PlacementRequest, choices: list[candidates.Choice], now_ms: int
    ) -> candidates.Choice | errors.Refusal:
        """Return a warm server, or else a cold one that this entry may still send to."""
        warm = [c for c in choices if not c.is_cold]
        if not warm:
            all_warm = self._warm_choices(request, now_ms)
            warm = sorted(all_warm, key=lambda c: c.expected_ms)
        if warm:
            fallback = candidates.best_choice(warm, request.shed) or warm[0]
            if candidates.is_too_late(fallback, request):
                return candidates.too_late_refusal(fallback, request)
            fallback.selection = candidates.Selection.COLD_LIMIT
            return fallback
        for choice in choices:
            if self.cold.try_acquire(choice.server, request.service.cold_per_s, now_ms):
                return choice
        reason = "all usable servers are cold and at their request rate limit"
        return errors.Refusal(errors.ErrorKind.NO_CAPACITY, reason, 300)

    def _warm_choices(
        self, request: candidates.PlacementRequest, now_ms: int
    ) -> list[candidates.Choice]:
        """Return the warm servers of the own region, or of all regions if it has none."""
        choices: list[candidates.Choice] = []
        for server in self.registry.usable_servers(request.service.name):
            if not request.allows(server):
                continue
            if server.is_expired(now_ms) or self.cold.is_cold(server, now_ms):
                continue
            if server.server_id in request.tried:
                continue
            if self.backpressure.hold(server, now_ms) is not None:
                continue
            health = self.health_of(server)
            if health.is_available(now_ms):
                choices.append(self.estimates.evaluate(request, server, health, False, now_ms))
        local = [c for c in choices if c.server.region == self.region]
        return local or choices

    def paused_refusal(
        self, request: candidates.PlacementRequest, now_ms: int
    ) -> errors.Refusal | None:
        """Return a refusal if all servers for a request asked for a pause, otherwise ``None``.

        :param request: the request, of which all attempts were made.
        :param now_ms: the current monotonic time.
        """
        return self._refusals.paused(request, now_ms)
