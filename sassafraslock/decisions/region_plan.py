"""How an entry's requests for a service are split between regions."""

from __future__ import annotations

import dataclasses

LOCAL_PREFERENCE = 1.15
STEP_MS = 500
CAP_MARGIN = 0.55
SPILL_WINDOW_MS = 2_000
LAZY_RATIO = 0.15
OWN_EXCESS_RATIO = 0.03


@dataclasses.dataclass(slots=True)
class RegionStats:
    """A region's slots for a service, and the share of all clients' requests that it gets."""

    capacity: float
    demand_share: float


def target_weights(own: str, facts: dict[str, RegionStats]) -> dict[str, float]:
    """Return the share of requests that each region should get.

    The own region gets as much as keeps it little busier than the others; what is beyond goes
    to regions in proportion to what they have to spare.

    :param own: the region of this entry.
    :param facts: the regions that may serve.
    """
    total = sum(f.capacity for f in facts.values())
    if total <= 0:
        return {}
    local = 0.0
    mine = facts.get(own)
    if mine and mine.capacity > 0:
        fair = mine.capacity / total / max(mine.demand_share, 1e-6)
        local = 1.0 if fair >= 1.0 else min(1.0, LOCAL_PREFERENCE * fair)
    spare = {
        region: max(0.0, f.capacity - total * f.demand_share)
        for region, f in facts.items()
        if region != own
    }
    if sum(spare.values()) <= 0:
        spare = {region: f.capacity for region, f in facts.items() if region != own}
    room = sum(spare.values())
    if room <= 0:
        return {own: 1.0}
    weights = {region: (1.0 - local) * value / room for region, value in spare.items() if value > 0}
    weights[own] = local
    return {region: weight for region, weight in weights.items() if weight > 0}


def operator_weights(split: dict[str, float], facts: dict[str, RegionStats]) -> dict[str, float]:
    """Return an operator's split without the regions that can serve nothing.

    :param split: the share of each region as the operator wants it.
    :param facts: the regions that may serve.
    """
    serving = {r: w for r, w in split.items() if w > 0 and r in facts and facts[r].capacity > 0}
    total = sum(serving.values())
    return {r: w / total for r, w in serving.items()}


class RegionPlan:
    """Weights that move slowly towards their target, so that traffic never shifts at once.

    ``cap_ratio`` bounds what may move within ``window_ms``; a margin is left for the chance in
    which objects are asked for. Objects that move find servers that do not know them, so a
    target is followed only where it lies well away, or where the own region has too much.
    """

    __slots__ = ("weights", "step", "_own", "_moved_ms", "_moving")

    def __init__(self, own: str, cap_ratio: float = 0.15, window_ms: int = 2_000) -> None:
        self.weights: dict[str, float] = {}
        self.step = CAP_MARGIN * cap_ratio * min(1.0, STEP_MS / window_ms)
        self._own = own
        self._moved_ms = 0
        self._moving = False

    def update(
        self, target: dict[str, float], serving: set[str], now_ms: int, exact: bool = False
    ) -> None:
        """Move towards a target by at most a step each :data:`STEP_MS`.

        A region that can serve nothing is left at once.

        :param target: the weights wanted.
        :param serving: the regions that have servers.
        :param now_ms: the present time.
        :param exact: whether an operator wants just these weights.
        """
        kept = {r: w for r, w in self.weights.items() if r in serving}
        if not kept or sum(kept.values()) < 0.05:
            self.weights = dict(target)
            self._moved_ms = now_ms
            return
        total = sum(kept.values())
        self.weights = {r: w / total for r, w in kept.items()}
        steps = min(4, (now_ms - self._moved_ms) // STEP_MS)
        if steps <= 0:
            return
        self._moved_ms = now_ms
        if not (exact or self._moving or self._is_due(target)):
            return
        step = self.step * steps
        self._moving = _distance(self.weights, target) > step
        self.weights = _approach(self.weights, target, step)

    def _is_due(self, target: dict[str, float]) -> bool:
        """Tell whether it is worth moving; once begun, it goes on until the target is reached."""
        excess = self.weights.get(self._own, 0.0) - target.get(self._own, 0.0)
        return excess > OWN_EXCESS_RATIO or _distance(self.weights, target) > LAZY_RATIO


def _distance(now: dict[str, float], target: dict[str, float]) -> float:
    regions = now.keys() | target.keys()
    return sum(max(0.0, target.get(r, 0.0) - now.get(r, 0.0)) for r in regions)


def _approach(now: dict[str, float], target: dict[str, float], step: float) -> dict[str, float]:
    regions = now.keys() | target.keys()
    moved = _distance(now, target)
    part = 1.0 if moved <= step else step / moved
    mixed = {r: now.get(r, 0.0) + part * (target.get(r, 0.0) - now.get(r, 0.0)) for r in regions}
    return {r: w for r, w in mixed.items() if w > 1e-9}
