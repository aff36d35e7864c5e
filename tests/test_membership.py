"""Recovery of whole regions: cut off, replaced, restarted, paused; and who counts as gone."""

import anyio

from sassafraslock import messages, platform
from sassafraslock.decisions import membership
from tests import load
from tests import world as virtual

RULES = {"deadline_ms": 2_000, "max_deadline_ms": 3_000}
HOUR_S = 3_600


def heartbeat(sender="a", incarnation=1, sequence=1, region="r1"):
    return messages.Heartbeat(
        sender=sender,
        incarnation=incarnation,
        sequence=sequence,
        region=region,
        zone="a",
        caller_address="",
        peer_address="",
        leaving=False,
        ready=True,
        in_flight=0,
        revisions={},
        view_epochs={},
        claim_epochs={},
        services={},
    )


def test_late_heartbeats_of_an_older_incarnation_are_ignored():
    table = membership.PeerTable()
    assert table.hear(heartbeat(incarnation=2, sequence=5), 0)
    assert not table.hear(heartbeat(incarnation=1, sequence=9), 10)
    assert not table.hear(heartbeat(incarnation=2, sequence=4), 10)
    assert table.peers["a"].heartbeat.sequence == 5


def test_an_entry_is_gone_only_if_it_was_listed_and_is_silent_and_absent():
    wait_ms = membership.EVICT_AFTER_MS
    table = membership.PeerTable()
    assert not table.certainly_gone("a", True, 100 * wait_ms)
    table.note_vms([platform.Vm("a")], 0)
    table.hear(heartbeat(), 0)
    assert not table.certainly_gone("a", True, 100 * wait_ms)
    table.note_vms([], 1000)
    assert not table.certainly_gone("a", True, wait_ms + 999)
    assert table.certainly_gone("a", True, wait_ms + 1000)
    table.hear(heartbeat(sequence=2), wait_ms)
    assert not table.certainly_gone("a", True, wait_ms + 1000)
    table.note_vms([platform.Vm("a")], 2 * wait_ms)
    assert not table.certainly_gone("a", True, 100 * wait_ms)


def test_a_member_that_the_lagging_list_never_named_is_given_more_time():
    table = membership.PeerTable()
    table.note_vms([], 0)
    assert table.certainly_gone("a", True, membership.EVICT_AFTER_MS)
    assert not table.certainly_gone("a", False, membership.EVICT_UNLISTED_AFTER_MS - 1)
    assert table.certainly_gone("a", False, membership.EVICT_UNLISTED_AFTER_MS)


def test_an_isolated_member_may_not_act():
    table = membership.PeerTable()
    assert table.may_act("r1", 3, 0, 100_000)
    assert not table.may_act("r1", 3, 100_000, 100_000)
    assert table.may_act("r1", 1, 100_000, 100_000)
    table.hear(heartbeat(region="r2"), 100_000)
    assert not table.may_act("r1", 3, 100_000, 100_000)
    table.hear(heartbeat(sender="b"), 100_000)
    assert table.may_act("r1", 3, 100_000, 100_000)


async def answered(world, entry_id, method="GET", timeout_s=120.0):
    """Return the seconds until an entry answers a request."""
    started_s = anyio.current_time()
    while anyio.current_time() - started_s < timeout_s:
        more = {"key": virtual.new_key(virtual.virtual_wall_ms())} if method == "POST" else {}
        answer = await world.request(entry_id, virtual.SERVICE, method, **more)
        if virtual.kind_of(answer) == "answered":
            return anyio.current_time() - started_s
        await anyio.sleep(0.1)
    raise AssertionError(f"{entry_id} never answered: {answer}")


