"""Server selection: homes, spare room, queues, cold and joined servers, allowed regions."""

import collections
import heapq
import random

import pytest

from benchmarks import placement as bench
from sassafraslock import errors, routing_table
from sassafraslock.decisions import (
    candidates,
    cold_start,
    join_probes,
    placement,
    region_plan,
    registry,
)

SERVICE = routing_table.Service("s", 330, 3000, 4.9)


class Entries:
    def __init__(self, count=1):
        self.ids = [f"e-{n}" for n in range(count)]

    def live_ids(self, region=""):
        return self.ids if region in ("", "a") else []

    def known_ids(self, region=""):
        return self.live_ids(region)


def route(regions=(), priority=1, idempotent=True, sticky=True):
    to = (routing_table.Destination("s", 1.0),)
    return routing_table.Route("r", "h", "/", idempotent, 2000, 400, priority, 2, to, sticky,
                               frozenset(regions))  # fmt: skip


def build(servers, region="a", own_id="e-0", entries=None):
    registered = registry.Registry()
    for server_id, zone in servers.items():
        ready = registry.ServerState.READY
        report = registry.ServerReport(server_id, "s", "h:1", zone[0], zone, 3, ready, 0, 1)
        registered.apply_report(report, 0, False, 3000)
    limiter = cold_start.ColdStartLimiter(own_id, 1.5, 5.0)
    return placement.Placer(region, registered, entries or Entries(), limiter)


def request_for(key="k", remaining_ms=2000, **more):
    return candidates.PlacementRequest(route(**more), SERVICE, key, remaining_ms, True)


SERVERS = {f"i-{n}": "a-1" if n % 2 else "a-2" for n in range(6)}


def test_an_object_has_the_same_home_at_every_entry():
    one, other = build(SERVERS), build(dict(reversed(SERVERS.items())))
    for key in map(str, range(50)):
        first, second = one.place(request_for(key), 0), other.place(request_for(key), 0)
        assert first.server.server_id == second.server.server_id and first.is_home


def test_few_objects_move_when_a_server_leaves():
    placer = build(SERVERS)
    before = {k: placer.place(request_for(k), 0).server.server_id for k in map(str, range(200))}
    placer.registry.apply_removal("i-3", 0, 0)
    after = {k: placer.place(request_for(k), 0).server.server_id for k in before}
    assert all(after[k] == home for k, home in before.items() if home != "i-3")


def home_of(placer, key="k"):
    return placer.place(request_for(key), 0).server


def test_a_busy_home_is_left_for_a_server_with_room_only():
    placer = build(SERVERS)
    home = home_of(placer)
    placer.health_of(home).in_flight = 5
    assert placer.place(request_for(), 0).server is not home
    for server in placer.registry.usable_servers("s"):
        placer.health_of(server).in_flight = max(2, placer.health_of(server).in_flight)
    assert placer.place(request_for(), 0).server is home


@pytest.mark.parametrize("priority, refused", [(0, False), (2, True)])
def test_requests_that_would_queue_past_their_target_are_refused_least_urgent_first(
    priority, refused
):
    placer = build(SERVERS)
    for server in placer.registry.usable_servers("s"):
        placer.health_of(server).in_flight = 8
    result = placer.place(request_for(priority=priority), 0)
    assert isinstance(result, errors.Refusal) is refused
    if refused:
        assert result.properties.not_run and result.effective_retry_after_ms > 0


def test_the_retry_after_time_of_a_refusal_is_the_queueing_time():
    """Pattern: retry storm. A client that comes back to the same queue is refused again."""
    waits_ms = []
    for queued in (8, 16):
        placer = build(SERVERS)
        for server in placer.registry.usable_servers("s"):
            placer.health_of(server).in_flight = queued
        choice = min(
            placer._choices(request_for(priority=2), "a", "a", 4, 0), key=lambda c: c.queue_ms
        )
        result = placer.place(request_for(priority=2), 0)
        assert result.effective_retry_after_ms == min(
            candidates.MAX_RETRY_AFTER_MS, int(choice.queue_ms)
        )
        waits_ms.append(result.effective_retry_after_ms)
    assert waits_ms[0] < waits_ms[1]


