"""Complete entries in one process and in virtual time, before servers that end and start again.

No byte crosses a real socket. Each entry has an event loop of its own, so that it can stand still
or end as a process does.
"""

import asyncio
import bisect
import collections
import dataclasses
import random

import anyio

from sassafraslock import edge, edge_settings, facts, http_messages, store_version
from sassafraslock.services import log_writer
from tests import edge_world, fact_source, fleet_loop, fleet_servers

NAMES = edge_world.NAMES
ZONES = 3
START_S = 0.05
STORE_CALL_S = 0.01
WRITE_DELAY_S = 0.2
CLIENT_LIMIT_S = 2.5
CLOCK_OFFSET_MS = 500_000  # the store's steady clock started before those of the entries
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
    entry: str = ""
    credential: bytes = b""


class Store(fact_source.FakeSource):
    """The platform's store; while it is away, calls are refused and nothing is written.

    Each reader sees a change after a delay of its own.
    """

    def __init__(self, network):
        super().__init__()
        self.network = network
        self._written = collections.defaultdict(list)
        self._polls = {}

    def add_reader(self, reader):
        self._polls[reader] = []

    def put(self, topic, key, **fact):
        super().put(topic, key, **fact)
        self._written[topic].append((self.version, self.network.now_s, self.history[-1]))
        for reader in self._polls:
            self.network.after(reader.delay_s, self._answer_polls, reader)

    def set_away(self, is_away):
        self.is_unavailable = is_away
        for reader in self._polls:
            self._answer_polls(reader)

    def poll(self, reader, topic, after):
        """Return a future of the changes; they are those of the moment of the answer."""
        poll = _Poll(asyncio.get_running_loop().create_future(), topic, after)
        if not self._answer(reader, poll):
            self._polls[reader].append(poll)
        return poll.answer

    def _answer_polls(self, reader):
        self._polls[reader] = [p for p in self._polls[reader] if not self._answer(reader, p)]

    def _answer(self, reader, poll):
        """Answer a poll if there is something to tell, and return whether it is settled."""
        if poll.answer.done():
            return True
        if self.is_unavailable:
            self.network.after(STORE_CALL_S, _settle, poll.answer, fact_source.UNAVAILABLE)
            return True
        seen = self._seen(poll, self.network.now_s - reader.delay_s)
        if seen:
            told_ms = self.clock_ms(reader.delay_s)
            batch = facts.Batch(tuple(seen), seen[-1].version, told_ms)
            self.network.after(STORE_CALL_S, _settle, poll.answer, batch)
        return bool(seen)

    def clock_ms(self, ago_s):
        """Return what the store's steady clock showed a while ago."""
        return int(1_000 * (self.network.now_s - ago_s)) + CLOCK_OFFSET_MS

    def _seen(self, poll, until_s):
        written = self._written[poll.topic]
        first = bisect.bisect_right(written, store_version.number(poll.after), key=_version_of)
        return [change for _, at_s, change in written[first:] if at_s <= until_s]


def _version_of(written):
    return written[0]


@dataclasses.dataclass(slots=True)
class _Poll:
    answer: asyncio.Future
    topic: object
    after: int


def _settle(answer, result):
    if not answer.done() and not answer.get_loop().is_closed():
        answer.set_result(result)


