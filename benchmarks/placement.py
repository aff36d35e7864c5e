"""Choice of servers beside simpler policies, on virtual time, without a network.

The shape is that of Kočar's logbook service in one region: 10 servers of 3 slots that keep the
28 objects asked for last, work of 480 ms, 30 % of that where the server knows the object.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random

from benchmarks import servers
from sassafraslock import errors, routing_table
from sassafraslock.decisions import (
    candidates,
    placement,
    registry,
    route_latency,
    server_ranking,
)

SERVERS, SLOTS, QUEUE, KEPT = 10, 3, 9, 28
WORK_MS, KNOWN_RATIO, TARGET_MS, TIMEOUT_MS = 480.0, 0.3, 400, 2_000
OBJECTS, SECONDS, WARM_UP_S, SEED = 120, 60, 15, 7
LOADS = (0.3, 0.6, 0.9, 1.2)
POLICIES = ("by home and time", "home only", "two choices", "round robin")
WARM_CAPACITY_PER_S = SERVERS * SLOTS * 1_000 / (WORK_MS * KNOWN_RATIO)

ENTRIES = (1, 24)


@dataclasses.dataclass(slots=True, order=True)
class _Job:
    """A request at a server, ordered by its end."""

    end_ms: float
    number: int
    worked_ms: float = dataclasses.field(compare=False)
    wanted: candidates.PlacementRequest = dataclasses.field(compare=False)
    choice: candidates.Choice = dataclasses.field(compare=False)
    placer: placement.Placer = dataclasses.field(compare=False)


@dataclasses.dataclass(slots=True)
class Row:
    """One policy at one load; ratios are parts of all requests after the start."""

    policy: str
    entries: int
    load_of_known_work: float
    in_target_ratio: float
    refused_ratio: float
    turned_away_ratio: float
    known_ratio: float
    p50_ms: float
    p99_ms: float


class _World:
    """Servers with slots, a bounded queue and a memory of the last objects, and their entries."""

    def __init__(self, placers: list[placement.Placer]) -> None:
        self.placers = placers
        names = list(placers[0].registry.servers)
        self.free_at = {name: [0.0] * SLOTS for name in names}
        self.known = {name: servers.KeptObjects(KEPT) for name in names}
        self.loads: collections.Counter[str] = collections.Counter()
        self.jobs: list[_Job] = []
        self.numbers = itertools.count()

    def settle(self, now_ms: float) -> None:
        """End what is over and let the entry that sent it learn of it."""
        while self.jobs and self.jobs[0].end_ms <= now_ms:
            job = heapq.heappop(self.jobs)
            server_id, at_ms = job.choice.server.server_id, int(job.end_ms)
            self.loads[server_id] -= 1
            health = job.placer.health_of(job.choice.server)
            health.in_flight -= 1
            job.placer.loads.record(job.choice.server, self.loads[server_id], at_ms)
            if job.choice.load + 1 <= SLOTS:
                speed = job.placer.latency_of(job.wanted.route)
                speed.record(job.choice.affinity, job.worked_ms)
            start_hash = registry.start_hash(job.choice.server)
            job.placer.objects.record(job.wanted.object_hash, start_hash, at_ms, at_ms)

    def run(
        self,
        placer: placement.Placer,
        choice: candidates.Choice,
        wanted: candidates.PlacementRequest,
        now_ms: float,
    ) -> float:
        """Run a request, or turn it away, and return its time; negative where turned away."""
        server_id = choice.server.server_id
        if self.loads[server_id] >= SLOTS + QUEUE:
            return -1.0
        known = self.known[server_id]
        worked_ms = WORK_MS * (KNOWN_RATIO if wanted.key in known else 1.0)
        known.note(wanted.key)
        slots = self.free_at[server_id]
        slot = min(range(SLOTS), key=lambda n: slots[n])
        end_ms = max(now_ms, slots[slot]) + worked_ms
        slots[slot] = end_ms
        placer.health_of(choice.server).in_flight += 1
        self.loads[server_id] += 1
        job = _Job(end_ms, next(self.numbers), worked_ms, wanted, choice, placer)
        heapq.heappush(self.jobs, job)
        return end_ms - now_ms


def _choose(
    policy: str,
    placer: placement.Placer,
    wanted: candidates.PlacementRequest,
    source: random.Random,
    number: int,
) -> candidates.Choice | None:
    known = list(placer.registry.servers.values())
    if policy == "round robin":
        server = known[number % len(known)]
    elif policy == "two choices":
        server = min(source.sample(known, 2), key=lambda s: placer.health_of(s).in_flight)
    else:
        server = max(known, key=lambda s: server_ranking.home_score(wanted.key, s))
    return candidates.Choice(server, 0.0, route_latency.ObjectAffinity.HOME, 0.0, True, False)


def measure_one(policy: str, entries: int, load: float) -> Row:
    """Return what one policy makes of one load.

    :param policy: one of :data:`POLICIES`.
    :param entries: the entries that divide the requests between them.
    :param load: the work asked for where servers know all objects, by what all slots can do.
    """
    source, world = random.Random(SEED), _World(
        [servers.placer(SERVERS, SLOTS) for _ in range(entries)]
    )
    destinations = (routing_table.Destination("s", 1.0),)
    route = routing_table.Route(
        "r", "h", "/", True, TIMEOUT_MS, TARGET_MS, 2, 2, destinations, sticky=True
    )
    service = routing_table.Service("s", 330, 0, 5.0)
    now_ms, times = 0.0, []
    counts: collections.Counter[str] = collections.Counter()
    for number in itertools.count():
        now_ms += source.expovariate(load * WARM_CAPACITY_PER_S / 1_000)
        if now_ms > SECONDS * 1_000:
            break
        world.settle(now_ms)
        key = str(source.randrange(OBJECTS))
        wanted = candidates.PlacementRequest(route, service, key, TIMEOUT_MS, True)
        placer = source.choice(world.placers)
        choice: candidates.Choice | errors.Refusal | None
        if policy == POLICIES[0]:
            choice = placer.place(wanted, int(now_ms))
        else:
            choice = _choose(policy, placer, wanted, source, number)
        if now_ms < WARM_UP_S * 1_000:
            if isinstance(choice, candidates.Choice):
                world.run(placer, choice, wanted, now_ms)
            continue
        counts["asked"] += 1
        if not isinstance(choice, candidates.Choice):
            counts["refused"] += 1
            continue
        counts["known"] += key in world.known[choice.server.server_id]
        took_ms = world.run(placer, choice, wanted, now_ms)
        counts["turned away"] += took_ms < 0
        if took_ms >= 0:
            times.append(took_ms)
    return _row(policy, entries, load, counts, sorted(times))


def _row(
    policy: str,
    entries: int,
    load: float,
    counts: collections.Counter[str],
    times: list[float],
) -> Row:
    asked = counts["asked"]
    return Row(
        policy,
        entries,
        load,
        sum(took_ms <= TARGET_MS for took_ms in times) / asked,
        counts["refused"] / asked,
        counts["turned away"] / asked,
        counts["known"] / max(1, asked - counts["refused"]),
        times[len(times) // 2],
        times[int(len(times) * 0.99)],
    )


def measure() -> list[Row]:
    """Return each policy at each load."""
    return [
        measure_one(policy, entries, load)
        for load in LOADS
        for entries in ENTRIES
        for policy in POLICIES
    ]
