"""Summed limits without faults, in virtual time: what is used of them, and what is refused."""

import pytest

from sassafraslock.quotas import limits
from tests import quota_fleet

WARM_MS, PLAY_MS = 8_000, 20_000


def play(count, limit, factor, place, play_ms=PLAY_MS, seed=1, warm_ms=WARM_MS):
    """Play demand of ``factor`` times a limit at the entries that ``place`` names."""
    fleet = quota_fleet.Fleet(count, seed, gossips=False)
    fleet.set_limit(limit)
    fleet.run(warm_ms)
    known = list(fleet.entries.values())

    def pick():
        if place == "even":
            return fleet.rng.choice(known)
        if place == "one entry":
            return known[0]
        # Moves to another zone each 3 s; the last index of an entry names its zone.
        zone = fleet.now_ms // 3_000 % 6
        return fleet.rng.choice(known[zone::6])

    fleet.demand(limit.key, factor * limit.rate_per_s, warm_ms + play_ms, pick)
    fleet.run(warm_ms + play_ms + 1_000)
    usage = fleet.usage[limit.key]
    assert quota_fleet.most_in_a_window(usage.runs) <= quota_fleet.bound(limit)
    return usage


# Guards against equal parts for all entries, of which most lie unused where the demand is not.
@pytest.mark.parametrize("place", ["even", "one entry", "moving"])
@pytest.mark.parametrize("count", [9, 67, 195, 1_000])
def test_most_of_an_quota_is_used_where_demand_is_over_it(count, place):
    limit = limits.Limit("workspace/x", 20.0, 0.0)
    play_ms = PLAY_MS if count < 1_000 else PLAY_MS // 2
    usage = play(count, limit, 3.5, place, play_ms)
    assert len(usage.runs) >= 0.9 * limit.rate_per_s * play_ms / 1_000
    assert usage.unknown == 0


@pytest.mark.parametrize("rate_per_s", [0.5, 2.0, 10.0, 60.0])
@pytest.mark.parametrize("count", [9, 195])
def test_requests_under_the_quota_are_not_refused(count, rate_per_s):
    limit = limits.Limit("workspace/x", rate_per_s, 1.0)
    play_ms = max(PLAY_MS, int(100_000 / rate_per_s))
    # Buckets are empty at first; a small limit needs a while for its first tokens.
    warm_ms = WARM_MS + int(15_000 / rate_per_s)
    usage = play(count, limit, 1 / 1.6, "even", play_ms, warm_ms=warm_ms)
    assert usage.refused + usage.unknown < 0.01 * usage.asked
