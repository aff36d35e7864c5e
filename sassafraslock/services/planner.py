"""Keeps the plans by which requests are split between regions in step with what is believed."""

from __future__ import annotations

import anyio

from sassafraslock import clock, edge_settings
from sassafraslock.decisions import placement, region_plan, roster, windows
from sassafraslock.services import belief

INTERVAL_S = 0.5
RATE_WINDOW_MS = 10_000
PRIOR_SLOTS_PER_REGION = 1.0
COLD_CAPACITY_RATIO = 0.3


class Planner:
    """Measures what clients ask for here and divides it between regions."""

    __slots__ = ("_settings", "_belief", "_placer", "_roster", "_counts")

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        beliefs: belief.Belief,
        placer: placement.Placer,
        members: roster.Roster,
    ) -> None:
        self._settings = settings
        self._belief = beliefs
        self._placer = placer
        self._roster = members
        self._counts: dict[str, windows.SlidingCount] = {}

    async def run(self, ready: anyio.Event) -> None:
        """Update the plans until cancelled.

        :param ready: set at once.
        """
        ready.set()
        while True:
            now_ms = clock.monotonic_ms()
            self._placer.registry.expire_lapsed(now_ms)
            self._placer.forget_gone()
            self.update(now_ms)
            await anyio.sleep(INTERVAL_S)

    def note_work(self, service: str, busy_ms: int, now_ms: int) -> None:
        """Count the time that a client's request kept a server busy.

        :param service: the service that it asked for.
        :param busy_ms: the time.
        :param now_ms: the present time.
        """
        count = self._counts.get(service)
        if count is None:
            count = self._counts[service] = windows.SlidingCount(RATE_WINDOW_MS)
        count.add(now_ms, busy_ms)

    def demand(self, now_ms: int) -> dict[str, float]:
        """Return the slots that requests of this entry's clients keep busy, by service.

        :param now_ms: the present time.
        """
        return {s: round(c.total(now_ms) / RATE_WINDOW_MS, 2) for s, c in self._counts.items()}

    def update(self, now_ms: int) -> None:
        """Bring each service's plan nearer to its target.

        :param now_ms: the present time.
        """
        table = self._belief.table
        if table is None:
            return
        wanted = {
            (destination.service, route.regions)
            for route in table.routes
            for destination in route.destinations
        }
        for name in wanted:
            plan = self._placer.plans.setdefault(name, region_plan.RegionPlan())
            found = self._facts(name[0], name[1], now_ms)
            serving = {r for r, f in found.items() if f.capacity > 0}
            target = region_plan.target_weights(self._settings.region, found)
            plan.update(target, serving, now_ms)

    def _facts(
        self, service: str, allowed: frozenset[str], now_ms: int
    ) -> dict[str, region_plan.RegionFacts]:
        regions = set(self._settings.regions.values())
        demand = self._demand_by_region(service, now_ms)
        total = sum(demand.values())
        found = {
            region: region_plan.RegionFacts(0.0, demand.get(region, 0.0) / total)
            for region in regions
            if not allowed or region in allowed
        }
        for server in self._placer.registry.usable(service):
            if server.region in found:
                part = COLD_CAPACITY_RATIO if server.is_cold(now_ms) else 1.0
                found[server.region].capacity += server.report.slots * part
        return found

    def _demand_by_region(self, service: str, now_ms: int) -> dict[str, float]:
        regions = self._settings.regions
        busy = {region: PRIOR_SLOTS_PER_REGION for region in regions.values()}
        busy[self._settings.region] += self.demand(now_ms).get(service, 0.0)
        for member in self._roster.live(now_ms):
            region = regions.get(member.record.zone)
            if region is not None:
                busy[region] += member.record.demand.get(service, 0.0)
        return busy

    def dump(self) -> dict[str, object]:
        """Return the present plans."""
        return {
            f"{service} {sorted(allowed)}": dict(plan.weights)
            for (service, allowed), plan in self._placer.plans.items()
        }
