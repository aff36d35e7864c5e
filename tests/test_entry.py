"""Whole entries on virtual time, with the faults that the brief names."""

import anyio
import uuid6

from tests import world as virtual

SERVICE = "kocar/logbook"


def new_key(now_ms):
    """Return a UUID of version 7 for a moment of virtual time."""
    raw = uuid6.uuid7().int
    return str(uuid6.UUID(int=(raw & ((1 << 80) - 1)) | (now_ms << 80)))


async def build(world, **rules):
    world.add_service(SERVICE, **rules)
    world.accept_settings()
    for entry_id in list(world.process):
        world.start(entry_id)
    await world.settle()


def test_reads_and_filings_are_answered_by_every_entry(monkeypatch):
    async def scenario(world):
        await build(world)
        for entry_id in world.entries:
            read = await world.request(entry_id, SERVICE)
            assert virtual.kind_of(read) == "answered", (entry_id, read)
            key = new_key(virtual.virtual_wall_ms())
            filed = await world.request(entry_id, SERVICE, "POST", body=b"stove", key=key)
            assert virtual.kind_of(filed) == "answered", (entry_id, filed)
            assert world.runs[key] == 1

    virtual.run(scenario, monkeypatch)


def test_slots_hold_when_all_entries_of_a_region_decide_at_once(monkeypatch):
    async def scenario(world):
        await build(world, servers_per_region=1, slots=3)
        answers = []

        async def one(entry_id):
            answers.append(await world.request(entry_id, SERVICE, deadline_ms=3000))

        async with anyio.create_task_group() as group:
            for entry_id in world.entries:
                for _ in range(20):
                    group.start_soon(one, entry_id)
        assert world.over_limit == 0
        assert all(s.starts > 0 for s in world.servers.values())
        assert sum(virtual.kind_of(a) == "answered" for a in answers) >= 100

    virtual.run(scenario, monkeypatch, entries_per_region=4)
