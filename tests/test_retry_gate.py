"""Retries are granted from the budget, counted, and a used up share is logged once in a while."""

from sassafraslock import events
from sassafraslock.decisions import retry_budget
from sassafraslock.path import retry_gate
from sassafraslock.services import metrics

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
