"""The parts of a budget add up to no more than the whole, whoever believes how many share it."""

import random

import pytest

from sassafraslock.decisions import retry_budget, windows

RATIO, SLACK, WINDOW_MS = 0.2, 58.0, 10_000


@pytest.mark.parametrize("entries", [3, 9, 12, 68, 300])
@pytest.mark.parametrize("seed", [1, 2])
def test_all_entries_together_keep_the_budget(entries, seed):
    """Requests come unevenly; entries see up to a quarter fewer peers than there are."""
    source = random.Random(seed)
    budgets = [retry_budget.RetryBudget(RATIO, SLACK, WINDOW_MS) for _ in range(entries)]
    believed = [max(1, int(entries * source.uniform(0.75, 1.0))) for _ in range(entries)]
    weights = [source.random() ** 2 for _ in range(entries)]
    requests, retries = [], []
    for now_ms in range(0, 40_000, 20):
        entry = source.choices(range(entries), weights)[0]
        budgets[entry].record_request("s", now_ms)
        requests.append(now_ms)
        for _ in range(source.randrange(4)):
            chosen = source.randrange(entries)
            if budgets[chosen].try_acquire("s", believed[chosen], now_ms):
                retries.append(now_ms)
        asked = sum(now_ms - WINDOW_MS < at <= now_ms for at in requests[-1000:])
        again = sum(now_ms - WINDOW_MS < at <= now_ms for at in retries[-1000:])
        assert again <= RATIO * asked + SLACK


def test_services_have_budgets_of_their_own():
    budget = retry_budget.RetryBudget(0.0, 3.0, WINDOW_MS)
    taken = [budget.try_acquire(name, 1, 0) for name in ("a", "a", "a", "b")]
    assert taken == [True, True, False, True]
    assert budget.try_acquire("a", 1, 2 * WINDOW_MS)


def test_a_sliding_count_holds_at_least_the_window():
    count, kept = windows.SlidingCount(1000), []
    source = random.Random(3)
    now_ms = 0
    for _ in range(500):
        now_ms += source.randrange(300)
        count.add(now_ms)
        kept.append(now_ms)
        within = sum(now_ms - 1000 < at for at in kept)
        longer = sum(now_ms - 1100 <= at for at in kept)
        assert within <= count.total(now_ms) <= longer


@pytest.mark.parametrize("entries", [3, 9, 12, 68, 300])
@pytest.mark.parametrize("seed", [1, 2])
def test_entries_that_restart_in_turn_or_join_keep_the_budget_too(entries, seed):
    """Each entry starts anew once, with nothing counted, and a quarter more join unknown to it.

    A process that starts knows the others by their registrations, not those that join later.
    """
    source = random.Random(seed)
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
        budget = source.choice(budgets)
        budget.record_request("s", now_ms)
        requests.append(now_ms)
        if source.choice(budgets).try_acquire("s", entries, now_ms):
            retries.append(now_ms)
        if now_ms % 100 == 0:
            asked = sum(now_ms - WINDOW_MS < at <= now_ms for at in requests[-2_500:])
            again = sum(now_ms - WINDOW_MS < at <= now_ms for at in retries[-2_500:])
            assert again <= RATIO * asked + SLACK
