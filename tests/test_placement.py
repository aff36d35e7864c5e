"""Choice of servers: homes, room, queues, cold and joined servers, allowed regions."""

import collections
import heapq
import random

import pytest

from benchmarks import placement as bench
from sassafraslock import errors, routing_table
from sassafraslock.decisions import candidates, cold_start, placement, region_plan, registry

SERVICE = routing_table.Service("s", 330, 3000, 4.9)


class Entries:
    def __init__(self, count=1):
        self.ids = [f"e-{n}" for n in range(count)]

    def live_ids(self, region=""):
        return self.ids if region in ("", "a") else []


def route(regions=(), priority=1, idempotent=True, sticky=True):
    to = (routing_table.Destination("s", 1.0),)
    return routing_table.Route("r", "h", "/", idempotent, 2000, 400, priority, 2, to, sticky,
                               frozenset(regions))  # fmt: skip


def build(servers, region="a", own_id="e-0", entries=None):
    found = registry.Registry()
    for server_id, zone in servers.items():
        ready = registry.ServerState.READY
        row = registry.ServerReport(server_id, "s", "h:1", zone[0], zone, 3, ready, 0, 1)
        found.apply_report(row, 0, False, 3000)
    cold = cold_start.ColdStartLimiter(own_id, 1.5, 5.0)
    return placement.Placer(region, found, entries or Entries(), cold)


def wanted(key="k", left_ms=2000, **more):
    return candidates.PlacementRequest(route(**more), SERVICE, key, left_ms, True)


SERVERS = {f"i-{n}": "a-1" if n % 2 else "a-2" for n in range(6)}


def test_an_object_has_the_same_home_at_every_entry():
    one, other = build(SERVERS), build(dict(reversed(SERVERS.items())))
    for key in map(str, range(50)):
        first, second = one.place(wanted(key), 0), other.place(wanted(key), 0)
        assert first.server.server_id == second.server.server_id and first.is_home


def test_few_objects_move_when_a_server_leaves():
    placer = build(SERVERS)
    before = {k: placer.place(wanted(k), 0).server.server_id for k in map(str, range(200))}
    placer.registry.apply_removal("i-3", 0, 0)
    after = {k: placer.place(wanted(k), 0).server.server_id for k in before}
    assert all(after[k] == home for k, home in before.items() if home != "i-3")


def home_of(placer, key="k"):
    return placer.place(wanted(key), 0).server


def test_a_busy_home_is_left_for_a_server_with_room_only():
    placer = build(SERVERS)
    home = home_of(placer)
    placer.health_of(home).in_flight = 5
    assert placer.place(wanted(), 0).server is not home
    for server in placer.registry.usable_servers("s"):
        placer.health_of(server).in_flight = max(2, placer.health_of(server).in_flight)
    assert placer.place(wanted(), 0).server is home


@pytest.mark.parametrize("priority, refused", [(0, False), (2, True)])
def test_what_would_queue_past_its_target_is_refused_at_once_least_urgent_first(priority, refused):
    placer = build(SERVERS)
    for server in placer.registry.usable_servers("s"):
        placer.health_of(server).in_flight = 8
    found = placer.place(wanted(priority=priority), 0)
    assert isinstance(found, errors.Refusal) is refused
    if refused:
        assert found.properties.not_run and found.effective_retry_after_ms > 0


def test_a_refused_client_is_told_to_come_back_when_the_queue_is_done():
    """Pattern: retry storm. Who comes back into the same queue is refused once more."""
    waits_ms = []
    for queued in (8, 16):
        placer = build(SERVERS)
        for server in placer.registry.usable_servers("s"):
            placer.health_of(server).in_flight = queued
        choice = min(placer._choices(wanted(priority=2), "a", "a", 4, 0), key=lambda c: c.queue_ms)
        found = placer.place(wanted(priority=2), 0)
        assert found.effective_retry_after_ms == min(
            candidates.MAX_RETRY_AFTER_MS, int(choice.queue_ms)
        )
        waits_ms.append(found.effective_retry_after_ms)
    assert waits_ms[0] < waits_ms[1]


