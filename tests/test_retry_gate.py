"""Retries are granted from the budget, counted, and a used up share is logged once in a while."""

import anyio
import pytest

from sassafraslock import clock, edge, edge_settings, events, facts
from sassafraslock.decisions import retry_budget
from sassafraslock.path import retry_gate
from sassafraslock.services import log_writer, metrics
from tests import edge_world, fact_source

WINDOW_MS = 10_000


def test_refused_retries_are_counted_and_logged_once_in_an_interval(monkeypatch):
    logged = []
    monkeypatch.setattr(events, "log", lambda event, *rest, **fields: logged.append(fields))
    gate = retry_gate.RetryGate(retry_budget.RetryBudget(0.0, 6.0, WINDOW_MS), lambda: 2)
    granted = [gate.try_acquire("a", now_ms) for now_ms in range(0, 500, 100)]
    assert granted == [True, True, False, False, False]
    assert (gate.granted, gate.refused) == ({"a": 2}, {"a": 3})
    assert [(f["service"], f["entries"], f["retries"]) for f in logged] == [("a", 2, 2)]
    assert not gate.try_acquire("a", 9_900)
    assert len(logged) == 1


def test_metrics_tell_the_share_and_its_use():
    gate = retry_gate.RetryGate(retry_budget.RetryBudget(0.0, 20.0, WINDOW_MS), lambda: 2)
    assert gate.try_acquire("a", 0)
    counters = metrics.Metrics()
    counters.set_entries("e-1", 2, 1)
    counters.set_retries("e-1", gate, 0)
    text = counters.render().decode()
    for line in (
        'sassafraslock_entries_known{entry="e-1"} 2',
        'sassafraslock_entries_live{entry="e-1"} 1',
        'sassafraslock_retries_in_window{entry="e-1",service="a"} 1',
        'sassafraslock_retries_allowed{entry="e-1",service="a"} 7.0',
        'sassafraslock_retries_granted_total{entry="e-1",service="a"} 1',
        'sassafraslock_retries_refused_total{entry="e-1",service="a"} 0',
    ):
        assert line in text


ENTRIES, SLACK = 12, 58.0


def build_entries():
    """Return entries as a process builds them, none of which is running."""
    bounds = edge_settings.Bounds(retry_slack=SLACK, retry_window_ms=WINDOW_MS)
    entries = []
    for number in range(ENTRIES):
        addresses = [f"10.0.0.{number}:{port}" for port in range(4)]
        settings = edge_settings.EdgeSettings(f"e-{number}", "a-1", "a", *addresses, bounds=bounds)
        source, handlers = fact_source.FakeSource(), edge_world.HandlerFactory()
        log = log_writer.BufferedLogHandler()
        entries.append(edge.Edge(settings, source, handlers, edge_world.NAMES, log))
    return entries


def register_all(entries, now_ms):
    for entry in entries:
        for other in entries:
            place = other.settings
            registration = facts.Registration(
                place.entry_id, "a", "a-1", place.gossip_address, place.client_address
            )
            change = facts.Change(facts.Topic.ENTRIES, place.entry_id, 1, registration=registration)
            entry.routing_state.apply(change, True, now_ms)


def hear_all(entries, now_ms, beat=1):
    for entry in entries:
        for other in entries:
            entry.gossip.roster.merge_record(other.member_record(beat), now_ms)


def let_pass(entries, now_ms, for_ms):
    """Let time pass without a heartbeat, as the rounds of gossip see it."""
    for at_ms in range(now_ms, now_ms + for_ms, 1_000):
        for entry in entries:
            entry.gossip.roster.remove_dead(at_ms)
    return now_ms + for_ms


def granted(entries, now_ms):
    """Return how many retries all entries together get at once, without a request."""
    return sum(
        entry.pipeline.retries.try_acquire("s", now_ms) for entry in entries for _ in range(100)
    )


# Guards against retries beyond the budget: entries that hear nobody took the whole slack each.
@pytest.mark.parametrize("meet", [register_all, hear_all])
@pytest.mark.parametrize("silent_ms", [0, 20_000, 40_000, 70_000, 300_000])
def test_entries_that_do_not_hear_each_other_share_the_slack_as_before(meet, silent_ms):
    async def scenario():
        entries, now_ms = build_entries(), clock.monotonic_ms() + WINDOW_MS
        meet(entries, now_ms)
        now_ms = let_pass(entries, now_ms, silent_ms)
        assert 0 < granted(entries, now_ms) <= SLACK

    anyio.run(scenario)


# Guards against retries beyond the budget: entries that started again while they were cut off from
# most others took these for dead, since they knew them from the store alone.
@pytest.mark.parametrize("restarted", [3, 4, 6, 9])
@pytest.mark.parametrize("silent_ms", [20_000, 40_000, 70_000, 300_000])
def test_entries_that_start_again_while_cut_off_share_the_slack_as_before(restarted, silent_ms):
    async def scenario():
        entries, now_ms = build_entries(), clock.monotonic_ms() + WINDOW_MS
        hear_all(entries, now_ms)
        entries[:restarted] = build_entries()[:restarted]
        register_all(entries, now_ms)
        for at_ms in range(now_ms, now_ms + silent_ms, 1_000):
            for group in (entries[:restarted], entries[restarted:]):
                hear_all(group, at_ms, at_ms)
                let_pass(group, at_ms, 1_000)
        assert 0 < granted(entries, now_ms + silent_ms) <= SLACK

    anyio.run(scenario)


# Guards against links beyond their limit: entries that hear nobody took the whole link each.
def test_entries_that_do_not_hear_each_other_share_links_as_before():
    async def scenario():
        entries, now_ms = build_entries(), clock.monotonic_ms() - 300_000
        hear_all(entries, now_ms)
        let_pass(entries, now_ms, 300_000)
        assert {entry._region_entry_count() for entry in entries} == {ENTRIES}

    anyio.run(scenario)


# Guards against retries beyond the budget: an entry that has met nobody takes itself for alone.
def test_an_entry_that_knows_no_others_has_no_part_of_the_slack():
    async def scenario():
        entries, now_ms = build_entries(), clock.monotonic_ms() + 10 * WINDOW_MS
        assert granted(entries, now_ms) <= SLACK

    anyio.run(scenario)


# Guards against retries beyond the budget: each start of an entry took its part of the slack again.
def test_entries_that_start_again_within_the_window_do_not_get_their_part_again():
    async def scenario():
        start_ms = clock.monotonic_ms()
        count = 0
        for now_ms in range(start_ms + 2_000, start_ms + 2_000 + WINDOW_MS, WINDOW_MS // 4):
            entries = build_entries()
            register_all(entries, now_ms)
            hear_all(entries, now_ms)
            count += granted(entries, now_ms)
        assert count <= SLACK

    anyio.run(scenario)
