"""Servers whose work takes 2.5 times as long for 600 ms at a time, on virtual time.

An entry hears of a server when the server answers it, and from entries of its zone twice a second.
Rows compare what entries make of the load header of `RUNNING,WAITING,SLOTS,WORK_PERCENT`: nothing,
three figures, and all four; the last knows the pace of all servers, now and later. Ratios are
means over :data:`SEEDS` seeds with the standard error of the mean.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import heapq
import itertools
import random
import statistics

from benchmarks import servers
from sassafraslock import errors, routing_table
from sassafraslock.decisions import candidates, placement, registry, work_pace

SLOW_RATIO, SLOW_MS, SLOW_SHARE = 2.5, 600.0, 0.15
USUAL_MEAN_MS = SLOW_MS * (1 - SLOW_SHARE) / SLOW_SHARE
SEEDS, SECONDS, WARM_UP_S = 8, 30, 8
GOSSIP_MS, TARGETS, QUEUE, KNOWN_RATIO, SPILL_MS = 500, 3, 9, 0.3, 60_000
POLICIES = ("no figure", "three figures", "fourth of own answers", "fourth shared", "known")


@dataclasses.dataclass(slots=True, frozen=True)
class Shape:
    """The servers, entries and requests of one region."""

    name: str
    servers: int
    slots: int
    entries: int
    zones: int
    per_s: float
    work_ms: float
    target_ms: int
    timeout_ms: int
    objects: int
    kept: int


SHAPES = (
    Shape("games reads", 60, 3, 29, 2, 91.0, 880.0, 609, 4_872, 46, 12),
    Shape("games reads, peak", 60, 3, 29, 2, 180.0, 880.0, 609, 4_872, 46, 12),
    Shape("billing payments, peak", 11, 6, 40, 2, 102.0, 990.0, 817, 4_872, 46, 12),
    Shape("the same, 2 entries", 11, 6, 2, 1, 102.0, 990.0, 817, 4_872, 46, 12),
)


@dataclasses.dataclass(slots=True)
class Row:
    """One shape and policy, as parts of the requests after the start.

    ``queued_ratio`` found no free slot, so a herd at a server shows there. ``heard_ratio`` had a
    server with a known figure, and ``age_ms`` is its mean age.
    """

    shape: str
    policy: str
    in_target_ratio: float
    in_target_error: float
    gain_over_three: float
    gain_error: float
    refused_ratio: float
    queued_ratio: float
    mean_ms: float
    heard_ratio: float
    age_ms: float


class _Pace:
    """The times at which one server becomes slow and usual again."""

    def __init__(self, source: random.Random) -> None:
        self.starts_ms: list[float] = []
        now_ms = -source.uniform(0, USUAL_MEAN_MS)
        while now_ms < (SECONDS + 60) * 1_000:
            now_ms += source.expovariate(1 / USUAL_MEAN_MS)
            self.starts_ms.append(now_ms)
            now_ms += SLOW_MS

    def is_slow(self, at_ms: float) -> bool:
        index = bisect.bisect_right(self.starts_ms, at_ms) - 1
        return index >= 0 and at_ms < self.starts_ms[index] + SLOW_MS

    def end_ms(self, at_ms: float, work_ms: float) -> float:
        """Return when work that starts at a time ends."""
        while True:
            index = bisect.bisect_right(self.starts_ms, at_ms)
            slow = self.is_slow(at_ms)
            until_ms = self.starts_ms[index - 1] + SLOW_MS if slow else self.starts_ms[index]
            rate = 1 / SLOW_RATIO if slow else 1.0
            if at_ms + work_ms / rate <= until_ms:
                return at_ms + work_ms / rate
            work_ms -= (until_ms - at_ms) * rate
            at_ms = until_ms


@dataclasses.dataclass(slots=True)
class _Job:
    entry: int
    wanted: candidates.PlacementRequest
    choice: candidates.Choice
    sent_ms: float


class _KnownPace(work_pace.WorkPace):
    """The pace of all servers, now and while work runs."""

    __slots__ = ("paces",)

    def __init__(self, known: registry.Registry, paces: dict[str, _Pace]) -> None:
        super().__init__(known)
        self.paces = paces

    def factor(self, server: registry.Server, work_ms: float, now_ms: int) -> float:
        mean = 1 + SLOW_SHARE * (SLOW_RATIO - 1)
        took_ms = self.paces[server.server_id].end_ms(now_ms, work_ms / mean) - now_ms
        return took_ms / work_ms


class Simulation:
    """The entries of one region before their servers."""

    def __init__(self, shape: Shape, policy: str, seed: int) -> None:
        self.shape, self.policy = shape, policy
        self.random, noise = random.Random(seed), random.Random(seed + 1_000)
        self.placers = [servers.placer(shape.servers, shape.slots) for _ in range(shape.entries)]
        names = list(self.placers[0].registry.servers)
        self.paces = {name: _Pace(noise) for name in names}
        self.servers = {n: servers.QueueingServer(servers.KeptObjects(shape.kept)) for n in names}
        if policy == "known":
            for placer in self.placers:
                placer.paces = _KnownPace(placer.registry, self.paces)
        self.jobs: dict[int, _Job] = {}
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, int]] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.times: list[float] = []
        self.ages: list[int] = []

    def run(self) -> None:
        """Play the whole time."""
        destinations = (routing_table.Destination("s", 1.0),)
        route = routing_table.Route(
            "r", "h", "/", True, self.shape.timeout_ms, self.shape.target_ms, 1, 2, destinations,
            sticky=True,
        )  # fmt: skip
        service = routing_table.Service("s", 330, 0, 5.0)
        now_ms, gossip_ms = 0.0, 0.0
        while now_ms < SECONDS * 1_000:
            now_ms += self.random.expovariate(self.shape.per_s / 1_000)
            while gossip_ms < now_ms:
                self._end_until(gossip_ms)
                self._gossip(int(gossip_ms))
                gossip_ms += GOSSIP_MS
            self._end_until(now_ms)
            key = str(int(self.shape.objects * self.random.random() ** 1.2))
            wanted = candidates.PlacementRequest(route, service, key, self.shape.timeout_ms, True)
            wanted.entry_count = self.shape.entries
            self._arrive(self.random.randrange(self.shape.entries), wanted, now_ms)
        self._end_until(now_ms + 60_000)

    def _arrive(self, entry: int, wanted: candidates.PlacementRequest, now_ms: float) -> None:
        placer = self.placers[entry]
        choice = placer.place(wanted, int(now_ms))
        counted = now_ms >= WARM_UP_S * 1_000
        self.counts["asked"] += counted
        if isinstance(choice, errors.Refusal):
            self.counts["refused"] += counted
            return
        pace = placer.paces._paces.get(registry.start_hash(choice.server))
        if counted and pace is not None and now_ms - pace.at_ms < work_pace.MAX_AGE_MS:
            self.ages.append(int(now_ms) - pace.at_ms)
        server = self.servers[choice.server.server_id]
        if server.load >= self.shape.slots + QUEUE:
            self.counts["refused"] += counted
            return
        self.counts["queued"] += counted and server.load >= self.shape.slots
        number = next(self.numbers)
        self.jobs[number] = _Job(entry, wanted, choice, now_ms)
        placer.health_of(choice.server).in_flight += 1
        server.waiting.append(number)
        self._start_next(choice.server.server_id, now_ms)

    def _start_next(self, name: str, now_ms: float) -> None:
        server = self.servers[name]
        while server.waiting and len(server.running) < self.shape.slots:
            number = server.waiting.popleft()
            server.running.add(number)
            known = self.jobs[number].wanted.key in server.kept
            work_ms = self.shape.work_ms * (KNOWN_RATIO if known else 1.0)
            work_ms *= self.random.uniform(0.75, 1.25)
            heapq.heappush(self.events, (self.paces[name].end_ms(now_ms, work_ms), number, 0))

    def _end_until(self, now_ms: float) -> None:
        while self.events and self.events[0][0] <= now_ms:
            at_ms, number, _ = heapq.heappop(self.events)
            job = self.jobs.pop(number)
            name = job.choice.server.server_id
            self.servers[name].remove(number)
            self.servers[name].kept.note(job.wanted.key)
            self._learn(job, self.placers[job.entry], at_ms)
            self._start_next(name, at_ms)

    def _learn(self, job: _Job, placer: placement.Placer, at_ms: float) -> None:
        choice, now_ms = job.choice, int(at_ms)
        health = placer.health_of(choice.server)
        health.in_flight -= 1
        health.record_answer(False, now_ms)
        name, took_ms = choice.server.server_id, at_ms - job.sent_ms
        if self.policy != "no figure":
            placer.loads.record(choice.server, self.servers[name].load, now_ms)
        if self.policy.startswith("fourth"):
            percent = int(100 * (SLOW_RATIO if self.paces[name].is_slow(at_ms) else 1))
            placer.paces.record(choice.server, percent, now_ms)
        if choice.load + 1 <= self.shape.slots:
            latency = placer.latency_of(job.wanted.route)
            health.record_latency_ratio(took_ms / latency.expected_ms(choice.affinity), now_ms)
            if health.slow_factor(now_ms) < 1.5:
                latency.record(choice.affinity, took_ms)
        start_hash = registry.start_hash(choice.server)
        placer.objects.record(job.wanted.object_hash, start_hash, now_ms, now_ms)
        if job.sent_ms >= WARM_UP_S * 1_000:
            self.times.append(took_ms)

    def _gossip(self, now_ms: int) -> None:
        size = self.shape.entries // self.shape.zones
        for number, placer in enumerate(self.placers):
            first = min(number // size, self.shape.zones - 1) * size
            peers = [p for p in self.placers[first : first + size] if p is not placer]
            objects = placer.objects.recent_reports(now_ms)
            loads = placer.loads.recent_reports(now_ms)
            paces = placer.paces.recent_reports(now_ms)
            for peer in self.random.sample(peers, min(TARGETS, len(peers))):
                peer.objects.merge_reports(objects, now_ms)
                peer.loads.merge_reports(loads, now_ms)
                if self.policy == "fourth shared":
                    peer.paces.merge_reports(paces, now_ms)

    @property
    def in_target_ratio(self) -> float:
        """The part of the requests that are answered within the target."""
        in_target = sum(took_ms <= self.shape.target_ms for took_ms in self.times)
        return in_target / self.counts["asked"]


def _row(shape: Shape, policy: str, runs: list[Simulation], base: list[Simulation]) -> Row:
    ratios = [r.in_target_ratio for r in runs]
    gains = [r.in_target_ratio - b.in_target_ratio for r, b in zip(runs, base, strict=True)]
    asked = sum(r.counts["asked"] for r in runs)
    ages = [age for r in runs for age in r.ages]
    return Row(
        shape.name,
        policy,
        statistics.mean(ratios),
        statistics.stdev(ratios) / len(ratios) ** 0.5,
        statistics.mean(gains),
        statistics.stdev(gains) / len(gains) ** 0.5,
        sum(r.counts["refused"] for r in runs) / asked,
        sum(r.counts["queued"] for r in runs) / asked,
        statistics.mean(t for r in runs for t in r.times),
        len(ages) / asked,
        statistics.mean(ages) if ages else 0.0,
    )


def measure() -> list[Row]:
    """Return each policy at each shape."""
    rows = []
    for shape in SHAPES:
        runs = {p: [Simulation(shape, p, s) for s in range(SEEDS)] for p in POLICIES}
        for simulation in itertools.chain(*runs.values()):
            simulation.run()
        rows += [_row(shape, p, runs[p], runs["three figures"]) for p in POLICIES]
    return rows
