"""Whole entries on virtual time, with the faults that the brief names."""

import anyio

from tests import world as virtual


def test_reads_and_filings_are_answered_by_every_entry(monkeypatch):
    async def scenario(world):
        await virtual.build(world)
        for entry_id in world.entries:
            read = await world.request(entry_id, virtual.SERVICE)
            assert virtual.kind_of(read) == "answered", (entry_id, read)
            key = virtual.new_key(virtual.virtual_wall_ms())
            filed = await world.request(entry_id, virtual.SERVICE, "POST", body=b"stove", key=key)
            assert virtual.kind_of(filed) == "answered", (entry_id, filed)
            assert world.runs[key] == 1

    virtual.run(scenario, monkeypatch)


def test_slots_hold_when_all_entries_of_a_region_decide_at_once(monkeypatch):
    async def scenario(world):
        await virtual.build(world, servers_per_region=1, slots=3)
        answers = []

        async def one(entry_id):
            answers.append(await world.request(entry_id, virtual.SERVICE, deadline_ms=3000))

        async with anyio.create_task_group() as group:
            for entry_id in world.entries:
                for _ in range(20):
                    group.start_soon(one, entry_id)
        assert world.over_limit == 0
        assert all(s.starts > 0 for s in world.servers.values())
        assert sum(virtual.kind_of(a) == "answered" for a in answers) >= 100

    virtual.run(scenario, monkeypatch, entries_per_region=4)
