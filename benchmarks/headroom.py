"""How much of a region's slots each policy uses when several entries decide at once.

All policies get the same arrivals on virtual time. A dispatch to a server without a free slot is
counted as above the limit and shed by the server. Reports are 5 s old, as the worst case says.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import typing

import msgspec

from benchmarks import slopes
from sassafraslock import errors, messages
from sassafraslock.decisions import borrow, slots

SERVICE = "kocar/logbook"
REPORT_AGE_MS = 5_000
HEARTBEAT_MS = 500
MAX_WAIT_MS = 1_000
RECHECK_MS = 20
LEND_WAIT_MS = 200
SECONDS = 20
SKEW = (0.4, 0.3, 0.2, 0.1)


@dataclasses.dataclass(slots=True, frozen=True)
class Shape:
    """One region of a firm as the brief sizes it."""

    name: str
    servers: int
    slots: int
    entries: int
    zone_delay_ms: float
    work_ms: float = 40.0


SHAPES = [
    Shape("kocar logbook", 8, 3, 4, 1.5),
    Shape("kocar ledger", 4, 3, 4, 1.5),
    Shape("kocar one server", 1, 3, 4, 1.5),
    Shape("pryce notice-desk", 12, 6, 4, 1.0),
]
LOADS = (0.7, 0.95, 1.2)


@dataclasses.dataclass(slots=True)
class Work:
    """One request: when it came, at which entry, and how long it runs."""

    at_ms: float
    entry: int
    work_ms: float


@dataclasses.dataclass(slots=True)
class Result:
    """What a policy made of the arrivals."""

    admitted: int = 0
    admitted_work_ms: float = 0.0
    above_limit: int = 0
    refused: int = 0
    took_ms: list[float] = dataclasses.field(default_factory=list)

    def quantile_ms(self, part: float) -> float:
        """Return a quantile of the time from arrival to end.

        :param part: from 0 to 1.
        """
        ordered = sorted(self.took_ms)
        return ordered[int(part * (len(ordered) - 1))] if ordered else 0.0


class Timeline:
    """Virtual time: callbacks in order of their moment."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._queue: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, at_ms: float, callback: typing.Callable[[], None]) -> None:
        """Call a function at a moment.

        :param at_ms: the moment.
        :param callback: the function.
        """
        heapq.heappush(self._queue, (at_ms, next(self._numbers), callback))

    def run(self, until_ms: float) -> None:
        """Run until a moment.

        :param until_ms: the moment.
        """
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self._queue)
            callback()


def arrivals(shape: Shape, load: float, seed: int) -> list[Work]:
    """Return random arrivals, skewed between the entries.

    :param shape: the region.
    :param load: the offered part of all slots.
    :param seed: the seed.
    """
    source = random.Random(seed)
    rate = load * shape.servers * shape.slots / shape.work_ms
    found, at_ms = [], 0.0
    while at_ms < SECONDS * 1000:
        at_ms += source.expovariate(rate)
        entry = source.choices(range(shape.entries), SKEW[: shape.entries])[0]
        found.append(Work(at_ms, entry, source.expovariate(1 / shape.work_ms)))
    return found


