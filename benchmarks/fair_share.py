"""Who is served when servers are full: many workspaces at many entries, in virtual time.

Requests arrive at random times. Entries learn of servers' loads by their own answers, and from a
few others twice a second. A fifth of the refused callers come back once, when they were told to.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import statistics
import typing

from benchmarks import servers
from sassafraslock import errors, routing_table, workspaces
from sassafraslock.decisions import candidates

ENTRIES, SERVERS, SLOTS, QUEUE = 24, 24, 3, 12
WORK_MS, TARGET_MS, TIMEOUT_MS = 500.0, 609, 4_872
CAPACITY_PER_S = 1_000 * SERVERS * SLOTS / WORK_MS
GOSSIP_MS, PEERS_HEARD = 500, 6
RETURN_RATIO = 0.2
SEEDS = (1, 2, 3)
ARRIVAL, END, GOSSIP = 0, 1, 2
SERVICE = routing_table.Service("s", 3_000, 0, 1_000.0)


@dataclasses.dataclass(slots=True, frozen=True)
class Client:
    """The requests of one workspace.

    :param demand: for a time in seconds, its requests as a share of what the servers can take.
    :param entries: for a time in seconds, the entries at which its callers are.
    """

    workspace: workspaces.Workspace
    demand: typing.Callable[[float], float]
    entries: typing.Callable[[float], typing.Sequence[int]] = lambda _: range(ENTRIES)


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """A load by name, and the time that is counted."""

    name: str
    clients: tuple[Client, ...]
    from_s: float = 5.0
    until_s: float = 25.0


@dataclasses.dataclass(slots=True)
class _Request:
    client: Client
    route: routing_table.Route
    number: int
    first_ms: float
    tries: int = 0


@dataclasses.dataclass(slots=True)
class _Job:
    request: _Request
    entry: int
    choice: candidates.Choice
    sent_ms: float


@dataclasses.dataclass(slots=True)
class Tally:
    """What became of the requests of one workspace."""

    asked: int = 0
    served: int = 0
    in_target: int = 0

    @property
    def ratio(self) -> float:
        """The share of requests that were served."""
        return self.served / max(1, self.asked)


def route(priority: int = 0) -> routing_table.Route:
    """Return the route of all requests.

    :param priority: its priority.
    """
    to = (routing_table.Destination("s", 1.0),)
    return routing_table.Route("r", "h", "/", False, TIMEOUT_MS, TARGET_MS, priority, 1, to)


class Simulation:
    """Entries with the real choice of servers, before servers with queues.

    :param is_fair: whether entries know the workspaces of requests.
    """

    def __init__(self, load: Load, is_fair: bool, seed: int) -> None:
        self.load, self.is_fair = load, is_fair
        self.random = random.Random(seed)
        self.placers = [servers.placer(SERVERS, SLOTS) for _ in range(ENTRIES)]
        known = [c.workspace for c in load.clients]
        for placer in self.placers:
            placer.fairness.apply_workspaces(known, {"s"})
        self.servers = {
            f"s{n}": servers.QueueingServer(servers.KeptObjects(1)) for n in range(SERVERS)
        }
        self.jobs: dict[int, _Job] = {}
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, int, typing.Any]] = []
        self.tallies: dict[str, Tally] = collections.defaultdict(Tally)
        self.waits_ms: list[tuple[float, int]] = []

    def run(self) -> dict[str, Tally]:
        """Play the load, and return what became of the requests by workspace."""
        for client in self.load.clients:
            self._push_arrival(0.0, client)
        self._push(0.0, GOSSIP, None)
        while self.events:
            now_ms, kind, _, what = heapq.heappop(self.events)
            if kind == GOSSIP:
                self._gossip(int(now_ms))
            elif kind == END:
                self._end(what, now_ms)
            else:
                if not what.tries:
                    self._push_arrival(now_ms, what.client)
                self._arrive(what, now_ms)
        return self.tallies

    def _push(self, at_ms: float, kind: int, what: object) -> None:
        heapq.heappush(self.events, (at_ms, kind, next(self.numbers), what))

    def _push_arrival(self, now_ms: float, client: Client) -> None:
        """Push the next request; times at which the demand is nil are passed over."""
        while now_ms < 1_000 * self.load.until_s:
            rate_per_ms = CAPACITY_PER_S * client.demand(now_ms / 1_000) / 1_000
            if rate_per_ms > 0:
                gap_ms = self.random.expovariate(rate_per_ms)
                if gap_ms < 250 or rate_per_ms > 0.004:
                    at_ms = now_ms + gap_ms
                    self._push(at_ms, ARRIVAL, _Request(client, route(), next(self.numbers), at_ms))
                    return
            now_ms += 250

    def _gossip(self, now_ms: int) -> None:
        for placer in self.placers:
            for peer in self.random.sample(self.placers, PEERS_HEARD):
                if peer is not placer:
                    placer.loads.merge_reports(peer.loads.recent_reports(now_ms), now_ms)
        if now_ms < 1_000 * self.load.until_s:
            self._push(now_ms + GOSSIP_MS, GOSSIP, None)

    def _tally(self, request: _Request) -> Tally | None:
        if self.load.from_s <= request.first_ms / 1_000 < self.load.until_s:
            return self.tallies[request.client.workspace.name]
        return None

    def _arrive(self, request: _Request, now_ms: float) -> None:
        entry = self.random.choice(request.client.entries(now_ms / 1_000))
        placer = self.placers[entry]
        tally = self._tally(request)
        if tally is not None and not request.tries:
            tally.asked += 1
        request.tries += 1
        wanted = candidates.PlacementRequest(
            request.route, SERVICE, f"k{request.number}", TIMEOUT_MS, False
        )
        if self.is_fair:
            wanted.workspace = request.client.workspace
        choice = placer.place(wanted, int(now_ms))
        if isinstance(choice, errors.Refusal):
            self.waits_ms.append((now_ms, choice.retry_after_ms))
            if request.tries < 2 and self.random.random() < RETURN_RATIO:
                self._push(now_ms + choice.retry_after_ms, ARRIVAL, request)
            return
        self._send(_Job(request, entry, choice, now_ms), now_ms)

    def _send(self, job: _Job, now_ms: float) -> None:
        server = self.servers[job.choice.server.server_id]
        if len(server.running) >= SLOTS and len(server.waiting) >= QUEUE:
            return
        number = next(self.numbers)
        self.jobs[number] = job
        self.placers[job.entry].health_of(job.choice.server).in_flight += 1
        server.waiting.append(number)
        self._start_next(server, now_ms)

    def _start_next(self, server: servers.QueueingServer, now_ms: float) -> None:
        while server.waiting and len(server.running) < SLOTS:
            number = server.waiting.popleft()
            server.running.add(number)
            self._push(now_ms + WORK_MS * self.random.uniform(0.75, 1.25), END, number)

    def _end(self, number: int, at_ms: float) -> None:
        job = self.jobs.pop(number)
        placer = self.placers[job.entry]
        server = self.servers[job.choice.server.server_id]
        health = placer.health_of(job.choice.server)
        health.in_flight -= 1
        server.remove(number)
        placer.loads.record(job.choice.server, server.load, int(at_ms))
        health.record_answer(False, int(at_ms))
        took_ms = at_ms - job.sent_ms
        if job.choice.load + 1 <= SLOTS:
            placer.latency_of(job.request.route).record(job.choice.affinity, took_ms)
        tally = self._tally(job.request)
        if tally is not None:
            tally.served += 1
            tally.in_target += at_ms - job.request.first_ms <= TARGET_MS
        self._start_next(server, at_ms)


@dataclasses.dataclass(slots=True)
class Row:
    """Served shares of a group of workspaces, without and with fair shares.

    ``worst_*`` is that of the group's workspace served least often, as a share of that of all.
    """

    load: str
    group: str
    asked: int
    served_before: float
    served_fair: float
    worst_before: float
    worst_fair: float


def play(load: Load, is_fair: bool, seeds: typing.Sequence[int] = SEEDS) -> dict[str, Tally]:
    """Return what became of the requests by workspace, summed over the seeds.

    :param load: the load.
    :param is_fair: whether entries know the workspaces of requests.
    :param seeds: the seeds.
    """
    total: dict[str, Tally] = collections.defaultdict(Tally)
    for seed in seeds:
        for name, tally in Simulation(load, is_fair, seed).run().items():
            total[name].asked += tally.asked
            total[name].served += tally.served
            total[name].in_target += tally.in_target
    return total


def whole(tallies: typing.Iterable[Tally]) -> Tally:
    """Return the sum of several workspaces.

    :param tallies: what became of the requests of each.
    """
    found = list(tallies)
    return Tally(*(sum(getattr(t, f.name) for t in found) for f in dataclasses.fields(Tally)))


def group(name: str) -> str:
    """Return the group of a workspace, the part of its name before the number.

    :param name: its name.
    """
    return name.partition("-")[0]


def _client(
    name: str,
    usual: float,
    factor: typing.Callable[[float], float] = lambda _: 1.0,
    priority: int = 0,
    entries: typing.Callable[[float], typing.Sequence[int]] = lambda _: range(ENTRIES),
) -> Client:
    """Return a workspace whose quota is 1.6 times its usual demand."""
    rate_per_s = 1.6 * usual * CAPACITY_PER_S
    workspace = workspaces.Workspace(name, (), priority, rate_per_s)
    return Client(workspace, lambda s: usual * factor(s), entries)


def _many(
    name: str,
    count: int,
    whole_demand: float,
    factor: typing.Callable[[float], float] = lambda _: 1.0,
    priority: int = 0,
) -> list[Client]:
    each = whole_demand / count
    return [_client(f"{name}-{n}", each, factor, priority) for n in range(count)]


def loads() -> list[Load]:
    """Return the loads that are measured; demands are shares of what the servers can take."""
    some = [*range(3)], [*range(9, 12)], [*range(18, 21)]
    small = _many("small", 30, 0.65)
    return [
        Load("one at 7.5 times", (*small, _client("hot", 0.15, lambda _: 7.5))),
        Load(
            "7.5 times, at 3 entries that change",
            (*small, _client("hot", 0.15, lambda _: 7.5, 0, lambda s: some[int(s / 7) % 3])),
        ),
        Load("small beside large", (*_many("small", 40, 0.7), _client("large", 1.0))),
        Load(
            "two classes", (*_many("urgent", 15, 0.8), *_many("other", 15, 0.8, lambda _: 1.0, 1))
        ),
        Load(
            "three classes, 0.9 of capacity",
            (
                *_many("urgent", 10, 0.3),
                *_many("second", 10, 0.3, priority=1),
                *_many("third", 10, 0.3, priority=2),
            ),
        ),
        Load(
            "two classes, one hot",
            (
                *_many("urgent", 10, 0.5),
                _client("hot", 0.15, lambda _: 7.5),
                *_many("other", 15, 0.4, lambda _: 1.0, 1),
            ),
        ),
        Load(
            "1.7 for 3 s",
            tuple(_many("small", 30, 0.85, lambda s: 2.0 if 8 <= s < 11 else 1.0)),
            8.0,
            11.0,
        ),
        Load(
            "demand that moves",
            (
                *_many("even", 10, 0.6, lambda s: 2.5 if int(s / 3) % 2 else 0.5),
                *_many("odd", 10, 0.6, lambda s: 0.5 if int(s / 3) % 2 else 2.5),
            ),
        ),
    ]


def rows(load: Load, seeds: typing.Sequence[int] = SEEDS) -> list[Row]:
    """Return the served shares of each group of workspaces.

    :param load: the load.
    :param seeds: the seeds.
    """
    before, fair = play(load, False, seeds), play(load, True, seeds)
    all_before, all_fair = whole(before.values()).ratio, whole(fair.values()).ratio
    found = []
    for name in dict.fromkeys(group(c.workspace.name) for c in load.clients):
        befores = [t for n, t in before.items() if group(n) == name]
        fairs = [t for n, t in fair.items() if group(n) == name]
        found.append(
            Row(
                load.name,
                name,
                whole(fairs).asked,
                whole(befores).ratio,
                whole(fairs).ratio,
                min(t.ratio for t in befores) / all_before,
                min(t.ratio for t in fairs) / all_fair,
            )
        )
    return found


def measure() -> list[Row]:
    """Return the served shares under all loads."""
    return [row for load in loads() for row in rows(load)]


def return_peak(load: Load, is_fair: bool, seed: int, window_ms: int = 200) -> float:
    """Return the returns in the busiest window over the mean, if all refused callers came back.

    :param load: the load.
    :param is_fair: whether entries know the workspaces of requests.
    :param seed: the seed.
    :param window_ms: the length of a window.
    """
    simulation = Simulation(load, is_fair, seed)
    simulation.run()
    windows = collections.Counter(int((t + w) / window_ms) for t, w in simulation.waits_ms)
    return max(windows.values()) / statistics.mean(windows.values())
