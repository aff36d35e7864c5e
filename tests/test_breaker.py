"""The circuit breaker of the platform client."""

from sassafraslock.decisions import breaker


def test_a_breaker_lets_one_probe_through():
    guard = breaker.CircuitBreaker()
    for _ in range(breaker.FAILURES_TO_OPEN):
        assert guard.allow_call(0)
        guard.record_failure()
    assert not guard.allow_call(1)
    assert guard.allow_call(breaker.PROBE_INTERVAL_MS)
    assert not guard.allow_call(breaker.PROBE_INTERVAL_MS + 1)
    assert guard.record_success(9)
    assert guard.allow_call(9)
