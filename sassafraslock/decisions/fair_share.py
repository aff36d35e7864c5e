"""Fair shares of full servers: how much of them each workspace takes, and what it may queue for.

Each entry decides by the requests of its own clients. Queues that all entries see carry the result
from one to the other: who may wait longest gets the capacity that others leave.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math

from sassafraslock import workspaces

WINDOW_MS = 4_000  # time constant of the decay of what was asked and served
# How long a level is used: longer with many workspaces, since it costs about 5 us for each.
LEVEL_TTL_MS = 200
LEVEL_TTL_PER_WORKSPACE_MS = 2
# Few of a workspace's requests arrive at any one of many entries. So that one request is no excess,
# the counts of workspaces with few requests are averaged with those of all such ones, as if they
# had PRIOR_REQUESTS more; counts of DENSE_REQUESTS stand for themselves.
PRIOR_REQUESTS = 4.0
DENSE_REQUESTS = 10.0
# A workspace that takes its share or less may queue as long as its route allows. One that takes
# more by EXCESS_SPAN may queue for MIN_FACTOR of that, and not at all once the servers of a region
# have EXCESS_QUEUE_RATIOS[0] waiting requests per slot on average; in between, limits are in
# proportion. The estimate for one server is often off by several requests, the mean is not.
EXCESS_SPAN = 0.3
MIN_FACTOR = 0.6
EXCESS_QUEUE_RATIOS = (0.25, 0.6)
# A workspace that is served this much less often than others of its priority is not held back. The
# rule is a quarter; counts over a few seconds are rough.
MIN_SERVED_RATIO = 0.3
MIN_COUNTED_REQUESTS = 3
# Shares bind once this part of what is asked for is not served. Below it, refusals are those of
# single servers, and holding workspaces back refused 5 % of the requests at 0.9 of capacity.
MIN_SHORT_RATIO = 0.1
ASKED_REQUESTS = 0.2  # decayed; a priority with fewer is not asked for
# Mean waiting requests per slot up to which the second most urgent priority may queue, and the part
# of that for each further one: while all requests of more urgent ones are served, and once
# MAX_LOST_RATIO of them are not. The strict limits alone refused a third of the requests of the
# third priority where the servers had slots for 1.1 times the demand.
RELAXED_QUEUE_RATIO, RELAXED_STEP = 0.8, 0.75
STRICT_QUEUE_RATIO, STRICT_STEP = 0.25, 0.25
MAX_LOST_RATIO = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class QueueTerms:
    """For how long a request may queue.

    :param factor: multiplies the latency limit of the request's route.
    :param max_queue_ratio: mean waiting requests per slot of a region up to which it may join.
    :param typical_loads: by region, the mean load of the servers of its service.
    :param excess: what its workspace takes, as a multiple of its fair share.
    :param spread: from 0 to 1, the place of its return among those of other refused requests.
    :param returns: whether it returns after a refusal, no sooner than it was told.
    :param is_outranked: whether workspaces of a more urgent priority ask for the service too.
    """

    factor: float = 1.0
    max_queue_ratio: float = math.inf
    typical_loads: dict[str, float] = dataclasses.field(default_factory=dict)
    excess: float = 0.0
    spread: float = 0.0
    returns: bool = False
    is_outranked: bool = False

    def allows_region(self, region: str, slots: int) -> bool:
        """Return whether the queues of a region are short enough for the request.

        :param region: the region.
        :param slots: the slots of a server there.
        """
        return self.queue_ratio(region, slots) <= self.max_queue_ratio

    def queue_ratio(self, region: str, slots: int) -> float:
        """Return the mean waiting requests per slot of a region.

        :param region: the region.
        :param slots: the slots of a server there.
        """
        return queue_ratio(self.typical_loads.get(region, 0.0), slots)

    def admitted(self) -> QueueTerms:
        """Return the terms of a request that got a server before, and needs another one."""
        return dataclasses.replace(self, factor=max(1.0, self.factor), max_queue_ratio=math.inf)


def queue_ratio(load: float, slots: int) -> float:
    """Return the waiting requests per slot of a server.

    :param load: the requests that run or wait there.
    :param slots: the server's slots.
    """
    return max(0.0, load - slots) / max(1, slots)


@dataclasses.dataclass(slots=True)
class _Use:
    """What a workspace asked for and got at one service, decayed, in busy milliseconds."""

    workspace: workspaces.Workspace
    asked_ms: float = 0.0
    served_ms: float = 0.0
    request_ms: float = 0.0  # of its latest request
    at_ms: int = 0

    @property
    def density(self) -> float:
        """How much its counts stand for themselves, from 0 to 1."""
        return min(1.0, self.asked_ms / max(1.0, DENSE_REQUESTS * self.request_ms))

    def smoothed(self, counted_ms: float, typical_ms: float) -> float:
        """Return a count as it is expected to be on average.

        :param counted_ms: the count.
        :param typical_ms: the count that workspaces with few requests have by their weight.
        """
        prior_ms = PRIOR_REQUESTS * self.request_ms
        expected_ms = typical_ms * (counted_ms + prior_ms) / max(1.0, typical_ms + prior_ms)
        return self.density * counted_ms + (1.0 - self.density) * expected_ms

    def decay(self, now_ms: int) -> None:
        factor = math.exp(-max(0, now_ms - self.at_ms) / WINDOW_MS)
        self.asked_ms *= factor
        self.served_ms *= factor
        self.at_ms = max(self.at_ms, now_ms)


@dataclasses.dataclass(slots=True)
class _Level:
    """The fair level of one priority: busy milliseconds per unit of weight, and their sums.

    ``typical_ms`` is what workspaces with few requests got, per unit of weight.
    """

    per_weight_ms: float
    typical_ms: float
    asked_ms: float
    served_ms: float
    request_ms: float
    computed_ms: int

    @property
    def is_asked(self) -> bool:
        """Whether there were requests lately."""
        return self.asked_ms > ASKED_REQUESTS * self.request_ms > 0


class _Pool:
    """The uses of one service."""

    __slots__ = ("uses", "levels")

    def __init__(self) -> None:
        self.uses: dict[str, _Use] = {}
        self.levels: dict[int, _Level] = {}


class FairShare:
    """Weighted max-min fair shares of each service, among the workspaces of one priority.

    A workspace weighs as much as its quota; without one it weighs as much as the mean of the
    others. The state is bounded by the workspaces and services of the configuration.
    """

    __slots__ = ("_priorities", "_mean_rate_per_s", "_pools")

    def __init__(self) -> None:
        self._priorities: list[int] = []
        self._mean_rate_per_s = 1.0
        self._pools: dict[str, _Pool] = {}

    def apply_workspaces(
        self,
        known: collections.abc.Sequence[workspaces.Workspace],
        services: collections.abc.Container[str],
    ) -> None:
        """Take up the workspaces of a new configuration, and forget those that are gone.

        :param known: the workspaces.
        :param services: the names of the services.
        """
        self._priorities = sorted({w.priority for w in known})
        rates = [w.rate_per_s for w in known if w.rate_per_s > 0]
        self._mean_rate_per_s = sum(rates) / len(rates) if rates else 1.0
        by_name = {w.name: w for w in known}
        self._pools = {name: pool for name, pool in self._pools.items() if name in services}
        for pool in self._pools.values():
            pool.uses = {name: use for name, use in pool.uses.items() if name in by_name}
            for name, use in pool.uses.items():
                use.workspace = by_name[name]
            pool.levels.clear()

    def record_request(
        self, service: str, workspace: workspaces.Workspace, busy_ms: float, now_ms: int
    ) -> None:
        """Record that a client asks for a service.

        :param service: the service.
        :param workspace: the workspace of the request.
        :param busy_ms: the time for which the request is expected to keep a server busy.
        :param now_ms: the current monotonic time.
        """
        use = self._use(service, workspace, now_ms)
        use.asked_ms += busy_ms
        use.request_ms = busy_ms

    def record(
        self, service: str, workspace: workspaces.Workspace, busy_ms: float, now_ms: int
    ) -> None:
        """Record that a request was sent to a server for the first time.

        :param service: the service.
        :param workspace: the workspace of the request.
        :param busy_ms: the time for which the request is expected to keep a server busy.
        :param now_ms: the current monotonic time.
        """
        self._use(service, workspace, now_ms).served_ms += busy_ms

    def latency_limit_factor(
        self, service: str, workspace: workspaces.Workspace, now_ms: int
    ) -> float:
        """Return the factor of a workspace's latency limit, 1 unless it takes more than its share.

        :param service: the service.
        :param workspace: the workspace.
        :param now_ms: the current monotonic time.
        """
        use = self._use(service, workspace, now_ms)
        level = self._level(service, workspace.priority, now_ms)
        if self._is_starved(use, level):
            return 1.0
        beyond = (self.excess(service, workspace, now_ms) - 1.0) / EXCESS_SPAN
        return 1.0 - (1.0 - MIN_FACTOR) * min(1.0, max(0.0, beyond))

    def excess(self, service: str, workspace: workspaces.Workspace, now_ms: int) -> float:
        """Return what a workspace takes as a multiple of its fair share, 0 if there is enough.

        :param service: the service.
        :param workspace: the workspace.
        :param now_ms: the current monotonic time.
        """
        level = self._level(service, workspace.priority, now_ms)
        if math.isinf(level.per_weight_ms):
            return 0.0
        use = self._use(service, workspace, now_ms)
        weight = self._weight(workspace)
        served_ms = use.smoothed(use.served_ms, weight * level.typical_ms)
        return served_ms / max(1.0, weight * level.per_weight_ms)

    def max_queue_ratio(
        self, service: str, workspace: workspaces.Workspace, factor: float, now_ms: int
    ) -> float:
        """Return up to how many mean waiting requests per slot a workspace may join queues.

        Only more urgent priorities that clients of this entry ask for go before it.

        :param service: the service.
        :param workspace: the workspace.
        :param factor: the factor of its latency limit.
        :param now_ms: the current monotonic time.
        """
        place = self.outranked_by(service, workspace, now_ms)
        if place == 0:
            least, most = EXCESS_QUEUE_RATIOS
            rest = (factor - MIN_FACTOR) / (1.0 - MIN_FACTOR)
            return math.inf if factor >= 1.0 else least + (most - least) * rest
        strictness = min(1.0, self._lost_above(service, workspace, now_ms) / MAX_LOST_RATIO)
        relaxed = RELAXED_QUEUE_RATIO * RELAXED_STEP ** (place - 1)
        strict = STRICT_QUEUE_RATIO * STRICT_STEP ** (place - 1)
        return factor * (relaxed + (strict - relaxed) * strictness)

    def outranked_by(self, service: str, workspace: workspaces.Workspace, now_ms: int) -> int:
        """Return the number of more urgent priorities that clients of this entry ask for.

        :param service: the service.
        :param workspace: the workspace.
        :param now_ms: the current monotonic time.
        """
        higher = [p for p in self._priorities if p < workspace.priority]
        return sum(self._level(service, p, now_ms).is_asked for p in higher)

    def _lost_above(self, service: str, workspace: workspaces.Workspace, now_ms: int) -> float:
        """Return the share of the requests of more urgent priorities that got no server."""
        higher = [p for p in self._priorities if p < workspace.priority]
        levels = [self._level(service, priority, now_ms) for priority in higher]
        asked_ms = sum(level.asked_ms for level in levels)
        served_ms = sum(level.served_ms for level in levels)
        return max(0.0, 1.0 - served_ms / asked_ms) if asked_ms > 0 else 0.0

    def _is_starved(self, use: _Use, level: _Level) -> bool:
        """Return whether others of the same priority are served much more often."""
        if use.asked_ms < MIN_COUNTED_REQUESTS * use.request_ms:
            return False
        others_asked_ms = level.asked_ms - use.asked_ms
        others_served_ms = level.served_ms - use.served_ms
        if others_asked_ms <= 0 or others_served_ms <= 0:
            return False
        others_ratio = min(1.0, others_served_ms / others_asked_ms)
        return use.served_ms / use.asked_ms < MIN_SERVED_RATIO * others_ratio

    def _weight(self, workspace: workspaces.Workspace) -> float:
        return workspace.rate_per_s or self._mean_rate_per_s

    def _pool(self, service: str) -> _Pool:
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = _Pool()
        return pool

    def _use(self, service: str, workspace: workspaces.Workspace, now_ms: int) -> _Use:
        uses = self._pool(service).uses
        use = uses.get(workspace.name)
        if use is None:
            use = uses[workspace.name] = _Use(workspace, at_ms=now_ms)
        use.decay(now_ms)
        return use

    def _level(self, service: str, priority: int, now_ms: int) -> _Level:
        pool = self._pool(service)
        level = pool.levels.get(priority)
        ttl_ms = max(LEVEL_TTL_MS, LEVEL_TTL_PER_WORKSPACE_MS * len(pool.uses))
        if level is None or now_ms - level.computed_ms >= ttl_ms:
            level = pool.levels[priority] = self._computed_level(service, priority, now_ms)
        return level

    def _computed_level(self, service: str, priority: int, now_ms: int) -> _Level:
        uses = [u for u in self._pool(service).uses.values() if u.workspace.priority == priority]
        for use in uses:
            use.decay(now_ms)
        asked_ms = sum(u.asked_ms for u in uses)
        served_ms = sum(u.served_ms for u in uses)
        # What less urgent priorities got would be this one's.
        others = [u for u in self._pool(service).uses.values() if u.workspace.priority > priority]
        for use in others:
            use.decay(now_ms)
        capacity_ms = served_ms + sum(u.served_ms for u in others)
        request_ms = max((u.request_ms for u in uses), default=0.0)
        weights = [self._weight(u.workspace) for u in uses]
        parts = [1.0 - u.density for u in uses]
        few_weight = sum(p * w for p, w in zip(parts, weights, strict=True)) or 1.0
        typical_asked_ms = (
            sum(p * u.asked_ms for p, u in zip(parts, uses, strict=True)) / few_weight
        )
        typical_ms = sum(p * u.served_ms for p, u in zip(parts, uses, strict=True)) / few_weight
        asked = [
            u.smoothed(u.asked_ms, w * typical_asked_ms) for u, w in zip(uses, weights, strict=True)
        ]
        per_weight_ms = math.inf  # while too few requests were served to tell, or nearly all
        is_short = capacity_ms < (1.0 - MIN_SHORT_RATIO) * asked_ms
        if is_short and capacity_ms > MIN_COUNTED_REQUESTS * request_ms:
            per_weight_ms = fair_level(list(zip(asked, weights, strict=True)), capacity_ms)
        return _Level(per_weight_ms, typical_ms, asked_ms, served_ms, request_ms, now_ms)


def fair_level(demands: collections.abc.Sequence[tuple[float, float]], capacity: float) -> float:
    """Return the weighted max-min level: what each gets per weight, unless it asks for less.

    :param demands: what each asks for, and its weight above 0.
    :param capacity: what there is for all.
    :returns: infinity if there is enough for all.
    """
    left = capacity
    left_weight = sum(weight for _, weight in demands)
    for asked, weight in sorted(demands, key=lambda d: d[0] / d[1]):
        if asked * left_weight > left * weight:
            return left / left_weight
        left -= asked
        left_weight -= weight
    return math.inf
