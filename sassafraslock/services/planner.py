"""Updates the plans that split each service's requests between regions."""

from __future__ import annotations

import dataclasses

import anyio

from sassafraslock import clock, edge_settings, events, routing_table
from sassafraslock.decisions import (
    demand_peaks,
    placement,
    region_plan,
    registry,
    roster,
    route_latency,
    server_rate_limiter,
    windows,
)
from sassafraslock.services import routing_state

INTERVAL_S = 0.5
RATE_WINDOW_MS = 10_000
PRIOR_SLOTS_PER_REGION = 1.0
COLD_CAPACITY_RATIO = 0.3
PAUSED_CAPACITY_RATIO = 0.05
LONG_PAUSE_MS = 5_000  # a plan takes seconds to move, so it does not follow shorter pauses
LOG_INTERVAL_MS = 2_000


@dataclasses.dataclass(slots=True)
class _LoggedPlan:
    weights: dict[str, float]
    at_ms: int


def _rounded(values: dict[str, float]) -> dict[str, float]:
    return {name: round(value, 2) for name, value in values.items()}


class Planner:
    """Measures the demand of this entry's clients and plans its split between regions.

    A region's demand is smoothed by :class:`demand_peaks.DemandPeaks`. A cold server counts with
    :data:`COLD_CAPACITY_RATIO` of its slots, one whose pause lasts longer than
    :data:`LONG_PAUSE_MS` with :data:`PAUSED_CAPACITY_RATIO`, one that names a rate limit with the
    slots that this rate keeps busy. Where all servers of a region ask for a pause, the plan moves
    away by steps, as the region keeps some capacity.
    """

    __slots__ = (
        "_settings",
        "_routing_state",
        "_placer",
        "_roster",
        "_counts",
        "_peaks",
        "_logged",
    )

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
        self._logged: dict[tuple[str, frozenset[str]], _LoggedPlan] = {}

    async def run(self, ready: anyio.Event) -> None:
        """Remove expired servers and update the plans every :data:`INTERVAL_S` until cancelled.

        :param ready: set at once.
        """
        ready.set()
        while True:
            now_ms = clock.monotonic_ms()
            self._placer.registry.remove_expired(now_ms)
            self._placer.discard_removed(now_ms)
            self.update(now_ms)
            await anyio.sleep(INTERVAL_S)

    def record_demand(self, service: str, busy_ms: int, now_ms: int) -> None:
        """Count a client's request, whether or not it succeeds.

        :param service: the service that is requested.
        :param busy_ms: the time that a server is expected to need for it.
        :param now_ms: the current monotonic time.
        """
        count = self._counts.get(service)
        if count is None:
            count = self._counts[service] = windows.SlidingCount(RATE_WINDOW_MS)
        count.add(now_ms, busy_ms)

    def demand(self, now_ms: int) -> dict[str, float]:
        """Return the mean number of slots that this entry's clients keep busy, by service.

        :param now_ms: the current monotonic time, the end of the :data:`RATE_WINDOW_MS` averaged.
        """
        return {s: round(c.total(now_ms) / RATE_WINDOW_MS, 2) for s, c in self._counts.items()}

    def update(self, now_ms: int) -> None:
        """Move each plan one step towards its target; does nothing before there are intents.

        The target is the operator's split for this region, if any, else it follows capacity and
        demand.

        :param now_ms: the current monotonic time.
        """
        table = self._routing_state.table
        if table is None:
            return
        plan_keys = {
            (destination.service, regions)
            for route in table.routes
            for destination in route.destinations
            for regions in table.allowed_regions(route)
        }
        for key in plan_keys:
            service = table.services.get(key[0])
            plan = self._plan(key, service)
            regions = self._region_stats(key[0], key[1], now_ms)
            serving = {r for r, f in regions.items() if f.capacity > 0}
            split = service.splits.get(self._settings.region) if service else None
            target = region_plan.operator_weights(split, regions) if split else {}
            target = target or region_plan.target_weights(self._settings.region, regions)
            count = self._counts.get(key[0])
            idle = count is None or not count.total(now_ms)
            plan.update(target, serving, now_ms, exact=bool(split), idle=idle)
            self._log_plan(key, plan, target, regions, now_ms)

    def _log_plan(
        self,
        key: tuple[str, frozenset[str]],
        plan: region_plan.RegionPlan,
        target: dict[str, float],
        regions: dict[str, region_plan.RegionStats],
        now_ms: int,
    ) -> None:
        """Log the weights of a plan if they changed, at most once per :data:`LOG_INTERVAL_MS`."""
        logged = self._logged.get(key)
        weights = _rounded(plan.weights)
        if logged is not None and (
            logged.weights == weights or now_ms - logged.at_ms < LOG_INTERVAL_MS
        ):
            return
        self._logged[key] = _LoggedPlan(weights, now_ms)
        events.log(
            events.Event.REGION_PLAN_CHANGED,
            "shares of the regions changed",
            service=key[0],
            allowed_regions=sorted(key[1]),
            weights=weights,
            target=_rounded(target),
            demand_shares=_rounded({r: s.demand_share for r, s in regions.items()}),
            slots=_rounded({r: s.capacity for r, s in regions.items()}),
        )

    def _plan(
        self, key: tuple[str, frozenset[str]], service: routing_table.Service | None
    ) -> region_plan.RegionPlan:
        plan = self._placer.plans.get(key)
        if plan is None:
            own = self._settings.region
            plan = region_plan.RegionPlan(own)
            if service is not None:
                cap, window_ms = service.shift_cap_ratio, service.shift_window_ms
                plan = region_plan.RegionPlan(own, cap, window_ms)
            self._placer.plans[key] = plan
        return plan

    def _region_stats(
        self, service: str, allowed: frozenset[str], now_ms: int
    ) -> dict[str, region_plan.RegionStats]:
        shares = self._demand_shares(service, now_ms)
        regions = {
            region: region_plan.RegionStats(0.0, share)
            for region, share in shares.items()
            if not allowed or region in allowed
        }
        for server in self._placer.registry.usable_servers(service):
            if server.region in regions:
                regions[server.region].capacity += self._capacity(server, now_ms)
        return regions

    def _capacity(self, server: registry.Server, now_ms: int) -> float:
        """Return the slots of a server that are expected to be usable."""
        ratio = COLD_CAPACITY_RATIO if server.is_cold(now_ms) else 1.0
        asked, start_hash = self._placer.backpressure, registry.start_hash(server)
        if asked.pauses.left_ms(start_hash, now_ms) > LONG_PAUSE_MS:
            ratio = PAUSED_CAPACITY_RATIO
        slots = server.report.slots * ratio
        per_s = asked.limits.limit_of(start_hash)
        if per_s is None:
            return slots
        per_s = max(per_s, server_rate_limiter.MIN_RATE_PER_S)
        return min(slots, per_s * self._mean_busy_ms(server.report.service) / 1000)

    def _mean_busy_ms(self, service: str) -> float:
        """Return the mean time that a request keeps a server of a service busy, over its routes."""
        table = self._routing_state.table
        times_ms = [
            self._placer.latency_of(route).expected_ms(route_latency.ObjectAffinity.KNOWN)
            for route in (table.routes if table is not None else ())
            if any(destination.service == service for destination in route.destinations)
        ]
        return sum(times_ms) / len(times_ms) if times_ms else 0.0

    def _demand_shares(self, service: str, now_ms: int) -> dict[str, float]:
        """Return each region's share of the service's demand, based on recent peaks.

        For the own region, the peak is divided by the current total instead of the sum of peaks,
        since another region's peak may come from clients that have moved to this region.
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
        """Return the current weights by region for each service and its allowed regions.

        The key is the service's name followed by the allowed regions, separated by spaces.
        """
        return {
            " ".join([service, *sorted(allowed)]): dict(plan.weights)
            for (service, allowed), plan in self._placer.plans.items()
        }

    def dump(self) -> dict[str, object]:
        """Return the current plans and the demand of this entry's clients in slots."""
        return {"splits": self.splits(), "busy_slots": self.demand(clock.monotonic_ms())}
