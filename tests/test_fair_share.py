"""Full servers: shares of workspaces, classes, and returns after refusals, in virtual time."""

import dataclasses
import math

import pytest

from benchmarks import fair_share as bench
from benchmarks import servers
from sassafraslock import errors, routing_table, workspaces
from sassafraslock.decisions import candidates, fair_share, returning_requests
from sassafraslock.services import metrics

LOADS = {load.name: load for load in bench.loads()}


def played(name, until_s=None):
    load = LOADS[name]
    load = dataclasses.replace(load, until_s=until_s or load.until_s)
    tallies = bench.play(load, True, (1,))
    groups = dict.fromkeys(map(bench.group, tallies))
    by_group = {g: [t for n, t in tallies.items() if bench.group(n) == g] for g in groups}
    return bench.whole(tallies.values()).ratio, by_group


# Guards against a workspace of 7.5 times its usual demand that crowds out the others: before, all
# were served 0.56 of their requests, and now the others 0.8.
def test_others_lose_little_by_one_workspace_at_seven_times_its_usual_demand():
    overall, groups = played("one at 7.5 times", 18)
    assert bench.whole(groups["small"]).ratio > 0.75
    assert min(t.ratio for t in groups["small"]) > overall
    assert groups["hot"][0].ratio > overall / 4  # it is not shut out either


# Guards against shares that follow the size of a workspace, or the chance of few requests.
def test_many_small_workspaces_are_served_as_often_as_a_large_one():
    overall, groups = played("small beside large", 18)
    assert bench.whole(groups["small"]).ratio > 0.85 * groups["large"][0].ratio
    assert min(t.ratio for t in groups["small"]) > overall / 4


# Guards against less urgent workspaces that pass urgent ones, of which 0.38 were refused before.
def test_urgent_workspaces_are_served_before_others():
    _, groups = played("two classes", 18)
    urgent, other = bench.whole(groups["urgent"]).ratio, bench.whole(groups["other"]).ratio
    assert urgent > 0.85 and 0.1 < other < 0.35


# Guards against an overload of 1.7 for 3 s, or demand that moves, in which some get nothing.
@pytest.mark.parametrize("name", ["1.7 for 3 s", "demand that moves"])
def test_no_workspace_is_served_a_quarter_as_often_as_all(name):
    overall, groups = played(name)
    assert min(t.ratio for tallies in groups.values() for t in tallies) > overall / 4


def test_fair_level_gives_what_the_modest_leave_by_weight():
    assert fair_share.fair_level([(1.0, 1.0), (9.0, 1.0), (9.0, 2.0)], 10.0) == 3.0
    assert fair_share.fair_level([(1.0, 1.0), (9.0, 1.0)], 10.0) == math.inf
    assert fair_share.fair_level([], 0.0) == math.inf


def workspace(name="w", priority=0, rate_per_s=0.0):
    return workspaces.Workspace(name, (), priority, rate_per_s)


def request_for(key="k", of=None):
    request = candidates.PlacementRequest(bench.route(), bench.SERVICE, key, 4_000, False)
    request.workspace = of
    return request


def full_placer(known=()):
    placer = servers.placer(4, 3)
    placer.fairness.apply_workspaces(known, {"s"})
    for server in placer.registry.servers.values():
        placer.loads.record(server, 14, 0)
    return placer


# Guards against refusals that tell all callers the same time, so that they meet in the next queue.
def test_refused_requests_of_workspaces_return_after_the_queue_spread_over_time():
    placer = full_placer([workspace()])
    refusals = [placer.place(request_for(f"k{n}", workspace()), 0) for n in range(100)]
    waits_ms = [r.retry_after_ms for r in refusals]
    queue_ms = refusals[0].choice.queue_ms
    assert min(waits_ms) >= min(queue_ms, 1_000) and max(waits_ms) <= 3_000
    assert len(set(waits_ms)) > 50
    assert max(waits_ms) - min(waits_ms) > 0.5 * queue_ms


# Guards against a changed choice, limit or wait where there are no workspaces.
def test_requests_without_a_workspace_have_no_terms():
    placer, request = full_placer(), request_for()
    refusal = placer.place(request, 0)
    assert request.terms is None and refusal.terms is None
    assert refusal.cause is candidates.Cause.ROUTE_PRIORITY
    assert refusal.limit_ms == 2.5 * bench.TARGET_MS
    assert refusal.retry_after_ms == min(1_000, int(refusal.choice.queue_ms))


# Guards against callers that wait as told and are passed by newcomers each time.
def test_a_request_that_returns_in_time_may_queue_longer():
    placer, own = full_placer([workspace()]), workspace()
    wait_ms = placer.place(request_for("a", own), 0).retry_after_ms
    early, due, new = request_for("a", own), request_for("a", own), request_for("b", own)
    placer.place(early, wait_ms - 50)
    placer.place(due, wait_ms)
    placer.place(new, wait_ms)
    assert due.terms.returns and due.terms.factor > new.terms.factor == early.terms.factor


def test_remembered_refusals_are_bounded_and_used_once():
    known = returning_requests.ReturningRequests()
    for number in range(2 * returning_requests.MAX_REMEMBERED):
        known.record_refusal("w", "r", str(number), 100, 0)
    last = str(2 * returning_requests.MAX_REMEMBERED - 1)
    assert known.take("w", "r", last, 100) and not known.take("w", "r", last, 100)
    assert not known.take("w", "r", "0", 100)


