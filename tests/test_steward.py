"""Slots under every belief: limits hold at the servers, and nothing idles longer than it must."""

import anyio
import pytest

from sassafraslock import platform
from sassafraslock.decisions import membership
from tests import load
from tests import world as virtual

LONG_MS = 3_000
SHORT_RULES = {"deadline_ms": 2_000, "max_deadline_ms": LONG_MS}


def held(world, region):
    """Return the server slots that live entries of a region hand out."""
    return sum(
        load.slots
        for e in world.entries
        if world.process[e].region == region
        for load in world.part(e, "steward").loads(virtual.virtual_ms()).values()
    )


REPORTS = {
    "idle": {"load": 0.0},
    "full": {"load": 1.0},
    "nonsense": {"load": "x"},
    "missing": {},
}


@pytest.mark.parametrize("report", list(REPORTS))
def test_limits_hold_and_work_flows_whatever_servers_report(monkeypatch, report):
    async def scenario(world):
        await virtual.build(world, servers_per_region=2, slots=3, **SHORT_RULES)
        for server in world.servers.values():
            server.report = REPORTS[report]
            server.work_ms = 50
        callers = load.Load(world, virtual.SERVICE, "r1", rate_per_s=250, filing_ratio=0.1)
        await callers.run(4)
        assert world.over_limit == 0
        assert max(world.runs.values()) == 1
        assert callers.kinds()["answered"] >= 4 * 6 * (1000 // 50) * 0.8

    virtual.run(scenario, monkeypatch, entries_per_region=4)


def test_each_entry_gets_a_share_and_a_newcomer_too(monkeypatch):
    async def scenario(world):
        newcomer = "r1-2"
        world.add_service(virtual.SERVICE, servers_per_region=6, **SHORT_RULES)
        world.accept_settings()
        for entry_id in world.process:
            if entry_id != newcomer:
                world.start(entry_id)
        await world.settle()
        assert held(world, "r1") == 18
        world.start(newcomer)
        await world.settle()
        own = world.part(newcomer, "steward").loads(virtual.virtual_ms())[virtual.SERVICE]
        assert own.slots == 6
        assert held(world, "r1") == 18

    virtual.run(scenario, monkeypatch)


def test_a_dead_entrys_share_idles_until_its_vm_is_gone(monkeypatch):
    async def scenario(world):
        await virtual.build(world, servers_per_region=6, **SHORT_RULES)
        world.kill("r1-1")
        await anyio.sleep(20)
        assert held(world, "r1") == 12
        world.memory.vms.pop("r1-1")
        await anyio.sleep((membership.EVICT_AFTER_MS + LONG_MS) / 1000 + 4)
        assert held(world, "r1") == 18

    virtual.run(scenario, monkeypatch)


def test_a_restarted_entry_takes_its_share_up_again(monkeypatch):
    async def scenario(world):
        await virtual.build(world, servers_per_region=6, **SHORT_RULES)
        world.kill("r1-1")
        await anyio.sleep(1)
        world.start("r1-1")
        await anyio.sleep(1)
        assert held(world, "r1") == 18
        pools = world.part("r1-1", "steward").pools
        assert pools[virtual.SERVICE].free(virtual.virtual_ms()) == 0
        await anyio.sleep(LONG_MS / 1000 + 1)
        assert pools[virtual.SERVICE].free(virtual.virtual_ms()) == 6

    virtual.run(scenario, monkeypatch)


def test_limits_hold_while_entries_die_restart_and_lose_messages(monkeypatch):
    async def scenario(world):
        await virtual.build(world, servers_per_region=2, **SHORT_RULES)
        for server in world.servers.values():
            server.work_ms = 80
        world.network.loss_ratio = 0.05
        callers = load.Load(world, virtual.SERVICE, "r1", rate_per_s=90, filing_ratio=0.2)

        async def trouble():
            for _ in range(6):
                victim = world.random.choice(list(world.entries))
                world.kill(victim)
                await anyio.sleep(1.5)
                world.start(victim)
                await anyio.sleep(1.5)

        async with anyio.create_task_group() as group:
            group.start_soon(trouble)
            await callers.run(18)
        assert world.over_limit == 0
        assert max(world.runs.values()) == 1
        assert callers.false_not_run() == []

    virtual.run(scenario, monkeypatch, regions=("r1", "r2"), entries_per_region=3)


@pytest.mark.parametrize("listed", [True, False])
def test_a_cut_off_entry_never_shares_a_slot_with_its_successor(monkeypatch, listed):
    async def scenario(world):
        await virtual.build(world, servers_per_region=3, **SHORT_RULES)
        alone = "r1-0"
        world.network.cut = {frozenset((alone, other)) for other in world.entries}
        world.no_store.add(alone)
        if not listed:
            world.memory.vms.pop(alone)
        for server in world.servers.values():
            server.work_ms = 100
        async with anyio.create_task_group() as group:
            for entry_id in ("r1-0", "r1-1", "r1-2"):
                group.start_soon(hammer, world, entry_id)
        assert world.over_limit == 0
        assert held(world, "r1") == (6 if listed else 9)

    virtual.run(scenario, monkeypatch)


def test_an_entry_that_stood_still_hands_out_nothing_before_it_reads_the_view(monkeypatch):
    async def scenario(world):
        await build_small(world)
        world.faulty.faults.down = True
        paused = world.part("r1-0", "steward")
        await anyio.sleep(3)
        assert paused.may_act(virtual.virtual_ms())
        paused._last_tick_ms -= 60_000
        await anyio.sleep(3)
        assert not paused.may_act(virtual.virtual_ms())
        world.faulty.faults.down = False
        await anyio.sleep(3)
        assert paused.may_act(virtual.virtual_ms())

    virtual.run(scenario, monkeypatch)


def test_settings_that_change_during_a_write_of_the_view_are_followed_at_the_next_poll(monkeypatch):
    async def scenario(world):
        await build_small(world)
        holder = world.part("r1-2", "steward")
        transact = holder._platform.transact

        async def change_meanwhile(transaction):
            result = await transact(transaction)
            if transaction.puts:
                holder._on_settings(holder._shared)
            return result

        monkeypatch.setattr(holder._platform, "transact", change_meanwhile)
        holder.leaving = True
        await holder._step()
        assert holder._changed

    virtual.run(scenario, monkeypatch)


async def build_small(world):
    await virtual.build(world, servers_per_region=3, **SHORT_RULES)


async def hammer(world, entry_id):
    for _ in range(200):
        await world.request(entry_id, virtual.SERVICE, deadline_ms=1000)
        await anyio.sleep(0.01)


def test_an_entry_still_listed_by_a_lagging_list_is_not_evicted_early(monkeypatch):
    async def scenario(world):
        await virtual.build(world, servers_per_region=3, **SHORT_RULES)
        table = world.part("r1-1", "peers").table
        table.note_vms([platform.Vm("r1-1")], virtual.virtual_ms())
        await anyio.sleep(30)
        assert "r1-0" in world.part("r1-1", "steward").view.members

    virtual.run(scenario, monkeypatch)
