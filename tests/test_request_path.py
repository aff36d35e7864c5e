"""Retries, poison requests, drains and stops, as whole entries carry them out."""

import anyio
import pytest

from sassafraslock import errors, platform
from sassafraslock.services import exchanges
from tests import load
from tests import world as virtual

NO_NEW_WORK_MS = 3_000
ATTEMPTS_LIMIT = 1.1


@pytest.mark.parametrize("resends", [30])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_poison_request_breaks_two_servers_at_most(monkeypatch, resends, method):
    async def scenario(world):
        await virtual.build(world, servers_per_region=4)
        world.poison = b"/crash"
        kinds = set()
        for number in range(resends):
            entry_id = world.random.choice(list(world.entries))
            more = {"key": virtual.new_key(virtual.virtual_wall_ms())} if method == "POST" else {}
            answer = await world.request(entry_id, virtual.SERVICE, method, "/crash", **more)
            kinds.add(virtual.kind_of(answer))
            await anyio.sleep(0.3 + number * 0.1)
        assert sum(s.crashes for s in world.servers.values()) <= 2
        assert "quarantined" in kinds
        assert (
            virtual.kind_of(await world.request("r2-1", virtual.SERVICE, path="/sound"))
            == "answered"
        )

    virtual.run(scenario, monkeypatch)


def test_a_dying_vms_innocent_requests_are_answered(monkeypatch):
    async def scenario(world):
        await virtual.build(world, servers_per_region=3, slots=6)
        for server in world.servers.values():
            server.work_ms = 300
        answers = []

        async def one(number):
            entry_id = f"r1-{number % 3}"
            answers.append(await world.request(entry_id, virtual.SERVICE, path=f"/huts/{number}"))

        async with anyio.create_task_group() as group:
            for number in range(15):
                group.start_soon(one, number)
            await anyio.sleep(0.1)
            victim = max(world.servers.values(), key=lambda s: s.running)
            assert victim.running > 1
            victim.dead = True
            victim.crash()
        for number in range(15):
            answer = await world.request("r1-1", virtual.SERVICE, path=f"/huts/{number}")
            assert virtual.kind_of(answer) == "answered"

    virtual.run(scenario, monkeypatch)


def test_attempts_stay_in_budget_when_half_the_servers_fail(monkeypatch):
    async def scenario(world):
        await virtual.build(world, servers_per_region=4)
        attempts = 0
        forward = virtual.VirtualForwarder.attempt

        async def counted(self, address, connections, outgoing, left_ms, max_bytes):
            nonlocal attempts
            attempts += address in self.world.by_address and outgoing.target != "/healthz"
            return await forward(self, address, connections, outgoing, left_ms, max_bytes)

        monkeypatch.setattr(virtual.VirtualForwarder, "attempt", counted)
        for number, server in enumerate(world.servers.values()):
            server.dead = number % 2 == 0
        callers = load.Load(world, virtual.SERVICE, "r1", rate_per_s=100)
        await callers.run(15)
        assert attempts / len(callers.seen) <= ATTEMPTS_LIMIT
        assert callers.kinds()["answered"] / len(callers.seen) > 0.9

    virtual.run(scenario, monkeypatch)


def test_a_filing_whose_server_broke_is_never_run_again(monkeypatch):
    async def scenario(world):
        await virtual.build(world)
        for server in world.servers.values():
            server.work_ms = 500
        key = virtual.new_key(virtual.virtual_wall_ms())
        answers = []

        async def one():
            answers.append(await world.request("r1-0", virtual.SERVICE, "POST", body=b"f", key=key))

        async with anyio.create_task_group() as group:
            group.start_soon(one)
            await anyio.sleep(0.3)
            for server in world.servers.values():
                server.broken.set()
        assert virtual.kind_of(answers[0]) == "server-failed"
        assert answers[0].header(b"sassafraslock-not-run") == b"false"
        await anyio.sleep(10)
        again = await world.request("r2-0", virtual.SERVICE, "POST", body=b"f", key=key)
        assert virtual.kind_of(again) in ("may-have-run", "quarantined")
        assert world.runs[key] == 1

    virtual.run(scenario, monkeypatch)


SOURCES = ["intent", "vm", "signal"]


