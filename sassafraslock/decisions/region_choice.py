"""The region that a request is planned to run in."""

from __future__ import annotations

from sassafraslock.decisions import candidates, hashing, region_plan

GOLDEN_RATIO = 0.618033988749895  # its multiples modulo 1 are evenly distributed


class RegionChooser:
    """Spreads requests over regions by the plans of their services.

    ``plans`` has one plan for each service and set of allowed regions.
    """

    __slots__ = ("plans", "_region", "_turn_numbers")

    def __init__(self, region: str) -> None:
        self.plans: dict[tuple[str, frozenset[str]], region_plan.RegionPlan] = {}
        self._region = region
        self._turn_numbers: dict[str, int] = {}

    def planned(self, request: candidates.PlacementRequest) -> str:
        """Return the region for a request, the same for all requests for one object.

        :param request: the request.
        """
        if request.own_region_only:
            return self._region
        allowed = request.regions
        plan = self.plans.get((request.service.name, allowed))
        if plan is None or not plan.weights:
            return self._region if not allowed or self._region in allowed else min(allowed)
        if not request.route.sticky:
            return self._next_region(request.service.name, plan.weights)
        key, weights = f"region|{request.key}", plan.weights
        return max(weights, key=lambda r: hashing.rendezvous_score(key, r, weights[r]))

    def _next_region(self, service: str, weights: dict[str, float]) -> str:
        """Return the next region of a low-discrepancy sequence.

        Even short runs of requests follow the weights.
        """
        number = self._turn_numbers.get(service, 0) + 1
        self._turn_numbers[service] = number
        point = number * GOLDEN_RATIO % 1.0
        for region in sorted(weights, key=lambda r: (r != self._region, r)):
            point -= weights[region]
            if point < 0:
                return region
        return max(weights, key=lambda r: weights[r])
