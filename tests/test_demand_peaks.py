"""Demand peaks decay over time."""

import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock.decisions import demand_peaks


def test_a_peak_halves_in_its_half_life_and_rises_at_once():
    peaks = demand_peaks.DemandPeaks()
    half_ms = int(demand_peaks.HALF_LIFE_MS)
    assert peaks.record("s", "a", 8.0, 0) == 8.0
    assert peaks.record("s", "a", 1.0, half_ms) == pytest.approx(4.0)
    assert peaks.record("s", "a", 5.0, half_ms) == 5.0
    assert peaks.record("s", "b", 1.0, half_ms) == 1.0


@hypothesis.given(st.lists(st.floats(0.0, 100.0), min_size=1, max_size=30))
def test_a_peak_is_never_below_the_demand_nor_above_the_highest(demands):
    peaks = demand_peaks.DemandPeaks()
    for number, busy_slots in enumerate(demands):
        peak = peaks.record("s", "a", busy_slots, number * 500)
        assert busy_slots <= peak <= max(demands[: number + 1])
