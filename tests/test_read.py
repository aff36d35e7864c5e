"""What clients send in the headers that affect routing."""

import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock import header_names, http_messages
from sassafraslock.path import read

NAMES = header_names.HeaderNames()


def timeout_ms(value):
    request = http_messages.Request("GET", "/", [(NAMES.deadline_ms, value)], b"", "c", 0)
    return read.read(request, NAMES).timeout_ms


TIMEOUTS = [
    (b"1500", 1_500),
    (b"1500.7", 1_500),
    (b" 20 ", 20),
    (b"", 0),
    (b"-5", 0),
    (b"nan", 0),
    (b"-inf", 0),
    (b"inf", 0),
    (b"1e400", 0),
    (b"1e300", read.MAX_TIMEOUT_MS),
    (b"9" * 300, read.MAX_TIMEOUT_MS),
    (b"9" * 5_000, 0),
    (b"\xd9\xa1", 0),
    (b"soon", 0),
]


@pytest.mark.parametrize("value, expected_ms", TIMEOUTS, ids=lambda v: str(v)[:24])
def test_a_timeout_is_bounded_and_an_odd_one_counts_as_missing(value, expected_ms):
    assert timeout_ms(value) == expected_ms


@hypothesis.given(st.binary(), st.binary(), st.binary())
def test_no_header_raises(timeout, host, key):
    headers = [(NAMES.deadline_ms, timeout), (b"host", host), (NAMES.object_key, key)]
    request = http_messages.Request("GET", "/", headers, b"", "c", 0)
    found = read.read(request, NAMES)
    assert 0 <= found.timeout_ms <= read.MAX_TIMEOUT_MS and b":" not in found.host.encode()
