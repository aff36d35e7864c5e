"""Servers that start again under their old id, before complete entries in virtual time.

The sums are over all entries, since each of them decides for itself.
"""

import functools

import pytest

from tests import fleet_cases, fleet_plays

MAX_FAILED_RATIO = 0.02  # requests in flight at a server that fails to answer in time fail as well
SEED = 4  # all that is listed in KNOWN-RED.txt is clearly beyond its bound
LARGE = [(67, name) for name in fleet_cases.LARGE_PLAYS] + [(195, "store-away-down-0.4-s")]
QUIET = [(9, 2.0, 0), (9, 2.0, 1), (9, 4.5, 0), (9, 4.5, 1), (67, 2.0, 0)]


@functools.cache
def result_of(name):
    return fleet_plays.play(fleet_cases.SHAPES[9], fleet_cases.PLAYS[name], SEED)


# Guards against FAILBACK: requests of all entries at a server that is cold again, as if warm.
@pytest.mark.parametrize("name", fleet_cases.PLAYS)
def test_cold_servers_get_no_more_than_they_tolerate(name):
    result = result_of(name)
    assert result.most_at_cold <= result.bound, result.summary()


# Guards against a limit on cold servers that breaks by full buckets or views of who is alive.
@pytest.mark.parametrize("name", ["entries-killed", "entries-paused", "entries-held-for-long"])
def test_cold_servers_get_no_more_than_they_tolerate_once_all_entries_know(name):
    result = result_of(name)
    assert len(result.worst_known) <= result.bound


# Guards against FAILBACK by one request of each entry: of many entries, first tries alone add up.
@pytest.mark.parametrize(("entries", "name"), LARGE)
def test_cold_servers_get_no_more_than_they_tolerate_from_many_entries(entries, name):
    result = fleet_plays.play(fleet_cases.SHAPES[entries], fleet_cases.LARGE_PLAYS[name], SEED)
    assert result.most_at_cold <= result.bound, result.summary()


# Guards against servers that are left out although they are warm and all entries know it.
@pytest.mark.parametrize("name", fleet_cases.PLAYS)
def test_restarted_servers_get_requests_within_a_second_of_being_warm(name):
    assert max(result_of(name).waits_s) <= 1.0


# Guards against requests that fail, or are refused without a time, since their server is cold.
@pytest.mark.parametrize("name", fleet_cases.PLAYS)
def test_requests_for_cold_servers_are_served_elsewhere_or_refused_with_a_time(name):
    result = result_of(name)
    refused = [a for a in result.answers if a.status == 503]
    assert all(float(a.retry_after) > 0 for a in refused)
    assert result.failed_ratio <= MAX_FAILED_RATIO


# Guards against FAILBACK where entries had no traffic, so that few saw the end or none.
@pytest.mark.parametrize(("entries", "quiet_s", "seed"), QUIET)
def test_cold_servers_get_no_more_than_they_tolerate_after_a_quiet_time(entries, quiet_s, seed):
    shape = fleet_cases.SHAPES[entries]
    assert fleet_plays.play_after_quiet(shape, quiet_s, 0.05, seed) <= shape.bound
