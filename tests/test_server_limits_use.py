"""How much of a server's rate limit is used, whoever of the entries has the demand for it."""

import pytest

from benchmarks import server_limits

USED_RATIO = 0.8  # of the limit, where the demand is several times as high


# Guards against limits that go unused, since only few entries send and the demand is at others.
@pytest.mark.parametrize("entries", [9, 67, 195, 1_000])
def test_most_of_a_limit_is_used_where_the_demand_is_spread_over_entries(entries):
    assert server_limits._row(entries, 1.9).used_ratio_spread >= USED_RATIO


@pytest.mark.parametrize("entries", [9, 67, 195, 1_000])
def test_most_of_a_limit_is_used_where_each_entry_has_demand(entries):
    assert server_limits._row(entries, 1.9).used_ratio_ample >= USED_RATIO
