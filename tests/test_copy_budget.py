"""The part of its link that an entry spends on copies for its peers."""

import hypothesis
import hypothesis.strategies as st

from sassafraslock.decisions import copy_budget

LINK_MBPS = 10.0
BYTES_PER_MS = LINK_MBPS * 125
SIZES = st.lists(st.tuples(st.integers(0, 800), st.integers(1, 2_000_000)), max_size=60)


@hypothesis.given(SIZES)
def test_large_copies_never_queue_for_long_behind_each_other(requests):
    budget, now_ms, queued_bytes = copy_budget.CopyBudget(LINK_MBPS, 0), 0, 0.0
    for gap_ms, size in requests:
        now_ms += gap_ms
        queued_bytes = max(0.0, queued_bytes - gap_ms * BYTES_PER_MS)
        if budget.try_acquire(size, now_ms) and size > copy_budget.FREE_BYTES:
            assert queued_bytes <= copy_budget.BURST_MS * BYTES_PER_MS
            queued_bytes += size


def test_small_changes_and_links_of_unknown_width_are_not_limited():
    budget = copy_budget.CopyBudget(LINK_MBPS, 0)
    while budget.try_acquire(200_000, 0):
        pass
    assert budget.try_acquire(copy_budget.FREE_BYTES, 0)
    unknown = copy_budget.CopyBudget(0.0, 0)
    assert all(unknown.try_acquire(8_000_000, 0) for _ in range(50))
