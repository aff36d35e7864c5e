"""Limits kept in parts, without messages: how much of each whole is used, by entries.

Each run asks for far more than a limit allows, in virtual time. The part used is what users get
of the whole; above 1 the limit would be broken.
"""

from __future__ import annotations

import dataclasses
import random
import typing

from sassafraslock.decisions import cold_start, region_plan, retry_budget

ENTRIES = (3, 9, 12, 68, 300)
SEED = 3
RATIO, SLACK, WINDOW_MS = 0.2, 58.0, 10_000
REQUEST_EVERY_MS, RETRY_SECONDS = 4, 30
COLD_PER_S, OVERAGE, COLD_SLACK, COLD_SECONDS = 4.9, 1.5, 5.0, 10
SHIFT_CAP, SHIFT_WINDOW_MS, SHIFT_SECONDS = 0.15, 2_000, 12


@dataclasses.dataclass(slots=True)
class Row:
    """The highest use of one limit in any window, as a part of what it allows."""

    limit: str
    entries: int
    used_ratio: float


def most_in_window(times: list[int], window_ms: int) -> int:
    """Return the highest number of moments that lie within any window of a length.

    :param times: the moments in milliseconds, in order.
    :param window_ms: the length.
    """
    most = first = 0
    for last, at_ms in enumerate(times):
        while times[first] <= at_ms - window_ms:
            first += 1
        most = max(most, last - first + 1)
    return most


def _retries(entries: int) -> float:
    source = random.Random(SEED)
    budgets = [retry_budget.RetryBudget(RATIO, SLACK, WINDOW_MS) for _ in range(entries)]
    sent = []
    for now_ms in range(0, 1_000 * RETRY_SECONDS, REQUEST_EVERY_MS):
        budget = source.choice(budgets)
        budget.record_request("s", now_ms)
        if budget.try_acquire("s", entries, now_ms):
            sent.append(now_ms)
    allowed = RATIO * WINDOW_MS / REQUEST_EVERY_MS + SLACK
    return most_in_window(sent, WINDOW_MS) / allowed


def _cold_requests(entries: int) -> float:
    source = random.Random(SEED)
    names = [f"entry-{n}" for n in range(entries)]
    deciders = [cold_start.ColdStartLimiter(name, OVERAGE, COLD_SLACK) for name in names]
    sent = [
        now_ms
        for now_ms in range(0, 1_000 * COLD_SECONDS)
        for decider in source.sample(deciders, min(3, entries))
        if decider.try_acquire("server", COLD_PER_S, names, now_ms)
    ]
    return most_in_window(sent, 1_000) / (COLD_PER_S * OVERAGE + COLD_SLACK)


def _shift(entries: int) -> float:
    source = random.Random(SEED)
    plans = [region_plan.RegionPlan("a", SHIFT_CAP, SHIFT_WINDOW_MS) for _ in range(entries)]
    late_ms = [source.randrange(1_000) for _ in plans]
    shares = []
    for now_ms in range(0, 1_000 * SHIFT_SECONDS, region_plan.STEP_MS):
        for plan, late in zip(plans, late_ms, strict=True):
            target = {"a": 1.0} if now_ms < 2_000 + late else {"b": 1.0}
            plan.update(target, {"a", "b"}, now_ms)
        shares.append(sum(plan.weights.get("b", 0.0) for plan in plans) / entries)
    steps = SHIFT_WINDOW_MS // region_plan.STEP_MS
    moved = (after - before for before, after in zip(shares, shares[steps:], strict=False))
    return max(moved) / SHIFT_CAP


LIMITS: dict[str, typing.Callable[[int], float]] = {
    "retry budget": _retries,
    "cold server's rate": _cold_requests,
    "shift cap": _shift,
}


def measure() -> list[Row]:
    """Return each limit's use by each number of entries."""
    return [Row(name, count, use(count)) for name, use in LIMITS.items() for count in ENTRIES]
