"""Region weights: the own region first, by capacity, and moved by limited steps."""

import random

import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock.decisions import region_plan

Stats = region_plan.RegionStats
LOPSIDED = {"gor": Stats(30, 1 / 3), "sta": Stats(36, 1 / 3), "pri": Stats(6, 1 / 3)}


def test_a_region_with_enough_serves_itself():
    assert region_plan.target_weights("sta", LOPSIDED) == {"sta": 1.0}


def test_a_small_region_sends_its_excess_to_regions_with_spare_capacity():
    weights = region_plan.target_weights("pri", LOPSIDED)
    assert weights["pri"] == pytest.approx(region_plan.LOCAL_PREFERENCE * 0.25)
    assert weights["sta"] > weights["gor"]
    assert sum(weights.values()) == pytest.approx(1.0)


def test_a_region_without_servers_gets_nothing():
    stats = {"a": Stats(0, 0.5), "b": Stats(10, 0.5)}
    assert region_plan.target_weights("a", stats) == {"b": 1.0}
    assert region_plan.target_weights("a", {"a": Stats(0, 1.0)}) == {}


def test_a_plan_moves_in_steps_and_leaves_a_region_without_servers_at_once():
    plan = region_plan.RegionPlan("a")
    plan.update({"a": 1.0}, {"a", "b"}, 0)
    now_ms, before = 0, plan.weights
    for _ in range(100):
        now_ms += region_plan.STEP_MS
        plan.update({"b": 1.0}, {"a", "b"}, now_ms)
        moved = plan.weights.get("b", 0.0) - before.get("b", 0.0)
        assert 0.0 <= moved <= plan.step + 1e-9
        before = plan.weights
    assert plan.weights == {"b": 1.0}
    plan.update({"a": 1.0}, {"a"}, now_ms + 1)
    assert plan.weights == {"a": 1.0}


def test_a_plan_ignores_small_oscillations_of_its_target():
    """Pattern: demand in waves. Each object that moves is new to its server."""
    plan, weights = region_plan.RegionPlan("a"), []
    for number in range(100):
        offset = 0.06 if number % 10 < 5 else 0.0
        plan.update({"a": 0.4 + offset, "b": 0.6 - offset}, {"a", "b"}, number * 500)
        weights.append(plan.weights["a"])
    assert len(set(weights[20:])) == 1


def test_a_plan_follows_small_changes_only_if_the_own_region_has_an_excess():
    for now, target, moved in ((0.5, 0.4, True), (0.4, 0.5, False), (0.4, 0.6, True)):
        plan = region_plan.RegionPlan("a")
        plan.update({"a": now, "b": 1 - now}, {"a", "b"}, 0)
        plan.update({"a": target, "b": 1 - target}, {"a", "b"}, 10_000)
        assert (plan.weights["a"] != now) is moved


def test_an_operators_split_is_reached_exactly():
    plan, configured = region_plan.RegionPlan("a"), {"a": 0.45, "b": 0.55}
    plan.update({"a": 0.4, "b": 0.6}, {"a", "b"}, 0)
    for now_ms in range(500, 5_000, 500):
        plan.update(configured, {"a", "b"}, now_ms, exact=True)
    assert plan.weights == pytest.approx(configured)


SHARES = st.dictionaries(st.sampled_from("abc"), st.floats(0.01, 1.0), min_size=1)


@hypothesis.given(st.lists(SHARES, min_size=1, max_size=20))
def test_weights_always_sum_to_one(targets):
    plan, now_ms = region_plan.RegionPlan("a"), 0
    for target in targets:
        total = sum(target.values())
        now_ms += 700
        plan.update({r: w / total for r, w in target.items()}, set("abc"), now_ms)
        assert sum(plan.weights.values()) == pytest.approx(1.0)


SHIFT_CAP, WINDOW_MS = 0.15, 2_000


@pytest.mark.parametrize("entries", [3, 9, 12, 68, 300])
@hypothesis.settings(max_examples=8, deadline=None)
@hypothesis.given(seed=st.integers(0, 1_000))
def test_all_entries_together_keep_the_cap_on_shifts(entries, seed):
    """Entries get new targets up to three seconds apart and have unequal shares of the traffic.

    The test adds up the requests of all entries to a region and compares any two consecutive
    windows.
    """
    source = random.Random(seed)
    plans = [region_plan.RegionPlan("a", SHIFT_CAP, WINDOW_MS) for _ in range(entries)]
    parts = [source.random() ** 2 + 0.01 for _ in plans]
    late_ms = [source.randrange(3_000) for _ in plans]
    targets = [{"a": (p := source.random()), "b": 1.0 - p} for _ in range(6)]
    shares = []
    for now_ms in range(0, 24_000, 250):
        sent = 0.0
        for plan, part, late in zip(plans, parts, late_ms, strict=True):
            target = targets[0 if now_ms < late else (now_ms - late) // 4_000 % len(targets)]
            plan.update(target, {"a", "b"}, now_ms)
            sent += part * plan.weights["a"]
        shares.append(sent / sum(parts))
    width = WINDOW_MS // 250
    for start in range(len(shares) - 2 * width):
        before = sum(shares[start : start + width]) / width
        after = sum(shares[start + width : start + 2 * width]) / width
        assert abs(after - before) <= SHIFT_CAP
