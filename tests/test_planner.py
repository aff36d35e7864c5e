"""Plans follow demand and capacity unless the operator sets a split."""

import pytest

from sassafraslock import edge_settings, routing_table
from sassafraslock.decisions import cold_start, heard_from, placement, registry, roster
from sassafraslock.services import planner, routing_state
from tests import fact_source


class Entries:
    def live_ids(self, region=""):
        return ["e"]


def build(capacity, splits=None, own="a"):
    servers, members = registry.Registry(), roster.Roster("e")
    state = routing_state.RoutingState(servers, members)
    service = routing_table.Service("s", 330, 0, 5.0, splits=splits or {})
    intents = routing_table.Intents(1, (fact_source.route(),), (service,))
    state.table = routing_table.RoutingTable(intents)
    for region, slots in capacity.items():
        servers.apply_report(
            fact_source.report(region, zone=f"{region}-1", slots=slots), 0, False, 0
        )
    placer = placement.Placer(own, servers, Entries(), cold_start.ColdStartLimiter("e", 1.5, 5.0))
    settings = edge_settings.EdgeSettings("e", f"{own}-1", own, "h:1", "", "", "h:2")
    return planner.Planner(settings, state, placer, members), members


def weights(region_planner):
    return region_planner.splits()["s"]


def test_a_region_that_can_serve_its_clients_keeps_them():
    region_planner, _ = build({"a": 10, "b": 10})
    region_planner.update(0)
    assert weights(region_planner) == {"a": 1.0}


def test_demand_reported_by_peers_moves_the_plan_slowly():
    region_planner, members = build({"a": 10, "b": 10})
    region_planner.update(0)
    region_planner.record_demand("s", 60_000, 100)
    record = roster.MemberRecord("x", 1, 1, "b", "b-1", "h:3", "h:4", demand={"s": 1.0})
    members.merge_record(record, 100)
    for now_ms in range(500, 5_000, 500):
        region_planner.update(now_ms)
    moved = weights(region_planner).get("b", 0.0)
    assert 0.1 < moved < 0.5


def test_an_operators_split_overrides_demand_and_skips_regions_that_cannot_serve():
    region_planner, _ = build({"a": 10, "b": 10}, {"a": {"a": 0.2, "b": 0.5, "c": 0.3}})
    region_planner.update(0)
    assert weights(region_planner) == pytest.approx({"a": 2 / 7, "b": 5 / 7})


def test_a_region_without_servers_is_left_at_once():
    region_planner, _ = build({"a": 10, "b": 10})
    region_planner.update(0)
    region_planner._placer.registry.apply_removal("a", 100, 0)
    region_planner.update(200)
    assert weights(region_planner) == {"b": 1.0}


def test_a_region_whose_clients_leave_for_a_while_is_not_overloaded_when_they_return():
    """Pattern: most clients of a small region go elsewhere for some seconds and come back.

    A plan that follows demand at once keeps all of the few remaining requests in the region. When
    the clients return, it needs many seconds to move requests to other regions again: 27 % of the
    region's requests timed out.
    """
    region_planner, members = build({"a": 10, "b": 50})
    demand_slots, max_weight = 20.0, 0.0
    for now_ms in range(0, 36_000, 500):
        clients_left = 12_000 <= now_ms < 24_000
        local_slots = demand_slots / 20 if clients_left else demand_slots
        remote_slots = 2 * demand_slots - local_slots
        region_planner.record_demand("s", int(500 * local_slots), now_ms)
        record = roster.MemberRecord(
            "x", 1, 1 + now_ms, "b", "b-1", "h:3", "h:4", demand={"s": remote_slots}
        )
        members.merge_record(record, now_ms)
        region_planner.update(now_ms)
        if now_ms >= 24_000:
            max_weight = max(max_weight, weights(region_planner)["a"])
    assert max_weight * demand_slots <= 1.2 * 10


def test_a_plan_made_while_only_some_servers_were_known_is_left_before_the_first_request():
    """Pattern: cold start. Servers are read page by page, and the first page may name one region.

    A plan that then moved by steps would send clients of the other regions there for seconds.
    """
    region_planner, _ = build({"b": 10})
    region_planner.update(0)
    assert weights(region_planner) == {"b": 1.0}
    servers = region_planner._placer.registry
    servers.apply_report(fact_source.report("a", zone="a-1", slots=10), 400, False, 0)
    region_planner.update(500)
    assert weights(region_planner) == {"a": 1.0}


def test_a_plan_that_requests_follow_moves_by_steps():
    region_planner, _ = build({"b": 10})
    region_planner.update(0)
    region_planner.record_demand("s", 100, 100)
    servers = region_planner._placer.registry
    servers.apply_report(fact_source.report("a", zone="a-1", slots=10), 400, False, 0)
    region_planner.update(500)
    assert weights(region_planner)["b"] > 0.9


def test_a_region_whose_servers_name_rate_limits_counts_with_what_these_allow():
    """Pattern: a region at its limits. Its plan moves what does not fit, one step at a time."""
    region_planner, members = build({"a": 10, "b": 10})
    record = roster.MemberRecord("x", 1, 1, "b", "b-1", "h:3", "h:4", demand={"s": 5.0})
    members.merge_record(record, 100)
    region_planner.record_demand("s", 50_000, 100)
    region_planner.update(100)
    assert weights(region_planner) == {"a": 1.0}
    server = region_planner._placer.registry.servers["a"]
    limits = region_planner._placer.backpressure.limits
    limits.record_named(registry.start_hash(server), 1.0, 100)
    previous = 1.0
    for now_ms in range(600, 5_600, 500):
        members.merge_heartbeat(roster.Heartbeat("x", 1, now_ms), now_ms)
        region_planner.record_demand("s", 2_500, now_ms)
        region_planner.update(now_ms)
        local = weights(region_planner)["a"]
        assert previous - local <= 0.15
        previous = local
    assert previous < 0.8


@pytest.mark.parametrize("pause_ms, moves", [(4_000, False), (3_600_000, True)])
def test_a_plan_leaves_a_region_in_a_long_pause_by_steps(pause_ms, moves):
    """Pattern: all servers of a region ask for a pause. Short ones end before a plan has moved."""
    region_planner, members = build({"a": 10, "b": 10})
    record = roster.MemberRecord("x", 1, 1, "b", "b-1", "h:3", "h:4", demand={"s": 5.0})
    members.merge_record(record, 100)
    region_planner.record_demand("s", 50_000, 100)
    region_planner.update(100)
    assert weights(region_planner) == {"a": 1.0}
    placer = region_planner._placer
    start_hash = registry.start_hash(placer.registry.servers["a"])
    placer.backpressure.pauses.record(start_hash, pause_ms, 100)
    previous = 1.0
    for now_ms in range(600, 5_600, 500):
        members.merge_heartbeat(roster.Heartbeat("x", 1, now_ms), now_ms)
        region_planner.record_demand("s", 2_500, now_ms)
        region_planner.update(now_ms)
        local = weights(region_planner)["a"]
        assert previous - local <= 0.15
        previous = local
    assert (previous < 0.8) == moves


def test_the_slots_of_a_server_that_leaves_do_not_count():
    region_planner, _ = build({"a": 10, "b": 10})
    region_planner.update(0)
    placer = region_planner._placer
    start_hash = registry.start_hash(placer.registry.servers["a"])
    placer.backpressure.record_departure(start_hash, heard_from.HeardFrom.PEER, 100)
    region_planner.update(200)
    assert weights(region_planner) == {"b": 1.0}
