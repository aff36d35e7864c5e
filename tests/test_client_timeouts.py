"""The time limits of clients, and what counts as progress."""

import pytest

from sassafraslock import routing_table
from sassafraslock.decisions import client_timeouts

LIMITS = routing_table.Limits(header_timeout_ms=3_000, idle_timeout_ms=10_000)
IDLE, LATE = client_timeouts.Expiry.IDLE, client_timeouts.Expiry.LATE
# Times in milliseconds: idle since, last bytes, first byte; whether there is a body; now; expiry.
CASES = {
    "idle within the limit": (0, 0, None, False, 11_000, None),
    "idle too long": (0, 0, None, False, 11_001, IDLE),
    "idle long ago, head within its limit": (0, 50_000, 50_000, False, 54_000, None),
    "head too late": (0, 53_000, 50_000, False, 54_001, LATE),
    "idle long ago, body arrives": (0, 90_000, 50_000, True, 100_000, None),
    "body stopped": (0, 90_000, 50_000, True, 101_001, LATE),
}


@pytest.mark.parametrize("name", list(CASES))
def test_expiry(name):
    idle_since_ms, received_ms, first_byte_ms, has_body, now_ms, expected = CASES[name]
    times = client_timeouts.ConnectionTimes(idle_since_ms, received_ms, first_byte_ms)
    assert times.expiry(LIMITS, has_body, now_ms) is expected


def test_a_client_that_reads_a_little_has_not_stalled():
    progress = client_timeouts.ReadProgress(0, 0)
    for now_ms in range(0, 5_000, 900):
        progress.update(now_ms, now_ms)
        assert not progress.is_stalled(1_000, now_ms)
    progress.update(4_500, 5_500)
    assert not progress.is_stalled(1_000, 5_500)
    assert progress.is_stalled(1_000, 5_501)