def test_a_request_without_enough_time_is_refused_only_if_it_would_queue():
    placer = build(SERVERS)
    assert not isinstance(placer.place(request_for(remaining_ms=30), 0), errors.Refusal)
    for server in placer.registry.usable_servers("s"):
        placer.health_of(server).in_flight = 3
    assert isinstance(placer.place(request_for(remaining_ms=300), 0), errors.Refusal)


def test_an_unreachable_server_is_ejected_and_then_probed_once():
    placer = build(SERVERS)
    home = home_of(placer)
    health = placer.health_of(home)
    health.record_connect_failure(0)
    assert placer.place(request_for(), 100).server is not home
    assert placer.place(request_for(), 500).server is home
    health.probing = True
    assert placer.place(request_for(), 500).server is not home


def test_servers_of_other_regions_are_never_chosen_for_a_route_with_regions():
    placer = build({"x": "a-1", "y": "b-1"}, region="a")
    for key in map(str, range(20)):
        assert placer.place(request_for(key, regions=["b"]), 0).server.server_id == "y"
    placer.registry.apply_removal("y", 0, 0)
    assert isinstance(placer.place(request_for(regions=["b"]), 0), errors.Refusal)


def test_a_held_server_gets_no_requests_once_its_hold_time_is_over():
    """Found on a simulated day: it got requests until the next check of held servers."""
    placer = build({"x": "a-1", "y": "a-1"})
    placer.registry.apply_removal("x", 0, hold_until_ms=2_000)
    before = {placer.place(request_for(str(n)), 1_999).server.server_id for n in range(20)}
    after = {placer.place(request_for(str(n)), 2_000).server.server_id for n in range(20)}
    assert (before, after) == ({"x", "y"}, {"y"})


def test_the_plan_divides_objects_between_regions():
    placer = build({"x": "a-1", "y": "b-1"})
    plan = region_plan.RegionPlan("a")
    plan.update({"a": 0.3, "b": 0.7}, {"a", "b"}, 0)
    placer.plans[("s", frozenset())] = plan
    counts = collections.Counter(
        placer.place(request_for(str(n)), 0).server.region for n in range(1000)
    )
    assert counts["b"] / 1000 == pytest.approx(0.7, abs=0.05)


def test_a_region_whose_servers_are_all_ejected_is_left():
    placer = build({"x": "a-1", "y": "b-1"})
    placer.health_of(placer.registry.servers["x"]).record_connect_failure(0)
    assert placer.place(request_for(), 10).server.server_id == "y"


def test_only_a_small_share_spills_over_from_a_full_region():
    placer = build({"x": "a-1", "y": "b-1"})
    placer.health_of(placer.registry.servers["x"]).in_flight = 12
    results = [placer.place(request_for(str(n)), n) for n in range(500)]
    left = [c for c in results if not isinstance(c, errors.Refusal) and c.server.region == "b"]
    assert 0 < len(left) <= 0.07 * 500


def test_cold_servers_get_few_requests_and_the_others_the_rest():
    placer = build({"x": "a-1", "y": "a-1"})
    placer.registry.servers["x"].cold_until_ms = 10_000
    counts = collections.Counter(
        placer.place(request_for(str(n)), 0).server.server_id for n in range(100)
    )
    assert counts["x"] <= 12 and counts["x"] + counts["y"] == 100
    placer.registry.servers["y"].cold_until_ms = 10_000
    results = [placer.place(request_for(str(n)), 10) for n in range(100)]
    refused = [c for c in results if isinstance(c, errors.Refusal)]
    assert 0 < len(results) - len(refused) <= 24
    assert all(refusal.properties.not_run for refusal in refused)


