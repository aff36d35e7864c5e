"""Complete entries in one process and in virtual time, before servers that end and start again.

No byte crosses a real socket. Each entry has an event loop of its own, so that it can stand still
or end as a process does.
"""

import asyncio
import collections
import dataclasses
import random

import anyio

from sassafraslock import edge, edge_settings, facts, http_messages
from sassafraslock.services import log_writer
from tests import edge_world, fact_source, fleet_loop, fleet_servers

NAMES = edge_world.NAMES
ZONES = 3
STORE_CALL_S = 0.01
WRITE_DELAY_S = 0.2
CLIENT_LIMIT_S = 2.5
UNREAD_LIMIT_S = 1.0  # after which clients abandon a connection that nobody reads
GOSSIP_PORT = 7_000
# These need real sockets or threads; whatever else an entry registers is run.
LEFT_OUT = (
    "log",
    "copies",
    "zone feed",
    "registration",
    "operators",
    "directory",
    "readiness",
    "metrics",
    "front",
)


@dataclasses.dataclass(slots=True)
class Shape:
    """The size of a fleet, and the bounds that the operator sets for its cold servers."""

    entries: int
    servers: int = 4
    restarted: int = 2
    cold_per_s: float = 4.9
    cold_slack: float = 5.0
    cold_overage: float = 1.5
    cold_start_s: float = 3.0
    keys: int = 60
    feed_delay_s: tuple = (0.02, 0.3)

    @property
    def bound(self):
        """The requests that a cold server may get in a second."""
        return self.cold_per_s * self.cold_overage + self.cold_slack


@dataclasses.dataclass(slots=True)
class Answer:
    """What became of a client's request; the status is 0 if the client gave up."""

    sent_s: float
    done_s: float
    status: int
    retry_after: bytes = b""


class Store(fact_source.FakeSource):
    """The platform's store; while it is away, calls are refused and nothing is written."""

    def __init__(self, network):
        super().__init__()
        self.network = network
        self._polls = []

    def put(self, topic, key, **fact):
        super().put(topic, key, **fact)
        self._answer_polls()

    def set_away(self, is_away):
        self.is_unavailable = is_away
        self._answer_polls()

    def poll(self, topic, after, delay_s):
        """Return a future of the changes; they are those of the moment of the first one."""
        poll = _Poll(asyncio.get_running_loop().create_future(), topic, after, delay_s)
        self._polls.append(poll)
        self._answer_polls()
        return poll.answer

    def _answer_polls(self):
        polls, self._polls = self._polls, []
        for poll in polls:
            if poll.answer.done():
                continue
            if self.is_unavailable:
                self.network.after(STORE_CALL_S, _settle, poll.answer, fact_source.UNAVAILABLE)
            elif changes := self._newer(poll.topic, poll.after):
                batch = self._batch(changes)
                self.network.after(poll.delay_s, _settle, poll.answer, batch)
            else:
                self._polls.append(poll)


@dataclasses.dataclass(slots=True)
class _Poll:
    answer: asyncio.Future
    topic: object
    after: int
    delay_s: float


def _settle(answer, result):
    if not answer.done() and not answer.get_loop().is_closed():
        answer.set_result(result)


class StoreReader:
    """The store as one entry reads it, after a delay of its own."""

    operator_topics = fact_source.FakeSource.operator_topics

    def __init__(self, store, delay_s):
        self._store, self._delay_s = store, delay_s

    async def read_all(self, topic):
        await anyio.sleep(STORE_CALL_S)
        return await self._store.read_all(topic)

    async def read_changes(self, topic, after, wait_ms):
        with anyio.move_on_after(wait_ms / 1000):
            return await self._store.poll(topic, after, self._delay_s)
        return facts.Batch((), after)

    async def register(self, registration):
        return await self._store.register(registration)


class _IdleService:
    """Stands in for a service that needs a real socket."""

    async def run(self, ready):
        ready.set()
        await anyio.sleep_forever()


class Entry:
    """One process: an edge with its own event loop."""

    def __init__(self, world, settings, feed_delay_s, seed):
        self.world, self.settings = world, settings
        self._feed_delay_s, self._seed = feed_delay_s, seed
        self.unread = []
        self.start()

    def start(self):
        self.loop = fleet_loop.EntryLoop(self.world.network)
        self.tasks = {}
        self.edge = None
        self.loop.create_task(self._run())

    async def _run(self):
        reader = StoreReader(self.world.store, self._feed_delay_s)
        built = edge.Edge(
            self.settings,
            reader,
            edge_world.HandlerFactory(),
            NAMES,
            log_writer.BufferedLogHandler(),
        )
        built.replica.set_fallback(None)
        built.gossip._rng = random.Random(self._seed)
        for name in LEFT_OUT:
            if name in built.kernel._services:
                built.kernel._services[name].service = _IdleService()
        self.edge = built
        await built.kernel.run(1_300)

    def end(self):
        self.loop.end()
        self.edge = None

    def hold(self):
        self.loop.hold()

    def release(self):
        """Let the process go on, with all that has come meanwhile."""
        self.loop.release()
        unread, self.unread = self.unread, []
        for sent_s, key in unread:
            if self.world.network.now_s < sent_s + UNREAD_LIMIT_S:
                self.request(sent_s, key)
            else:
                self.world.answers.append(Answer(sent_s, sent_s + UNREAD_LIMIT_S, 0))

    def request(self, sent_s, key):
        """Take a client's request, which waits while the process is held."""
        if self.edge is None or self.loop.is_closed():
            self.world.answers.append(Answer(sent_s, sent_s, 0))
        elif self.loop.is_held:
            self.unread.append((sent_s, key))
        else:
            self.loop.create_task(self._serve(sent_s, key))

    async def _serve(self, sent_s, key):
        world = self.world
        now_s = world.network.now_s
        left_s = CLIENT_LIMIT_S - (now_s - sent_s)
        headers = [(b"host", b"h"), (NAMES.request_id, world.next_id())]
        headers.append((NAMES.object_key, key.encode()))
        headers.append((NAMES.deadline_ms, b"%d" % int(1_000 * left_s)))
        request = http_messages.Request(
            "GET", f"/x/{key}", headers, b"", "10.9.0.1", world.network.now_ms()
        )
        status, retry_after = 0, b""
        with anyio.move_on_after(left_s):
            response = await self.edge.pipeline(request)
            status, retry_after = response.status, response.header(b"retry-after")
        world.answers.append(Answer(sent_s, world.network.now_s, status, retry_after))


