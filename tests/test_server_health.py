"""What an entry learns of a server fades, ejections end, and probes go one at a time."""

import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock.decisions import object_memory, route_latency, server_health


def test_told_load_counts_others_once_and_fades():
    health = server_health.ServerHealth()
    health.in_flight = 2
    health.record_load(7, 1_000)
    assert health.load(1_000) == 7
    assert health.load(1_000 + int(server_health.LOAD_HALF_LIFE_MS)) == pytest.approx(4.5)
    health.record_load(1, 1_000)
    assert health.load(1_000) == 2


def test_a_slow_server_is_forgiven_with_time():
    health = server_health.ServerHealth()
    for _ in range(20):
        health.record_latency_ratio(5.0, 0)
    assert health.slow_factor(0) > 4.5
    assert health.slow_factor(40_000) == pytest.approx(1.0, abs=0.01)


def test_failures_make_a_server_dear_and_answers_cheap_again():
    health = server_health.ServerHealth()
    for _ in range(5):
        health.record_answer(True, 0)
    assert health.slow_factor(0) > 3
    for _ in range(20):
        health.record_answer(False, 0)
    assert health.slow_factor(0) == pytest.approx(1.0)


@hypothesis.given(st.integers(1, 30))
def test_ejections_are_bounded(failures):
    health, now_ms = server_health.ServerHealth(), 0
    for _ in range(failures):
        health.record_connect_failure(now_ms)
        assert not health.is_available(now_ms)
        assert health.ejected_until_ms - now_ms <= server_health.MAX_EJECTION_MS
        now_ms = health.ejected_until_ms
        assert health.is_available(now_ms)
    health.probing = True
    assert not health.is_available(now_ms)
    health.record_answer(False, now_ms)
    assert health.is_available(now_ms)


def test_a_start_that_was_replaced_is_left_longer_than_one_that_cannot_be_reached():
    health = server_health.ServerHealth()
    health.record_replaced(0)
    assert not health.is_available(server_health.REPLACED_EJECTION_MS - 1)
    assert health.is_available(server_health.REPLACED_EJECTION_MS)


def test_speeds_move_towards_what_is_measured():
    speed = route_latency.RouteLatency.from_target(400)
    known, home, new = route_latency.ObjectAffinity
    assert speed.expected_ms(known) < speed.expected_ms(home) <= speed.expected_ms(new)
    for _ in range(200):
        speed.record(known, 100.0)
        speed.record(home, 200.0)
        speed.record(new, 400.0)
    found = [speed.expected_ms(f) for f in (known, home, new)]
    assert found == pytest.approx([100, 200, 400], abs=2)


def test_a_server_that_knows_less_is_never_expected_to_be_faster():
    speed = route_latency.RouteLatency.from_target(400)
    known, home, new = route_latency.ObjectAffinity
    for _ in range(200):
        speed.record(known, 100.0)
        speed.record(home, 50.0)
        speed.record(new, 50.0)
    assert speed.expected_ms(new) >= route_latency.MIN_NEW_RATIO * 99
    assert speed.expected_ms(known) <= speed.expected_ms(home) <= speed.expected_ms(new)


def test_objects_are_remembered_for_a_time_and_the_oldest_forgotten(monkeypatch):
    monkeypatch.setattr(object_memory, "MAX_OBJECTS", 3)
    memory = object_memory.ObjectMemory()
    for number in range(4):
        memory.record(str(number), "s", 0)
    assert not memory.has_handled("0", "s", 0) and memory.has_handled("3", "s", 0)
    assert not memory.has_handled("3", "other", 0)
    assert not memory.has_handled("3", "s", object_memory.RETENTION_MS)
