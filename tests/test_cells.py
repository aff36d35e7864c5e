"""The cap on moved traffic: cells alone, and whole entries under every cause of movement."""

import anyio
import pytest

from sassafraslock.decisions import cells
from tests import load
from tests import world as virtual

CAP = 0.2
WINDOW_MS = 5_000
HOME = {"r1": 1.0}


def table(cap=CAP):
    return cells.CellTable(HOME, HOME, cap, WINDOW_MS, 0)


def drive(made, wanted, start_ms, requests, per_ms=1.0):
    """Send evenly spaced requests of 250 clients and return (time, client, region)."""
    sent = []
    for number in range(requests):
        now_ms = start_ms + int(number / per_ms)
        client = f"c{number * 7919 % 250}"
        cell = cells.cell_of(client, virtual.SERVICE)
        sent.append((now_ms, client, made.place(cell, wanted, now_ms)))
    return sent


def largest_window(sent):
    """Count, for every phase, the requests whose region differs from before the window."""
    largest = 0.0
    for start_ms in range(sent[0][0], sent[-1][0] - WINDOW_MS, WINDOW_MS // 20):
        last = {client: region for at_ms, client, region in sent if at_ms < start_ms}
        inside = [s for s in sent if start_ms <= s[0] < start_ms + WINDOW_MS]
        moved = sum(region != last.get(client, region) for _, client, region in inside)
        largest = max(largest, moved / len(inside))
    return largest


def test_nothing_moves_in_the_first_window_of_a_process():
    made = table()
    sent = drive(made, {"r2": 1.0}, 0, WINDOW_MS - 1)
    assert {region for _, _, region in sent} == {"r1"}


@pytest.mark.parametrize("wanted", [{"r2": 1.0}, {"r1": 0.5, "r2": 0.5}, {"r2": 0.5, "r3": 0.5}])
def test_no_window_of_any_phase_exceeds_the_cap(wanted):
    made = table()
    sent = drive(made, HOME, 0, 2 * WINDOW_MS) + drive(made, wanted, 2 * WINDOW_MS, 40_000)
    assert 0.5 * CAP < largest_window(sent) <= CAP


def test_a_changing_goal_does_not_exceed_the_cap():
    made = table()
    sent = drive(made, HOME, 0, 2 * WINDOW_MS)
    for turn, wanted in enumerate([{"r2": 1.0}, HOME, {"r3": 1.0}, {"r2": 1.0}, HOME]):
        sent += drive(made, wanted, sent[-1][0] + 1 + turn % 2, 7_300)
    assert largest_window(sent) <= CAP


def test_little_traffic_does_not_move():
    made = table()
    sent = drive(made, HOME, 0, 20, 0.002) + drive(made, {"r2": 1.0}, 10_000, 60, 0.002)
    assert largest_window(sent) <= CAP


def test_spills_count_against_the_cap():
    made = table()
    drive(made, HOME, 0, 2 * WINDOW_MS)
    now_ms = 2 * WINDOW_MS
    spilled = 0
    while made.may_spill(now_ms):
        made.note_spill(now_ms)
        spilled += 1
    assert 0.5 * CAP * WINDOW_MS < spilled <= CAP * WINDOW_MS


def test_a_planned_shift_finishes_within_a_fifth_more_than_its_least_time():
    made = table()
    drive(made, HOME, 0, 10 * WINDOW_MS, 10)
    wanted = {"r1": 0.2, "r2": 0.8}
    least_ms = 0.8 / CAP * WINDOW_MS
    sent = drive(made, wanted, WINDOW_MS, int(least_ms * 1.2 * 10), 10)
    late = [region for _, _, region in sent[-2000:]]
    assert late.count("r2") / len(late) >= 0.78


RULES = {"shift_cap_ratio": CAP, "shift_window_ms": WINDOW_MS}


async def steady(world, seconds, trouble=None):
    """Run callers of r1 for a while, with trouble after two windows."""
    callers = load.Load(world, virtual.SERVICE, "r1", rate_per_s=120)
    async with anyio.create_task_group() as group:
        if trouble:

            async def later():
                await anyio.sleep(2.2 * WINDOW_MS / 1000)
                await trouble()

            group.start_soon(later)
        await callers.run(seconds)
    return callers


async def plan_shift(world, entry_id="r1-0"):
    config = world.part(entry_id, "settings")
    document = config.document("kocar")
    to = {"r1": 0.4, "r2": 0.6}
    plan = {"to": to, "started_ms": virtual.virtual_wall_ms()}
    document["services"]["logbook"]["shifts"] = {"r1": plan}
    await config.put("kocar", document, config.revisions.in_force["kocar"], "test", 0)


def test_a_planned_shift_keeps_the_cap_while_entries_restart(monkeypatch):
    async def scenario(world):
        await virtual.build(world, servers_per_region=6, **RULES)

        async def trouble():
            await plan_shift(world)
            for victim in ("r1-1", "r1-0", "r1-1"):
                await anyio.sleep(4)
                world.kill(victim)
                await anyio.sleep(1)
                world.start(victim)

        callers = await steady(world, 35, trouble)
        assert callers.largest_shift(WINDOW_MS) <= CAP
        regions = [s.server for s in callers.seen[-300:] if s.server]
        assert sum("r2" in server for server in regions) > 30

    virtual.run(scenario, monkeypatch, entries_per_region=2)


def test_the_loss_of_a_regions_servers_keeps_the_cap(monkeypatch):
    async def scenario(world):
        await virtual.build(world, servers_per_region=4, **RULES)

        async def trouble():
            for server in world.servers.values():
                server.draining = server.region == "r1"

        callers = await steady(world, 25, trouble)
        assert callers.largest_shift(WINDOW_MS) <= CAP
        kinds = callers.kinds()
        assert kinds["shift-cap"] + kinds["no-capacity"] > 0
        late = [s for s in callers.seen[-200:] if s.server]
        assert all("r2" in s.server for s in late)
        assert len(late) > 20

    virtual.run(scenario, monkeypatch, regions=("r1", "r2"), entries_per_region=2)


def test_overload_spills_only_within_the_cap(monkeypatch):
    async def scenario(world):
        await virtual.build(world, servers_per_region=2, **RULES)
        for server in world.servers.values():
            server.work_ms = 80 if server.region == "r1" else 20
        callers = await steady(world, 25)
        assert callers.largest_shift(WINDOW_MS) <= CAP
        assert world.over_limit == 0

    virtual.run(scenario, monkeypatch, regions=("r1", "r2"), entries_per_region=2)
