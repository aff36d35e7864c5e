"""Which requests an entry accepts during a stop."""

import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock.decisions import stop_schedule

REQUESTED_MS = 50_000
LATE_MS = 3_000  # after the signal; what is sent later must not be interrupted
GRACES_MS = st.sampled_from([2_000, 4_000, 6_000, 12_000])
LIMITS_MS = st.integers(500, 30_000)


@hypothesis.given(GRACES_MS, LIMITS_MS, st.integers(0, 13_000))
def test_what_is_accepted_late_has_its_deadline_before_the_interruption(grace, limit, after):
    schedule = stop_schedule.StopSchedule(REQUESTED_MS, grace)
    now_ms = REQUESTED_MS + after
    in_time = now_ms + limit < schedule.interrupt_ms
    accepted = schedule.may_accept(limit, now_ms)
    assert accepted or not in_time  # nothing is refused that has time
    if after > min(LATE_MS, grace // 2):
        assert accepted == in_time


@hypothesis.given(GRACES_MS)
def test_an_interruption_leaves_the_last_sixth_for_answers(grace):
    schedule = stop_schedule.StopSchedule(REQUESTED_MS, grace)
    passed_ms = schedule.interrupt_ms - REQUESTED_MS
    assert 5 / 6 * grace <= passed_ms < grace
    assert schedule.idle_end_ms < schedule.interrupt_ms


@pytest.mark.parametrize(
    ("grace", "limit", "last"),
    [(2_000, 500, 1_199), (4_000, 500, 2_899), (6_000, 2_000, 3_099), (12_000, 30_000, 2_899)],
)
def test_requests_are_accepted_as_late_as_they_can_be_finished(grace, limit, last):
    schedule = stop_schedule.StopSchedule(REQUESTED_MS, grace)
    assert schedule.may_accept(limit, REQUESTED_MS + last)
    assert not schedule.may_accept(limit, REQUESTED_MS + last + 1)
