"""Slopes of CPU, memory and bytes over size, for docs/CAPACITY.md."""

from __future__ import annotations

import dataclasses
import random
import time
import tracemalloc
import typing

import anyio
import msgspec

from sassafraslock import asgi, messages, platform, settings, shared_settings
from sassafraslock.decisions import cells, claims, client_blocks, membership, slots, view
from sassafraslock.services import caller_api, transport

Call = typing.Callable[[], object]
MIN_S = 0.15
MESSAGES = 400


@dataclasses.dataclass(slots=True)
class Point:
    """One figure at one size."""

    what: str
    size: int
    value: float
    unit: str


def time_us(call: Call) -> float:
    """Return the time of one call in microseconds.

    :param call: the function.
    """
    count = 1
    while True:
        started_s = time.perf_counter()
        for _ in range(count):
            call()
        took_s = time.perf_counter() - started_s
        if took_s >= MIN_S:
            return took_s / count * 1e6
        count *= 4


def memory_bytes(build: Call) -> tuple[int, object]:
    """Return the memory that a built object holds, and the object.

    :param build: makes the object.
    """
    tracemalloc.start()
    built = build()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes, built


def heartbeat(sender: str, services: int) -> messages.Heartbeat:
    """Return a heartbeat that names some services.

    :param sender: the entry.
    :param services: how many services.
    """
    return messages.Heartbeat(
        sender=sender,
        incarnation=1_800_000_000_000,
        sequence=1000,
        region="gorenjska",
        zone="a",
        caller_address="10.20.1.2:7000",
        peer_address="10.20.1.2:7100",
        leaving=False,
        ready=True,
        in_flight=10,
        revisions={f"team-{n}": 1000 for n in range(services)},
        view_epochs={"gorenjska": 1000},
        claim_epochs={},
        services={f"team-{n}/service": messages.ServiceLoad(10, 24, 0) for n in range(services)},
        splits={f"team-{n}/service": {"gorenjska": 1.0} for n in range(services)},
    )


class _Steady:
    """What a look-up asks of the other services."""

    leaving = False
    ready = True
    current = True

    def __init__(self, peers: int) -> None:
        self.table = membership.PeerTable()
        for number in range(peers):
            self.table.hear(heartbeat(f"entry-{number:04d}", 4), 1 << 60)

    def loads(self, now_ms: int) -> dict[str, messages.ServiceLoad]:
        """Return nothing of its own.

        :param now_ms: the present time.
        """
        return {}


def _process() -> settings.Settings:
    address = settings.Address("10.20.1.2", 7000)
    return settings.Settings(
        "entry", "gorenjska", "a", address, address,
        settings.Operator("10.20.1.2", 7200, "token-token"),
        settings.Platform("10.20.1.1", 7300, "gorenjska"), "token-token",
    )  # fmt: skip


def look_up() -> list[Point]:
    """Return the cost of one answer of ``GET /entries`` over the peers known."""
    points = []
    for peers in (12, 48, 192, 768):
        steady = _Steady(peers)
        stand_in = typing.cast(typing.Any, steady)
        api = caller_api.CallerApi(
            _process(), stand_in, stand_in, stand_in, client_blocks.ClientBlocks()
        )
        request = asgi.Request("GET", "/entries", "service=team-1/service&client=10.1.2.3", [])
        points.append(
            Point(
                "look-up, kept answer", peers, time_us(lambda r=request, a=api: a.entries(r)), "us"
            )
        )
        site = ("gorenjska", "a")
        built = time_us(lambda a=api, s=site: a._list("team-1/service", s, 1 << 60))
        points.append(Point("look-up, new answer", peers, built, "us"))
    return points


def _blocks(count: int) -> list[client_blocks.Block]:
    source = random.Random(1)
    step = (1 << 32) // count
    return [
        client_blocks.Block(n * step, n * step + step - 1, source.randrange(910))
        for n in range(count)
    ]


