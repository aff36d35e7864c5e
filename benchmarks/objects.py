"""Objects that take a third of the time where a server has them in memory, on virtual time.

Pattern: a start with empty servers, then waves of demand that peak in each region at another time.
Servers stand unevenly over the regions, keep few objects, and a part of them is slow at any time.
Entries hear of each other by the gossip's rules: three of their zone and some others in a round.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import heapq
import itertools
import math
import random
import typing

from benchmarks import object_servers, object_world, servers
from sassafraslock import errors
from sassafraslock.decisions import candidates, registry, route_latency

GOSSIP_MS = 500
PLAN_MS = 500
CLIENT_MS, FAR_MS, ZONE_MS = 17.0, 110.0, 3.0  # round trips
KNOWN_RATIO = 0.3
SKEW = 0.2  # exponent of the popularity of objects by rank
WAVE_PERIOD_MS, WAVE_SWING = 36_000.0, 0.55
PHASES = {"north": 0.3, "south": 0.63, "west": 0.97}
QUEUE_PER_SLOT = 3
LATE_VALUE = 0.2
SHIFT_WINDOW_MS = 2_000
EVACUATED_ZONE, EVACUATED_FROM_MS, EVACUATED_UNTIL_MS = "north-b", 12_000.0, 18_000.0
RESTART_MS, RESTART_EVERY, COLD_MS = 22_000.0, 8, 3_000  # servers lose what they had in memory
NEW_ENTRIES_MS, NEW_ENTRIES_EVERY = 27_000.0, 3  # entries start again and know nothing


class Placing(typing.Protocol):
    """What chooses servers: the placer of an entry, or one that knows everything."""

    def place(
        self, request: candidates.PlacementRequest, now_ms: int
    ) -> candidates.Choice | errors.Refusal:
        """Return the server for a request, or a refusal.

        :param request: the request.
        :param now_ms: the present time.
        """


class Simulation:
    """Entries of three regions, each with its own knowledge, before their servers."""

    def __init__(self, seed: int, shape: object_world.Shape, load: float = 1.0) -> None:
        self.random = random.Random(seed)
        self.shape, self.load = shape, load
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, str, typing.Any]] = []
        self.view = object_world.Entries()
        self.entries: list[object_world.Entry] = []
        self.by_zone: dict[str, list[object_world.Entry]] = collections.defaultdict(list)
        for zone in object_world.ZONES:
            for number in range(shape.entries_per_zone):
                self.add_entry(f"{zone}-{number}", zone)
        self.servers = {
            r.server_id: object_servers.Server(
                shape.kept[r.service], r.slots, shape.seconds, random.Random(f"{seed}{r.server_id}")
            )
            for r in object_world.server_reports(shape)
        }
        self.holders: dict[str, set[str]] = collections.defaultdict(set)
        self.jobs: dict[int, object_servers.Job] = {}
        self.outcomes: list[object_servers.Outcome] = []
        self.runs: collections.Counter[bool] = collections.Counter()
        self.moves = 0
        self.regions: dict[str, collections.Counter[tuple[int, str]]] = collections.defaultdict(
            collections.Counter
        )
        self.popularity: dict[int, list[float]] = {}

    def add_entry(self, entry_id: str, zone: str) -> object_world.Entry:
        """Start an entry that knows nothing.

        :param entry_id: its id.
        :param zone: its zone.
        """
        entry = self.make_entry(entry_id, zone)
        self.entries.append(entry)
        self.by_zone[zone].append(entry)
        return entry

    def make_entry(self, entry_id: str, zone: str) -> object_world.Entry:
        """Return a new entry; variants change its decisions here.

        :param entry_id: its id.
        :param zone: its zone.
        """
        return object_world.Entry(entry_id, zone, self.view, self.shape)

    def placing(self, entry: object_world.Entry) -> Placing:
        """Return what chooses servers for an entry.

        :param entry: the entry.
        """
        return entry.placer

    def run(self) -> None:
        """Play the whole time."""
        for zone in object_world.ZONES:
            for flow in self.shape.flows:
                self._push_arrival(0.0, flow, zone)
        for entry in self.entries:
            self.push(self.random.uniform(0, GOSSIP_MS), "gossip", entry)
        self.push(0.0, "plan", None)
        self.push(EVACUATED_FROM_MS, "evacuation", True)
        self.push(EVACUATED_UNTIL_MS, "evacuation", False)
        self.push(RESTART_MS, "restart", None)
        self.push(NEW_ENTRIES_MS, "new entries", None)
        handlers: dict[str, typing.Callable[[typing.Any, float], None]] = {
            "arrival": self._arrive,
            "attempt": self._attempt,
            "gossip": self._gossip,
            "plan": self._plan,
            "evacuation": self._evacuate,
            "restart": self._restart_servers,
            "new entries": self._restart_entries,
            "end": lambda number, now_ms: self._end(number, now_ms, False),
            "timeout": lambda number, now_ms: self._end(number, now_ms, True),
        }
        while self.events:
            now_ms, _, kind, what = heapq.heappop(self.events)
            handlers[kind](what, now_ms)

    def push(self, at_ms: float, kind: str, what: object) -> None:
        """Add an event.

        :param at_ms: when it happens.
        :param kind: its kind.
        :param what: what it concerns.
        """
        heapq.heappush(self.events, (at_ms, next(self.numbers), kind, what))

    def _push_arrival(self, now_ms: float, flow: object_world.Flow, zone: str) -> None:
        phase = 2 * math.pi * (now_ms / WAVE_PERIOD_MS + PHASES[zone.partition("-")[0]])
        rate_per_ms = self.load * flow.rate_per_s / len(object_world.ZONES) / 1_000
        rate_per_ms *= 1 + WAVE_SWING * math.sin(phase)
        at_ms = now_ms + self.random.expovariate(rate_per_ms)
        if at_ms < self.shape.seconds * 1_000:
            number = self._draw_object(flow.objects)
            key = f"{flow.route.name}-{zone}-{number}"
            self.push(at_ms, "arrival", object_servers.Request(flow, zone, key, at_ms))

    def _draw_object(self, count: int) -> int:
        sums = self.popularity.get(count)
        if sums is None:
            weights = ((rank + 1) ** -SKEW for rank in range(count))
            sums = self.popularity[count] = list(itertools.accumulate(weights))
        return bisect.bisect_left(sums, self.random.uniform(0, sums[-1]))

    def _plan(self, _: object, now_ms: float) -> None:
        records = [e.record(int(now_ms)) for e in self.entries]
        for entry in self.entries:
            for record in records:
                entry.members.merge_record(record, int(now_ms))
            entry.placer.discard_removed(int(now_ms))
            entry.planner.update(int(now_ms))
        if now_ms < self.shape.seconds * 1_000:
            self.push(now_ms + PLAN_MS, "plan", None)

    def _evacuate(self, is_evacuated: bool, now_ms: float) -> None:
        for entry in self.entries:
            entry.registry.apply_evacuation(EVACUATED_ZONE, is_evacuated, int(now_ms))

    def _restart_servers(self, _: object, now_ms: float) -> None:
        """Start a part of the servers again, with nothing in memory and cold for a while."""
        for report in object_world.server_reports(self.shape)[::RESTART_EVERY]:
            report = dataclasses.replace(report, born_ms=1, cold_ms=COLD_MS)
            for entry in self.entries:
                entry.registry.apply_report(report, int(now_ms), True, COLD_MS)
            name = report.server_id
            self.servers[name].queue.kept = servers.KeptObjects(self.shape.kept[report.service])
            for names in self.holders.values():
                names.discard(name)

    def _restart_entries(self, _: object, now_ms: float) -> None:
        """Replace a part of the entries by new ones, which know the servers' rows alone."""
        for old in self.entries[::NEW_ENTRIES_EVERY]:
            self.entries.remove(old)
            self.by_zone[old.zone].remove(old)
            del self.view.regions[old.entry_id]
            entry = self.add_entry(f"{old.entry_id}-again", old.zone)
            entry.boot_ms = int(now_ms)
            for server in old.registry.servers.values():
                entry.registry.apply_report(server.report, int(now_ms), False, 0)
            self.push(now_ms, "gossip", entry)

    def _gossip(self, entry: object_world.Entry, now_ms: float) -> None:
        """Send a round as :mod:`sassafraslock.decisions.gossip_targets` chooses it."""
        if entry not in self.entries:
            return
        near = [e for e in self.by_zone[entry.zone] if e is not entry]
        region = [e for e in self.entries if e.region == entry.region and e.zone != entry.zone]
        targets = self.random.sample(near, min(3, len(near)))
        if region and self.random.random() < 8 / (1 + len(near)):
            targets.append(self.random.choice(region))
        self.share(entry, targets, int(now_ms))
        if now_ms < self.shape.seconds * 1_000:
            self.push(now_ms + GOSSIP_MS * self.random.uniform(0.8, 1.2), "gossip", entry)

    def share(
        self, entry: object_world.Entry, targets: list[object_world.Entry], now_ms: int
    ) -> None:
        """Let other entries of the region learn what an entry tells.

        :param entry: the sender.
        :param targets: the receivers.
        :param now_ms: the present time.
        """
        loads = entry.placer.loads.recent_reports(now_ms)
        objects = entry.placer.objects.recent_reports(now_ms)
        self._tell_newcomers(entry, now_ms)
        small_zone = len(self.by_zone[entry.zone]) < 4
        for other in targets:
            other.placer.objects.merge_reports(objects, now_ms)
            if small_zone or other.zone == entry.zone:
                other.placer.loads.merge_reports(loads, now_ms)

    def _tell_newcomers(self, entry: object_world.Entry, now_ms: int) -> None:
        if entry.newcomers is None:
            return
        records = [e.told for e in self.entries if e is not entry]
        for entry_id, part in entry.newcomers.due(entry.told, records, now_ms):
            known = entry.placer.objects.known_reports(part, now_ms)
            for other in self.find_entry(entry_id):
                other.placer.objects.merge_reports(known, now_ms)

    def find_entry(self, entry_id: str) -> list[object_world.Entry]:
        """Return the entry with an id, none after it has ended.

        :param entry_id: the id.
        """
        return [e for e in self.entries if e.entry_id == entry_id]

    def _arrive(self, request: object_servers.Request, now_ms: float) -> None:
        if not request.tries:
            self._push_arrival(now_ms, request.flow, request.zone)
        entry = self.random.choice(self.by_zone[request.zone])
        route = request.flow.route
        if not request.tries:
            busy_ms = entry.placer.latency_of(route).expected_ms(route_latency.ObjectAffinity.KNOWN)
            entry.planner.record_demand(request.flow.service, int(busy_ms), int(now_ms))
        request.tries += 1
        service = next(s for s in self.shape.services if s.name == request.flow.service)
        wanted = candidates.PlacementRequest(
            route, service, request.key, route.timeout_ms, route.idempotent
        )
        wanted.entry_count = len(self.entries)
        self._attempt((request, entry, wanted), now_ms)

    def _attempt(
        self,
        what: tuple[object_servers.Request, object_world.Entry, candidates.PlacementRequest],
        now_ms: float,
    ) -> None:
        request, entry, wanted = what
        choice = self.placing(entry).place(wanted, int(now_ms))
        if isinstance(choice, errors.Refusal):
            self._refuse(request, choice.retry_after_ms, now_ms)
            return
        server = self.servers[choice.server.server_id]
        if server.queue.load >= server.slots * (1 + QUEUE_PER_SLOT):
            entry.placer.loads.record(choice.server, server.queue.load, int(now_ms))
            wanted.attempts += 1
            wanted.tried.add(choice.server.server_id)
            wanted.shed = True
            if wanted.attempts < request.flow.route.max_attempts:
                self.push(now_ms + ZONE_MS, "attempt", what)
            else:
                self._refuse(request, 300, now_ms)
            return
        self._send(object_servers.Job(request, entry, wanted, choice, now_ms), server, now_ms)

    def _refuse(self, request: object_servers.Request, wait_ms: int, now_ms: float) -> None:
        if request.tries < 2:
            self.push(now_ms + wait_ms + CLIENT_MS, "arrival", request)
        else:
            self.outcomes.append(object_servers.Outcome(request, 0.0, "refused"))

    def _send(self, job: object_servers.Job, server: object_servers.Server, now_ms: float) -> None:
        number = next(self.numbers)
        self.jobs[number] = job
        job.was_held = bool(self.holders[job.request.key])
        window = int(now_ms // SHIFT_WINDOW_MS)
        self.regions[job.entry.region][window, job.choice.server.region] += 1
        job.entry.placer.health_of(job.choice.server).in_flight += 1
        self.push(now_ms + job.request.flow.route.timeout_ms, "timeout", number)
        server.queue.waiting.append(number)
        server.served += 1
        self._start_next(job.choice.server.server_id, now_ms)

    def _start_next(self, name: str, now_ms: float) -> None:
        server = self.servers[name]
        while server.queue.waiting and len(server.queue.running) < server.slots:
            number = server.queue.waiting.popleft()
            job = self.jobs[number]
            server.queue.running.add(number)
            job.is_known = job.request.key in server.queue.kept
            job.started_ms = now_ms
            self.runs[job.is_known] += 1
            work_ms = job.request.flow.new_ms * (KNOWN_RATIO if job.is_known else 1.0)
            job.ends_ms = server.end_ms(now_ms, work_ms * self.random.uniform(0.75, 1.25))
            self.push(job.ends_ms, "end", number)

    def _end(self, number: int, at_ms: float, timed_out: bool) -> None:
        job = self.jobs.pop(number, None)
        if job is None:
            return
        name = job.choice.server.server_id
        server, health = self.servers[name], job.entry.placer.health_of(job.choice.server)
        health.in_flight -= 1
        server.queue.remove(number)
        if timed_out:
            health.record_broken_exchange(int(at_ms))
            self.outcomes.append(object_servers.Outcome(job.request, 0.0, "timed out"))
        else:
            self._keep(job.request.key, name, server)
            self.learn(job, server, at_ms)
            self._judge(job, at_ms)
        self._start_next(name, at_ms)

    def _keep(self, key: str, name: str, server: object_servers.Server) -> None:
        """Put an object first in a server's memory, which may evict another one."""
        kept = server.queue.kept
        if key not in kept and self.holders[key]:
            self.moves += 1
        evicted = kept.note(key)
        self.holders[key].add(name)
        if evicted is not None:
            self.holders[evicted].discard(name)

    def learn(self, job: object_servers.Job, server: object_servers.Server, at_ms: float) -> None:
        """Update the statistics of an entry as ``path/attempt_recorder.py`` does.

        :param job: the attempt that was answered.
        :param server: its server.
        :param at_ms: the present time.
        """
        placer, choice, now_ms = job.entry.placer, job.choice, int(at_ms)
        health = placer.health_of(choice.server)
        health.rtt_ms = FAR_MS if choice.server.region != placer.region else ZONE_MS
        placer.loads.record(choice.server, server.queue.load, now_ms)
        health.record_answer(False, now_ms)
        took_ms = at_ms - job.sent_ms
        if choice.load + 1 <= choice.slots and not choice.is_cold:
            latency, affinity = placer.latency_of(job.wanted.route), choice.affinity
            health.record_latency_ratio(took_ms / latency.expected_ms(affinity), now_ms)
            if health.slow_factor(now_ms) < 1.5:
                latency.record(affinity, took_ms)
        start_hash = registry.start_hash(choice.server)
        placer.objects.record(job.wanted.object_hash, start_hash, now_ms, now_ms)

    def _judge(self, job: object_servers.Job, at_ms: float) -> None:
        is_far = job.choice.server.region != job.entry.region
        total_ms = at_ms - job.request.first_ms + CLIENT_MS + (FAR_MS if is_far else ZONE_MS)
        if total_ms <= job.request.flow.route.target_latency_ms:
            self.outcomes.append(object_servers.Outcome(job.request, 1.0, "", job.is_known))
            return
        if not job.is_known:
            cause = "run again" if job.was_held else "first run"
        elif job.request.tries > 1:
            cause = "came back"
        else:
            cause = "queue" if job.started_ms - job.sent_ms > 150 else "slow"
        self.outcomes.append(object_servers.Outcome(job.request, LATE_VALUE, cause, job.is_known))