# Guards against state that grows with each change of the configuration.
def test_workspaces_and_services_that_are_gone_are_forgotten():
    shares = fair_share.FairShare()
    for version in range(50):
        own = workspace(f"w{version}")
        shares.apply_workspaces([own], {f"s{version}"})
        shares.record_request(f"s{version}", own, 100.0, version)
        shares.record(f"s{version}", own, 100.0, version)
    assert list(shares._pools) == ["s49"]
    assert list(shares._pools["s49"].uses) == ["w49"]


# Guards against a less urgent priority that is held back while no urgent request is there.
def test_a_priority_is_outranked_only_while_a_more_urgent_one_asks():
    urgent, other = workspace("u", 0), workspace("o", 5)
    shares = fair_share.FairShare()
    shares.apply_workspaces([urgent, other], {"s"})
    assert shares.max_queue_ratio("s", other, 1.0, 0) == math.inf
    shares.record_request("s", urgent, 500.0, 0)
    assert shares.max_queue_ratio("s", other, 1.0, 300) < 1
    assert shares.max_queue_ratio("s", other, 1.0, 30_000) == math.inf


def test_refusals_are_counted_for_a_bounded_number_of_workspaces():
    counters = metrics.Metrics()
    for number in range(metrics.MAX_WORKSPACE_LABELS + 50):
        counters.record_refused(f"w{number}", errors.ErrorKind.NO_CAPACITY.value)
    lines = counters.render().decode().splitlines()
    found = [x for x in lines if x.startswith("sassafraslock_workspace_refusals_total{")]
    assert len(found) == metrics.MAX_WORKSPACE_LABELS + 1
    assert any('workspace="(others)"' in x and x.endswith(" 50") for x in found)


def test_the_cause_of_a_refusal_names_the_limit_that_was_exceeded():
    placer, own = full_placer([workspace()]), workspace()
    late = request_for("k", own)
    late.remaining_ms = 50
    assert placer.place(late, 0).cause is candidates.Cause.TIME_LEFT
    held = request_for("k", own)
    held.route = dataclasses.replace(bench.route(), target_latency_ms=4_000)
    assert isinstance(held.route, routing_table.Route)
    choice = placer.place(held, 0)
    assert isinstance(choice, candidates.Choice)
    for outranked, cause in (
        (True, candidates.Cause.WORKSPACE_PRIORITY),
        (False, candidates.Cause.FAIR_SHARE),
    ):
        held.terms = dataclasses.replace(held.terms, max_queue_ratio=0.1, is_outranked=outranked)
        assert candidates.is_too_late(choice, held)
        assert candidates.too_late_refusal(choice, held).cause is cause


# Guards against workspaces that are held back at an entry where nothing was served for a while.
def test_without_served_requests_nobody_takes_too_much():
    own, shares = workspace(), fair_share.FairShare()
    shares.apply_workspaces([own], {"s"})
    for now_ms in range(0, 5_000, 100):
        shares.record_request("s", own, 500.0, now_ms)
        assert shares.latency_limit_factor("s", own, now_ms) == 1.0


# Guards against a request that is refused for the mean queue and told to return at once, since the
# chosen server happens to be idle.
def test_a_request_held_back_at_an_idle_server_waits_for_the_mean_queue():
    placer, own = full_placer([workspace()]), workspace()
    held = request_for("k", own)
    refusal = placer.place(held, 0)
    idle = dataclasses.replace(refusal.choice, load=0.0, queue_ms=0.0, expected_ms=500.0)
    held.terms = dataclasses.replace(held.terms, max_queue_ratio=0.1)
    assert candidates.is_too_late(idle, held)
    assert candidates.too_late_refusal(idle, held).retry_after_ms >= 500


# Guards against requests that got a server, lost it, and are then refused for their share.
def test_a_request_that_got_a_server_is_not_held_back_at_the_next():
    placer, own = full_placer([workspace()]), workspace()
    request = request_for("k", own)
    placer.place(request, 0)
    request.terms = dataclasses.replace(request.terms, max_queue_ratio=0.0, factor=0.6)
    request.is_served, request.attempts = True, 1
    placer.place(request, 0)
    assert request.terms.max_queue_ratio == math.inf and request.terms.factor == 1.0


# Guards against less urgent requests that are refused for a short queue though all urgent ones are
# served, and against ones that queue while urgent ones are refused.
def test_a_less_urgent_priority_queues_for_less_once_urgent_requests_are_lost():
    urgent, other = workspace("u", 0), workspace("o", 1)
    shares = fair_share.FairShare()
    shares.apply_workspaces([urgent, other], {"s"})
    for _ in range(20):
        shares.record_request("s", urgent, 500.0, 0)
        shares.record("s", urgent, 500.0, 0)
    assert shares.max_queue_ratio("s", other, 1.0, 0) == fair_share.RELAXED_QUEUE_RATIO
    for _ in range(2):
        shares.record_request("s", urgent, 500.0, 300)
    assert shares.max_queue_ratio("s", other, 1.0, 300) == fair_share.STRICT_QUEUE_RATIO
