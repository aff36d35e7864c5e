"""The load to expect at servers of which an entry heard nothing lately."""

import hypothesis
import pytest
from hypothesis import strategies

from benchmarks import cold_restart
from benchmarks import placement as bench
from sassafraslock.decisions import typical_load


def test_nothing_heard_is_taken_for_idle():
    assert typical_load.TypicalLoad().mean(10_000) == 0


def test_many_answers_tell_the_mean_and_old_ones_fade():
    loads = typical_load.TypicalLoad()
    for number in range(200):
        loads.record(4.0, 10 * number)
    assert loads.mean(2_000) == pytest.approx(4.0, rel=0.05)
    assert loads.mean(2_000 + int(20 * typical_load.HALF_LIFE_MS)) < 0.1


@hypothesis.settings(max_examples=50, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(strategies.tuples(
    strategies.floats(0, 50), strategies.integers(0, 500)
), min_size=1))  # fmt: skip
def test_the_mean_lies_between_idle_and_the_largest(told):
    loads, now_ms = typical_load.TypicalLoad(), 0
    for load, pause_ms in told:
        now_ms += pause_ms
        loads.record(load, now_ms)
        assert 0 <= loads.mean(now_ms) <= max(known for known, _ in told)


def test_many_entries_refuse_in_time_what_an_overloaded_service_cannot_serve():
    """Pattern: overload seen by many entries, each of which meets a server seldom.

    At 120 % of what servers can do, at least three fifths of what they can do is in target.
    """
    row = bench.measure_one(bench.POLICIES[0], 24, 1.2)
    assert row.in_target_ratio >= 0.6 / 1.2
    assert row.turned_away_ratio < 0.02


@pytest.mark.parametrize("seed", [5, 6])
def test_servers_that_know_nothing_are_not_kept_busy_with_what_times_out(seed):
    """Pattern: cold restart. Once the first answers are back, hardly anything is tried in vain."""
    played = cold_restart.Simulation(seed)
    played.run()
    rows = {row.from_s: row for row in played.rows()}
    assert rows[2].failed_ratio < 0.1
    assert rows[4].failed_ratio < 0.03
    assert rows[6].in_target_ratio > 0.9