@pytest.mark.parametrize("source", SOURCES)
def test_a_draining_server_gets_no_new_work_and_cuts_off_none(monkeypatch, source):
    async def scenario(world):
        await virtual.build(world, servers_per_region=2)
        for server in world.servers.values():
            server.work_ms = 400
        victim = world.servers["logbook-r1-0"]
        started_ms = 0

        async def drain():
            nonlocal started_ms
            await anyio.sleep(3)
            started_ms = virtual.virtual_ms()
            if source == "signal":
                victim.draining = True
            elif source == "vm":
                world.memory.vms[victim.server_id] = platform.Vm(victim.server_id, leaving=True)
            else:
                config = world.part("r2-0", "settings")
                document = config.document("kocar")
                document["services"]["logbook"]["servers"][victim.server_id]["state"] = "draining"
                await config.put("kocar", document, 1, "test", 0)

        callers = load.Load(world, virtual.SERVICE, "r1", rate_per_s=20, filing_ratio=0.3)
        async with anyio.create_task_group() as group:
            group.start_soon(drain)
            await callers.run(12)
        assert victim.starts > 0
        assert victim.last_start_ms - started_ms <= NO_NEW_WORK_MS
        assert not {"server-failed", "timed-out"} & set(callers.kinds())

    virtual.run(scenario, monkeypatch)


def test_an_entry_that_stops_cuts_off_no_request_and_hands_its_share_over(monkeypatch):
    async def scenario(world):
        await virtual.build(world, servers_per_region=3)
        for server in world.servers.values():
            server.work_ms = 600
        callers = load.Load(world, virtual.SERVICE, "r1", rate_per_s=25, filing_ratio=0.3)
        leaving = world.entries["r1-1"]
        over_ms = 0

        async def leave():
            nonlocal over_ms
            await anyio.sleep(4)
            leaving.kernel.request_stop()
            started_ms = virtual.virtual_ms()
            while leaving.kernel.find("steward").gone is False:
                await anyio.sleep(0.1)
            over_ms = virtual.virtual_ms() - started_ms
            await anyio.sleep(0.5)
            world.entries.pop("r1-1")
            world.transports.pop("r1-1")

        async with anyio.create_task_group() as group:
            group.start_soon(leave)
            await callers.run(15)
        assert not {"server-failed", "timed-out", "may-have-run"} & set(callers.kinds())
        assert 0 < over_ms < 15_000
        loads = [world.part(e, "steward").loads(virtual.virtual_ms()) for e in ("r1-0", "r1-2")]
        assert sum(found[virtual.SERVICE].slots for found in loads) == 9
        assert callers.false_not_run() == []

    virtual.run(scenario, monkeypatch)


BAD_REQUESTS = [
    ({"path": "/x", "service": "kocar/nothing"}, errors.ErrorKind.UNKNOWN_SERVICE),
    ({"deadline_ms": "soon"}, errors.ErrorKind.BAD_REQUEST),
    ({"deadline_ms": "-5"}, errors.ErrorKind.BAD_REQUEST),
    ({"method": "POST"}, errors.ErrorKind.KEY_MISSING),
    ({"method": "POST", "key": "not-a-uuid"}, errors.ErrorKind.KEY_MALFORMED),
    ({"method": "POST", "key": "k" * 9000}, errors.ErrorKind.KEY_MALFORMED),
    ({"method": "PUT", "body": b"x" * (2 << 20)}, errors.ErrorKind.BODY_TOO_LARGE),
    ({"hop": "r2"}, errors.ErrorKind.UNAUTHORIZED),
    ({"hop": "r2", "peer_token": "é"}, errors.ErrorKind.UNAUTHORIZED),
]


@pytest.mark.parametrize(("asked", "kind"), BAD_REQUESTS)
def test_bad_requests_are_refused_as_not_run(monkeypatch, asked, kind):
    async def scenario(world):
        await virtual.build(world)
        answer = await world.request("r1-0", asked.pop("service", virtual.SERVICE), **asked)
        assert virtual.kind_of(answer) == kind
        assert answer.header(b"sassafraslock-not-run") == b"true"
        assert sum(s.starts for s in world.servers.values()) == 0

    virtual.run(scenario, monkeypatch, regions=("r1",), entries_per_region=1)


def test_every_own_header_is_kept_from_servers():
    hidden = exchanges.OWN_HEADERS
    assert exchanges.PEER_TOKEN_HEADER in hidden
    assert exchanges.HOP_HEADER in hidden
