"""Messages of summed limits: odd, late, copied, and of entries that are not known."""

import random

import anyio
import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from sassafraslock import clock, errors, workspaces
from sassafraslock.quotas import (
    collector_choice,
    limits,
    messages,
    node,
    refusal,
    service,
    share_owner,
)
from tests import test_gossip

LIMIT = limits.Limit("workspace/x", 10.0, 5.0)
TERMS = limits.Terms(5_000, 0.1, 20.0)
ITEM = messages.AskItem(7, LIMIT.key, LIMIT.rate_per_s, LIMIT.burst)


def info(entry_id, **more):
    return collector_choice.EntryInfo(entry_id, "a", 10.0, 1, more.pop("heard_ms", 0), **more)


def collecting_node(now_ms=60_000):
    """A collector that holds its own share and that of another entry, so that its bucket fills."""
    entries = [info("me", heard_ms=now_ms), info("other", heard_ms=now_ms, live=False)]
    own = node.QuotaNode(entries[0], 1, TERMS, lambda _: entries, 0)
    own.apply_limits([LIMIT], 0)
    for time_ms in range(0, now_ms + 1, 100):
        own.tick(time_ms)
        for receiver, message in own.drain(time_ms):
            if isinstance(message, messages.LeaseAsk) and receiver == "other":
                own.take(messages.LeaseAnswer("other", 1, message.number, 0.5, True), time_ms)
    return own


def answers(own, now_ms):
    drained = own.drain(now_ms)
    sent = [m for _, m in drained if isinstance(m, messages.TokenAnswer)]
    return [item for message in sent for item in message.items]


@hypothesis.given(st.binary(max_size=200))
def test_any_datagram_decodes_or_is_described(payload):
    assert messages.decode(payload)


@pytest.mark.parametrize(
    "odd",
    [
        [9, "x"],
        [1, "x", 1, 1, 1 << 40],
        [2, "x", 1, 1, float("nan"), True],
        [2, "x", 1, 1, 1.5, True],
        [4, "x", 1, False, [[1, "k", -1.0, 1.0]]],
        [4, "x", 1, False, [[1, "k", 1.0, 1.0]] * 21],
        [5, "x", 1, [[1, 9]]],
        [],
    ],
)
def test_a_message_out_of_bounds_is_not_used(odd):
    assert isinstance(messages.decode(msgspec.msgpack.encode(odd)), str)


def test_messages_survive_their_encoding():
    ask = messages.TokenAsk("e", 3, False, [ITEM])
    assert messages.decode(messages.encode(ask)) == ask
    assert len(messages.encode(ask)) < 60


# Guards against a token that two requests use: a copy of an ask or of a return.
def test_copies_grant_and_return_a_token_once():
    own = collecting_node()
    ask = messages.TokenAsk("other", 5, False, [ITEM])
    own.take(ask, 60_010)
    own.take(ask, 60_020)
    assert [item.verdict for item in answers(own, 60_020)] == [messages.Verdict.GRANTED]
    for _ in range(2):
        own.take(messages.TokenReturn("other", 5, [7]), 60_050)
    assert own.collector.counters.returned == 1
    own.take(messages.TokenReturn("other", 6, [7]), 60_060)
    assert own.collector.counters.returned == 1


def test_a_token_that_returns_too_late_is_void():
    own = collecting_node()
    own.take(messages.TokenAsk("other", 5, False, [ITEM]), 60_010)
    own.take(messages.TokenReturn("other", 5, [7]), 60_010 + TERMS.validity_ms)
    assert own.collector.counters.returned == 0
    assert own.collector.counters.voided == 1


# Guards against leases of answers that lay unread: the owner may have lent its share anew.
def test_a_late_or_foreign_answer_brings_no_share():
    own = collecting_node()
    held = own.collector.book.share
    assert held == pytest.approx(1.0)
    for number in range(1, 2_000):
        own.take(messages.LeaseAnswer("third", 1, number, 1.0, True), 60_010 + 1_500)
        own.take(messages.LeaseAnswer("other", 2, number, 1.0, True), 60_010 + 1_500)
    own.tick(62_500)
    assert own.collector.book.share <= 0.5


