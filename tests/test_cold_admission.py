"""Which entries send to a cold server, whatever each of them knows of the others."""

import random

import pytest

from sassafraslock.decisions import cold_admission, cold_start, registry, server_restarts
from tests import fact_source, test_cold_start

PER_S, OVERAGE, SLACK = 4.9, 1.5, 5.0


class Members:
    """An entry's view: all entries are known, and those that it hears are alive."""

    def __init__(self, ids):
        self.ids, self.live = ids, ids

    def live_ids(self, region=""):
        return self.live

    def known_ids(self, region=""):
        return self.ids


def admission(entry_id, members, started_ms=-10_000):
    limiter = cold_start.ColdStartLimiter(entry_id, OVERAGE, SLACK, started_ms)
    restarts = server_restarts.ServerRestarts(entry_id, registry.Registry())
    return cold_admission.ColdAdmission(limiter, restarts, members)


# Guards against FAILBACK: each view of who is alive had two entries of its own that sent.
@pytest.mark.parametrize("entries", [9, 67, 195])
@pytest.mark.parametrize("seed", range(5))
def test_entries_with_many_views_of_who_is_alive_keep_the_rate(entries, seed):
    source = random.Random(seed)
    ids = [f"e-{n}" for n in range(entries)]
    server = registry.Server(fact_source.report("i-1"), 0)
    sent, known = [], {i: Members(ids) for i in ids}
    admissions = {i: admission(i, known[i]) for i in ids}
    for now_ms in range(0, 4_000, 2):
        entry_id = source.choice(ids)
        if now_ms % 100 == 0:
            for i in ids:
                known[i].live = [i, *source.sample(ids, source.randrange(entries))]
        if now_ms % 500 == 0:  # processes that end and start again
            for i in source.sample(ids, entries // 3):
                admissions[i] = admission(i, known[i], now_ms)
        if admissions[entry_id].try_acquire(server, PER_S, now_ms):
            sent.append(now_ms)
    assert sent
    assert test_cold_start.max_per_second(sent) <= PER_S * OVERAGE + SLACK


# Guards against a full bucket for each start: a server may start twice within a second.
def test_a_server_that_starts_twice_has_one_rate():
    admitted = admission("e-1", Members(["e-1"]))
    sent = []
    for now_ms in range(0, 2_000, 5):
        server = registry.Server(fact_source.report("i-1", born_ms=1 + now_ms // 50), now_ms)
        if admitted.try_acquire(server, PER_S, now_ms):
            sent.append(now_ms)
    assert test_cold_start.max_per_second(sent) <= (PER_S * OVERAGE + SLACK) / 4


# Guards against a bucket that is full again since the server's row was away for a moment.
def test_a_bucket_outlives_its_servers_row():
    limiter = cold_start.ColdStartLimiter("e-1", OVERAGE, SLACK)
    granted = 0
    for now_ms in range(0, 1_000, 5):
        granted += limiter.try_acquire("i-1", PER_S, ["e-1"], now_ms)
        limiter.discard_unused(now_ms)
    assert granted <= (PER_S * OVERAGE + SLACK) / 4
