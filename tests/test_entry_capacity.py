"""Which entries clients are told of where entries differ in what they carry."""

import collections
import random

import anyio
import pytest

from sassafraslock.decisions import entry_capacity
from sassafraslock.services import capacity_watch, directory, gossip_messages
from tests import edge_world, test_gossip

SECOND_MS = 1_000
ASKERS = [f"10.{n // 250}.{n % 250}.1" for n in range(6_000)]


def entries(links, zone="a-1"):
    return [
        directory.Candidate(f"e{n}", f"{zone}:{n}", zone, "a", mbps / entry_capacity.REQUEST_MBITS)
        for n, mbps in enumerate(links)
    ]


def drawn_links(count, seed):
    source = random.Random(seed)
    return [source.choice((5, 10, 20, 50, 100)) for _ in range(count)]


def shares(candidates, askers=ASKERS, wall_ms=0):
    """Return the part of new connections that each address gets."""
    parts = collections.Counter()
    for asker in askers:
        addresses = directory.choose(candidates, "a-1", "a", asker, wall_ms)
        for address in addresses:
            parts[address] += 1 / len(addresses) / len(askers)
    return parts


# Guards against narrow links that get as many clients as wide ones.
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("count", [4, 15, 20, 90])
def test_shares_follow_capacity_and_no_link_is_overloaded(count, seed):
    candidates = entries(drawn_links(count, seed))
    whole = sum(c.per_s for c in candidates)
    found = shares(candidates)
    for candidate in candidates:
        due = candidate.per_s / whole
        if max(c.per_s for c in candidates) > whole / 2:  # an answer names two, each gets a half
            assert found[candidate.address] < 0.5 + 1e-6
            continue
        assert abs(found[candidate.address] - due) < 0.1 * due + 0.005
        assert 0.7 * whole * found[candidate.address] < 0.9 * candidate.per_s


def test_few_clients_get_shares_by_capacity_over_time():
    candidates = entries(drawn_links(15, 1))
    whole = sum(c.per_s for c in candidates)
    times = range(0, entry_capacity.ROTATION_MS, 20_000)
    total = collections.Counter()
    for wall_ms in times:
        total.update(shares(candidates, ASKERS[:8], wall_ms))
    for candidate in candidates:
        assert abs(total[candidate.address] / len(times) - candidate.per_s / whole) < 0.03


# Guards against entries that come and go from answer to answer, which costs connections.
def test_an_answer_changes_seldom_and_by_few_entries():
    candidates = entries(drawn_links(15, 2))
    changed, kept = 0, 0
    before = directory.choose(candidates, "a-1", "a", "10.0.0.1", 0)
    for wall_ms in range(SECOND_MS, 300 * SECOND_MS, SECOND_MS):
        now = directory.choose(candidates, "a-1", "a", "10.0.0.1", wall_ms)
        changed += len(set(before) - set(now))
        kept += len(set(before) & set(now))
        before = now
    assert changed / 300 < 1 / 20  # of some seven addresses, less than one in 20 s
    assert kept > 290 * changed / 300


def test_an_entry_that_ends_is_replaced_and_few_others_change():
    candidates = entries(drawn_links(15, 3))
    left = candidates[1:]
    lost = 0
    for asker in ASKERS[:300]:
        before = set(directory.choose(candidates, "a-1", "a", asker))
        after = set(directory.choose(left, "a-1", "a", asker))
        assert len(after) >= 2 and candidates[0].address not in after
        lost += len(before - after - {candidates[0].address})
    assert lost / 300 < 1


def test_all_clients_are_served_until_the_last_entry():
    candidates = entries([100, 5, 5, 5])
    while len(candidates) > 1:
        for asker in ASKERS[:50]:
            assert len(directory.choose(candidates, "a-1", "a", asker)) >= 2
        candidates.pop(0)
    assert directory.choose(candidates, "a-1", "a", "x") == [candidates[0].address]


def test_with_one_entry_a_zone_those_of_the_region_are_told_by_capacity():
    candidates = [
        *entries([100]),
        *entries([5], "a-2"),
        *entries([50], "a-3"),
        *entries([45], "a-4"),
    ]
    found = shares(candidates)
    assert found["a-1:0"] == pytest.approx(0.5, abs=0.05)
    assert found["a-2:0"] == pytest.approx(0.025, abs=0.02)