def test_cold_servers_get_requests_from_entries_of_their_region():
    """The assigned entries are entries of the region, so that its requests reach them."""
    placer = build({"x": "b-1"}, region="b", entries=Entries(9))
    placer.registry.servers["x"].cold_until_ms = 10_000
    regions = {"e-7": "b", "e-8": "b"}
    placer.cold._entries.live_ids = lambda region="": [
        e for e in map("e-{}".format, range(9)) if not region or regions.get(e, "a") == region
    ]
    placer.cold.limiter.own_id = "e-7"
    assert not isinstance(placer.place(request_for(), 0), errors.Refusal)
    placer.cold.limiter.own_id = "e-1"
    assert isinstance(placer.place(request_for(), 0), errors.Refusal)


# Guards against cold servers that get too much: entries that hear nobody took themselves for the
# assigned ones, each with a share of the rate.
def test_entries_that_hear_nobody_do_not_all_send_to_a_cold_server():
    class AloneEntries(Entries):
        def __init__(self, own_id):
            super().__init__(12)
            self.own_id = own_id

        def live_ids(self, region=""):
            return [self.own_id]

        def known_ids(self, region=""):
            return self.ids

    sent = 0
    for number in range(12):
        own_id = f"e-{number}"
        placer = build({"x": "a-1"}, own_id=own_id, entries=AloneEntries(own_id))
        placer.registry.servers["x"].cold_until_ms = 10_000
        results = [placer.place(request_for(str(n)), n * 10) for n in range(100)]
        sent += sum(isinstance(result, candidates.Choice) for result in results)
    assert 0 < sent <= SERVICE.cold_per_s * 1.5 + 5.0


def test_a_server_that_joined_gets_a_request_once_it_is_warm():
    placer = build(SERVERS)
    placer.place(request_for(), 0)
    ready = registry.ServerState.READY
    report = registry.ServerReport("new", "s", "h:2", "a", "a-1", 3, ready, 0, 5)
    placer.registry.apply_report(report, 100, True, 3000)
    placer.record_join("new", 100)
    chosen = placer.place(request_for(), 3200)
    assert chosen.server.server_id == "new"
    placer.health_of(chosen.server).record_answer(False, 3300)
    assert placer.place(request_for(), 3400).server.server_id != "new"


# Guards against first requests that run slowly at servers which are not their objects' homes: all
# servers of a system that starts join at once.
def test_servers_that_joined_before_the_first_request_get_no_probe():
    placer = build(SERVERS)
    for server_id in SERVERS:
        placer.record_join(server_id, 100)
    for number in range(40):
        chosen = placer.place(request_for(str(number)), 200)
        assert chosen.selection is not candidates.Selection.JOIN_PROBE


# Guards against probes that take a request away from a server which has its object in memory.
def test_a_probe_takes_a_request_from_a_server_that_knows_its_object_only_after_a_while():
    placer = build(SERVERS)
    home = placer.place(request_for(), 0)
    start_hash = registry.start_hash(home.server)
    placer.objects.record(request_for().object_hash, start_hash, 50, 50)
    ready = registry.ServerState.READY
    report = registry.ServerReport("new", "s", "h:2", "a", "a-1", 3, ready)
    placer.registry.apply_report(report, 100, False, 0)
    placer.record_join("new", 100)
    assert placer.place(request_for(), 200).server is home.server
    patient_until_ms = 100 + join_probes.PATIENT_MS
    assert placer.place(request_for(), patient_until_ms).server.server_id == "new"


# Guards against many servers that join at once and draw requests out of their planned regions.
def test_a_server_that_joined_draws_no_request_from_another_region():
    placer = build(SERVERS)
    placer.place(request_for(), 0)
    ready = registry.ServerState.READY
    report = registry.ServerReport("new", "s", "h:2", "b", "b-1", 3, ready, 0, 5)
    placer.registry.apply_report(report, 100, True, 0)
    placer.record_join("new", 100)
    plan = placer.plans[("s", frozenset())] = region_plan.RegionPlan("a")
    for region in "ab":
        plan.weights = {region: 1.0}
        regions = {placer.place(request_for(str(n)), 200).server.region for n in range(20)}
        assert regions == {region}


