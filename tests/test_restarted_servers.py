"""Servers that start again under their old id, before complete entries in virtual time.

The sums are over all entries, since each of them decides for itself.
"""

import functools

import pytest

from tests import fleet_plays, fleet_world

MAX_FAILED_RATIO = 0.02  # requests in flight at a server that fails to answer in time fail as well
SEED = 1
CASES = {
    "store-away-down-0.4-s": fleet_plays.Play((0.4,), away_s=(-1.0, 3.9)),
    "store-away-down-1.2-s": fleet_plays.Play((1.2,), away_s=(-1.0, 4.7)),
    "store-away-down-4-s": fleet_plays.Play((4.0,), away_s=(-1.0, 7.5)),
    "entries-held-through-the-end": fleet_plays.Play((1.2,), held_s=(-0.2, 2.0)),
    "entries-held-after-the-end": fleet_plays.Play((1.2,), held_s=(0.4, 2.4)),
}


@functools.cache
def result_of(case, entries):
    return fleet_plays.play(fleet_world.Shape(entries), CASES[case], SEED)


# Guards against FAILBACK: requests of all entries at a server that is cold again, as if warm.
@pytest.mark.parametrize("case", CASES)
def test_cold_servers_get_no_more_than_they_tolerate(case):
    result = result_of(case, 9)
    assert result.most_at_cold <= result.bound


# Guards against servers that are left out although they are warm and all entries know it.
@pytest.mark.parametrize("case", CASES)
def test_restarted_servers_get_requests_within_a_second_of_being_warm(case):
    assert max(result_of(case, 9).waits_s) <= 1.0


# Guards against requests that fail, or are refused without a time, since their server is cold.
@pytest.mark.parametrize("case", CASES)
def test_requests_for_cold_servers_are_served_elsewhere_or_refused_with_a_time(case):
    answers = result_of(case, 9).answers
    refused = [a for a in answers if a.status == 503]
    assert all(float(a.retry_after) > 0 for a in refused)
    failed = [a for a in answers if a.status not in (200, 503)]
    assert len(failed) <= MAX_FAILED_RATIO * len(answers)