class World:
    """Entries, servers, the store and clients, driven by one seed."""

    def __init__(self, shape, seed):
        self.shape = shape
        self.random = random.Random(seed)
        random.seed(seed)
        self.network = fleet_loop.Network()
        self.store = Store(self.network)
        self.answers = []
        self.rate_per_s = 0.0
        self._request_count = 0
        self._put_intents()
        self.machines = [self._machine(n) for n in range(shape.servers)]
        settings = [self._settings(n) for n in range(shape.entries)]
        for each in settings:
            self.store.put_registration(each)
        self.entries = [
            Entry(self, each, self.random.uniform(*shape.feed_delay_s), self.random.random())
            for each in settings
        ]

    @property
    def restarted(self):
        """The servers that end and start again."""
        return self.machines[: self.shape.restarted]

    @property
    def warm_rate_per_s(self):
        """The requests per second that fill all servers while they are warm."""
        return self.shape.servers * fleet_servers.SLOTS / fleet_servers.WARM_WORK_S

    def next_id(self):
        self._request_count += 1
        return b"q%d" % self._request_count

    def _put_intents(self):
        self.store.put_intents(1, [fact_source.route()], cold_per_s=self.shape.cold_per_s)

    def _settings(self, number):
        host = f"10.1.{number // 200}.{1 + number % 200}"
        gossip = f"{host}:{GOSSIP_PORT}"
        bounds = edge_settings.Bounds(
            cold_overage=self.shape.cold_overage, cold_slack=self.shape.cold_slack
        )
        return edge_settings.EdgeSettings(
            f"e-{number}",
            f"a-{number % ZONES}",
            "a",
            f"{host}:8000",
            "",
            "",
            gossip,
            bounds=bounds,
        )

    def _machine(self, number):
        address = f"10.2.0.{1 + number}:9000"
        zone = f"a-{number % ZONES}"
        cold_start_s = self.shape.cold_start_s
        machine = fleet_servers.Machine(self.network, f"i-{number}", address, zone, cold_start_s)
        machine.start(is_cold=False)
        self._write_row(machine, machine.process)
        machine.on_start = self._write_later
        first_s = fleet_servers.HEARTBEAT_S * self.random.random()
        self.network.after(first_s, self._beat, machine, machine.process)
        return machine

    def _write_later(self, machine):
        delay_s = self.random.uniform(0.5, 1.5) * WRITE_DELAY_S
        self.network.after(delay_s, self._beat, machine, machine.process)

    def _beat(self, machine, process):
        """Write a server's row now and at each heartbeat, for as long as this start runs."""
        if machine.process is not process:
            return
        if not self.store.is_unavailable:
            self._write_row(machine, process)
        self.network.after(fleet_servers.HEARTBEAT_S, self._beat, machine, process)

    def _write_row(self, machine, process):
        self.store.put_server(
            machine.server_id,
            machine.address,
            zone=machine.zone,
            slots=fleet_servers.SLOTS,
            cold_ms=process.cold_ms,
            tells_cold_time=True,
            born_ms=process.born_ms,
        )

    def run(self, for_s):
        self.network.run_until(self.network.now_s + for_s)

    def set_demand(self, ratio):
        """Let clients send a ratio of what fills all servers while they are warm."""
        was_idle = not self.rate_per_s
        self.rate_per_s = ratio * self.warm_rate_per_s
        if was_idle and self.rate_per_s:
            self._send_next()

    def _send_next(self):
        if not self.rate_per_s:
            return
        entry = self.random.choice(self.entries)
        key = f"k{self.random.randrange(self.shape.keys)}"
        entry.request(self.network.now_s, key)
        self.network.after(self.random.expovariate(self.rate_per_s), self._send_next)

    def close(self):
        for entry in self.entries:
            if not entry.loop.is_closed():
                entry.loop.end()

    def most_at_cold(self):
        """Return the most requests that a cold server got in a second, summed over entries."""
        starts = [start for machine in self.machines for start in machine.cold_arrivals]
        return max(map(fleet_servers.most_in_a_second, starts), default=0)

    def statuses(self):
        return collections.Counter(answer.status for answer in self.answers)