WARM_MS, COLD_MS, SLOTS, MAX_IN_MEMORY = 150.0, 500.0, 3, 10


class SimulatedServers:
    """Servers with slots, a queue and few objects in memory, without a network."""

    def __init__(self, placer):
        self.placer = placer
        self.busy = collections.Counter()
        self.memory = collections.defaultdict(list)
        self.free_at = {i: [0.0] * SLOTS for i in placer.registry.servers}
        self.ends = []

    def finish_until(self, now_ms):
        while self.ends and self.ends[0][0] <= now_ms:
            at_ms, _, choice, name = heapq.heappop(self.ends)
            self.placer.health_of(choice.server).in_flight -= 1
            start_hash = registry.start_hash(choice.server)
            self.placer.objects.record(name, start_hash, int(at_ms), int(at_ms))

    def run(self, choice, request, now_ms, number):
        server_id = choice.server.server_id
        known = self.memory[server_id]
        took_ms = WARM_MS if request.key in known else COLD_MS
        if request.key in known:
            known.remove(request.key)
        known.append(request.key)
        del known[:-MAX_IN_MEMORY]
        slot = min(range(SLOTS), key=lambda n: self.free_at[server_id][n])
        end_ms = max(now_ms, self.free_at[server_id][slot]) + took_ms
        self.free_at[server_id][slot] = end_ms
        self.placer.health_of(choice.server).in_flight += 1
        heapq.heappush(self.ends, (end_ms, number, choice, request.object_hash))
        return end_ms - now_ms


def test_objects_return_to_their_homes_after_a_burst():
    """Pattern: metastable overload, in which requests away from their homes keep the homes full.

    At the steady rate, requests at their homes need half of the slots. After a burst of three
    seconds at twice the capacity, answers must be in time again.
    """
    placer = build({f"i-{n}": "a-1" for n in range(10)})
    servers, source = SimulatedServers(placer), random.Random(4)
    now_ms, late, answered = 0.0, 0, 0
    for number in range(4000):
        rate = 0.4 if 10_000 < now_ms < 13_000 else 0.1
        now_ms += source.expovariate(rate)
        servers.finish_until(now_ms)
        request = request_for(str(source.randrange(60)))
        choice = placer.place(request, int(now_ms))
        if isinstance(choice, errors.Refusal):
            continue
        took_ms = servers.run(choice, request, now_ms, number)
        if now_ms > 18_000:
            answered += 1
            late += took_ms > 400
    assert answered > 500
    assert late / answered < 0.1


def test_home_latency_is_known_to_entries_that_seldom_see_an_object():
    """Pattern: many entries, each of which gets few requests for any one object.

    Requests of other entries keep each object in memory at its home. An entry that kept a single
    latency mean for homes and other servers would leave homes too early, and fill servers with
    requests for objects that they do not have in memory.
    """
    placers = [build({f"i-{n}": "a-1" for n in range(12)}) for _ in range(30)]
    known, source = set(), random.Random(6)
    for _ in range(6000):
        placer = source.choice(placers)
        request = request_for(str(source.randrange(200)))
        chosen = placer.place(request, 0)
        if source.random() < 0.1:
            chosen = placer._choices(request, "a", "a", 4, 0)[-1]
        took_ms = WARM_MS if chosen.is_home and request.key in known else COLD_MS
        known.add(request.key)
        placer.latency_of(request.route).record(chosen.affinity, took_ms)
    for placer in placers:
        home, *_, other = placer._choices(request_for("unseen"), "a", "a", 4, 0)
        assert home.expected_ms < (WARM_MS + COLD_MS) / 2
        assert other.expected_ms > (WARM_MS + COLD_MS) / 2


def test_all_entries_agree_on_the_substitute_of_an_unavailable_home():
    placers = [build(SERVERS, own_id=f"e-{n}", entries=Entries(12)) for n in range(12)]
    home = home_of(placers[0])
    for placer in placers:
        placer.health_of(home).record_connect_failure(0)
    chosen = [placer.place(request_for(), 10) for placer in placers]
    assert len({c.server.server_id for c in chosen}) == 1
    assert all(c.is_home for c in chosen)


