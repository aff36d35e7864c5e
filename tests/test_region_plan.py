"""Split between regions: own region first, by capacity, and never more than a step at once."""

import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock.decisions import region_plan

Facts = region_plan.RegionFacts
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
    plan = region_plan.RegionPlan()
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


SHARES = st.dictionaries(st.sampled_from("abc"), st.floats(0.01, 1.0), min_size=1)


@hypothesis.given(st.lists(SHARES, min_size=1, max_size=20))
def test_weights_always_sum_to_one(targets):
    plan, now_ms = region_plan.RegionPlan(), 0
    for target in targets:
        total = sum(target.values())
        now_ms += 700
        plan.update({r: w / total for r, w in target.items()}, set("abc"), now_ms)
        assert sum(plan.weights.values()) == pytest.approx(1.0)