class Policy:
    """Runs arrivals; subclasses choose the server."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape = shape
        self.timeline = Timeline()
        self.random = random.Random(seed)
        self.result = Result()
        self.running = [0] * shape.servers

    def run(self, works: list[Work]) -> Result:
        """Run all arrivals and return what became of them.

        :param works: the arrivals.
        """
        for work in works:
            self.timeline.at(work.at_ms, lambda w=work: self.arrive(w))  # type: ignore[misc]
        self.start()
        self.timeline.run(SECONDS * 1000 + 5 * MAX_WAIT_MS)
        return self.result

    def start(self) -> None:
        """Prepare timers; most policies have none."""

    def arrive(self, work: Work) -> None:
        """Decide on an arrival.

        :param work: the request.
        """
        raise NotImplementedError

    def dispatch(self, work: Work, server: int, ended: typing.Callable[[], None]) -> None:
        """Run a request on a server, which sheds it above its limit.

        :param work: the request.
        :param server: the server's number.
        :param ended: called when the slot is free again.
        """
        if self.running[server] >= self.shape.slots:
            self.result.above_limit += 1
            self.result.refused += 1
            ended()
            return
        self.running[server] += 1
        end_ms = self.timeline.now_ms + work.work_ms

        def finish() -> None:
            self.running[server] -= 1
            self.result.admitted += 1
            self.result.admitted_work_ms += work.work_ms
            self.result.took_ms.append(end_ms - work.at_ms)
            ended()

        self.timeline.at(end_ms, finish)


class AllKnowing(Policy):
    """One entry that knows every server's use at once and queues for the next free slot."""

    def start(self) -> None:
        """Prepare the queue."""
        self.queue: list[Work] = []

    def arrive(self, work: Work) -> None:
        """Queue and serve.

        :param work: the request.
        """
        self.queue.append(work)
        self.serve()

    def serve(self) -> None:
        """Give free slots to waiting requests in order."""
        while self.queue:
            if self.timeline.now_ms - self.queue[0].at_ms > MAX_WAIT_MS:
                self.queue.pop(0)
                self.result.refused += 1
                continue
            server = min(range(self.shape.servers), key=lambda s: self.running[s])
            if self.running[server] >= self.shape.slots:
                return
            self.dispatch(self.queue.pop(0), server, self.serve)


class RoundRobin(Policy):
    """Each entry takes the servers in turn."""

    def start(self) -> None:
        """Start each entry at another server."""
        self.turns = [itertools.count(e) for e in range(self.shape.entries)]

    def arrive(self, work: Work) -> None:
        """Send to the next server.

        :param work: the request.
        """
        self.dispatch(work, next(self.turns[work.entry]) % self.shape.servers, lambda: None)


class LeastReported(Policy):
    """Each entry takes the server with the least reported load."""

    candidates = 0

    def start(self) -> None:
        """Start the reports."""
        self.reports = [0] * self.shape.servers
        self.report()

    def report(self) -> None:
        """Take over the servers' use as it is now; it stays until the next report."""
        self.reports = list(self.running)
        if self.timeline.now_ms < SECONDS * 1000:
            self.timeline.at(self.timeline.now_ms + REPORT_AGE_MS, self.report)

    def arrive(self, work: Work) -> None:
        """Send to the least loaded of some servers.

        :param work: the request.
        """
        servers = list(range(self.shape.servers))
        if self.candidates:
            servers = self.random.sample(servers, min(self.candidates, len(servers)))
        server = min(servers, key=lambda s: (self.reports[s], self.random.random()))
        self.dispatch(work, server, lambda: None)


class PowerOfTwo(LeastReported):
    """Each entry takes the less loaded, by report, of two random servers."""

    candidates = 2


