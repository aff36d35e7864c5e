"""How an entry distributes its requests for a service over regions."""

from __future__ import annotations

import dataclasses

LOCAL_PREFERENCE = 1.15  # how many times as busy as the average the own region may get
STEP_MS = 500
CAP_USE_RATIO = 0.55  # share of the cap on shifts that a plan uses
SPILL_WINDOW_MS = 2_000
# A plan starts to move if the weights differ this much, or the own region's excess is this large.
MIN_DISTANCE = 0.15
MIN_OWN_EXCESS = 0.03


@dataclasses.dataclass(slots=True)
class RegionStats:
    """A region's capacity and demand for a service.

    :param capacity: the slots of its servers.
    :param demand_share: the share of all requests that its clients send.
    """

    capacity: float
    demand_share: float


def target_weights(own: str, stats: dict[str, RegionStats]) -> dict[str, float]:
    """Return the share of this entry's requests that each region should get.

    The own region gets requests until it is :data:`LOCAL_PREFERENCE` times as busy as the average.
    The rest goes to other regions in proportion to their spare capacity.

    :param own: the region of this entry.
    :param stats: the regions that may serve the requests.
    :returns: weights that add up to 1, empty if no region has capacity.
    """
    total = sum(s.capacity for s in stats.values())
    if total <= 0:
        return {}
    local = 0.0
    own_stats = stats.get(own)
    if own_stats and own_stats.capacity > 0:
        balanced = own_stats.capacity / total / max(own_stats.demand_share, 1e-6)
        local = 1.0 if balanced >= 1.0 else min(1.0, LOCAL_PREFERENCE * balanced)
    spare = {
        region: max(0.0, s.capacity - total * s.demand_share)
        for region, s in stats.items()
        if region != own
    }
    if sum(spare.values()) <= 0:
        spare = {region: s.capacity for region, s in stats.items() if region != own}
    total_spare = sum(spare.values())
    if total_spare <= 0:
        return {own: 1.0}
    weights = {
        region: (1.0 - local) * value / total_spare for region, value in spare.items() if value > 0
    }
    weights[own] = local
    return {region: weight for region, weight in weights.items() if weight > 0}


def operator_weights(split: dict[str, float], stats: dict[str, RegionStats]) -> dict[str, float]:
    """Return an operator's split, rescaled after regions without capacity are left out.

    :param split: the share of each region that the operator configured.
    :param stats: the regions that may serve the requests.
    :returns: weights that add up to 1, empty if no region of the split has capacity.
    """
    serving = {r: w for r, w in split.items() if w > 0 and r in stats and stats[r].capacity > 0}
    total = sum(serving.values())
    return {r: w / total for r, w in serving.items()}


class RegionPlan:
    """Region weights that move towards their target in small steps.

    At most ``cap_ratio`` of the traffic may shift within ``window_ms``. A plan uses only part of
    that, because the traffic of each window also varies with the objects that happen to be
    requested. An object that moves to another region is new to the server there, so a plan starts
    to move only if the target is far away, or if the own region gets too many requests. It then
    moves until it reaches the target.
    """

    __slots__ = ("weights", "step", "_own", "_last_step_ms", "_is_moving")

    def __init__(self, own: str, cap_ratio: float = 0.15, window_ms: int = 2_000) -> None:
        self.weights: dict[str, float] = {}
        self.step = CAP_USE_RATIO * cap_ratio * min(1.0, STEP_MS / window_ms)
        self._own = own
        self._last_step_ms = 0
        self._is_moving = False

    def update(
        self,
        target: dict[str, float],
        serving: set[str],
        now_ms: int,
        exact: bool = False,
        idle: bool = False,
    ) -> None:
        """Move towards a target by at most one step per :data:`STEP_MS` since the last call.

        One call makes up to four steps. A region that cannot serve requests loses its weight at
        once. If hardly any weight remains, the plan takes over the target at once.

        :param target: the weights to move to.
        :param serving: the regions that have usable servers.
        :param now_ms: the current monotonic time.
        :param idle: whether no requests follow the plan yet, so that it may take over the target
            at once. Otherwise a plan that was made while only some servers were known would take
            seconds to leave it.
        :param exact: whether the plan must reach the target however close it is, as for a split
            that an operator configured.
        """
        kept = {r: w for r, w in self.weights.items() if r in serving}
        if idle or not kept or sum(kept.values()) < 0.05:
            self.weights = dict(target)
            self._last_step_ms = now_ms
            return
        total = sum(kept.values())
        self.weights = {r: w / total for r, w in kept.items()}
        steps = min(4, (now_ms - self._last_step_ms) // STEP_MS)
        if steps <= 0:
            return
        self._last_step_ms = now_ms
        if not (exact or self._is_moving or self._is_due(target)):
            return
        step = self.step * steps
        self._is_moving = _distance(self.weights, target) > step
        self.weights = _move_towards(self.weights, target, step)

    def _is_due(self, target: dict[str, float]) -> bool:
        """Return whether the target is far enough away for the plan to start to move."""
        excess = self.weights.get(self._own, 0.0) - target.get(self._own, 0.0)
        return excess > MIN_OWN_EXCESS or _distance(self.weights, target) > MIN_DISTANCE


def _distance(now: dict[str, float], target: dict[str, float]) -> float:
    regions = now.keys() | target.keys()
    return sum(max(0.0, target.get(r, 0.0) - now.get(r, 0.0)) for r in regions)


def _move_towards(now: dict[str, float], target: dict[str, float], step: float) -> dict[str, float]:
    regions = now.keys() | target.keys()
    distance = _distance(now, target)
    part = 1.0 if distance <= step else step / distance
    mixed = {r: now.get(r, 0.0) + part * (target.get(r, 0.0) - now.get(r, 0.0)) for r in regions}
    return {r: w for r, w in mixed.items() if w > 1e-9}
