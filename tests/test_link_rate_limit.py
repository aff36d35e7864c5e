"""The shares of all entries add up to at most the limit of a link; authentication of messages."""

import random

import pytest

from sassafraslock.decisions import link_rate_limit, message_auth

LIMIT = 100_000


@pytest.mark.parametrize("entries", [1, 3, 9])
def test_answers_through_all_entries_stay_within_the_link_limit(entries):
    rng = random.Random(entries)
    limiters = [link_rate_limit.LinkRateLimiter() for _ in range(entries)]
    for limiter in limiters:
        limiter.limits = {"b": LIMIT}
    sent = []
    for now_ms in range(0, 10_000, 2):
        size = rng.randrange(200, 900)
        if rng.choice(limiters).try_acquire("b", 100, size, entries, now_ms):
            sent.append((now_ms, size))
    for start_ms in range(0, 9_000, 250):
        sent_bytes = sum(size for at, size in sent if start_ms <= at < start_ms + 1000)
        assert sent_bytes <= LIMIT
    assert sum(size for _, size in sent) > 0.3 * 10 * LIMIT


def test_a_link_without_a_limit_is_not_limited():
    assert link_rate_limit.LinkRateLimiter().try_acquire("b", 10**9, 10**9, 1, 0)


@pytest.mark.parametrize("damage", [lambda d: d[:-1], lambda d: b"x" + d, lambda d: b"", bytes])
def test_only_unchanged_messages_signed_with_the_token_verify(damage):
    signed = message_auth.sign("token", b"data")
    assert message_auth.verify("token", signed) == b"data"
    assert message_auth.verify("other", signed) is None
    assert message_auth.verify("", b"data") == message_auth.sign("", b"data") == b"data"
    if damage(signed) != signed:
        assert message_auth.verify("token", damage(signed)) is None