def test_an_answer_to_nothing_changes_nothing():
    own = collecting_node()
    level = own.collector.levels()
    granted = messages.AnswerItem(999_999, messages.Verdict.GRANTED, 50, 400)
    own.take(messages.TokenAnswer("other", 1, [granted]), 60_000)
    own.take(messages.TokenAnswer("other", 2, [granted]), 60_000)
    assert own.collector.levels() == level


# Guards against a share that two collectors hold, by a release that lay unread.
def test_a_release_ends_only_the_leases_before_it():
    owner = share_owner.ShareOwner("me", 0)
    assert owner.answer(messages.LeaseAsk("x", 1, 5, 1_500), 0.1, 2_000).granted
    assert owner.answer(messages.LeaseAsk("x", 1, 9, 1_500), 0.1, 2_100).granted
    owner.release(messages.Release("x", 1, 7))
    owner.release(messages.Release("x", 2, 10))
    denied = owner.answer(messages.LeaseAsk("y", 1, 1, 1_500), 0.1, 2_200)
    assert (denied.granted, denied.holder) == (False, "x")
    owner.release(messages.Release("x", 1, 10))
    assert owner.answer(messages.LeaseAsk("y", 1, 2, 1_500), 0.1, 2_300).granted


def test_nothing_is_lent_for_one_lease_after_a_start_or_a_standstill():
    owner = share_owner.ShareOwner("me", 1_000)
    assert not owner.answer(messages.LeaseAsk("x", 1, 1, 1_500), 0.1, 2_400).granted
    assert owner.answer(messages.LeaseAsk("x", 1, 2, 1_500), 0.1, 2_500).granted
    owner.hold_back(9_000)
    assert not owner.answer(messages.LeaseAsk("x", 1, 3, 1_500), 0.1, 10_400).granted


def peer(entry_id):
    own = test_gossip.service(entry_id)
    quotas = service.QuotaService(
        own, lambda beat: test_gossip.record(entry_id, beat), TERMS, clock.monotonic_ms()
    )
    return own, quotas


def test_datagrams_of_unknown_senders_and_odd_ones_are_dropped():
    own, quotas = peer("me")
    ask = messages.LeaseAsk("stranger", 1, 1, 1_500)
    later_ms = clock.monotonic_ms() + 1_400
    own.merge_datagram(b"\x01" + messages.encode(ask), later_ms)
    own.merge_datagram(b"\x01\xff\x00", later_ms)
    assert quotas.node.drain(later_ms) == []
    assert quotas.node.owner.holder == ""
    assert quotas.rejections.counts["quota message"] == 1


def test_nothing_is_sent_while_no_workspace_has_a_rate():
    _, quotas = peer("me")
    now_ms = clock.monotonic_ms()
    for time_ms in range(now_ms, now_ms + 20_000, 500):
        quotas.node.tick(time_ms)
        assert quotas.node.drain(time_ms) == []


def test_a_workspace_without_a_rate_is_not_limited():
    async def scenario():
        _, quotas = peer("me")
        free = workspaces.Workspace("x", ())
        assert await quotas.acquire(free, clock.monotonic_ms()) is None

    anyio.run(scenario)


def test_without_any_share_the_refusal_says_that_nothing_is_known():
    async def scenario():
        _, quotas = peer("me")
        limited = workspaces.Workspace("x", (), rate_per_s=5.0)
        async with anyio.create_task_group() as group:
            await group.start(started, quotas)
            refused = await quotas.acquire(limited, clock.monotonic_ms())
            group.cancel_scope.cancel()
        assert refused.kind is errors.ErrorKind.QUOTA_UNKNOWN
        assert refused.retry_after_ms >= 500

    async def started(quotas, *, task_status=anyio.TASK_STATUS_IGNORED):
        ready = anyio.Event()
        task_status.started()
        await quotas.run(ready)

    anyio.run(scenario)


def test_callers_that_are_refused_do_not_return_together():
    own = collecting_node()
    waits = []
    for number in range(60):
        ask = own.ask(LIMIT, 60_000)
        own.drain(60_000)
        if ask.verdict is messages.Verdict.USED_UP:
            refused = refusal.refuse(ask, random.Random(number))
            assert refused.kind is errors.ErrorKind.QUOTA_USED_UP
            waits.append(refused.retry_after_ms)
    assert len(waits) > 30
    seconds = [sum(1 for w in waits if w // 1_000 == s) for s in range(max(waits) // 1_000 + 1)]
    assert max(seconds) <= 2 * LIMIT.rate_per_s
