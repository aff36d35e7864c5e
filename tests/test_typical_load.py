"""The load to expect at servers without recent reports."""

import hypothesis
import pytest
from hypothesis import strategies

from benchmarks import cold_restart
from benchmarks import placement as bench
from sassafraslock.decisions import typical_load


def test_without_reports_servers_are_assumed_idle():
    assert typical_load.TypicalLoad().mean(10_000) == 0


def test_many_reports_give_the_mean_and_old_ones_decay():
    loads = typical_load.TypicalLoad()
    for number in range(200):
        loads.record(4.0, 10 * number)
    assert loads.mean(2_000) == pytest.approx(4.0, rel=0.05)
    assert loads.mean(2_000 + int(20 * typical_load.HALF_LIFE_MS)) < 0.1


@hypothesis.settings(max_examples=50, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(strategies.tuples(
    strategies.floats(0, 50), strategies.integers(0, 500)
), min_size=1))  # fmt: skip
def test_the_mean_lies_between_idle_and_the_largest(reports):
    loads, now_ms = typical_load.TypicalLoad(), 0
    for load, pause_ms in reports:
        now_ms += pause_ms
        loads.record(load, now_ms)
        assert 0 <= loads.mean(now_ms) <= max(reported for reported, _ in reports)


def test_many_entries_refuse_early_what_an_overloaded_service_cannot_serve():
    """Pattern: overload with many entries, each of which seldom uses any one server.

    At a load of 120 % of capacity, requests worth at least three fifths of the capacity are
    answered within their target.
    """
    row = bench.measure_one(bench.POLICIES[0], 24, 1.2)
    assert row.in_target_ratio >= 0.6 / 1.2
    assert row.turned_away_ratio < 0.02


@pytest.mark.parametrize("seed", [5, 6])
def test_restarted_servers_are_not_kept_busy_with_requests_that_time_out(seed):
    """Pattern: cold restart. After the first answers, hardly any request is sent and times out."""
    simulation = cold_restart.Simulation(seed)
    simulation.run()
    rows = {row.from_s: row for row in simulation.rows()}
    assert rows[2].failed_ratio < 0.1
    assert rows[4].failed_ratio < 0.03
    assert rows[6].in_target_ratio > 0.9
