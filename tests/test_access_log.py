"""What the access log tells of a request, and the plans that E4006 tells."""

import dataclasses

import pytest

from sassafraslock import events, header_names, http_messages, routing_table, workspaces
from sassafraslock.decisions import candidates, fair_share, registry, roster, route_latency
from sassafraslock.path import access_log, judge, read, refusals, request_context, route, send
from sassafraslock.services import metrics, planner, server_connection
from tests import fact_source, test_planner

NAMES = header_names.HeaderNames()
READY = registry.ServerState.READY


@pytest.fixture
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(
        events, "log", lambda event, message, level=0, **fields: lines.append((event, fields))
    )
    return lines


def choice(load=4.0):
    report = registry.ServerReport("i-1", "s", "h:1", "b", "b-1", 3, READY, born_ms=77)
    affinity = route_latency.ObjectAffinity.KNOWN
    return candidates.Choice(registry.Server(report, 0), 500.4, affinity, load, True, False, 90.6)


def context():
    request = http_messages.Request("GET", "/x/1", [(b"host", b"h")], b"", "10.0.0.1", 0)
    incoming = read.read(request, NAMES)
    service = routing_table.Service("s", 330, 0, 5.0)
    routed = route.RoutedRequest(incoming, fact_source.route(), service, 7, True, "/x/1")
    return request_context.RequestContext(incoming, routed)


def record(ended, now_ms=120):
    counters = metrics.Metrics()
    access_log.AccessLog("a", counters, lambda now_ms: 30).record(ended, now_ms)
    return counters.render().decode()


def test_a_line_tells_why_a_server_was_selected_and_what_was_expected(logged):
    ended, selected = context(), choice()
    selected.selection = candidates.Selection.OTHER_REGION
    ended.attempts.append((send.Attempt(selected, None, 0, 110), judge.Verdict.ANSWERED))
    ended.response = http_messages.Response(200)
    record(ended)
    [(event, fields)] = logged
    assert event is events.Event.REQUEST_ANSWERED
    assert fields["entry_region"] == "a"
    assert fields["target_ms"] == fact_source.route().target_latency_ms
    [attempt] = fields["attempts"]
    assert attempt["selection"] is candidates.Selection.OTHER_REGION
    assert (attempt["region"], attempt["slots"], attempt["load"]) == ("b", 3, 4.0)
    assert (attempt["expected_ms"], attempt["queue_ms"]) == (500, 91)


def test_attempts_tell_the_start_and_the_connection_and_cold_ones_are_counted(logged):
    ended, outcomes = context(), server_connection.Outcome
    ended.response = http_messages.Response(200)
    unsent = ((outcomes.NOT_CONNECTED, -1), (outcomes.WITHHELD, 3))
    for outcome, connect_ms in (*unsent, (outcomes.BROKEN, -1), (outcomes.ANSWERED, 0)):
        exchange = server_connection.Exchange(outcome, connect_ms=connect_ms)
        attempt = send.Attempt(choice(), exchange, 0, 10)
        attempt.choice.is_cold = True
        ended.attempts.append((attempt, judge.Verdict.FAILED))
    ended.attempts.append((send.Attempt(choice(), None, 0, 10), judge.Verdict.SILENT))
    text = record(ended)
    [(_, fields)] = logged
    connections = [attempt.get("connection") for attempt in fields["attempts"]]
    assert connections == [None, None, "kept", "new", None]
    assert {attempt["born_ms"] for attempt in fields["attempts"]} == {77}
    assert 'sassafraslock_cold_attempts_total{service="s"} 2' in text


def test_attempts_in_flight_together_are_told_and_counted(logged):
    ended = context()
    answer = server_connection.Exchange(server_connection.Outcome.ANSWERED)
    ended.attempts.append((send.Attempt(choice(), answer, 305, 9), judge.Verdict.ANSWERED))
    abandoned = send.Attempt(choice(), None, 5, 309, abandoned=True)
    ended.attempts.append((abandoned, judge.Verdict.SILENT))
    ended.response = http_messages.Response(200)
    text = record(ended)
    [(_, fields)] = logged
    assert [attempt.get("abandoned", False) for attempt in fields["attempts"]] == [False, True]
    assert [attempt["after_ms"] for attempt in fields["attempts"]] == [305, 5]
    assert 'abandoned_attempts_total{service="s"} 1' in text