class StoreReader:
    """The store as one entry reads it, after a delay of its own.

    An entry that is turned away gets no answers, while others do.
    """

    operator_topics = fact_source.FakeSource.operator_topics

    def __init__(self, store, delay_s):
        self._store, self.delay_s = store, delay_s
        self.is_turned_away = False
        store.add_reader(self)

    async def read_all(self, topic):
        await anyio.sleep(STORE_CALL_S)
        batch = await self._store.read_all(topic)
        if self.is_turned_away or not isinstance(batch, facts.Batch):
            return fact_source.UNAVAILABLE
        return dataclasses.replace(batch, store_now_ms=self._store.clock_ms(0))

    async def read_changes(self, topic, after, wait_ms):
        if self.is_turned_away:
            await anyio.sleep(STORE_CALL_S)
            return fact_source.UNAVAILABLE
        with anyio.move_on_after(max(2 * STORE_CALL_S, wait_ms / 1000)):
            return await self._store.poll(self, topic, after)
        if self._store.is_unavailable:
            return fact_source.UNAVAILABLE
        # A change of the last moment may be under way.
        return facts.Batch((), after, self._store.clock_ms(STORE_CALL_S + self.delay_s))

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
        self.loop = fleet_loop.EntryLoop(self.world.network, self.settings.entry_id)
        self.edge = None
        self.loop.create_task(self._run())

    async def _run(self):
        self.reader = reader = StoreReader(self.world.store, self._feed_delay_s)
        built = edge.Edge(
            self.settings,
            reader,
            edge_world.HandlerFactory(),
            NAMES,
            log_writer.BufferedLogHandler(),
        )
        peers = self.world.peers_type
        built.replica.set_fallback(peers(self.world, self) if peers else None)
        built.gossip._rng = random.Random(self._seed)
        for name in LEFT_OUT:
            if name in built.kernel._services:
                built.kernel._services[name].service = _IdleService()
        self.edge = built
        await built.kernel.run(1_300)

    @property
    def is_open(self):
        """Whether clients may connect; those of a process that stands still don't know."""
        return self.edge is not None and self.edge.is_ready

    def end(self):
        self.loop.end()
        self.edge = None

    def restart(self, down_s):
        """End the process, and start another one ``down_s`` later."""
        self.end()
        self.world.network.after(down_s, self.start)

    def hold(self):
        self.loop.hold()

    def release(self):
        """Let the process go on, with all that has come meanwhile."""
        self.loop.release()
        unread, self.unread = self.unread, []
        for sent_s, key, credential in unread:
            if self.world.network.now_s < sent_s + UNREAD_LIMIT_S:
                self.request(sent_s, key, credential)
            else:
                self.world.answers.append(Answer(sent_s, sent_s + UNREAD_LIMIT_S, 0))

    def request(self, sent_s, key, credential=b""):
        """Take a client's request, which waits while the process is held."""
        if self.loop.is_held:
            self.unread.append((sent_s, key, credential))
        else:
            self.loop.create_task(self._serve(sent_s, key, credential))

    async def _serve(self, sent_s, key, credential):
        world = self.world
        now_s = world.network.now_s
        left_s = CLIENT_LIMIT_S - (now_s - sent_s)
        headers = [(b"host", b"h"), (NAMES.request_id, world.next_id())]
        headers.append((NAMES.object_key, key.encode()))
        headers.append((NAMES.deadline_ms, b"%d" % int(1_000 * left_s)))
        headers += [(NAMES.credential, credential)] if credential else []
        request = http_messages.Request(
            "GET", f"/x/{key}", headers, b"", "10.9.0.1", world.network.now_ms()
        )
        status, retry_after = 0, b""
        with anyio.move_on_after(left_s):
            response = await self.edge.pipeline(request)
            status, retry_after = response.status, response.header(b"retry-after")
        entry_id = self.settings.entry_id
        answer = Answer(sent_s, world.network.now_s, status, retry_after, entry_id, credential)
        world.answers.append(answer)


class World:
    """Entries, servers, the store and clients, driven by one seed.

    ``peers_type`` builds an entry's source of other entries' copies; by default it has none.
    """

    peers_type = None

    def __init__(self, shape, seed, feed_delay_s):
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
        self.restarted = self.machines[: shape.restarted]
        settings = [self._settings(n) for n in range(shape.entries)]
        for each in settings:
            self.store.put_registration(each)
        self.entries = [
            Entry(self, each, self.random.uniform(*feed_delay_s), self.random.random())
            for each in settings
        ]

    @property
    def warm_rate_per_s(self):
        """The requests per second that fill all servers while they are warm."""
        return self.shape.servers * fleet_servers.SLOTS / fleet_servers.WARM_WORK_S

    def draw_credential(self):
        """Return the key that the next request has, empty for none."""
        return b""

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

    def introduce(self):
        """Let all entries know each other, as after a while of gossip."""
        self.run(START_S)
        records = [entry.edge.member_record(0) for entry in self.entries]
        for entry in self.entries:
            for record in records:
                entry.edge.gossip.roster.merge_record(record, self.network.now_ms())

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
        key = f"k{self.random.randrange(self.shape.keys)}"
        drawn = self.random.sample(self.entries, len(self.entries))
        entry = next((entry for entry in drawn if entry.is_open), None)
        if entry is not None:
            entry.request(self.network.now_s, key, self.draw_credential())
        self.network.after(self.random.expovariate(self.rate_per_s), self._send_next)

    def close(self):
        for entry in self.entries:
            if not entry.loop.is_closed():
                entry.loop.end()

    def worst_second(self, since_s=0.0):
        """Return the requests of the second in which a cold server got most."""
        starts = [start for machine in self.machines for start in machine.cold_arrivals]
        late = [[a for a in start if a.sent_s >= since_s] for start in starts]
        return max(map(fleet_servers.worst_second, late), key=len, default=[])