class Stewards(Policy):
    """The deciders of this project: each server's slots at one steward, lent on request."""

    lending = True

    def start(self) -> None:
        """Give servers to entries and start heartbeats."""
        self.pools = [slots.SlotPool(0.0) for _ in range(self.shape.entries)]
        for server in range(self.shape.servers):
            self.hold(server)
        self.borrowers = [borrow.Borrower() for _ in range(self.shape.entries)]
        self.heartbeats: list[messages.Heartbeat] = []
        self.ids = itertools.count()
        self.waiting: dict[str, typing.Callable[[slots.Grant], None]] = {}
        self.beat(1)

    def hold(self, server: int) -> None:
        """Give one server to its steward.

        :param server: the server's number.
        """
        steward = self.pools[server % self.shape.entries]
        steward.hold(str(server), self.shape.slots, 0, True)

    def beat(self, sequence: int) -> None:
        """Tell all entries of free slots.

        :param sequence: the heartbeat's number.
        """
        now_ms = int(self.timeline.now_ms)
        self.heartbeats = [
            msgspec.structs.replace(
                slopes.heartbeat(str(entry), 0), sequence=sequence, services=_loads(pool, now_ms)
            )
            for entry, pool in enumerate(self.pools)
        ]
        if now_ms < SECONDS * 1000:
            self.timeline.at(now_ms + HEARTBEAT_MS, lambda: self.beat(sequence + 1))

    def arrive(self, work: Work) -> None:
        """Try own slots, then queue for one and ask peers meanwhile.

        :param work: the request.
        """
        pool = self.pools[work.entry]
        if self.lending and not pool.total:
            self.forward(work)
            return
        grant = (
            errors.Refusal(errors.ErrorKind.NO_CAPACITY, "") if pool.waiting else self.grant(pool)
        )
        if isinstance(grant, slots.Grant):
            self.use(work, pool, grant, 0.0)
            return
        ticket = self.queue(pool, work, 0.0) if pool.total else ""
        self.look_around(work, ticket)

    def forward(self, work: Work) -> None:
        """Send a request whole to a steward, where this entry has no slot at all.

        :param work: the request.
        """
        now_ms = int(self.timeline.now_ms)
        peer = self.borrowers[work.entry].choose(SERVICE, self.heartbeats, False, now_ms)
        if peer is None:
            raise LookupError("no entry holds a slot")
        moved = dataclasses.replace(work, entry=int(peer.sender))
        there_ms = self.timeline.now_ms + self.shape.zone_delay_ms
        self.timeline.at(there_ms, lambda: self.arrive(moved))

    def queue(self, pool: slots.SlotPool, work: Work, delay_ms: float) -> str:
        """Queue a request at a steward.

        :param pool: the steward's pool.
        :param work: the request.
        :param delay_ms: how far the steward is.
        """
        ticket = str(next(self.ids))
        self.waiting[ticket] = lambda grant: self.use(work, pool, grant, delay_ms)
        deadline_ms = int(work.at_ms) + 5_000
        pool.wait(slots.Waiter(ticket, False, deadline_ms, int(work.at_ms) + MAX_WAIT_MS))
        return ticket

    def look_around(self, work: Work, ticket: str) -> None:
        """Ask peers for a slot until one is granted or the wait is over.

        :param work: the request.
        :param ticket: its place in the own queue, if it has one.
        """
        if ticket and ticket not in self.waiting:
            return
        if self.timeline.now_ms - work.at_ms > MAX_WAIT_MS:
            self.waiting.pop(ticket, None)
            self.pools[work.entry].cancel(ticket)
            self.result.refused += 1
            return
        peer = None
        if self.lending:
            others = [h for h in self.heartbeats if h.sender != str(work.entry)]
            now_ms = int(self.timeline.now_ms)
            peer = self.borrowers[work.entry].choose(SERVICE, others, bool(ticket), now_ms)
        if peer is None:
            later_ms = self.timeline.now_ms + RECHECK_MS
            self.timeline.at(later_ms, lambda: self.look_around(work, ticket))
            return
        self.borrowers[work.entry].note_asked(SERVICE, peer)
        there_ms = self.timeline.now_ms + self.shape.zone_delay_ms
        self.timeline.at(there_ms, lambda: self.decide(work, peer, ticket))

    def decide(self, work: Work, peer: messages.Heartbeat, ticket: str) -> None:
        """Let a steward grant or queue; its answer takes its time.

        :param work: the request.
        :param peer: the steward.
        :param ticket: its place in the own queue, if it has one.
        """
        pool = self.pools[int(peer.sender)]
        answered = False

        def answer(grant: slots.Grant | None) -> None:
            nonlocal answered
            if answered:
                if grant:
                    self.release(pool, grant)
                return
            answered = True
            back_ms = self.timeline.now_ms + self.shape.zone_delay_ms
            self.timeline.at(back_ms, lambda: self.hear(work, peer, grant, ticket))

        grant = None if pool.waiting else self.grant(pool)
        if isinstance(grant, slots.Grant):
            answer(grant)
            return
        there = str(next(self.ids))
        self.waiting[there] = answer
        give_up_ms = self.timeline.now_ms + LEND_WAIT_MS
        pool.wait(slots.Waiter(there, False, int(work.at_ms) + 5_000, int(give_up_ms)))
        self.timeline.at(give_up_ms, lambda: answer(None))

    def hear(
        self, work: Work, peer: messages.Heartbeat, grant: slots.Grant | None, ticket: str
    ) -> None:
        """Take a steward's answer.

        :param work: the request.
        :param peer: the steward.
        :param grant: the slot, or none where the wait ran out.
        :param ticket: its place in the own queue, if it has one.
        """
        borrower = self.borrowers[work.entry]
        borrower.note_ended(SERVICE, peer)
        if grant is None:
            borrower.note_denied(SERVICE, peer, int(self.timeline.now_ms))
            self.look_around(work, ticket)
            return
        borrower.note_granted(SERVICE, peer)
        self.use_lent(work, self.pools[int(peer.sender)], grant, ticket)

    def use_lent(self, work: Work, pool: slots.SlotPool, grant: slots.Grant, ticket: str) -> None:
        """Use a lent slot, or give it back where an own one came first.

        :param work: the request.
        :param pool: the lender's pool.
        :param grant: the slot.
        :param ticket: its place in the own queue, if it has one.
        """
        if ticket and ticket not in self.waiting:
            back_ms = self.timeline.now_ms + self.shape.zone_delay_ms
            self.timeline.at(back_ms, lambda: self.release(pool, grant))
            return
        self.waiting.pop(ticket, None)
        self.pools[work.entry].cancel(ticket)
        self.use(work, pool, grant, self.shape.zone_delay_ms)

    def release(self, pool: slots.SlotPool, grant: slots.Grant) -> None:
        """Take a slot back and serve the queue.

        :param pool: the steward's pool.
        :param grant: the slot.
        """
        pool.release(grant.grant_id)
        for waiter, found in pool.grant_waiting(int(self.timeline.now_ms)):
            self.waiting.pop(waiter.ticket)(found)

    def grant(self, pool: slots.SlotPool) -> slots.Grant | errors.Refusal:
        """Ask a pool for a slot.

        :param pool: the pool.
        """
        now_ms = int(self.timeline.now_ms)
        return pool.acquire(str(next(self.ids)), False, now_ms + 60_000, [], now_ms)

    def use(self, work: Work, pool: slots.SlotPool, grant: slots.Grant, delay_ms: float) -> None:
        """Run a request on a granted slot.

        :param work: the request.
        :param pool: the pool of the steward.
        :param grant: the slot.
        :param delay_ms: how far the steward is.
        """

        def give_back() -> None:
            back_ms = self.timeline.now_ms + delay_ms
            self.timeline.at(back_ms, lambda: self.release(pool, grant))

        self.timeline.at(
            self.timeline.now_ms + delay_ms,
            lambda: self.dispatch(work, int(grant.server_id), give_back),
        )


