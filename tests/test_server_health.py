"""Records of a server decay, ejections end, and probes are sent one at a time."""

import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock.decisions import route_latency, server_health


def test_reported_load_excludes_own_requests_and_decays():
    health = server_health.ServerHealth()
    health.in_flight = 2
    health.record_load(7, 1_000)
    assert health.load(1_000) == 7
    assert health.load(1_000 + int(server_health.LOAD_HALF_LIFE_MS)) == pytest.approx(4.5)
    health.record_load(1, 1_000)
    assert health.load(1_000) == 2


def test_slowness_decays():
    health = server_health.ServerHealth()
    for _ in range(20):
        health.record_latency_ratio(5.0, 0)
    assert health.slow_factor(0) > 4.5
    assert health.slow_factor(40_000) == pytest.approx(1.0, abs=0.01)


def test_failures_slow_a_server_down_until_it_answers_again():
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


def test_a_replaced_start_is_ejected_for_longer_than_an_unreachable_one():
    health = server_health.ServerHealth()
    health.record_replaced(0)
    assert not health.is_available(server_health.REPLACED_EJECTION_MS - 1)
    assert health.is_available(server_health.REPLACED_EJECTION_MS)


def test_latency_means_move_towards_measured_times():
    latency = route_latency.RouteLatency.from_target(400)
    known, home, new = route_latency.ObjectAffinity
    assert latency.expected_ms(known) < latency.expected_ms(home) <= latency.expected_ms(new)
    for _ in range(200):
        latency.record(known, 100.0)
        latency.record(home, 200.0)
        latency.record(new, 400.0)
    measured = [latency.expected_ms(a) for a in (known, home, new)]
    assert measured == pytest.approx([100, 200, 400], abs=2)


def test_less_affinity_is_never_expected_to_be_faster():
    latency = route_latency.RouteLatency.from_target(400)
    known, home, new = route_latency.ObjectAffinity
    for _ in range(200):
        latency.record(known, 100.0)
        latency.record(home, 50.0)
        latency.record(new, 50.0)
    assert latency.expected_ms(new) >= route_latency.MIN_NEW_RATIO * 99
    assert latency.expected_ms(known) <= latency.expected_ms(home) <= latency.expected_ms(new)


@pytest.mark.parametrize(
    ("running", "waiting", "was_run", "remaining"),
    [(1, 0, True, 0), (3, 2, True, 4), (3, 9, False, 12), (0, 0, True, 0)],
)
def test_a_server_counts_the_request_that_it_answers(running, waiting, was_run, remaining):
    reported = server_health.ReportedLoad(running, waiting, 3)
    assert reported.remaining(was_run) == remaining


# Guards against a new start that is judged by the load, the speed and the failures of the old one.
def test_a_start_that_may_have_ended_is_forgotten_but_not_what_is_in_flight():
    health = server_health.ServerHealth(in_flight=2)
    health.record_load(9, 900)
    health.record_latency_ratio(9.0, 900)
    for _ in range(9):
        health.record_answer(True, 900)
    health.record_connect_failure(1_000)
    health.forget_start(1_000)
    assert health.load(1_000, typical=1.5) == 3.5 and health.slow_factor(1_000) == 1.0
    assert not health.answers and not health.is_available(1_000)
    assert not health.record_load(9, 990)
    assert health.record_load(5, 1_010) and health.load(1_010) == 5