def blocks() -> list[Point]:
    """Return memory, look-up and loading cost over the client blocks."""
    points = []
    for count in (460_000, 920_000, 1_850_000, 3_700_000):
        parts = client_blocks.pack(client_blocks.build(_blocks(count)))

        def load(parts: dict[int, bytes] = parts) -> client_blocks.ClientBlocks:
            table = client_blocks.ClientBlocks()
            table.sites = [f"region/{n}" for n in range(910)]
            for part, raw in parts.items():
                table.install(part, raw)
            return table

        size_bytes, table = memory_bytes(load)
        found = typing.cast(client_blocks.ClientBlocks, table)
        addresses = [random.randrange(1 << 32) for _ in range(1000)]

        def ask(table: client_blocks.ClientBlocks = found, asked: list[int] = addresses) -> None:
            for address in asked:
                table.site_of(address)

        first = next(iter(parts.items()))
        points += [
            Point("client blocks, memory", count, size_bytes / (1 << 20), "MB"),
            Point("client blocks, look-up", count, time_us(ask) / 1000, "us"),
            Point(
                "client blocks, one part in place",
                count,
                time_us(lambda f=first, t=found: t.install(*f)),
                "us",
            ),
            Point("client blocks, whole object", count, sum(map(len, parts.values())) / 1e6, "MB"),
        ]
    return points


def heartbeats() -> list[Point]:
    """Return the size and cost of a heartbeat over the services named."""
    points = []
    for services in (1, 4, 16, 64):
        message = heartbeat("entry-1", services)
        raw = messages.encode(message)
        points += [
            Point("heartbeat, size", services, len(raw), "bytes"),
            Point(
                "heartbeat, encode and decode",
                services,
                time_us(lambda m=message: messages.decode(messages.encode(m))),
                "us",
            ),
        ]
    return points


def peer_messages() -> list[Point]:
    """Return the CPU of a message sent and received over its size, both ends in this process."""
    return anyio.run(_peer_messages)


async def _peer_messages() -> list[Point]:
    points = []
    for number, services in enumerate((1, 4, 16, 64)):
        raw = messages.encode(heartbeat("entry-1", services))
        carrier = transport.NngTransport(settings.Address("127.0.0.1", 26_500 + number))
        got: list[bytes] = []
        async with anyio.create_task_group() as group:
            group.start_soon(carrier.run, got.append, anyio.Event())
            await anyio.sleep(0.1)
            carrier.send(f"127.0.0.1:{26_500 + number}", raw)
            await anyio.sleep(0.5)
            started_s = time.process_time()
            for _ in range(MESSAGES):
                carrier.send(f"127.0.0.1:{26_500 + number}", raw)
                await anyio.sleep(0)
            while len(got) <= MESSAGES:
                await anyio.sleep(0.001)
            took_s = time.process_time() - started_s
            group.cancel_scope.cancel()
        points.append(
            Point("peer message, send and receive", len(raw), took_s / MESSAGES * 1e6, "us")
        )
    return points


def peer_state() -> list[Point]:
    """Return the memory of the peer table over the peers."""
    points = []
    for peers in (12, 225, 900, 3600):
        size_bytes, _ = memory_bytes(lambda n=peers: _Steady(n))
        points.append(Point("peer table, memory", peers, size_bytes / (1 << 20), "MB"))
    return points


def _claim(number: int) -> messages.ClaimRequest:
    return messages.ClaimRequest(
        sender="entry-1", request_id=number, key=f"kocar/ledger|{number:036d}",
        nonce=f"{number:032x}", body_hash="b" * 32, deadline_ms=5000,
    )  # fmt: skip


def claim_state() -> list[Point]:
    """Return memory and time of a claim over the keys remembered."""
    points = []
    rules = shared_settings.Claims()
    for keys in (1_000, 10_000, 50_000, 120_000):

        def build(keys: int = keys) -> claims.ClaimLog:
            log = claims.ClaimLog(0, rules)
            for number in range(keys):
                log.submit(_claim(number), 1000)
                if number % 200 == 199:
                    batch = log.next_batch(0, 1000)
                    row = platform.Row(batch.row_key, number, batch.value)
                    log.settle(platform.Outcome(True, [row]))
            return log

        started_s = time.perf_counter()
        build()
        took_s = time.perf_counter() - started_s
        size_bytes, _ = memory_bytes(build)
        points += [
            Point("claim, memory", keys, size_bytes / keys, "bytes"),
            Point("claim, submit and batch", keys, took_s / keys * 1e6, "us"),
        ]
    return points


