"""Fakes at the interfaces: real entries on virtual time, with a fake network, platform, servers.

Every service of an entry runs as it is; only the transport of peers, the platform client and the
forwarder are replaced, and the clock is trio's virtual one, so a minute takes no minute.
"""

import collections
import dataclasses
import random
import uuid

import anyio
import msgspec
import trio
import trio.testing

from sassafraslock import asgi, clock, entry, errors, platform, settings, shared_settings
from sassafraslock.decisions import breaker, retry, revisions
from sassafraslock.services import exchanges, forwarder
from sassafraslock.standin import platform as standin

EPOCH_MS = 1_800_000_000_000
TOKEN = "virtual-token"
SERVICE = "kocar/logbook"


def virtual_ms():
    return int(trio.current_time() * 1000)


def virtual_wall_ms():
    return EPOCH_MS + virtual_ms()


@dataclasses.dataclass(slots=True)
class Network:
    """Delays and faults between entries, by entry id."""

    zone_ms: float = 1.5
    region_ms: float = 55.0
    loss_ratio: float = 0.0
    cut: set = dataclasses.field(default_factory=set)

    def is_cut(self, one, other):
        return frozenset((one, other)) in self.cut


class VirtualTransport:
    """Carries messages between the world's entries."""

    def __init__(self, world, entry_id):
        self.world, self.entry_id = world, entry_id
        self.deliver = None

    def send(self, address, raw):
        target = self.world.by_peer_address.get(address)
        if target is not None:
            self.world.spawn(self._carry, target, raw)
        return True

    async def _carry(self, target, raw):
        world = self.world
        lost = world.random.random() < world.network.loss_ratio
        if lost or world.network.is_cut(self.entry_id, target):
            return
        await anyio.sleep(world.delay_s(self.entry_id, target))
        receiver = world.transports.get(target)
        if receiver and receiver.deliver and not world.network.is_cut(self.entry_id, target):
            receiver.deliver(raw)

    async def run(self, deliver, ready):
        self.deliver = deliver
        ready.set()
        try:
            await anyio.sleep_forever()
        finally:
            self.deliver = None


class VirtualPlatform:
    """The platform as one entry reaches it."""

    def __init__(self, world, entry_id, timeout_ms):
        self.world, self.entry_id, self.timeout_ms = world, entry_id, timeout_ms
        self.breaker = breaker.Breaker()

    @property
    def available(self):
        return self.breaker.closed

    @property
    def last_ok_ms(self):
        return self.breaker.last_ok_ms

    async def run(self, ready):
        ready.set()
        await anyio.sleep_forever()

    async def _call(self, method, *arguments):
        if not self.breaker.allows(virtual_ms()):
            return standin.UNAVAILABLE
        result = standin.NO_ANSWER
        with anyio.move_on_after(self.timeout_ms / 1000):
            delay_s = self.world.store_delay_s(self.entry_id)
            await anyio.sleep(delay_s)
            if self.entry_id not in self.world.no_store:
                result = await method(*arguments)
                await anyio.sleep(delay_s)
        if isinstance(result, errors.Refusal):
            self.breaker.note_failure()
        else:
            self.breaker.note_success(virtual_ms())
        return result

    async def transact(self, transaction):
        return await self._call(self.world.faulty.transact, transaction)

    async def get_object(self, name):
        return await self._call(self.world.faulty.get_object, name)

    async def put_object(self, name, value):
        return await self._call(self.world.faulty.put_object, name, value)

    async def list_vms(self):
        return await self._call(self.world.faulty.list_vms)


@dataclasses.dataclass(slots=True)
class VirtualServer:
    """A backend server: limits are checked by itself, whatever entries believe."""

    server_id: str
    region: str
    slots: int
    work_ms: float = 20.0
    dead: bool = False
    draining: bool = False
    report: object = None
    running: int = 0
    over_limit: int = 0
    crashes: int = 0
    last_start_ms: int = 0
    starts: int = 0
    broken: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def crash(self):
        self.crashes += 1
        self.broken.set()
        self.broken = anyio.Event()