def test_a_rejection_after_a_failure_is_not_told_as_an_invalid_response():
    ended = context()
    broken = server_connection.Exchange(server_connection.Outcome.BROKEN, reason="lost")
    ended.attempts.append((send.Attempt(choice(), broken, 0, 9), judge.Verdict.BROKEN))
    shed = server_connection.Exchange(server_connection.Outcome.ANSWERED)
    ended.attempts.append((send.Attempt(choice(), shed, 9, 9), judge.Verdict.NOT_RUN))
    assert "did not run the request" in refusals.final_refusal(ended, None).reason


def test_a_line_counts_the_servers_that_were_left_out_for_what_they_ask(logged):
    ended = context()
    ended.left_out = candidates.LeftOut(paused=2, leaving=1)
    ended.response = http_messages.Response(200)
    record(ended)
    [(_, fields)] = logged
    assert (fields["paused_servers"], fields["leaving_servers"]) == (2, 1)
    assert "limited_servers" not in fields


def test_a_refusal_for_a_queue_names_the_best_server_and_the_limit_that_it_missed(logged):
    ended = context()
    routed = ended.routed
    wanted = candidates.PlacementRequest(routed.route, routed.service, "k", 450, True)
    ended.refusal = candidates.too_late_refusal(choice(), wanted)
    ended.response = http_messages.Response(503)
    record(ended)
    [(event, fields)] = logged
    assert event is events.Event.REQUEST_REFUSED
    assert fields["limit_ms"] == 450
    assert fields["best"]["server"] == "i-1" and fields["best"]["expected_ms"] == 500
    assert fields["attempts"] == []
    assert fields["limited_by"] == "time left" and "share_factor" not in fields


# Guards against refusals of workspaces of which the log does not tell whose requests went first.
def test_a_refusal_by_a_workspaces_terms_names_them_and_counts_for_the_workspace(logged):
    ended, counters = context(), metrics.Metrics()
    ended.routed = dataclasses.replace(ended.routed, workspace=workspaces.Workspace("w", ()))
    routed = ended.routed
    wanted = candidates.PlacementRequest(routed.route, routed.service, "k", 4_000, True)
    wanted.terms = fair_share.QueueTerms(
        0.8, 0.2, {choice().server.region: 9.0}, 1.43, is_outranked=True
    )
    ended.refusal = candidates.too_late_refusal(
        dataclasses.replace(choice(), expected_ms=100.0), wanted
    )
    ended.response = http_messages.Response(503)
    access_log.AccessLog("a", counters, lambda now_ms: 0).record(ended, 10)
    [(_, fields)] = logged
    assert "more urgent workspaces" in ended.refusal.reason
    assert fields["limited_by"] == "workspace priority" and fields["workspace"] == "w"
    assert (fields["share_factor"], fields["share_used"]) == (0.8, 1.43)
    assert fields["max_queue_ratio"] == 0.2
    assert b'sassafraslock_workspace_refusals_total{kind="no-capacity",workspace="w"} 1' in (
        counters.render()
    )


def test_plans_are_logged_when_they_change_and_not_at_each_step(logged):
    region_planner, members = test_planner.build({"a": 10, "b": 10})
    region_planner.update(0)
    region_planner.record_demand("s", 60_000, 100)
    peer = roster.MemberRecord("x", 1, 1, "b", "b-1", "h:3", "h:4", demand={"s": 1.0})
    members.merge_record(peer, 100)
    for now_ms in range(500, 20_000, 500):
        region_planner.update(now_ms)
    plans = [fields for event, fields in logged if event is events.Event.REGION_PLAN_CHANGED]
    assert 3 <= len(plans) <= 1 + 20_000 // planner.LOG_INTERVAL_MS
    assert plans[0]["weights"] == {"a": 1.0}
    assert plans[-1]["weights"]["b"] > plans[1]["weights"]["b"]
    assert set(plans[-1]) >= {"service", "target", "demand_shares", "slots"}
