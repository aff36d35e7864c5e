"""Configuration: in force everywhere, never back, and clear conflicts."""

import anyio
import pytest

from sassafraslock import errors
from tests import world as virtual

IN_FORCE_BOUND_MS = 3_000


def revision(world, entry_id):
    return world.part(entry_id, "settings").revisions.in_force.get("kocar", 0)


async def change(world, entry_id, work):
    config = world.part(entry_id, "settings")
    document = config.document("kocar")
    document["services"]["logbook"]["deadline_ms"] = work
    return await config.put("kocar", document, revision(world, entry_id), "test", 0)


def test_a_change_is_in_force_everywhere_within_the_bound(monkeypatch):
    async def scenario(world):
        await virtual.build(world)
        for number, entry_id in enumerate(list(world.entries)):
            accepted = await change(world, entry_id, 4000 + number)
            started_ms = virtual.virtual_ms()
            while any(revision(world, e) < accepted.revision for e in world.entries):
                await anyio.sleep(0.05)
            assert virtual.virtual_ms() - started_ms <= IN_FORCE_BOUND_MS

    virtual.run(scenario, monkeypatch)


def test_peers_bring_a_change_to_entries_without_the_store(monkeypatch):
    async def scenario(world):
        await virtual.build(world)
        world.no_store.update({"r2-0", "r3-1"})
        await change(world, "r1-0", 4321)
        await anyio.sleep(IN_FORCE_BOUND_MS / 1000)
        assert {revision(world, e) for e in world.entries} == {2}

    virtual.run(scenario, monkeypatch)


def test_operators_at_once_get_one_success_and_conflicts_that_show_both(monkeypatch):
    async def scenario(world):
        await virtual.build(world)
        results = []

        async def one(entry_id, work):
            results.append(await change(world, entry_id, work))

        async with anyio.create_task_group() as group:
            for number, entry_id in enumerate(("r1-0", "r2-0", "r3-0")):
                group.start_soon(one, entry_id, 4000 + number)
        refused = [r for r in results if isinstance(r, errors.Refusal)]
        assert len(refused) == 2
        for refusal in refused:
            assert refusal.kind is errors.ErrorKind.CONFLICT
            assert "/services/logbook/deadline_ms: stored" in refusal.reason
            assert "yours" in refusal.reason

    virtual.run(scenario, monkeypatch)


@pytest.mark.parametrize("fault", ["lost_answer_ratio", "late_effect_ratio"])
def test_a_lost_answer_does_not_lose_or_double_a_change(monkeypatch, fault):
    async def scenario(world):
        await virtual.build(world)
        for number in range(12):
            setattr(world.faulty.faults, fault, 0.4)
            before = revision(world, "r1-0")
            result = await change(world, "r1-0", 4000 + number)
            setattr(world.faulty.faults, fault, 0.0)
            await anyio.sleep(3)
            if not isinstance(result, errors.Refusal):
                assert revision(world, "r1-0") == before + 1
            document = world.part("r1-0", "settings").document("kocar")
            assert revision(world, "r1-0") <= before + 1
            if revision(world, "r1-0") == before + 1:
                assert document["services"]["logbook"]["deadline_ms"] == 4000 + number

    virtual.run(scenario, monkeypatch, entries_per_region=1)


def test_revisions_never_fall_while_entries_restart_and_split(monkeypatch):
    async def scenario(world):
        await virtual.build(world)
        highest = {}

        def look():
            for entry_id in world.entries:
                found = revision(world, entry_id)
                incarnation = world.entries[entry_id].incarnation
                assert found >= highest.get((entry_id, incarnation), 0)
                highest[(entry_id, incarnation)] = found

        for number in range(6):
            entry_id = world.random.choice(list(world.entries))
            cut = world.random.choice(list(world.entries))
            world.network.cut = {frozenset((cut, other)) for other in world.entries}
            await change(world, entry_id, 4000 + number)
            victim = world.random.choice(list(world.entries))
            world.kill(victim)
            await anyio.sleep(1)
            look()
            restarted = world.start(victim)
            while not restarted.kernel.find("settings").current:
                await anyio.sleep(0.05)
                look()
            await anyio.sleep(1)
            look()
        world.network.cut = set()
        await anyio.sleep(4)
        assert len({revision(world, e) for e in world.entries}) == 1

    virtual.run(scenario, monkeypatch)


def test_a_starting_entry_takes_no_work_behind_its_peers(monkeypatch):
    async def scenario(world):
        await virtual.build(world)
        world.kill("r1-0")
        world.faulty.faults.down = True
        await anyio.sleep(3)
        world.start("r1-0")
        await anyio.sleep(0.01)
        early = await world.request("r1-0", virtual.SERVICE)
        assert virtual.kind_of(early) == "not-ready"
        await anyio.sleep(3)
        assert revision(world, "r1-0") == 1
        assert virtual.kind_of(await world.request("r1-0", virtual.SERVICE)) == "answered"

    virtual.run(scenario, monkeypatch)


def test_invalid_settings_name_every_path_and_change_nothing(monkeypatch):
    async def scenario(world):
        await virtual.build(world)
        config = world.part("r1-0", "settings")
        document = config.document("kocar")
        document["services"]["logbook"]["shift_cap_ratio"] = 7
        document["services"]["logbook"]["sloots"] = 1
        problems = await config.put("kocar", document, 1, "test", 0)
        shown = "\n".join(map(str, problems))
        assert "services.logbook.shift_cap_ratio" in shown
        assert "services.logbook.sloots" in shown
        assert revision(world, "r1-0") == 1

    virtual.run(scenario, monkeypatch)
