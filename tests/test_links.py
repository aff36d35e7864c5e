"""Link bytes: no second carries more than the limit, whatever is asked."""

import hypothesis
import hypothesis.strategies as st

from sassafraslock.decisions import links

RATE = 1_000_000
ASKS = st.lists(st.tuples(st.integers(0, 40), st.integers(0, 90_000), st.booleans()), max_size=150)


@hypothesis.given(ASKS)
@hypothesis.settings(derandomize=True, deadline=None)
def test_any_second_carries_the_rate_and_one_burst_at_most(asks):
    budget = links.LinkBudget(RATE, 0.2, 0)
    now_ms, taken = 0, []
    for wait_ms, size_bytes, filing in asks:
        now_ms += wait_ms
        granted = budget.take(size_bytes, filing, now_ms)
        assert granted <= size_bytes
        taken.append((now_ms, granted))
    for start_ms, _ in taken:
        inside = sum(n for at_ms, n in taken if start_ms <= at_ms < start_ms + 1000)
        assert inside <= RATE + budget.burst_bytes


def test_reads_leave_a_reserve():
    budget = links.LinkBudget(RATE, 0.2, 0)
    while budget.take(1024, False, 100):
        pass
    assert budget.take(1024, True, 100) == 1024


def test_a_quota_lapses():
    quota = links.Quota()
    quota.add(500, 0)
    assert quota.spend(200, links.QUOTA_LIFE_MS - 1) == 200
    assert quota.spend(200, links.QUOTA_LIFE_MS) == 0
