"""Objects stay at the servers that have them in memory while they are served there in time."""

from __future__ import annotations

import dataclasses

from sassafraslock import routing_table
from sassafraslock.decisions import candidates, cold_start, placement, registry

ROUTE = routing_table.Route(
    "r", "h", "/", True, 4_000, 600, 1, 2, (routing_table.Destination("s", 1.0),), sticky=True
)
SERVICE = routing_table.Service("s", 390, 3_000, 5.0)
SLOTS = 3
FAR_MS = 110.0


class Entries:
    """One entry that knows itself."""

    def live_ids(self, region=""):
        return ["e"]

    def known_ids(self, region=""):
        return ["e"]


def build(homes_by_demand=True):
    servers = registry.Registry()
    for region, count in (("a", 2), ("b", 4)):
        for number in range(count):
            name = f"{region}{number}"
            report = registry.ServerReport(
                name, "s", f"h:{name}", region, f"{region}-1", SLOTS, registry.ServerState.READY
            )
            servers.apply_report(report, 0, False, 0)
    limiter = cold_start.ColdStartLimiter("e", 1.5, 5.0)
    placer = placement.Placer("a", servers, Entries(), limiter, homes_by_demand=homes_by_demand)
    latency = placer.latency_of(ROUTE)
    for _ in range(50):
        latency.known.record(264.0)
        latency.new.record(880.0)
    return placer


def request_for(key="k", **changes):
    return candidates.PlacementRequest(
        dataclasses.replace(ROUTE, **changes), SERVICE, key, 4_000, True
    )


def record_handled(placer, name, key="k", at_ms=0):
    start_hash = registry.start_hash(placer.registry.servers[name])
    placer.objects.record(request_for(key).object_hash, start_hash, at_ms, at_ms)


def test_an_object_stays_abroad_when_its_plan_changes():
    """Load: a region's evacuation ends, and plans return to servers without its objects."""
    placer = build()
    record_handled(placer, "b1")
    chosen = placer.place(request_for(), 0)
    assert chosen.server.server_id == "b1"
    assert chosen.selection is candidates.Selection.HOLDER
    assert build(homes_by_demand=False).place(request_for(), 0).server.region == "a"


def test_the_time_abroad_includes_the_distance_before_and_after_it_is_measured():
    """Load: an object is in memory in two regions, and the near server is no busier."""
    placer = build()
    record_handled(placer, "b1")
    assert placer.place(request_for(), 0).expected_ms > 264.0 + 50.0
    placer.health_of(placer.registry.servers["b1"]).rtt_ms = FAR_MS
    assert abs(placer.place(request_for(), 0).expected_ms - 264.0 - FAR_MS) < 1.0
    record_handled(placer, "a1")
    assert placer.place(request_for(), 0).server.server_id == "a1"


def test_a_server_that_would_answer_late_does_not_keep_its_object():
    """Load: a popular object at one server, whose queue is longer than the target."""
    placer = build()
    record_handled(placer, "b1")
    placer.loads.record(placer.registry.servers["b1"], 12, 0)
    assert placer.place(request_for(), 0).server.region == "a"


def test_rules_precede_what_servers_have_in_memory():
    """Load: the server of an object is tried, abroad without a link, forbidden, down or leaves."""
    placer = build()
    record_handled(placer, "b1")
    tried = request_for()
    tried.tried.add("b1")
    assert placer.place(tried, 0).server.server_id != "b1"
    near = request_for()
    near.own_region_only = True
    assert placer.place(near, 0).server.region == "a"
    assert placer.place(request_for(regions=frozenset({"a"})), 0).server.region == "a"
    placer.health_of(placer.registry.servers["b1"]).record_connect_failure(0)
    assert placer.place(request_for(), 0).server.server_id != "b1"
    placer = build()
    record_handled(placer, "b1")
    placer.registry.apply_evacuation("b-1", True, 0)
    assert placer.place(request_for(), 0).server.region == "a"


def test_a_cold_server_gets_its_object_by_the_limit_on_cold_servers_alone():
    """Load: a server starts again and its old objects are still asked for."""
    placer = build()
    report = placer.registry.servers["b1"].report
    placer.registry.apply_report(dataclasses.replace(report, cold_ms=3_000), 0, False, 0)
    record_handled(placer, "b1")
    assert placer.place(request_for(), 0).server.server_id != "b1"


def test_routes_without_affinity_follow_the_plan():
    placer = build()
    record_handled(placer, "b1")
    chosen = placer.place(request_for(sticky=False), 0)
    assert chosen.server.region == "a"