def _loads(pool: slots.SlotPool, now_ms: int) -> dict[str, messages.ServiceLoad]:
    if not pool.total:
        return {}
    return {SERVICE: messages.ServiceLoad(pool.free(now_ms), pool.total, pool.waiting)}


class FixedSplit(Stewards):
    """Each server's slots split between the entries once and for all, nothing lent."""

    lending = False

    def hold(self, server: int) -> None:
        """Split one server's slots.

        :param server: the server's number.
        """
        for number in range(self.shape.slots):
            pool = self.pools[(server * self.shape.slots + number) % self.shape.entries]
            known = pool.servers.get(str(server))
            pool.hold(str(server), 1 + (known.limit if known else 0), 0, True)


POLICIES: dict[str, type[Policy]] = {
    "all-knowing": AllKnowing,
    "stewards, lending": Stewards,
    "fixed split": FixedSplit,
    "round robin": RoundRobin,
    "least reported": LeastReported,
    "power of two": PowerOfTwo,
}


@dataclasses.dataclass(slots=True)
class Line:
    """One row of the table."""

    shape: str
    load: float
    policy: str
    admitted_ratio: float
    above_limit: int
    refused: int
    p50_ms: float
    p99_ms: float


def measure(seed: int = 1) -> list[Line]:
    """Return a row for each shape, load and policy.

    :param seed: the seed of arrivals and choices.
    """
    lines = []
    for shape in SHAPES:
        for load in LOADS:
            works = arrivals(shape, load, seed)
            best_ms = AllKnowing(shape, seed).run(works).admitted_work_ms
            for name, policy in POLICIES.items():
                result = policy(shape, seed).run(works)
                lines.append(
                    Line(
                        shape.name,
                        load,
                        name,
                        result.admitted_work_ms / best_ms,
                        result.above_limit,
                        result.refused,
                        result.quantile_ms(0.5),
                        result.quantile_ms(0.99),
                    )
                )
    return lines
