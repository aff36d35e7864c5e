"""The circuit breaker of the platform client."""

from sassafraslock.decisions import breaker


def test_an_open_breaker_allows_one_probe_per_interval():
    circuit = breaker.CircuitBreaker()
    for _ in range(breaker.FAILURES_TO_OPEN):
        assert circuit.allow_call(0)
        circuit.record_failure()
    assert not circuit.allow_call(1)
    assert circuit.allow_call(breaker.PROBE_INTERVAL_MS)
    assert not circuit.allow_call(breaker.PROBE_INTERVAL_MS + 1)
    assert circuit.record_success(9)
    assert circuit.allow_call(9)