@pytest.mark.parametrize("per_s", [0.0, 100.0])
def test_equal_entries_are_told_as_without_capacities(per_s):
    known = [directory.Candidate(f"e{n}", f"a:{n}", "a-1", "a", per_s) for n in range(70)]
    addresses = [c.address for c in known][: directory.MAX_ADDRESSES]
    for asker in ASKERS[:5]:
        assert directory.choose(known, "a-1", "a", asker, 7) == addresses


def capacities(resources, links):
    return entry_capacity.EntryCapacities("me", resources, 1, lambda: {"me": 50.0, **links})


WIDE = entry_capacity.Resources(50.0, 2.0, 8_192, 500 << 20)
SMALL = entry_capacity.Resources(50.0, 0.3, 8_192, 500 << 20)


def test_the_resource_that_ends_first_counts():
    assert entry_capacity.carried_per_s(WIDE) == pytest.approx(50 / entry_capacity.REQUEST_MBITS)
    assert entry_capacity.carried_per_s(SMALL) == pytest.approx(0.3 / entry_capacity.REQUEST_CPU_S)
    few = entry_capacity.Resources(50.0, 2.0, 1_535, 500 << 20)
    assert entry_capacity.carried_per_s(few) < entry_capacity.carried_per_s(SMALL)
    assert entry_capacity.carried_per_s(entry_capacity.Resources(memory_bytes=1 << 30)) == 0


# Guards against messages that differ in deployments of equal entries, or of ones that tell nothing.
@pytest.mark.parametrize(
    "resources, links, told",
    [(WIDE, {"x": 50.0}, False), (SMALL, {"x": 50.0}, False), (WIDE, {"x": 5.0}, False),
     (SMALL, {"x": 5.0}, True), (entry_capacity.Resources(), {"x": 5.0}, False)],
)  # fmt: skip
def test_capacity_is_told_only_where_entries_differ_and_records_do_not_tell_it(
    resources, links, told
):
    known = capacities(resources, links)
    assert bool(known.recent_reports(0)) is told
    entry = test_gossip.service("one", "a-1")
    plain = entry.pack(gossip_messages.Message([]))
    entry.capacities = known
    lists = {"capacities": known.recent_reports(0)}
    assert (
        entry.pack(gossip_messages.extended(gossip_messages.Message([]), **lists)) == plain
    ) is not told


def test_an_entry_near_its_limit_is_named_less_and_recovers():
    known, other = capacities(WIDE, {"x": 50.0}), capacities(WIDE, {"x": 50.0})
    other.own_id = "x"
    usual = known.own_per_s()
    for second in range(1, 30):
        known.record_use(entry_capacity.Use(link_ratio=0.95), second * SECOND_MS)
    assert known.own_per_s() <= 0.25 * usual
    other.merge_reports(known.recent_reports(0), 0)
    assert other.per_s("me", 50.0) == known.own_per_s()
    for second in range(30, 90):
        known.record_use(entry_capacity.Use(link_ratio=0.1), second * SECOND_MS)
    other.merge_reports(known.recent_reports(0), 0)
    assert other.per_s("me", 50.0) == usual
    for entry in (known, other):  # all are equal again, so that messages are as before
        assert not entry.recent_reports(100_000)


def test_odd_lines_of_the_network_file_are_skipped():
    text = "head\n lo: 9 0 0 0 0 0 0 0 9\neth0: 5 0 0 0 0 0 0 0 7 0\neth1: x\neth2:\n"
    assert capacity_watch.parse_network(text) == (5, 7)
    assert capacity_watch.parse_network("") == (0, 0)


# Guards against slow readers whose memory no operator can see.
def test_metrics_show_what_slow_peers_hold_and_what_the_machine_uses():
    async def scenario(world):
        for backend in world.backends.values():
            backend.work_s = 0.3
        async with anyio.create_task_group() as group:
            group.start_soon(world.send, "POST", "/w/1", b"b" * 9_000)
            await anyio.sleep(0.1)
            metrics = await world.send(path="/metrics", address=world.settings.metrics_address)
        lines = [line.split() for line in metrics.body.decode().splitlines()]
        values = {line[0].partition("{")[0]: float(line[-1]) for line in lines if line[0] != "#"}
        assert values["sassafraslock_server_request_bytes"] > 9_000
        assert values["sassafraslock_message_bytes"] > 9_000
        assert values["sassafraslock_connections"] >= 2
        assert values["sassafraslock_named_ratio"] == 1
        assert values["sassafraslock_unread_response_bytes"] == 0
        assert values["sassafraslock_link_use_ratio"] == values["sassafraslock_descriptors"] == 0
        assert world.edge.upstream.request_bytes == 0

    edge_world.run_scenario(scenario)
