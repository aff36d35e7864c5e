"""Plans follow demand and capacity unless the operator sets a split."""

import pytest

from sassafraslock import edge_settings, routing_table
from sassafraslock.decisions import cold_start, placement, registry, roster
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


def weights(one):
    return one.splits()["s"]


def test_a_region_that_can_serve_its_clients_keeps_them():
    one, _ = build({"a": 10, "b": 10})
    one.update(0)
    assert weights(one) == {"a": 1.0}


def test_demand_that_peers_tell_moves_the_plan_slowly():
    one, members = build({"a": 10, "b": 10})
    one.update(0)
    one.record_demand("s", 60_000, 100)
    record = roster.MemberRecord("x", 1, 1, "b", "b-1", "h:3", "h:4", demand={"s": 1.0})
    members.merge_record(record, 100)
    for now_ms in range(500, 5_000, 500):
        one.update(now_ms)
    moved = weights(one).get("b", 0.0)
    assert 0.1 < moved < 0.5


def test_an_operators_split_goes_first_without_regions_that_cannot_serve():
    one, _ = build({"a": 10, "b": 10}, {"a": {"a": 0.2, "b": 0.5, "c": 0.3}})
    one.update(0)
    assert weights(one) == pytest.approx({"a": 2 / 7, "b": 5 / 7})


def test_a_region_without_servers_is_left_at_once():
    one, _ = build({"a": 10, "b": 10})
    one.update(0)
    one._placer.registry.apply_removal("a", 100, 0)
    one.update(200)
    assert weights(one) == {"b": 1.0}


def test_a_region_whose_clients_leave_for_a_while_is_not_overloaded_when_they_return():
    """Pattern: most clients of a small region go elsewhere for some seconds and come back.

    A plan that follows them at once keeps all of the few remaining requests in the region and
    needs many seconds to spread them again: 27 % of the region's requests timed out.
    """
    one, members = build({"a": 10, "b": 50})
    demand_slots, most = 20.0, 0.0
    for now_ms in range(0, 36_000, 500):
        away = 12_000 <= now_ms < 24_000
        here = demand_slots / 20 if away else demand_slots
        there = 2 * demand_slots - here
        one.record_demand("s", int(500 * here), now_ms)
        record = roster.MemberRecord(
            "x", 1, 1 + now_ms, "b", "b-1", "h:3", "h:4", demand={"s": there}
        )
        members.merge_record(record, now_ms)
        one.update(now_ms)
        if now_ms >= 24_000:
            most = max(most, weights(one)["a"])
    assert most * demand_slots <= 1.2 * 10
