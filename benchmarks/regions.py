"""Regions of different size under a wave of demand and an evacuation, on virtual time.

Pattern: partial outage. Most servers stand in two of three regions, the clients' demand moves round
the regions, and a zone of the largest region is evacuated for a while. Long and short requests
share a service. Entries learn of each other's demand and loads twice a second.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import math
import random
import statistics
import typing

from benchmarks import region_world, servers
from sassafraslock import errors
from sassafraslock.decisions import (
    candidates,
    placement,
    registry,
    route_latency,
    server_health,
)

GOSSIP_MS = 500
CLIENT_MS, FAR_MS = 17.0, 40.0  # round trips to the client, and between regions
WAVE_PERIOD_MS, WAVE_SWING = 36_000.0, 0.55
EVACUATED_ZONE = "north-b"
SHIFT_WINDOW_MS = 2_000
PARTS_S = ((0, 4), (4, 8), (8, 18), (18, 30), (30, 50))
PERIODIC, ARRIVAL, END = 0, 1, 2
SEEDS = (1, 2, 3)


@dataclasses.dataclass(slots=True)
class _Request:
    flow: region_world.Flow
    region: str
    key: str
    first_ms: float
    tries: int = 0


@dataclasses.dataclass(slots=True)
class _Job:
    request: _Request
    placer: placement.Placer
    wanted: candidates.PlacementRequest
    choice: candidates.Choice
    sent_ms: float


@dataclasses.dataclass(slots=True)
class Row:
    """What became of the requests of one route that came in a part of the time."""

    route: str
    from_s: int
    until_s: int
    asked: int
    credit_ratio: float
    in_target_ratio: float
    late_ratio: float
    refused_ratio: float
    new_ratio: float


class Simulation:
    """Entries of three regions, each with its own knowledge, before their servers."""

    def __init__(
        self, seed: int, load: float = 1.0, shape: region_world.Shape = region_world.USUAL
    ) -> None:
        self.random = random.Random(seed)
        self.load = load
        self.shape = shape
        self.gossip_ms = GOSSIP_MS
        ids = {f"{r}-{n}": r for r in region_world.REGIONS for n in range(shape.entries_per_region)}
        self.entries = [region_world.Entry(i, r, ids, shape) for i, r in ids.items()]
        self.by_region = {
            r: [e for e in self.entries if e.region == r] for r in region_world.REGIONS
        }
        self.servers = {
            r.server_id: servers.QueueingServer(servers.KeptObjects(shape.kept[r.service]))
            for r in region_world.server_reports(shape)
        }
        self.jobs: dict[int, _Job] = {}
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, int, object]] = []
        self.outcomes: list[tuple[_Request, str, float]] = []
        self.served: dict[tuple[str, str], collections.Counter[tuple[int, str]]] = (
            collections.defaultdict(collections.Counter)
        )
        self.new_runs: collections.Counter[tuple[str, int]] = collections.Counter()

    def run(self) -> None:
        """Play the whole time."""
        for region in region_world.REGIONS:
            for flow in self.shape.flows:
                self._push_arrival(0.0, flow, region)
        self._push(0.0, PERIODIC, None)
        while self.events:
            now_ms, kind, _, what = heapq.heappop(self.events)
            if kind == PERIODIC:
                self._gossip(int(now_ms))
                if now_ms < self.shape.seconds * 1_000:
                    self._push(now_ms + self.gossip_ms, PERIODIC, None)
            elif kind == ARRIVAL:
                assert isinstance(what, _Request)
                if not what.tries:
                    self._push_arrival(now_ms, what.flow, what.region)
                self._arrive(what, now_ms)
            else:
                assert isinstance(what, tuple)
                self._end(what[0], now_ms, what[1])

    def _push(self, at_ms: float, kind: int, what: object) -> None:
        heapq.heappush(self.events, (at_ms, kind, next(self.numbers), what))

    def _push_arrival(self, now_ms: float, flow: region_world.Flow, region: str) -> None:
        phase = 2 * math.pi * (now_ms / WAVE_PERIOD_MS + self.shape.phases[region])
        rate_per_ms = self.load * flow.rate_per_s * (1 + WAVE_SWING * math.sin(phase)) / 1_000
        at_ms = now_ms + self.random.expovariate(rate_per_ms)
        if at_ms < self.shape.seconds * 1_000:
            key = f"{flow.route.name}-{region}-{self.random.randrange(flow.objects)}"
            self._push(at_ms, ARRIVAL, _Request(flow, region, key, at_ms))

    def _gossip(self, now_ms: int) -> None:
        for start_s, evacuated in zip(self.shape.evacuated_s, (True, False), strict=True):
            if now_ms == start_s * 1_000:
                for entry in self.entries:
                    entry.registry.apply_evacuation(EVACUATED_ZONE, evacuated, now_ms)
        records = [e.record(now_ms) for e in self.entries]
        for entry in self.entries:
            for record in records:
                entry.members.merge_record(record, now_ms)
            self.share_loads(entry, now_ms)
            self.share_objects(entry, now_ms)
            entry.planner.update(now_ms)

    def share_objects(self, entry: region_world.Entry, now_ms: int) -> None:
        """Let an entry learn which servers have handled which objects.

        :param entry: the entry.
        :param now_ms: the present time.
        """
        for other in self.by_region[entry.region]:
            if other is not entry:
                objects = other.placer.objects.recent_reports(now_ms)
                entry.placer.objects.merge_reports(objects, now_ms)

    def share_loads(self, entry: region_world.Entry, now_ms: int) -> None:
        """Let an entry learn the loads that the other entries of its region know.

        :param entry: the entry.
        :param now_ms: the present time.
        """
        for other in self.by_region[entry.region]:
            if other is not entry:
                loads = other.placer.loads.recent_reports(now_ms)
                entry.placer.loads.merge_reports(loads, now_ms)

    def _arrive(self, request: _Request, now_ms: float) -> None:
        entry = self.random.choice(self.by_region[request.region])
        route = request.flow.route
        service = next(s for s in self.shape.services if s.name == route.destinations[0].service)
        if not request.tries:
            busy_ms = entry.placer.latency_of(route).expected_ms(route_latency.ObjectAffinity.KNOWN)
            entry.planner.record_demand(service.name, int(busy_ms), int(now_ms))
        request.tries += 1
        wanted = candidates.PlacementRequest(route, service, request.key, route.timeout_ms, True)
        wanted.entry_count = len(self.entries)
        choice = entry.placer.place(wanted, int(now_ms))
        if isinstance(choice, errors.Refusal):
            if request.tries < 2:
                self._push(now_ms + choice.retry_after_ms + CLIENT_MS, ARRIVAL, request)
            else:
                self.outcomes.append((request, "refused", now_ms))
            return
        self._send(_Job(request, entry.placer, wanted, choice, now_ms), now_ms)

    def _send(self, job: _Job, now_ms: float) -> None:
        server = self.servers[job.choice.server.server_id]
        if len(server.running) >= region_world.SLOTS and len(server.waiting) >= region_world.QUEUE:
            self.outcomes.append((job.request, "refused", now_ms))
            return
        number = next(self.numbers)
        self.jobs[number] = job
        route = job.wanted.route
        window = int(now_ms // SHIFT_WINDOW_MS)
        self.served[job.placer.region, ""][window, job.choice.server.region] += 1
        job.placer.health_of(job.choice.server).in_flight += 1
        self._push(now_ms + route.timeout_ms, END, (number, True))
        server.waiting.append(number)
        self._start_next(job.choice.server.server_id, now_ms)

    def _start_next(self, name: str, now_ms: float) -> None:
        server = self.servers[name]
        while server.waiting and len(server.running) < region_world.SLOTS:
            number = server.waiting.popleft()
            job = self.jobs[number]
            server.running.add(number)
            known = job.wanted.key in server.kept
            if not known:
                self.new_runs[job.wanted.route.name, int(job.request.first_ms // 1_000)] += 1
            work_ms = job.request.flow.new_ms * (region_world.KNOWN_RATIO if known else 1.0)
            end_ms = now_ms + work_ms * self.random.uniform(0.75, 1.25)
            self._push(end_ms, END, (number, False))

    def _end(self, number: int, at_ms: float, timed_out: bool) -> None:
        job = self.jobs.pop(number, None)
        if job is None:
            return
        name = job.choice.server.server_id
        server, health = self.servers[name], job.placer.health_of(job.choice.server)
        health.in_flight -= 1
        server.remove(number)
        if timed_out:
            health.record_broken_exchange(int(at_ms))
            self.outcomes.append((job.request, "failed", at_ms))
        else:
            self._learn(job, server, health, at_ms)
        self._start_next(name, at_ms)

    def _learn(
        self,
        job: _Job,
        server: servers.QueueingServer,
        health: server_health.ServerHealth,
        at_ms: float,
    ) -> None:
        placer, choice = job.placer, job.choice
        server.kept.note(job.wanted.key)
        far_ms = FAR_MS if choice.server.region != placer.region else 0.0
        health.rtt_ms = far_ms
        placer.loads.record(choice.server, server.load, int(at_ms))
        health.record_answer(False, int(at_ms))
        took_ms = at_ms - job.sent_ms
        if choice.load + 1 <= region_world.SLOTS and not choice.is_cold:
            latency, affinity = placer.latency_of(job.wanted.route), choice.affinity
            health.record_latency_ratio(took_ms / latency.expected_ms(affinity), int(at_ms))
            if health.slow_factor(int(at_ms)) < 1.5:
                latency.record(affinity, took_ms)
        start_hash = registry.start_hash(choice.server)
        placer.objects.record(job.wanted.object_hash, start_hash, int(at_ms), int(at_ms))
        total_ms = at_ms - job.request.first_ms + CLIENT_MS + far_ms
        target_ms = job.wanted.route.target_latency_ms
        self.outcomes.append((job.request, "in target" if total_ms <= target_ms else "late", at_ms))

    def rows(self) -> list[Row]:
        """Return what became of requests, by route and by when they came."""
        return [self._row(flow, *part) for flow in self.shape.flows for part in PARTS_S]

    def _row(self, flow: region_world.Flow, from_s: int, until_s: int) -> Row:
        found = [
            outcome
            for request, outcome, _ in self.outcomes
            if request.flow is flow and from_s * 1_000 <= request.first_ms < until_s * 1_000
        ]
        counts, asked = collections.Counter(found), len(found)
        new = sum(self.new_runs[flow.route.name, s] for s in range(from_s, until_s))
        return Row(
            flow.route.name,
            from_s,
            until_s,
            asked,
            (counts["in target"] + 0.2 * counts["late"]) / asked,
            counts["in target"] / asked,
            counts["late"] / asked,
            counts["refused"] / asked,
            new / asked,
        )

    def credit(self) -> float:
        """Return the credit earned over the credit owed, weighted by route."""
        worth = {"in target": 1.0, "late": 0.2}
        owed = sum(r.flow.credit for r, _, _ in self.outcomes)
        return sum(r.flow.credit * worth.get(o, 0.0) for r, o, _ in self.outcomes) / owed

    def worst_region(self) -> float:
        """Return the credit of the clients of the region that earned least."""
        worth = {"in target": 1.0, "late": 0.2}
        earned: collections.Counter[str] = collections.Counter()
        owed: collections.Counter[str] = collections.Counter()
        for request, outcome, _ in self.outcomes:
            owed[request.region] += request.flow.credit
            earned[request.region] += request.flow.credit * worth.get(outcome, 0.0)
        return min(earned[r] / owed[r] for r in region_world.REGIONS)

    def largest_shift(self, from_s: int, until_s: int) -> float:
        """Return the largest share of a region's requests that changed region between windows.

        :param from_s: the start of the time that is looked at.
        :param until_s: its end.
        """
        largest = 0.0
        for counts in self.served.values():
            for window in range(
                from_s * 1_000 // SHIFT_WINDOW_MS + 1, until_s * 1_000 // SHIFT_WINDOW_MS
            ):
                shares = [_shares(counts, w) for w in (window - 1, window)]
                moved = sum(max(0.0, shares[1][r] - shares[0][r]) for r in region_world.REGIONS)
                largest = max(largest, moved)
        return largest


def _shares(counts: collections.Counter[tuple[int, str]], window: int) -> dict[str, float]:
    total = sum(counts[window, r] for r in region_world.REGIONS)
    return {r: counts[window, r] / max(1, total) for r in region_world.REGIONS}


def measure() -> list[Row]:
    """Return what became of requests, as the mean over several seeds."""
    simulations = [Simulation(seed) for seed in SEEDS]
    for simulation in simulations:
        simulation.run()
    return [_mean_row(rows) for rows in zip(*(s.rows() for s in simulations), strict=True)]


def _mean_row(rows: typing.Sequence[Row]) -> Row:
    """Return the means of all ratios of rows for the same route and time."""
    ratios = [f.name for f in dataclasses.fields(Row) if f.name.endswith("_ratio")]
    means = {name: statistics.mean(getattr(row, name) for row in rows) for name in ratios}
    return dataclasses.replace(rows[0], asked=sum(row.asked for row in rows), **means)
