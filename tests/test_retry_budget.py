"""The retries of all entries stay within the budget, also if entries miscount each other."""

import random

import pytest

from sassafraslock.decisions import retry_budget, windows

RATIO, SLACK, WINDOW_MS = 0.2, 58.0, 10_000


@pytest.mark.parametrize("entries", [3, 9, 12, 68, 300])
@pytest.mark.parametrize("seed", [1, 2])
def test_all_entries_together_stay_within_the_budget(entries, seed):
    """Requests are unevenly distributed, and each entry misses up to a quarter of the entries."""
    rng = random.Random(seed)
    budgets = [retry_budget.RetryBudget(RATIO, SLACK, WINDOW_MS) for _ in range(entries)]
    seen_entries = [max(1, int(entries * rng.uniform(0.75, 1.0))) for _ in range(entries)]
    weights = [rng.random() ** 2 for _ in range(entries)]
    requests, retries = [], []
    for now_ms in range(0, 40_000, 20):
        entry = rng.choices(range(entries), weights)[0]
        budgets[entry].record_request("s", now_ms)
        requests.append(now_ms)
        for _ in range(rng.randrange(4)):
            chosen = rng.randrange(entries)
            if budgets[chosen].try_acquire("s", seen_entries[chosen], now_ms):
                retries.append(now_ms)
        recent_requests = sum(now_ms - WINDOW_MS < at <= now_ms for at in requests[-1000:])
        recent_retries = sum(now_ms - WINDOW_MS < at <= now_ms for at in retries[-1000:])
        assert recent_retries <= RATIO * recent_requests + SLACK


def test_each_service_has_its_own_budget():
    budget = retry_budget.RetryBudget(0.0, 3.0, WINDOW_MS)
    granted = [budget.try_acquire(name, 1, 0) for name in ("a", "a", "a", "b")]
    assert granted == [True, True, False, True]
    assert budget.try_acquire("a", 1, 2 * WINDOW_MS)


def test_a_sliding_count_covers_at_least_its_window():
    count, added_ms = windows.SlidingCount(1000), []
    rng = random.Random(3)
    now_ms = 0
    for _ in range(500):
        now_ms += rng.randrange(300)
        count.add(now_ms)
        added_ms.append(now_ms)
        at_least = sum(now_ms - 1000 < at for at in added_ms)
        at_most = sum(now_ms - 1100 <= at for at in added_ms)
        assert at_least <= count.total(now_ms) <= at_most


@pytest.mark.parametrize("entries", [3, 9, 12, 68, 300])
@pytest.mark.parametrize("seed", [1, 2])
def test_restarted_and_added_entries_stay_within_the_budget(entries, seed):
    """Each entry restarts once and loses its counts, and a quarter more entries join.

    The entries do not count the added ones: a process that starts knows the registered entries,
    and not those that join later.
    """
    rng = random.Random(seed)
    budgets = [retry_budget.RetryBudget(RATIO, SLACK, WINDOW_MS) for _ in range(entries)]
    restarts = {20_000 + 10_000 * n // entries: n for n in range(entries)}
    joined_at_ms = 20_000
    requests, retries = [], []
    for now_ms in range(0, 40_000, 5):
        if now_ms == joined_at_ms:
            more = max(1, entries // 4)
            budgets += [retry_budget.RetryBudget(RATIO, SLACK, WINDOW_MS) for _ in range(more)]
        for at_ms in [at for at in restarts if at <= now_ms]:
            budgets[restarts.pop(at_ms)] = retry_budget.RetryBudget(RATIO, SLACK, WINDOW_MS)
        budget = rng.choice(budgets)
        budget.record_request("s", now_ms)
        requests.append(now_ms)
        if rng.choice(budgets).try_acquire("s", entries, now_ms):
            retries.append(now_ms)
        if now_ms % 100 == 0:
            recent_requests = sum(now_ms - WINDOW_MS < at <= now_ms for at in requests[-2_500:])
            recent_retries = sum(now_ms - WINDOW_MS < at <= now_ms for at in retries[-2_500:])
            assert recent_retries <= RATIO * recent_requests + SLACK