def test_an_object_with_a_cold_home_uses_one_substitute():
    """Pattern: a zone returns cold, and its objects must not be spread over all other servers."""
    placers = [build(SERVERS, own_id=f"e-{n}", entries=Entries(12)) for n in range(12)]
    home = home_of(placers[0]).server_id
    chosen = []
    for number, placer in enumerate(placers):
        placer.registry.servers[home].cold_until_ms = 10_000
        for server in placer.registry.usable_servers("s"):
            placer.health_of(server).others_load = number % 2
        chosen += [placer.place(request_for(), 10) for _ in range(20)]
    counts = collections.Counter(c.server.server_id for c in chosen if c.server.server_id != home)
    assert len(counts) == 1


def test_a_request_is_refused_if_its_home_is_cold_and_all_others_are_full():
    placer = build(SERVERS, own_id="e-9", entries=Entries(2))
    home = home_of(placer)
    placer.registry.servers[home.server_id].cold_until_ms = 10_000
    for server in placer.registry.usable_servers("s"):
        if server.server_id != home.server_id:
            placer.health_of(server).in_flight = 9
    result = placer.place(request_for(priority=2), 10)
    assert isinstance(result, errors.Refusal) and result.properties.not_run


def test_a_shed_request_does_not_make_the_next_server_its_home():
    placer = build(SERVERS)
    request = request_for()
    request.tried.add(home_of(placer).server_id)
    request.shed = True
    assert not placer.place(request, 0).is_home


def test_a_server_of_another_region_is_never_the_home():
    placer = build({"x": "a-1", "y": "b-1"})
    placer.health_of(placer.registry.servers["x"]).record_connect_failure(0)
    chosen = placer.place(request_for(), 10)
    assert chosen.server.server_id == "y" and not chosen.is_home


@pytest.mark.parametrize("load", [0.6, 0.9, 1.2])
def test_many_entries_with_few_reports_per_server_do_better_than_homes_alone(load):
    """Pattern: 24 entries share one region's requests, up to more than its servers can handle.

    An entry that discards a server's load before the next report assumes that full servers are
    idle, and leaves homes for them.
    """
    by_time, home_only, *_ = (bench.measure_one(policy, 24, load) for policy in bench.POLICIES[:2])
    assert by_time.in_target_ratio > home_only.in_target_ratio
    assert by_time.turned_away_ratio < home_only.turned_away_ratio / 2


def record_sighting(placer, server, key="k"):
    object_hash = request_for(key).object_hash
    placer.objects.record(object_hash, registry.start_hash(server), 0, 0)


def test_the_less_busy_of_two_servers_that_have_the_object_is_used():
    """Pattern: hot object, moved once to a second server while its home was busy."""
    placer = build(SERVERS)
    home = home_of(placer)
    last = placer._ranking.servers("s", "a", "k")[-1]
    for server in (home, last):
        record_sighting(placer, server)
        placer.loads.record(server, SLOTS, 0)
    assert placer.place(request_for(), 0).server is home
    placer.loads.record(last, SLOTS - 1, 1)
    chosen = placer.place(request_for(), 1)
    assert chosen.server is last and chosen.selection is candidates.Selection.SOONER


def test_a_server_that_follows_a_tried_home_is_next_in_rank():
    placer = build(SERVERS)
    first = placer.place(request_for(), 0)
    assert first.selection is candidates.Selection.HOME
    request = request_for()
    request.tried.add(first.server.server_id)
    assert placer.place(request, 0).selection is candidates.Selection.NEXT_IN_RANK


def test_requests_without_an_object_consider_only_the_first_servers():
    placer = build({f"i-{n}": "a-1" for n in range(20)})
    request = candidates.PlacementRequest(route(sticky=False), SERVICE, "k", 2000, True)
    assert len(placer._choices(request, "a", "a", placement.CANDIDATES, 0)) == placement.CANDIDATES