class VirtualForwarder:
    """Runs attempts on the world's servers and through its entries."""

    def __init__(self, world, entry_id):
        self.world, self.entry_id = world, entry_id

    async def run(self, ready):
        ready.set()
        await anyio.sleep_forever()

    async def attempt(self, address, connections, outgoing, left_ms, max_bytes):
        result = None
        with anyio.move_on_after(left_ms / 1000):
            result = await self._exchange(address, outgoing)
        return result or forwarder.Attempt(retry.AttemptEnd.TIMED_OUT, reason="late")

    async def _exchange(self, address, outgoing):
        world = self.world
        server = world.by_address.get(address)
        if server is not None:
            return await self._on_server(server, outgoing)
        target = world.by_caller_address[address]
        if target not in world.entries or world.network.is_cut(self.entry_id, target):
            await anyio.sleep(world.delay_s(self.entry_id, target))
            return forwarder.Attempt(retry.AttemptEnd.NOT_SENT, reason="unreachable")
        await anyio.sleep(world.delay_s(self.entry_id, target))
        attempt = await world.through(target, outgoing)
        await anyio.sleep(world.delay_s(self.entry_id, target))
        if world.network.is_cut(self.entry_id, target):
            await anyio.sleep_forever()
        return attempt

    async def _on_server(self, server, outgoing):
        if server.dead:
            return forwarder.Attempt(retry.AttemptEnd.NOT_SENT, reason="refused")
        if outgoing.target == "/healthz":
            report = server.report or {"load": server.running / server.slots}
            body = msgspec.json.encode({**report, "draining": server.draining})
            return forwarder.Attempt(retry.AttemptEnd.ANSWERED, 200, [], body)
        return await self.world.run_on(server, outgoing)


class World:
    """Entries, servers and a platform of one firm on virtual time."""

    def __init__(self, seed=1, regions=("r1", "r2", "r3"), entries_per_region=3):
        self.random = random.Random(seed)
        random.seed(seed)
        self.network = Network()
        self.memory = standin.MemoryPlatform()
        self.faulty = standin.FaultyPlatform(self.memory, standin.Faults(), seed)
        self.regions = regions
        self.servers, self.by_address = {}, {}
        self.entries, self.transports, self.process = {}, {}, {}
        self.by_peer_address, self.by_caller_address = {}, {}
        self.no_store = set()
        self.teams = {}
        self.runs = collections.Counter()
        self.link_bytes = collections.Counter()
        self.poison = b"\0never"
        self.group = None
        for region in regions:
            for number in range(entries_per_region):
                self._add_process(region, f"{region}-{number}")

    def _add_process(self, region, entry_id):
        port = 1000 + len(self.process)
        process = settings.Settings(
            entry_id,
            region,
            "ab"[len(self.process) % 2],
            settings.Address("10.0.0.1", port),
            settings.Address("10.0.0.2", port),
            settings.Operator("10.0.0.3", port, TOKEN),
            settings.Platform("10.0.0.4", 1, self.regions[0], timeout_ms=1000),
            TOKEN,
        )
        self.process[entry_id] = process
        self.by_peer_address[str(process.peer)] = entry_id
        self.by_caller_address[str(process.caller)] = entry_id
        for known in self.process.values():
            known.peers = [p.peer for p in self.process.values()]

    def add_service(self, name, servers_per_region=2, slots=3, **rules):
        team, _, short = name.partition("/")
        service = shared_settings.Service(servers={}, **rules)
        for region in self.regions:
            for number in range(servers_per_region):
                server_id = f"{short}-{region}-{number}"
                port = 2000 + len(self.servers)
                service.servers[server_id] = shared_settings.Server(
                    region, "a", "10.1.0.1", port, slots
                )
                server = VirtualServer(server_id, region, slots)
                self.servers[server_id] = self.by_address[f"10.1.0.1:{port}"] = server
        subtree = self.teams.setdefault(team, shared_settings.TeamSettings())
        subtree.services[short] = service

    def accept_settings(self, link_bytes_per_s=35_000_000, max_in_flight=1000, **claims):
        pairs = [[a, b] for a in self.regions for b in self.regions if a < b]
        self.teams["system"] = shared_settings.TeamSettings(
            regions={r: shared_settings.Region(max_in_flight) for r in self.regions},
            links=[shared_settings.Link(pair, link_bytes_per_s) for pair in pairs],
            claims=shared_settings.Claims(**claims),
        )
        for team, subtree in self.teams.items():
            row = revisions.SubtreeRow(1, "initial", msgspec.json.encode(subtree))
            put = platform.Put(revisions.settings_key(team), msgspec.msgpack.encode(row))
            self.memory.apply(platform.Transaction(puts=[put]))

    def spawn(self, function, *arguments):
        if self.group is not None:
            self.group.start_soon(function, *arguments)

    def delay_s(self, one, other):
        same = self.process[one].region == self.process[other].region
        return (self.network.zone_ms if same else self.network.region_ms) / 1000

    def store_delay_s(self, entry_id):
        near = self.process[entry_id].region == self.regions[0]
        return (self.network.zone_ms if near else self.network.region_ms) / 1000

    def start(self, entry_id):
        transport = VirtualTransport(self, entry_id)
        outside = entry.Outside(
            VirtualPlatform(self, entry_id, 1000), transport, VirtualForwarder(self, entry_id)
        )
        one = entry.Entry(self.process[entry_id], outside)
        self.transports[entry_id] = transport
        self.entries[entry_id] = one
        self.memory.vms[entry_id] = platform.Vm(entry_id)
        self.spawn(one.run)
        return one

    def kill(self, entry_id, vm_gone=False):
        self.entries.pop(entry_id).kernel.kill()
        self.transports.pop(entry_id)
        if vm_gone:
            self.memory.vms.pop(entry_id, None)

    async def stop(self, entry_id):
        one = self.entries[entry_id]
        one.kernel.request_stop()

    def part(self, entry_id, name):
        return self.entries[entry_id].kernel.find(name)

    async def through(self, entry_id, outgoing):
        """Run a request at an entry and return the answer as a caller would see it."""
        path, _, query = outgoing.target.partition("?")
        request = asgi.Request(outgoing.method, path, query, outgoing.headers)
        received = [{"type": "http.request", "body": outgoing.body}]

        async def receive():
            return received.pop()

        handler = self.part(entry_id, "path")
        result = await handler.handle(request, receive, "10.9.9.9")
        if isinstance(result, errors.Refusal):
            return _as_answer(result)
        return result

    async def run_on(self, server, outgoing):
        headers = dict(outgoing.headers)
        key = headers.get(exchanges.KEY_HEADER, b"")
        server.running += 1
        server.starts += 1
        server.last_start_ms = virtual_ms()
        server.over_limit += server.running > server.slots
        if key:
            self.runs[key.decode()] += 1
        broke = False
        try:
            if self.poison in outgoing.body + outgoing.target.encode():
                server.crash()
                broke = True
            else:
                broken = server.broken
                with anyio.move_on_after(server.work_ms / 1000):
                    await broken.wait()
                    broke = True
        finally:
            server.running -= 1
        if broke or server.dead:
            return forwarder.Attempt(retry.AttemptEnd.BROKE_MID_RUN, reason="reset")
        head = [(b"x-server", server.server_id.encode()), (b"content-length", b"2")]
        return forwarder.Attempt(retry.AttemptEnd.ANSWERED, 200, head, b"ok")

    async def request(self, entry_id, service, method="GET", path="/x", body=b"", **headers):
        """Send one request as a caller; headers are named key, client and deadline_ms."""
        named = [
            (f"sassafraslock-{n.replace('_', '-')}".encode(), str(v).encode())
            for n, v in headers.items()
        ]
        outgoing = forwarder.Outgoing(method, f"/{service}{path}", named, body)
        return await self.through(entry_id, outgoing)

    async def settle(self, seconds=6.0):
        await anyio.sleep(seconds)

    @property
    def over_limit(self):
        return sum(s.over_limit for s in self.servers.values())


