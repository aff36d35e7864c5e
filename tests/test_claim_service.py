"""Claims by whole entries: duplicates, store outages, owners that die."""

import anyio
import pytest

from tests import world as virtual


async def file(world, entry_id, key, **more):
    return await world.request(entry_id, virtual.SERVICE, "POST", body=b"stove", key=key, **more)


def owner_of(world):
    return next(e for e in world.entries if world.part(e, "claims").logs)


def test_same_key_at_all_entries_at_once_runs_once(monkeypatch):
    async def scenario(world):
        await virtual.build(world)
        key = virtual.new_key(virtual.virtual_wall_ms())
        kinds = []

        async def one(entry_id):
            kinds.append(virtual.kind_of(await file(world, entry_id, key)))

        async with anyio.create_task_group() as group:
            for entry_id in world.entries:
                group.start_soon(one, entry_id)
        assert world.runs[key] == 1
        assert kinds.count("answered") >= 1
        assert set(kinds) <= {"answered", "in-progress"}
        repeated = await file(world, "r3-2", key)
        assert (virtual.kind_of(repeated), repeated.body) == ("answered", b"ok")
        assert world.runs[key] == 1

    virtual.run(scenario, monkeypatch)


@pytest.mark.parametrize(
    "faults",
    [
        {"lost_answer_ratio": 0.3},
        {"lost_request_ratio": 0.3},
        {"slow_ms": 700},
        {"slow_ms": 3000},
        {"lost_answer_ratio": 0.2, "slow_ms": 200},
        {"late_effect_ratio": 0.3},
        {"late_effect_ratio": 0.2, "lost_answer_ratio": 0.2},
    ],
)
@pytest.mark.parametrize("loss_ratio", [0.0, 0.1])
def test_filings_run_at_most_once_and_refusals_are_true(monkeypatch, faults, loss_ratio):
    async def scenario(world):
        await virtual.build(world)
        for name, value in faults.items():
            setattr(world.faulty.faults, name, value)
        world.network.loss_ratio = loss_ratio
        certain = {}

        async def one(number):
            key = virtual.new_key(virtual.virtual_wall_ms())
            certain[key] = True
            for attempt in range(3):
                entry_id = list(world.entries)[(number + attempt) % len(world.entries)]
                answer = await file(world, entry_id, key, deadline_ms=2000)
                if virtual.kind_of(answer) == "answered":
                    certain[key] = False
                    return
                certain[key] &= answer.header(b"sassafraslock-not-run") == b"true"

        async with anyio.create_task_group() as group:
            for number in range(120):
                group.start_soon(one, number)
                await anyio.sleep(0.03)
        assert max(world.runs.values(), default=0) <= 1
        assert [k for k, told_not_run in certain.items() if told_not_run and world.runs[k]] == []
        assert world.over_limit == 0

    virtual.run(scenario, monkeypatch)


def test_store_down_refuses_filings_at_once_and_serves_reads(monkeypatch):
    async def scenario(world):
        await virtual.build(world)
        world.faulty.faults.down = True
        await anyio.sleep(4)
        for entry_id in world.entries:
            key = virtual.new_key(virtual.virtual_wall_ms())
            started_ms = virtual.virtual_ms()
            refused = await file(world, entry_id, key)
            assert virtual.kind_of(refused) == "store-unavailable"
            assert virtual.virtual_ms() - started_ms < 500
            assert world.runs[key] == 0
            assert virtual.kind_of(await world.request(entry_id, virtual.SERVICE)) == "answered"
        world.faulty.faults.down = False
        await anyio.sleep(2)
        key = virtual.new_key(virtual.virtual_wall_ms())
        assert virtual.kind_of(await file(world, "r2-0", key)) == "answered"

    virtual.run(scenario, monkeypatch)


def test_a_killed_owner_is_replaced_and_forgets_nothing(monkeypatch):
    async def scenario(world):
        await virtual.build(world)
        keys = [virtual.new_key(virtual.virtual_wall_ms()) for _ in range(10)]
        for key in keys:
            assert virtual.kind_of(await file(world, "r2-0", key)) == "answered"
        while any(world.part(e, "claims").logs for e in world.entries if e != "r2-0"):
            world.kill(next(e for e in world.entries if world.part(e, "claims").logs))
            if len(world.entries) < 7:
                break
        await anyio.sleep(8)
        for key in keys:
            answer = await file(world, "r3-0", key)
            assert virtual.kind_of(answer) in ("answered", "may-have-run")
            assert world.runs[key] == 1
        fresh = virtual.new_key(virtual.virtual_wall_ms())
        assert virtual.kind_of(await file(world, "r3-0", fresh)) == "answered"

    virtual.run(scenario, monkeypatch)


def test_an_owner_cut_off_from_store_and_peers_cannot_grant(monkeypatch):
    async def scenario(world):
        await virtual.build(world)
        owner = owner_of(world)
        for other in world.entries:
            if other != owner:
                world.network.cut.add(frozenset((owner, other)))
        world.no_store.add(owner)
        await anyio.sleep(6)
        key = virtual.new_key(virtual.virtual_wall_ms())
        behind = await file(world, owner, key, deadline_ms=1000)
        assert virtual.kind_of(behind) != "answered"
        helper = next(e for e in world.entries if e != owner)
        assert virtual.kind_of(await file(world, helper, key)) == "answered"
        world.network.cut.clear()
        world.no_store.clear()
        await anyio.sleep(4)
        assert virtual.kind_of(await file(world, owner, key)) == "answered"
        assert world.runs[key] == 1

    virtual.run(scenario, monkeypatch)
