"""All entries together keep a cold server's rate, even if they disagree on who is alive."""

import collections
import random

import pytest

from sassafraslock.decisions import cold_start

PER_S, OVERAGE, SLACK = 4.9, 1.5, 5.0


def max_per_second(times):
    times = sorted(times)
    return max((sum(at <= t < at + 1000 for t in times) for at in times), default=0)


@pytest.mark.parametrize("entries", [1, 3, 9, 12, 68, 300])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_entries_together_keep_a_cold_servers_rate(entries, seed):
    """The entries have two views of the live ones: some do not see up to a third of the others."""
    source = random.Random(seed)
    ids = [f"e-{n}" for n in range(entries)]
    missing = set(source.sample(ids, entries // 3))
    sent = collections.defaultdict(list)
    limiters = {i: cold_start.ColdStartLimiter(i, OVERAGE, SLACK) for i in ids}
    for now_ms in range(0, 5000, 5):
        entry = source.choice(ids)
        others = set(ids) - (missing if entry not in missing and hash(entry) % 2 else set())
        for server in ("x", "y"):
            if limiters[entry].try_acquire(server, PER_S, sorted(others | {entry}), now_ms):
                sent[server].append(now_ms)
    for times in sent.values():
        assert max_per_second(times) <= PER_S * OVERAGE + SLACK


def test_cold_servers_do_get_requests():
    limiter = cold_start.ColdStartLimiter("e", OVERAGE, SLACK)
    granted = sum(limiter.try_acquire("x", PER_S, ["e"], now_ms) for now_ms in range(0, 3000, 10))
    assert granted >= 5


def test_assigned_entries_are_few_and_the_same_for_all():
    ids = [f"e-{n}" for n in range(50)]
    assigned = cold_start.assigned_entries("x", ids)
    assert assigned == cold_start.assigned_entries("x", ids[::-1])
    assert len(assigned) == cold_start.ASSIGNED_ENTRIES
