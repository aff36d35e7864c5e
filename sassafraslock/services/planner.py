"""Keeps the plans by which requests are split between regions in step with what is believed."""

from __future__ import annotations

import anyio

from sassafraslock import clock, edge_settings, routing_table
from sassafraslock.decisions import demand_peaks, placement, region_plan, roster, windows
from sassafraslock.services import routing_state

INTERVAL_S = 0.5
RATE_WINDOW_MS = 10_000
PRIOR_SLOTS_PER_REGION = 1.0
COLD_CAPACITY_RATIO = 0.3


class Planner:
    """Measures what clients ask for here and divides it between regions."""

    __slots__ = ("_settings", "_routing_state", "_placer", "_roster", "_counts", "_peaks")

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        state: routing_state.RoutingState,
        placer: placement.Placer,
        members: roster.Roster,
    ) -> None:
        self._settings = settings
        self._routing_state = state
        self._placer = placer
        self._roster = members
        self._counts: dict[str, windows.SlidingCount] = {}
        self._peaks = demand_peaks.DemandPeaks()

    async def run(self, ready: anyio.Event) -> None:
        """Update the plans until cancelled.

        :param ready: set at once.
        """
        ready.set()
        while True:
            now_ms = clock.monotonic_ms()
            self._placer.registry.remove_expired(now_ms)
            self._placer.discard_removed()
            self.update(now_ms)
            await anyio.sleep(INTERVAL_S)

    def record_demand(self, service: str, busy_ms: int, now_ms: int) -> None:
        """Count a client's request, also one that is refused or fails.

        :param service: the service that it asks for.
        :param busy_ms: how long it should keep a server busy.
        :param now_ms: the present time.
        """
        count = self._counts.get(service)
        if count is None:
            count = self._counts[service] = windows.SlidingCount(RATE_WINDOW_MS)
        count.add(now_ms, busy_ms)

    def demand(self, now_ms: int) -> dict[str, float]:
        """Return the slots that requests of this entry's clients need, by service.

        :param now_ms: the present time.
        """
        return {s: round(c.total(now_ms) / RATE_WINDOW_MS, 2) for s, c in self._counts.items()}

    def update(self, now_ms: int) -> None:
        """Bring each service's plan nearer to its target.

        :param now_ms: the present time.
        """
        table = self._routing_state.table
        if table is None:
            return
        wanted = {
            (destination.service, route.regions)
            for route in table.routes
            for destination in route.destinations
        }
        for name in wanted:
            service = table.services.get(name[0])
            plan = self._plan(name, service)
            found = self._facts(name[0], name[1], now_ms)
            serving = {r for r, f in found.items() if f.capacity > 0}
            split = service.splits.get(self._settings.region) if service else None
            target = region_plan.operator_weights(split, found) if split else {}
            target = target or region_plan.target_weights(self._settings.region, found)
            plan.update(target, serving, now_ms, exact=bool(split))

    def _plan(
        self, name: tuple[str, frozenset[str]], service: routing_table.Service | None
    ) -> region_plan.RegionPlan:
        plan = self._placer.plans.get(name)
        if plan is None:
            own = self._settings.region
            plan = region_plan.RegionPlan(own)
            if service is not None:
                cap, window_ms = service.shift_cap_ratio, service.shift_window_ms
                plan = region_plan.RegionPlan(own, cap, window_ms)
            self._placer.plans[name] = plan
        return plan

    def _facts(
        self, service: str, allowed: frozenset[str], now_ms: int
    ) -> dict[str, region_plan.RegionStats]:
        shares = self._demand_shares(service, now_ms)
        found = {
            region: region_plan.RegionStats(0.0, share)
            for region, share in shares.items()
            if not allowed or region in allowed
        }
        for server in self._placer.registry.usable_servers(service):
            if server.region in found:
                part = COLD_CAPACITY_RATIO if server.is_cold(now_ms) else 1.0
                found[server.region].capacity += server.report.slots * part
        return found

    def _demand_shares(self, service: str, now_ms: int) -> dict[str, float]:
        """Return the part of all demand that each region asks for at its peak.

        The own region's peak is set against what all ask for now, since the others' peaks may
        be those of clients that have come here.
        """
        demand = self._demand_by_region(service, now_ms)
        peaks = {r: self._peaks.record(service, r, busy, now_ms) for r, busy in demand.items()}
        total, all_peaks = sum(demand.values()), sum(peaks.values())
        shares = {region: peak / all_peaks for region, peak in peaks.items()}
        own = self._settings.region
        shares[own] = min(1.0, peaks[own] / total)
        return shares

    def _demand_by_region(self, service: str, now_ms: int) -> dict[str, float]:
        members = self._roster.live(now_ms)
        regions = {self._settings.region, *(m.record.region for m in members)}
        regions |= {s.region for s in self._placer.registry.servers.values()}
        busy = dict.fromkeys(sorted(regions), PRIOR_SLOTS_PER_REGION)
        busy[self._settings.region] += self.demand(now_ms).get(service, 0.0)
        for member in members:
            busy[member.record.region] += member.record.demand.get(service, 0.0)
        return busy

    def splits(self) -> dict[str, dict[str, float]]:
        """Return the present share of each region, by service and allowed regions."""
        return {
            " ".join([service, *sorted(allowed)]): dict(plan.weights)
            for (service, allowed), plan in self._placer.plans.items()
        }

    def dump(self) -> dict[str, object]:
        """Return the present plans and what clients ask for."""
        return {"splits": self.splits(), "busy_slots": self.demand(clock.monotonic_ms())}