def _as_answer(refusal):
    named = [
        (exchanges.ERROR_HEADER, refusal.kind.value.encode()),
        (forwarder.NOT_RUN_HEADER, b"true" if refusal.answer.not_run else b"false"),
    ]
    end = retry.AttemptEnd.ANSWERED
    if refusal.answer.not_run:
        end = retry.AttemptEnd.REFUSED_NOT_RUN
    return forwarder.Attempt(end, refusal.answer.status, named, refusal.reason.encode())


def new_key(now_ms):
    """Return a UUID of version 7 for a moment of virtual time, from the seeded source."""
    low = random.getrandbits(12) << 64 | 0b10 << 62 | random.getrandbits(62)
    return str(uuid.UUID(int=now_ms << 80 | 7 << 76 | low))


async def build(world, **rules):
    world.add_service(SERVICE, **rules)
    world.accept_settings()
    for entry_id in list(world.process):
        world.start(entry_id)
    await world.settle()


def kind_of(attempt):
    """Return the error kind of an answer, or ``answered``."""
    return attempt.header(exchanges.ERROR_HEADER).decode() or "answered"


def run(scenario, monkeypatch, **arguments):
    """Run a scenario on virtual time: an async function that takes a started world."""
    monkeypatch.setattr(clock, "monotonic_ms", virtual_ms)
    monkeypatch.setattr(clock, "wall_ms", virtual_wall_ms)

    async def main():
        world = World(**arguments)
        async with anyio.create_task_group() as group:
            world.group = group
            await scenario(world)
            group.cancel_scope.cancel()

    # trio runs tasks that are ready in random order; the seed makes it the same each time
    monkeypatch.setattr(trio._core._run, "_r", random.Random(1))
    options = {"clock": trio.testing.MockClock(autojump_threshold=0)}
    anyio.run(main, backend="trio", backend_options=options)
