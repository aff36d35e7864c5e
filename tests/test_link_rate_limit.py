"""Links: the entries' parts add up to no more than a link carries."""

import random

import pytest

from sassafraslock.decisions import link_rate_limit, message_auth

LIMIT = 100_000


@pytest.mark.parametrize("entries", [1, 3, 9])
def test_answers_of_all_entries_keep_to_the_link(entries):
    source = random.Random(entries)
    shares = [link_rate_limit.LinkRateLimiter() for _ in range(entries)]
    for share in shares:
        share.limits = {"b": LIMIT}
    taken = []
    for now_ms in range(0, 10_000, 2):
        size = source.randrange(200, 900)
        if source.choice(shares).try_acquire("b", 100, size, entries, now_ms):
            taken.append((now_ms, size))
    for start_ms in range(0, 9_000, 250):
        within = sum(size for at, size in taken if start_ms <= at < start_ms + 1000)
        assert within <= LIMIT
    assert sum(size for _, size in taken) > 0.3 * 10 * LIMIT


def test_a_link_without_a_limit_carries_all():
    assert link_rate_limit.LinkRateLimiter().try_acquire("b", 10**9, 10**9, 1, 0)


@pytest.mark.parametrize("damage", [lambda d: d[:-1], lambda d: b"x" + d, lambda d: b"", bytes])
def test_only_what_bears_the_token_is_opened(damage):
    sealed = message_auth.sign("token", b"data")
    assert message_auth.verify("token", sealed) == b"data"
    assert message_auth.verify("other", sealed) is None
    assert message_auth.verify("", b"data") == message_auth.sign("", b"data") == b"data"
    if damage(sealed) != sealed:
        assert message_auth.verify("token", damage(sealed)) is None