def slot_pool() -> list[Point]:
    """Return the cost of granting and taking back a slot over the servers held."""
    points = []
    for servers in (3, 12, 48, 192):
        pool = slots.SlotPool(0.2)
        for number in range(servers):
            pool.hold(f"server-{number}", 3, 0, True)

        def use(pool: slots.SlotPool = pool) -> None:
            pool.acquire("g", True, 10_000, [], 1000)
            pool.release("g")

        points.append(Point("slot, grant and return", servers, time_us(use), "us"))
    return points


def _shared(servers: int) -> shared_settings.TeamSettings:
    listed = {
        f"server-{n:04d}": shared_settings.Server(f"region-{n % 16}", "a", "10.0.0.1", 80)
        for n in range(servers)
    }
    return shared_settings.TeamSettings({"service": shared_settings.Service(listed)})


def settings_cost() -> list[Point]:
    """Return size and cost of taking a subtree over its servers."""
    points = []
    for servers in (36, 225, 910, 3640):
        raw = msgspec.json.encode(_shared(servers))

        def take(raw: bytes = raw) -> None:
            subtree = msgspec.json.decode(raw, type=shared_settings.TeamSettings)
            shared_settings.merge({"team": subtree})

        points += [
            Point("settings subtree, size", servers, len(raw) / 1000, "KB"),
            Point("settings subtree, take", servers, time_us(take) / 1000, "ms"),
        ]
    return points


def views() -> list[Point]:
    """Return size and cost of the region's view over its members, four resources for each."""
    points = []
    for members in (4, 16, 64, 225):
        current = view.View()
        resources = [f"server/team/service/{n:04d}" for n in range(4 * members)]
        joined = [
            view.Member(f"entry-{n:04d}", 1, "a", "10.0.0.1:7000", "10.0.0.1:7100")
            for n in range(members)
        ]
        for member in joined:
            current = view.join(current, member)
        goal = view.targets(resources, current.members)
        for member in joined:
            current = view.claim_free(current, member, goal)
        raw = msgspec.msgpack.encode(current)

        def step(
            me: view.Member = joined[0], v: view.View = current, g: dict[str, str] = goal
        ) -> None:
            view.to_give_up(v, me, g)
            view.claim_free(v, me, g)

        def spread(v: view.View = current, r: list[str] = resources) -> None:
            view.targets(r, v.members)

        points += [
            Point("view, size", members, len(raw) / 1000, "KB"),
            Point("view, look for changes", members, time_us(step) / 1000, "ms"),
            Point("view, spread after a change", members, time_us(spread) / 1000, "ms"),
        ]
    return points


def cell_cost() -> list[Point]:
    """Return memory and cost of placing a request over the services."""
    points = []
    for services in (1, 4, 16, 64):

        def build(services: int = services) -> list[cells.CellTable]:
            home = {"a": 1.0}
            return [cells.CellTable(home, home, 0.1, 60_000, 0) for _ in range(services)]

        size_bytes, built = memory_bytes(build)
        table = typing.cast("list[cells.CellTable]", built)[0]
        place = time_us(lambda t=table: t.place(cells.cell_of("10.1.2", "s"), t.accepted, 1000))
        points += [
            Point("cells, memory", services, size_bytes / 1000, "KB"),
            Point("cells, place a request", services, place, "us"),
        ]
    return points


def gossip() -> list[Point]:
    """Return the heartbeats until a revision is known to all, by the fan-out in force."""
    source = random.Random(1)
    points = []
    fanout = 16
    for entries in (12, 225, 900, 3600):
        known = {0}
        rounds = 0
        while len(known) < entries:
            rounds += 1
            told = [
                other
                for _ in range(len(known))
                for other in source.sample(range(entries), min(fanout, entries))
            ]
            known.update(told)
        points.append(Point("gossip, heartbeats until all know", entries, rounds, "rounds"))
    return points


def measure() -> list[Point]:
    """Return every point of every slope."""
    found: list[Point] = []
    for part in (
        look_up, heartbeats, peer_messages, peer_state, claim_state, slot_pool, settings_cost,
        views, cell_cost, gossip, blocks,
    ):  # fmt: skip
        found += part()
    return found