def test_what_cannot_be_answered_in_its_time_is_refused_where_it_would_queue():
    placer = build(SERVERS)
    assert not isinstance(placer.place(wanted(left_ms=30), 0), errors.Refusal)
    for server in placer.registry.usable_servers("s"):
        placer.health_of(server).in_flight = 3
    assert isinstance(placer.place(wanted(left_ms=300), 0), errors.Refusal)


def test_an_unreachable_server_is_left_until_its_ejection_ends_and_then_probed_once():
    placer = build(SERVERS)
    home = home_of(placer)
    health = placer.health_of(home)
    health.record_connect_failure(0)
    assert placer.place(wanted(), 100).server is not home
    assert placer.place(wanted(), 500).server is home
    health.probing = True
    assert placer.place(wanted(), 500).server is not home


def test_servers_of_other_regions_are_never_chosen_for_a_route_with_regions():
    placer = build({"x": "a-1", "y": "b-1"}, region="a")
    for key in map(str, range(20)):
        assert placer.place(wanted(key, regions=["b"]), 0).server.server_id == "y"
    placer.registry.apply_removal("y", 0, 0)
    assert isinstance(placer.place(wanted(regions=["b"]), 0), errors.Refusal)


def test_a_held_server_gets_nothing_from_the_moment_at_which_its_time_is_over():
    """Found on a played day: it got requests until the next look at held servers."""
    placer = build({"x": "a-1", "y": "a-1"})
    placer.registry.apply_removal("x", 0, hold_until_ms=2_000)
    before = {placer.place(wanted(str(n)), 1_999).server.server_id for n in range(20)}
    after = {placer.place(wanted(str(n)), 2_000).server.server_id for n in range(20)}
    assert (before, after) == ({"x", "y"}, {"y"})


def test_the_plan_divides_objects_between_regions():
    placer = build({"x": "a-1", "y": "b-1"})
    plan = region_plan.RegionPlan("a")
    plan.update({"a": 0.3, "b": 0.7}, {"a", "b"}, 0)
    placer.plans[("s", frozenset())] = plan
    counts = collections.Counter(placer.place(wanted(str(n)), 0).server.region for n in range(1000))
    assert counts["b"] / 1000 == pytest.approx(0.7, abs=0.05)


def test_a_region_whose_servers_are_all_ejected_is_left():
    placer = build({"x": "a-1", "y": "b-1"})
    placer.health_of(placer.registry.servers["x"]).record_connect_failure(0)
    assert placer.place(wanted(), 10).server.server_id == "y"


def test_only_a_small_part_leaves_a_region_that_is_full():
    placer = build({"x": "a-1", "y": "b-1"})
    placer.health_of(placer.registry.servers["x"]).in_flight = 12
    found = [placer.place(wanted(str(n)), n) for n in range(500)]
    left = [c for c in found if not isinstance(c, errors.Refusal) and c.server.region == "b"]
    assert 0 < len(left) <= 0.07 * 500


def test_cold_servers_get_few_requests_and_the_others_the_rest():
    placer = build({"x": "a-1", "y": "a-1"})
    placer.registry.servers["x"].cold_until_ms = 10_000
    counts = collections.Counter(
        placer.place(wanted(str(n)), 0).server.server_id for n in range(100)
    )
    assert counts["x"] <= 12 and counts["x"] + counts["y"] == 100
    placer.registry.servers["y"].cold_until_ms = 10_000
    found = [placer.place(wanted(str(n)), 10) for n in range(100)]
    refused = [c for c in found if isinstance(c, errors.Refusal)]
    assert 0 < len(found) - len(refused) <= 24
    assert all(refusal.properties.not_run for refusal in refused)


