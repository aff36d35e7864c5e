"""The circuit breaker of the platform client."""

from sassafraslock.decisions import breaker


def test_a_breaker_lets_one_probe_through():
    guard = breaker.CircuitBreaker()
    for _ in range(breaker.FAILURES_TO_OPEN):
        assert guard.allows(0)
        guard.note_failure()
    assert not guard.allows(1)
    assert guard.allows(breaker.PROBE_INTERVAL_MS)
    assert not guard.allows(breaker.PROBE_INTERVAL_MS + 1)
    assert guard.note_success(9)
    assert guard.allows(9)