def test_a_region_cut_off_for_an_hour_serves_reads_and_returns(monkeypatch):
    async def scenario(world):
        await virtual.build(world, **RULES)
        away = [e for e in world.entries if e.startswith("r3")]
        others = [e for e in world.entries if not e.startswith("r3")]
        world.network.cut = {frozenset((a, b)) for a in away for b in others}
        world.no_store.update(away)
        await anyio.sleep(20)
        for entry_id in away:
            assert await answered(world, entry_id) < 1
            key = virtual.new_key(virtual.virtual_wall_ms())
            refused = await world.request(entry_id, virtual.SERVICE, "POST", key=key)
            assert virtual.kind_of(refused) == "store-unavailable"
        config = world.part("r1-0", "settings")
        document = config.document("kocar")
        document["services"]["logbook"]["deadline_ms"] = 1234
        await config.put("kocar", document, 1, "test", 0)
        await anyio.sleep(HOUR_S / 20)
        world.network.cut = set()
        world.no_store.clear()
        for entry_id in away:
            assert await answered(world, entry_id, "POST") < 10
        await anyio.sleep(3)
        assert {world.part(e, "settings").revisions.in_force["kocar"] for e in world.entries} == {2}
        assert world.over_limit == 0

    virtual.run(scenario, monkeypatch, entries_per_region=2)


def test_all_entries_of_a_region_are_replaced_at_once(monkeypatch):
    async def scenario(world):
        await virtual.build(world, **RULES)
        old = [e for e in world.entries if e.startswith("r1")]
        for entry_id in old:
            world.kill(entry_id, vm_gone=True)
        for number in range(3):
            world._add_process("r1", f"r1-new-{number}")
            world.start(f"r1-new-{number}")
        await anyio.sleep(30)
        for number in range(3):
            assert await answered(world, f"r1-new-{number}", "POST") < 1
        now_ms = virtual.virtual_ms()
        loads = [world.part(f"r1-new-{n}", "steward").loads(now_ms) for n in range(3)]
        held = [found[virtual.SERVICE].slots for found in loads if virtual.SERVICE in found]
        assert sum(held) == 6
        assert world.over_limit == 0

    virtual.run(scenario, monkeypatch)


def test_all_entries_restart_while_the_store_is_down(monkeypatch):
    async def scenario(world):
        await virtual.build(world, **RULES)
        world.faulty.faults.down = True
        for entry_id in list(world.entries):
            world.kill(entry_id)
        await anyio.sleep(1)
        for entry_id in list(world.process):
            world.start(entry_id)
        await anyio.sleep(30)
        assert virtual.kind_of(await world.request("r1-0", virtual.SERVICE)) == "not-ready"
        world.faulty.faults.down = False
        for entry_id in list(world.entries):
            assert await answered(world, entry_id) < 10
        assert await answered(world, "r2-0", "POST") < 10
        assert world.over_limit == 0

    virtual.run(scenario, monkeypatch)


def test_limits_and_claims_hold_under_pairs_of_faults(monkeypatch):
    async def scenario(world):
        await virtual.build(world, **RULES)
        callers = load.Load(world, virtual.SERVICE, "r2", rate_per_s=60, filing_ratio=0.3)

        async def store_down():
            world.faulty.faults.down = True
            await anyio.sleep(2)
            world.faulty.faults.down = False

        async def lose_answers():
            world.faulty.faults.lost_answer_ratio = 0.3
            await anyio.sleep(2)
            world.faulty.faults.lost_answer_ratio = 0.0

        async def restart():
            victim = world.random.choice(list(world.entries))
            world.kill(victim)
            await anyio.sleep(2)
            world.start(victim)

        async def cut():
            away = [e for e in world.entries if e.startswith("r1")]
            world.network.cut = {
                frozenset((a, b)) for a in away for b in world.entries if b not in away
            }
            await anyio.sleep(2)
            world.network.cut = set()

        async def crash_server():
            server = world.random.choice(list(world.servers.values()))
            server.dead = True
            server.crash()
            await anyio.sleep(2)
            server.dead = False

        async def freeze_reports():
            for server in world.servers.values():
                server.report = {"load": world.random.random()}
            await anyio.sleep(2)

        faults = [store_down, lose_answers, restart, cut, crash_server, freeze_reports]

        async def trouble():
            for number, first in enumerate(faults):
                for second in faults[number:]:
                    async with anyio.create_task_group() as group:
                        group.start_soon(first)
                        group.start_soon(second)

        async with anyio.create_task_group() as group:
            group.start_soon(trouble)
            await callers.run(45)
        assert world.over_limit == 0
        assert max(world.runs.values()) == 1
        assert callers.false_not_run() == []
        assert callers.kinds()["answered"] > 0.6 * len(callers.seen)

    virtual.run(scenario, monkeypatch, entries_per_region=2)