def test_joined_and_cold_servers_are_cared_for_by_entries_of_their_region():
    """The sponsors are drawn from the region, so that its requests reach them."""
    placer = build({"x": "b-1"}, region="b", entries=Entries(9))
    placer.registry.servers["x"].cold_until_ms = 10_000
    regions = {"e-7": "b", "e-8": "b"}
    placer._entries.live_ids = lambda region="": [
        e for e in map("e-{}".format, range(9)) if not region or regions.get(e, "a") == region
    ]
    placer.cold_limiter.own_id = "e-7"
    assert not isinstance(placer.place(wanted(), 0), errors.Refusal)
    placer.cold_limiter.own_id = "e-1"
    assert isinstance(placer.place(wanted(), 0), errors.Refusal)


def test_a_server_that_joined_gets_a_request_once_it_is_warm():
    placer = build(SERVERS)
    ready = registry.ServerState.READY
    row = registry.ServerReport("new", "s", "h:2", "a", "a-1", 3, ready, 0, 5)
    placer.registry.apply_report(row, 100, True, 3000)
    placer.record_join("new", 100)
    chosen = placer.place(wanted(), 3200)
    assert chosen.server.server_id == "new"
    placer.health_of(chosen.server).record_answer(False, 3300)
    assert placer.place(wanted(), 3400).server.server_id != "new"


WARM_MS, COLD_MS, SLOTS, KEPT = 150.0, 500.0, 3, 10


class Work:
    """Servers with slots, a queue and a memory of few objects, without a network."""

    def __init__(self, placer):
        self.placer = placer
        self.busy = collections.Counter()
        self.memory = collections.defaultdict(list)
        self.free_at = {i: [0.0] * SLOTS for i in placer.registry.servers}
        self.ends = []

    def settle(self, now_ms):
        while self.ends and self.ends[0][0] <= now_ms:
            at_ms, _, choice, name = heapq.heappop(self.ends)
            self.placer.health_of(choice.server).in_flight -= 1
            self.placer.objects.record(name, choice.server.server_id, int(at_ms))

    def run(self, choice, request, now_ms, number):
        server_id = choice.server.server_id
        known = self.memory[server_id]
        took_ms = WARM_MS if request.key in known else COLD_MS
        if request.key in known:
            known.remove(request.key)
        known.append(request.key)
        del known[:-KEPT]
        slot = min(range(SLOTS), key=lambda n: self.free_at[server_id][n])
        end_ms = max(now_ms, self.free_at[server_id][slot]) + took_ms
        self.free_at[server_id][slot] = end_ms
        self.placer.health_of(choice.server).in_flight += 1
        heapq.heappush(self.ends, (end_ms, number, choice, request.object_name))
        return end_ms - now_ms


def test_a_burst_does_not_leave_the_system_in_a_state_without_homes():
    """Pattern: metastable overload, in which work away from home keeps homes full.

    Warm work at the steady rate needs half of the slots. After a burst of three seconds at
    twice the capacity the answers must be in time again.
    """
    placer = build({f"i-{n}": "a-1" for n in range(10)})
    work, source = Work(placer), random.Random(4)
    now_ms, late, answered = 0.0, 0, 0
    for number in range(4000):
        rate = 0.4 if 10_000 < now_ms < 13_000 else 0.1
        now_ms += source.expovariate(rate)
        work.settle(now_ms)
        request = wanted(str(source.randrange(60)))
        choice = placer.place(request, int(now_ms))
        if isinstance(choice, errors.Refusal):
            continue
        took_ms = work.run(choice, request, now_ms, number)
        if now_ms > 18_000:
            answered += 1
            late += took_ms > 400
    assert answered > 500
    assert late / answered < 0.1


