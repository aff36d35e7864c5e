"""Server selection where servers name rate limits: homes, refusals, and limits that meet others."""

import collections

import pytest

from sassafraslock import errors
from sassafraslock.decisions import candidates, registry, server_limits
from tests import test_placement

SERVERS = test_placement.SERVERS


def build(servers=SERVERS, limits=None, **more):
    placer = test_placement.build(servers, entries=test_placement.Entries(), **more)
    for server_id, per_s in (limits or {}).items():
        name_limit(placer, server_id, per_s, 0)
    return placer


def name_limit(placer, server_id, per_s, now_ms):
    start_hash = registry.start_hash(placer.registry.servers[server_id])
    placer.backpressure.limits.record_named(start_hash, per_s, now_ms)


def place_many(placer, count, now_ms, **more):
    """Place requests for different objects, and count them by the server's id or refusal's kind."""
    placed = collections.Counter()
    for number in range(count):
        result = placer.place(test_placement.request_for(f"k{number}", **more), now_ms)
        is_refused = isinstance(result, errors.Refusal)
        placed[result.kind if is_refused else result.server.server_id] += 1
    return placed


def test_objects_of_a_limited_server_have_one_home_at_every_entry():
    """Callers of these objects meet a server that has them in memory, not any server."""
    home = test_placement.home_of(build()).server_id
    first, second = (build(limits={home: 0.0}).place(test_placement.request_for(), 0) for _ in "12")
    assert first.server.server_id == second.server.server_id != home
    assert first.is_home and first.selection is candidates.Selection.HOME


def test_callers_of_other_servers_do_not_notice_a_limited_one():
    before, placer = build(), build(limits={"i-1": 0.0})
    for key in map(str, range(60)):
        home = test_placement.home_of(before, key).server_id
        if home != "i-1":
            assert test_placement.home_of(placer, key).server_id == home


def test_where_half_of_the_servers_name_limits_the_other_half_gets_the_rest():
    limits = {"i-0": 1.0, "i-2": 1.0, "i-4": 1.0}
    placer = build(limits=limits)
    placed = place_many(placer, 60, 0)
    placed += place_many(placer, 60, 1_000)
    assert all(placed[i] <= 3 for i in limits) and sum(placed[i] for i in limits) >= 2
    assert errors.ErrorKind.SERVER_RATE_LIMIT not in placed


