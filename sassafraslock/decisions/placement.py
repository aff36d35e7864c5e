"""Choice of the server for a request: the object's home unless it would be much later there."""

from __future__ import annotations

import typing

from sassafraslock import errors, routing_table
from sassafraslock.decisions import (
    candidates,
    cold_start,
    hashing,
    load_view,
    object_memory,
    region_plan,
    registry,
    route_latency,
    server_health,
    windows,
)

CANDIDATES = 4
REMOTE_CANDIDATES = 2
SPILL_RATIO = 0.06
MAX_KEPT_RANKS = 16_384
QUEUED_KNOWN_RATIO = 0.7
JOINED_MS = 15_000
CONNECTION_RATIO = 0.5
MIN_CONNECTIONS = 2
GOLDEN_RATIO = 0.618033988749895  # its multiples spread evenly between 0 and 1


class EntryView(typing.Protocol):
    """What placement needs to know of the other entries."""

    def live_ids(self, region: str = "") -> list[str]:
        """Return the ids of the live entries, this one included.

        :param region: leaves out the entries of other regions.
        """


class Placer:
    """Chooses servers from facts that may be old: registry, plans and this entry's health notes."""

    __slots__ = (
        "registry",
        "health",
        "objects",
        "plans",
        "region",
        "_entries",
        "cold_limiter",
        "_speeds",
        "loads",
        "_ranks",
        "_generation",
        "_placed",
        "_spilled",
        "_joined",
        "_turns",
    )

    def __init__(
        self,
        region: str,
        servers: registry.Registry,
        entries: EntryView,
        cold: cold_start.ColdStartLimiter,
    ) -> None:
        self.registry = servers
        self.health: dict[str, server_health.ServerHealth] = {}
        self.objects = object_memory.ObjectMemory()
        self.plans: dict[tuple[str, frozenset[str]], region_plan.RegionPlan] = {}
        self.region = region
        self._entries = entries
        self.cold_limiter = cold
        self._speeds: dict[str, route_latency.RouteLatency] = {}
        self.loads = load_view.LoadView(servers, self.health_of)
        self._ranks: dict[tuple[str, str, str], list[registry.Server]] = {}
        self._generation = -1
        self._turns: dict[str, int] = {}
        self._joined: dict[str, int] = {}
        self._placed = windows.SlidingCount(region_plan.SPILL_WINDOW_MS)
        self._spilled = windows.SlidingCount(region_plan.SPILL_WINDOW_MS)

    def health_of(self, server: registry.Server) -> server_health.ServerHealth:
        """Return what this entry learned of a server's present start.

        :param server: the server.
        """
        name = registry.start_id(server)
        found = self.health.get(name)
        if found is None:
            found = self.health[name] = server_health.ServerHealth()
        return found

    def latency_of(self, route: routing_table.Route) -> route_latency.RouteLatency:
        """Return the measured speed of a route.

        :param route: the route.
        """
        found = self._speeds.get(route.name)
        if found is None:
            found = route_latency.RouteLatency.from_target(route.target_latency_ms)
            self._speeds[route.name] = found
        return found

    def discard_removed(self) -> None:
        """Drop what is kept of servers that left the registry."""
        names = {registry.start_id(s) for s in self.registry.servers.values()}
        self.health = {k: v for k, v in self.health.items() if k in names or v.in_flight}
        self.cold_limiter.retain(names)

    def place(
        self, wanted: candidates.PlacementRequest, now_ms: int
    ) -> candidates.Choice | errors.Refusal:
        """Return the server for a request, or why there is none.

        :param wanted: the request.
        :param now_ms: the present time.
        """
        planned = self._planned_region(wanted)
        choices = self._choices(wanted, planned, planned, CANDIDATES, now_ms)
        chosen = candidates.best_choice(choices, wanted.shed)
        if chosen is not None and wanted.idempotent and not wanted.attempts:
            chosen = self._untried(wanted, now_ms) or chosen
        self._placed.add(now_ms)
        if chosen is None or candidates.is_too_late(chosen, wanted):
            chosen = self._spill(wanted, planned, chosen, now_ms) or chosen
        if chosen is None:
            return self._no_server(wanted)
        if candidates.is_too_late(chosen, wanted):
            return candidates.too_late_refusal(chosen, wanted)
        if not chosen.is_cold or self._take_cold(chosen, wanted, now_ms):
            return chosen
        return self._instead_of_cold(wanted, choices, now_ms)

    def _planned_region(self, wanted: candidates.PlacementRequest) -> str:
        if wanted.own_region_only:
            return self.region
        plan = self.plans.get((wanted.service.name, wanted.route.regions))
        if plan is None or not plan.weights:
            allowed = wanted.route.regions
            return self.region if not allowed or self.region in allowed else min(allowed)
        if not wanted.route.sticky:
            return self._next_in_turn(wanted.service.name, plan.weights)
        key = wanted.key
        return max(
            plan.weights,
            key=lambda r: hashing.rendezvous_score(f"region|{key}", r, plan.weights[r]),
        )

    def _next_in_turn(self, service: str, weights: dict[str, float]) -> str:
        """Return regions in turn, so that any few requests keep to the weights."""
        number = self._turns.get(service, 0) + 1
        self._turns[service] = number
        point = number * GOLDEN_RATIO % 1.0
        for region in sorted(weights, key=lambda r: (r != self.region, r)):
            point -= weights[region]
            if point < 0:
                return region
        return max(weights, key=lambda r: weights[r])

    def _untried(
        self, wanted: candidates.PlacementRequest, now_ms: int
    ) -> candidates.Choice | None:
        """Return a server that joined and got nothing yet, so that its faults show early."""
        for server_id, since_ms in list(self._joined.items()):
            server = self.registry.servers.get(server_id)
            if server is None or self.health_of(server).answers or now_ms - since_ms > JOINED_MS:
                del self._joined[server_id]
                continue
            fits = server.report.service == wanted.service.name and not server.draining
            if not fits or not _allowed(wanted.route, server):
                continue
            health = self.health_of(server)
            evacuated = server.report.zone in self.registry.evacuated_zones
            if server.is_cold(now_ms) or evacuated or health.in_flight:
                continue
            if health.is_available(now_ms):
                return self._judge(wanted, server, health, False, now_ms)
        return None

    def record_join(self, server_id: str, now_ms: int) -> None:
        """Remember that a server joined, so that it gets a request soon.

        :param server_id: the server.
        :param now_ms: the present time.
        """
        server = self.registry.servers.get(server_id)
        if server is None:
            return
        if self.cold_limiter.own_id in cold_start.assigned_entries(server_id, self._near(server)):
            self._joined[server_id] = now_ms

    def _near(self, server: registry.Server) -> list[str]:
        """Return the entries that may care for a server: those of its region, if there are any."""
        return self._entries.live_ids(server.region) or self._entries.live_ids()

    def _choices(
        self,
        wanted: candidates.PlacementRequest,
        region: str,
        planned: str,
        count: int,
        now_ms: int,
    ) -> list[candidates.Choice]:
        """Return the best servers of a region, the object's home first.

        Where the home is out, or cold and so for few requests only, all entries use the next
        server in its place, which soon knows the object.
        """
        choices: list[candidates.Choice] = []
        home = region == planned
        for server in self._ranked(wanted, region):
            health = self.health_of(server)
            if server.is_expired(now_ms) or not health.is_available(now_ms):
                continue
            if not _allowed(wanted.route, server):
                continue
            full = health.in_flight >= self._connection_part(wanted)
            if full or server.server_id in wanted.tried:
                home = False
                continue
            choices.append(self._judge(wanted, server, health, home, now_ms))
            home = home and choices[-1].is_cold
            if len(choices) >= count:
                break
        return choices

    def _connection_part(self, wanted: candidates.PlacementRequest) -> int:
        """Return how many of a server's connections this entry may hold."""
        part = CONNECTION_RATIO * wanted.service.max_connections / wanted.entry_count
        return max(MIN_CONNECTIONS, int(part))

    def _judge(
        self,
        wanted: candidates.PlacementRequest,
        server: registry.Server,
        health: server_health.ServerHealth,
        home: bool,
        now_ms: int,
    ) -> candidates.Choice:
        speed = self.latency_of(wanted.route)
        affinity = self._affinity(wanted, server, home, now_ms)
        cold = server.is_cold(now_ms)
        slots = max(1, server.report.slots)
        load = self.loads.load(server, health, now_ms)
        known_ms = speed.expected_ms(route_latency.ObjectAffinity.KNOWN)
        new_ms = speed.expected_ms(route_latency.ObjectAffinity.NEW)
        mean_ms = QUEUED_KNOWN_RATIO * known_ms + (1 - QUEUED_KNOWN_RATIO) * new_ms
        queue_ms = max(0.0, load + 1 - slots) / slots * mean_ms
        factor = health.slow_factor(now_ms) * (2.0 if cold else 1.0)
        expected_ms = factor * (speed.expected_ms(affinity) + queue_ms) + health.rtt_ms
        return candidates.Choice(server, expected_ms, affinity, load, home, cold, factor * queue_ms)

    def _affinity(
        self, wanted: candidates.PlacementRequest, server: registry.Server, home: bool, now_ms: int
    ) -> route_latency.ObjectAffinity:
        sticky = wanted.route.sticky and bool(wanted.key)
        if not sticky or self.objects.has_handled(wanted.object_name, server.server_id, now_ms):
            return route_latency.ObjectAffinity.KNOWN
        return route_latency.ObjectAffinity.HOME if home else route_latency.ObjectAffinity.NEW

    def _ranked(self, wanted: candidates.PlacementRequest, region: str) -> list[registry.Server]:
        if self._generation != self.registry.generation or len(self._ranks) > MAX_KEPT_RANKS:
            self._ranks.clear()
            self._generation = self.registry.generation
        name = (wanted.service.name, region, wanted.key)
        found = self._ranks.get(name)
        if found is None:
            servers = [
                s for s in self.registry.usable_servers(wanted.service.name) if s.region == region
            ]
            servers.sort(key=lambda s: home_score(wanted.key, s), reverse=True)
            found = self._ranks[name] = servers[: 3 * CANDIDATES]
        return found

    def _spill(
        self,
        wanted: candidates.PlacementRequest,
        planned: str,
        chosen: candidates.Choice | None,
        now_ms: int,
    ) -> candidates.Choice | None:
        """Look in the other regions, within the part of requests that may leave the plan."""
        if wanted.own_region_only:
            return None
        allowed = SPILL_RATIO * self._placed.total(now_ms)
        serving = {s.region for s in self.registry.usable_servers(wanted.service.name)}
        if planned in serving and chosen is not None and self._spilled.total(now_ms) + 1 > allowed:
            return None
        regions = serving - {planned}
        choices: list[candidates.Choice] = []
        for region in sorted(regions):
            choices += self._choices(wanted, region, planned, REMOTE_CANDIDATES, now_ms)
        fitting = (
            c for c in choices if not c.is_cold and (chosen is None or candidates.has_room(c))
        )
        best = min(fitting, key=lambda c: c.expected_ms, default=None)
        if best is None or (chosen is not None and best.expected_ms >= chosen.expected_ms):
            return None
        self._spilled.add(now_ms)
        return best

    def _take_cold(
        self, chosen: candidates.Choice, wanted: candidates.PlacementRequest, now_ms: int
    ) -> bool:
        name = registry.start_id(chosen.server)
        near = self._near(chosen.server)
        return self.cold_limiter.try_acquire(name, wanted.service.cold_per_s, near, now_ms)

    def _instead_of_cold(
        self, wanted: candidates.PlacementRequest, choices: list[candidates.Choice], now_ms: int
    ) -> candidates.Choice | errors.Refusal:
        ready = [c for c in choices if not c.is_cold]
        if not ready:
            found = self._ready_anywhere(wanted, now_ms)
            ready = sorted(found, key=lambda c: c.expected_ms)
        if ready:
            instead = candidates.best_choice(ready, wanted.shed) or ready[0]
            if candidates.is_too_late(instead, wanted):
                return candidates.too_late_refusal(instead, wanted)
            return instead
        for choice in choices:
            if self._take_cold(choice, wanted, now_ms):
                return choice
        reason = "all servers that could run it start cold"
        return errors.Refusal(errors.ErrorKind.NO_CAPACITY, reason, 300)

    def _ready_anywhere(
        self, wanted: candidates.PlacementRequest, now_ms: int
    ) -> list[candidates.Choice]:
        choices: list[candidates.Choice] = []
        for server in self.registry.usable_servers(wanted.service.name):
            if not _allowed(wanted.route, server):
                continue
            if server.is_expired(now_ms) or server.is_cold(now_ms):
                continue
            if server.server_id in wanted.tried:
                continue
            health = self.health_of(server)
            if health.is_available(now_ms):
                choices.append(self._judge(wanted, server, health, False, now_ms))
        local = [c for c in choices if c.server.region == self.region]
        return local or choices

    def _no_server(self, wanted: candidates.PlacementRequest) -> errors.Refusal:
        known = len(self.registry.usable_servers(wanted.service.name))
        reason = f"none of the {known} servers of {wanted.service.name} may get the request"
        return errors.Refusal(errors.ErrorKind.NO_SERVER, reason, 300)


def _allowed(route: routing_table.Route, server: registry.Server) -> bool:
    return not route.regions or server.region in route.regions


def home_score(key: str, server: registry.Server) -> float:
    """Return a server's score for an object; the highest of a region is the object's home.

    :param key: the object.
    :param server: the server.
    """
    return hashing.rendezvous_score(key, server.server_id, max(1, server.report.slots))
