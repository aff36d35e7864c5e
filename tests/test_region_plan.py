"""Split between regions: own region first, by capacity, and never more than a step at once."""

import random

import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock.decisions import region_plan

Facts = region_plan.RegionStats
LOPSIDED = {"gor": Facts(30, 1 / 3), "sta": Facts(36, 1 / 3), "pri": Facts(6, 1 / 3)}


def test_a_region_with_enough_serves_itself():
    assert region_plan.target_weights("sta", LOPSIDED) == {"sta": 1.0}


def test_a_small_region_sends_what_is_beyond_its_part_to_those_with_room():
    weights = region_plan.target_weights("pri", LOPSIDED)
    assert weights["pri"] == pytest.approx(region_plan.LOCAL_PREFERENCE * 0.25)
    assert weights["sta"] > weights["gor"]
    assert sum(weights.values()) == pytest.approx(1.0)


def test_a_region_without_servers_gets_nothing():
    facts = {"a": Facts(0, 0.5), "b": Facts(10, 0.5)}
    assert region_plan.target_weights("a", facts) == {"b": 1.0}
    assert region_plan.target_weights("a", {"a": Facts(0, 1.0)}) == {}


def test_a_plan_moves_in_steps_and_leaves_a_dead_region_at_once():
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


def test_a_target_that_wavers_moves_nothing():
    """Pattern: demand that comes and goes in waves; each object that moves is new to its server."""
    plan, weights = region_plan.RegionPlan("a"), []
    for number in range(100):
        waver = 0.06 if number % 10 < 5 else 0.0
        plan.update({"a": 0.4 + waver, "b": 0.6 - waver}, {"a", "b"}, number * 500)
        weights.append(plan.weights["a"])
    assert len(set(weights[20:])) == 1


def test_an_own_region_with_too_much_is_relieved_and_one_with_room_waits():
    for now, target, moved in ((0.5, 0.4, True), (0.4, 0.5, False), (0.4, 0.6, True)):
        plan = region_plan.RegionPlan("a")
        plan.update({"a": now, "b": 1 - now}, {"a", "b"}, 0)
        plan.update({"a": target, "b": 1 - target}, {"a", "b"}, 10_000)
        assert (plan.weights["a"] != now) is moved


def test_an_operators_split_is_reached_exactly():
    plan, wanted = region_plan.RegionPlan("a"), {"a": 0.45, "b": 0.55}
    plan.update({"a": 0.4, "b": 0.6}, {"a", "b"}, 0)
    for now_ms in range(500, 5_000, 500):
        plan.update(wanted, {"a", "b"}, now_ms, exact=True)
    assert plan.weights == pytest.approx(wanted)


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
    """Entries learn of new targets up to three seconds apart and carry unlike parts of traffic.

    The oracle adds up what all entries send to each region, window by window at any moment.
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