def test_entries_that_see_an_object_seldom_still_know_what_its_home_is_worth():
    """Pattern: many entries, each of which sees few requests for any one object.

    Other entries keep the homes warm. An entry that takes the mix of warm homes and cold
    strangers for one mean leaves homes too early, which fills the servers with cold work.
    """
    placers = [build({f"i-{n}": "a-1" for n in range(12)}) for _ in range(30)]
    known, source = set(), random.Random(6)
    for _ in range(6000):
        placer = source.choice(placers)
        request = wanted(str(source.randrange(200)))
        chosen = placer.place(request, 0)
        if source.random() < 0.1:
            chosen = placer._choices(request, "a", "a", 4, 0)[-1]
        took_ms = WARM_MS if chosen.is_home and request.key in known else COLD_MS
        known.add(request.key)
        placer.latency_of(request.route).record(chosen.affinity, took_ms)
    for placer in placers:
        home, *_, stranger = placer._choices(wanted("unseen"), "a", "a", 4, 0)
        assert home.expected_ms < (WARM_MS + COLD_MS) / 2
        assert stranger.expected_ms > (WARM_MS + COLD_MS) / 2


def test_where_a_home_is_out_all_entries_use_the_same_server_in_its_place():
    placers = [build(SERVERS, own_id=f"e-{n}", entries=Entries(12)) for n in range(12)]
    home = home_of(placers[0])
    for placer in placers:
        placer.health_of(home).record_connect_failure(0)
    chosen = [placer.place(wanted(), 10) for placer in placers]
    assert len({c.server.server_id for c in chosen}) == 1
    assert all(c.is_home for c in chosen)


def test_while_a_home_is_cold_its_object_lives_at_one_other_server():
    """Pattern: a zone comes back cold, and its objects must not be spread over all the others."""
    placers = [build(SERVERS, own_id=f"e-{n}", entries=Entries(12)) for n in range(12)]
    home = home_of(placers[0]).server_id
    chosen = []
    for number, placer in enumerate(placers):
        placer.registry.servers[home].cold_until_ms = 10_000
        for server in placer.registry.usable_servers("s"):
            placer.health_of(server).others_load = number % 2
        chosen += [placer.place(wanted(), 10) for _ in range(20)]
    counts = collections.Counter(c.server.server_id for c in chosen if c.server.server_id != home)
    assert len(counts) == 1


def test_what_finds_its_home_cold_and_all_others_full_is_refused_at_once():
    placer = build(SERVERS, own_id="e-9", entries=Entries(2))
    home = home_of(placer)
    placer.registry.servers[home.server_id].cold_until_ms = 10_000
    for server in placer.registry.usable_servers("s"):
        if server.server_id != home.server_id:
            placer.health_of(server).in_flight = 9
    found = placer.place(wanted(priority=2), 10)
    assert isinstance(found, errors.Refusal) and found.properties.not_run


def test_a_shed_request_does_not_make_the_next_server_its_home():
    placer = build(SERVERS)
    request = wanted()
    request.tried.add(home_of(placer).server_id)
    request.shed = True
    assert not placer.place(request, 0).is_home


def test_the_best_server_of_another_region_is_nobodys_home():
    placer = build({"x": "a-1", "y": "b-1"})
    placer.health_of(placer.registry.servers["x"]).record_connect_failure(0)
    chosen = placer.place(wanted(), 10)
    assert chosen.server.server_id == "y" and not chosen.is_home


@pytest.mark.parametrize("load", [0.6, 0.9, 1.2])
def test_many_entries_that_hear_little_of_each_server_do_better_than_homes_alone(load):
    """Pattern: one region's work divided between 24 entries, up to more than its servers can do.

    An entry that forgets a server's load before it hears of the server again takes full
    servers for idle ones, and leaves homes for them.
    """
    by_time, home_only, *_ = (bench.measure_one(policy, 24, load) for policy in bench.POLICIES[:2])
    assert by_time.in_target_ratio > home_only.in_target_ratio
    assert by_time.turned_away_ratio < home_only.turned_away_ratio / 2