@pytest.mark.parametrize("idempotent", [True, False])
def test_where_all_servers_are_at_their_limits_requests_are_refused_at_once(idempotent):
    placer = build(limits=dict.fromkeys(SERVERS, 0.5))
    request = test_placement.request_for(idempotent=idempotent)
    refusal = placer.place(request, 0)
    assert refusal.kind is errors.ErrorKind.SERVER_RATE_LIMIT and refusal.properties.not_run
    assert refusal.effective_retry_after_ms >= candidates.MIN_RETRY_AFTER_MS
    # The time after which the first server takes a request again is the one that is told.
    placer = build({"i-1": "a-1"}, {"i-1": 4.0})
    refusal = placer.place(request, 100)
    told_ms = refusal.effective_retry_after_ms
    assert isinstance(placer.place(request, 100 + told_ms // 2), errors.Refusal)
    assert not isinstance(placer.place(request, 101 + told_ms), errors.Refusal)


def test_a_region_at_its_limits_does_not_flood_the_others():
    """The cap on shifts holds: no more requests spill over than from any other full region."""
    servers = SERVERS | {f"j-{n}": "b-1" for n in range(6)}
    placer = build(servers, dict.fromkeys(SERVERS, 0.0))
    placed = place_many(placer, 200, 0)
    spilled = sum(count for server, count in placed.items() if server.startswith("j-"))
    assert spilled <= 0.06 * 200 + 1
    assert placed[errors.ErrorKind.SERVER_RATE_LIMIT] == 200 - spilled


def test_a_server_that_is_cold_and_limited_keeps_to_both():
    placer = build({"i-1": "a-1"}, {"i-1": 50.0})
    placer.registry.servers["i-1"].cold_until_ms = 100_000
    place_many(placer, 1, 0)
    cold_only = test_placement.build({"i-1": "a-1"})
    cold_only.registry.servers["i-1"].cold_until_ms = 100_000
    assert place_many(placer, 50, 1_000)["i-1"] <= place_many(cold_only, 50, 1_000)["i-1"]
    slow = build({"i-1": "a-1"}, {"i-1": 1.0})
    slow.registry.servers["i-1"].cold_until_ms = 100_000
    assert sum(place_many(slow, 5, now_ms)["i-1"] for now_ms in range(0, 4_000, 100)) <= 11


def test_a_draining_server_gets_nothing_whatever_limit_it_names():
    placer = build(limits={"i-1": 50.0})
    placer.registry.servers["i-1"].draining = True
    placer.registry.mark_changed()
    assert place_many(placer, 60, 1_000)["i-1"] == 0


@pytest.mark.parametrize("path", ["retry", "after a rejection", "replacement", "known object"])
def test_every_way_to_a_server_keeps_to_its_limit(path):
    """First tries, retries, replacements and objects that return are placed by one function."""
    placer = build({"i-1": "a-1", "i-2": "a-1"}, {"i-1": 1.0})
    sent = 0
    for now_ms in range(0, 4_000, 50):
        request = test_placement.request_for("k", idempotent=True)
        if path != "known object":
            request.tried.add("i-2")
            request.attempts = 1
        request.shed = path == "after a rejection"
        if path == "known object":
            start_hash = registry.start_hash(placer.registry.servers["i-1"])
            placer.objects.record(request.object_hash, start_hash, now_ms, now_ms)
        choice = placer.place(request, now_ms)
        sent += not isinstance(choice, errors.Refusal) and choice.server.server_id == "i-1"
    assert 1 <= sent <= 11


def test_a_join_probe_keeps_to_the_limit():
    placer = build({"i-2": "a-1"})
    place_many(placer, 1, 0)
    placer.registry.apply_report(
        registry.ServerReport("i-1", "s", "h:2", "a", "a-1", 3, registry.ServerState.READY, 0, 5),
        100,
        True,
        0,
    )
    placer.record_join("i-1", 100)
    name_limit(placer, "i-1", 0.0, 100)
    assert place_many(placer, 20, 200)["i-1"] == 0


def entry_limits(count):
    return [server_limits.ServerLimits() for _ in range(count)]


def exchange(entries, now_ms):
    for sender in entries:
        for report in sender.recent_reports(now_ms):
            for receiver in entries:
                receiver.merge(report, now_ms + 30)


def test_all_entries_learn_of_a_limit_that_one_was_told_and_of_its_end():
    entries = entry_limits(5)
    entries[0].record_named(7, 1.5, 1_000)
    exchange(entries, 1_010)
    assert all(e.limit_of(7) == 1.5 for e in entries)
    entries[3].record_named(7, 2.5, 2_000)
    exchange(entries, 2_010)
    assert all(e.limit_of(7) == 2.5 for e in entries)
    entries[1].record_unnamed(7, 2_500, 2_600)
    exchange(entries, 2_610)
    assert all(e.limit_of(7) is None for e in entries)


def test_an_older_report_does_not_revive_a_limit_that_ended():
    one, other = entry_limits(2)
    one.record_named(7, 1.5, 1_000)
    late = one.recent_reports(1_010)
    other.merge(late[0], 1_030)
    other.record_unnamed(7, 1_100, 1_200)
    assert not other.merge(late[0], 1_300)
    assert other.limit_of(7) is None


@pytest.mark.parametrize("per_s", [float("nan"), float("inf"), -1.0])
def test_a_peers_report_of_an_impossible_limit_is_invalid(per_s):
    assert not server_limits.LimitReport(7, per_s, 0).is_valid
