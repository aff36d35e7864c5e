"""Servers that know no object yet, asked by many entries at once, on virtual time.

Pattern: cold restart. A request at a server that knows its object takes a quarter of the time,
so the first seconds ask for more than the servers carry. A route's timeout cancels what runs too
long, and a server learns nothing of what was cancelled.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random

from benchmarks import servers
from sassafraslock import errors, routing_table
from sassafraslock.decisions import candidates, placement, registry, route_latency, server_health

SLOTS, QUEUE = 3, 9
ENTRIES, SEED = 24, 5


@dataclasses.dataclass(slots=True, frozen=True)
class Shape:
    """A service: its servers, its requests, and the parts of the time that are looked at."""

    servers: int
    kept_objects: int
    cold_ms: float
    known_ms: float
    target_ms: int
    timeout_ms: int
    objects: int
    rate_per_s: float
    parts_s: tuple[tuple[int, int], ...]


MANY_OBJECTS = Shape(30, 26, 528, 132, 300, 800, 180, 260, ((0, 2), (2, 4), (4, 6), (6, 12)))
FEW_SLOW_OBJECTS = Shape(22, 15, 1_296, 324, 800, 1_460, 46, 79, ((0, 4), (4, 10), (10, 20)))


@dataclasses.dataclass(slots=True)
class _Job:
    placer: placement.Placer
    wanted: candidates.PlacementRequest
    choice: candidates.Choice
    at_ms: float


@dataclasses.dataclass(slots=True)
class Row:
    """What became of the requests that came in a part of the time."""

    from_s: int
    until_s: int
    in_target_ratio: float
    late_ratio: float
    refused_ratio: float
    failed_ratio: float
    new_ratio: float


class Simulation:
    """Entries, each with its own knowledge, before servers that begin without any."""

    def __init__(self, seed: int = SEED, shape: Shape = MANY_OBJECTS) -> None:
        self.shape = shape
        self.random = random.Random(seed)
        self.placers = [servers.placer(shape.servers, SLOTS) for _ in range(ENTRIES)]
        self.servers = {
            name: servers.QueueingServer(servers.KeptObjects(shape.kept_objects))
            for name in self.placers[0].registry.servers
        }
        self.route = routing_table.Route(
            "r",
            "h",
            "/",
            idempotent=True,
            max_attempts=1,
            destinations=(),
            target_latency_ms=shape.target_ms,
            timeout_ms=shape.timeout_ms,
            sticky=True,
            priority=2,
        )
        self.service = routing_table.Service("s", 1_000, 3_000, 4.4)
        self.jobs: dict[int, _Job] = {}
        self.events: list[tuple[float, int, int]] = []
        self.numbers = itertools.count()
        self.outcomes: list[tuple[float, str, bool]] = []

    def run(self) -> None:
        """Play the whole time."""
        now_ms = 0.0
        while now_ms < self.shape.parts_s[-1][1] * 1_000:
            now_ms += self.random.expovariate(self.shape.rate_per_s / 1_000)
            self._settle(now_ms)
            self.arrive(now_ms)
        self._settle(float("inf"))

    def arrive(self, now_ms: float) -> None:
        """Let an entry place a request.

        :param now_ms: the present time.
        """
        placer = self.random.choice(self.placers)
        key = f"k{self.random.randrange(self.shape.objects)}"
        wanted = candidates.PlacementRequest(
            self.route, self.service, key, self.shape.timeout_ms, True
        )
        wanted.entry_count = ENTRIES
        choice = placer.place(wanted, int(now_ms))
        if isinstance(choice, errors.Refusal):
            self.outcomes.append((now_ms, "refused", False))
            return
        server = self.servers[choice.server.server_id]
        if len(server.running) >= SLOTS and len(server.waiting) >= QUEUE:
            self.outcomes.append((now_ms, "refused", False))
            return
        number = next(self.numbers)
        self.jobs[number] = _Job(placer, wanted, choice, now_ms)
        placer.health_of(choice.server).in_flight += 1
        heapq.heappush(self.events, (now_ms + self.shape.timeout_ms, number, 1))
        server.waiting.append(number)
        self._start_next(choice.server.server_id, now_ms)

    def _start_next(self, name: str, now_ms: float) -> None:
        server = self.servers[name]
        while server.waiting and len(server.running) < SLOTS:
            number = server.waiting.popleft()
            job = self.jobs[number]
            server.running.add(number)
            known = job.wanted.key in server.kept
            base_ms = self.shape.known_ms if known else self.shape.cold_ms
            end_ms = now_ms + base_ms * self.random.uniform(0.85, 1.15)
            heapq.heappush(self.events, (end_ms, number, 0))

    def _settle(self, until_ms: float) -> None:
        while self.events and self.events[0][0] <= until_ms:
            at_ms, number, timed_out = heapq.heappop(self.events)
            job = self.jobs.pop(number, None)
            if job is not None:
                self._end(job, number, at_ms, bool(timed_out))

    def _end(self, job: _Job, number: int, at_ms: float, timed_out: bool) -> None:
        name = job.choice.server.server_id
        server, health = self.servers[name], job.placer.health_of(job.choice.server)
        took_ms, new = at_ms - job.at_ms, job.choice.affinity is route_latency.ObjectAffinity.NEW
        health.in_flight -= 1
        server.remove(number)
        if timed_out:
            health.record_broken_exchange(int(at_ms))
            self.outcomes.append((job.at_ms, "failed", new))
        else:
            self._learn(job, server, health, at_ms)
            outcome = "in target" if took_ms <= self.shape.target_ms else "late"
            self.outcomes.append((job.at_ms, outcome, new))
        self._start_next(name, at_ms)

    def _learn(
        self,
        job: _Job,
        server: servers.QueueingServer,
        health: server_health.ServerHealth,
        at_ms: float,
    ) -> None:
        placer = job.placer
        server.kept.note(job.wanted.key)
        placer.loads.record(job.choice.server, server.load, int(at_ms))
        health.record_answer(False, int(at_ms))
        if job.choice.load + 1 <= SLOTS:
            speed, affinity = placer.latency_of(self.route), job.choice.affinity
            took_ms = at_ms - job.at_ms
            health.record_latency_ratio(took_ms / speed.expected_ms(affinity), int(at_ms))
            if health.slow_factor(int(at_ms)) < 1.5:
                speed.record(affinity, took_ms)
        start_hash = registry.start_hash(job.choice.server)
        placer.objects.record(job.wanted.object_hash, start_hash, int(at_ms), int(at_ms))

    def rows(self) -> list[Row]:
        """Return what became of requests, by when they came."""
        return [self._row(*part) for part in self.shape.parts_s]

    def _row(self, from_s: int, until_s: int) -> Row:
        found = [o for o in self.outcomes if from_s * 1_000 <= o[0] < until_s * 1_000]
        counts = collections.Counter(outcome for _, outcome, _ in found)
        shares = [counts[name] / len(found) for name in ("in target", "late", "refused", "failed")]
        return Row(from_s, until_s, *shares, sum(new for _, _, new in found) / len(found))


def measure() -> list[Row]:
    """Return what became of requests in the first seconds and after."""
    simulation = Simulation()
    simulation.run()
    return simulation.rows()
