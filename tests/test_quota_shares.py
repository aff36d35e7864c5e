"""Shares of summed limits: what an entry owns, what a collector may use, what buckets lose."""

import pytest

from sassafraslock.quotas import (
    asks,
    collector_choice,
    lease_book,
    limits,
    messages,
    outbox,
    share_gatherer,
    share_size,
    token_bucket,
)
from tests import quota_fleet, test_quota_bound

LIMIT = limits.Limit("workspace/x", 10.0, 5.0)


def others(count, heard_ms, first=0):
    return [share_size.KnownEntry(f"e-{n}", heard_ms) for n in range(first, first + count)]


def settled_size(count=8):
    size = share_size.ShareSize(0)
    for time_ms in range(0, 10_001, 500):
        size.update(others(count, time_ms), time_ms)
    return size


def test_entries_share_equally_silent_ones_included():
    size = settled_size()
    assert size.unit == pytest.approx(1 / 9)
    size.update([*others(6, 30_000), *others(2, 10_000, 6)], 30_000)
    assert size.unit == pytest.approx(1 / 9)


# Guards against joined entries whose shares others do not count yet.
def test_a_joined_entry_counts_after_four_seconds():
    size = settled_size()
    size.update([*others(8, 12_000), *others(6, 12_000, 8)], 12_000)
    assert size.unit == pytest.approx(1 / 15)
    assert not size.is_counted("e-8", 15_999)
    assert size.is_counted("e-8", 16_000)
    assert not size.is_counted("e-99", 99_000)


# Guards against shares used before the others count them, and against waiting where all do.
def test_entries_that_know_the_same_count_each_other_at_once():
    size = share_size.ShareSize(0)
    size.update(others(2, 0), 0, "me")
    gatherer = share_gatherer.ShareGatherer("me", 1, outbox.Outbox("me", 1), iter([7]), 0)
    book, known = lease_book.LeaseBook(0), ["me", "e-0", "e-1"]
    gatherer.renew(known[:2], known[2:], 0)
    for entry_id, digest in (("me", size.digest), ("e-0", size.digest), ("e-1", 5)):
        answer = messages.LeaseAnswer(entry_id, 1, 7, 0.3, False, "", digest)
        gatherer.take_answer(answer, book, 10)
    gatherer.check_agreement(known, size.digest, 20)
    assert gatherer.weight("e-0", 0.3, size, 20) == 0.0
    answer = messages.LeaseAnswer("e-1", 1, 7, 0.3, False, "", size.digest)
    gatherer.take_answer(answer, book, 30)
    gatherer.check_agreement(known, size.digest, 40)
    assert gatherer.weight("e-0", 0.3, size, 40) == pytest.approx(0.3)
    assert gatherer.weight("me", 0.9, size, 40) == pytest.approx(1 / 3)
    gatherer.check_agreement([*known, "e-9"], size.digest, 50)
    assert gatherer.weight("e-0", 0.3, size, 50) == 0.0
    gatherer.check_agreement(known, size.digest, 1_600)
    assert gatherer.weight("e-0", 0.3, size, 1_600) == 0.0


# Guards against a cut-off half that goes on to use its part of the former number of entries.
def test_those_that_joined_get_what_silent_entries_leave():
    size = settled_size()
    size.update([*others(4, 30_000), *others(4, 10_000, 4), *others(6, 30_000, 8)], 30_000)
    assert 11 * size.unit + 4 / 9 == pytest.approx(1.0)


# Guards against shares that a majority took over, since its rosters forgot the others.
def test_a_minority_owns_nothing_before_the_others_forget_it():
    size = settled_size()
    # The others forget it 60 s after they heard it, at 70 s.
    for time_ms in range(10_500, 62_000, 500):
        size.update([*others(2, time_ms), *others(6, 10_000, 2)], time_ms)
    assert size.unit == 0.0
    size.update(others(8, 62_000), 62_000)
    assert size.unit == pytest.approx(1 / 9)


def test_what_a_lease_brought_ends_with_it_also_if_nobody_looked():
    book = lease_book.LeaseBook(0)
    book.add("a", 0.25, 1, 1_500)
    book.add("b", 0.25, 1, 2_000)
    book.share = book.recount(lambda owner, share: share)
    assert book.advance(9_000)
    assert (book.share, len(book)) == (0.0, 0)
    assert book.share_ms == pytest.approx(0.5 * 1_500 + 0.25 * 500)


def test_a_bucket_starts_empty_and_loses_the_capacity_of_a_lost_share_at_once():
    bucket = token_bucket.TokenBucket(LIMIT, 20.0, 0.0)
    assert bucket.take(400, 0) is None
    bucket.settle(0.5, 0.5 * 10_000)
    assert bucket.level == pytest.approx(10.0)
    bucket.settle(0.1, 0.5 * 10_000)
    assert bucket.level == pytest.approx(2.0)
    bucket.change_limit(limits.Limit("workspace/x", 1.0, 0.0), 5.0, 0.1)
    assert bucket.level == pytest.approx(0.5)


def test_parts_of_tokens_make_up_a_whole_one_that_ends_with_the_first():
    bucket = token_bucket.TokenBucket(LIMIT, 20.0, 0.0)
    bucket.settle(0.5, 0.5 * 80)
    bucket.stock.add(0.4, 300)
    bucket.stock.add(0.3, 200)
    assert bucket.take(400, 100) == 200
    assert bucket.level == pytest.approx(0.1)
    assert bucket.stock.count(250) == 0.0


# Guards against tokens in the hands of an entry that was frozen.
def test_a_token_that_arrives_after_its_end_is_void():
    entry = collector_choice.EntryInfo("me", "a", 1.0, 1, 0)
    other = collector_choice.EntryInfo("other", "a", 9.0, 1, 0)
    choice = collector_choice.CollectorChoice(entry, 0)
    choice.update([entry, other], 0)
    choice.update([entry, other], 6_000)
    own = asks.Asks(choice, outbox.Outbox("me", 1), iter(range(100)))
    ask = own.start(LIMIT, 6_000)
    granted = messages.AnswerItem(ask.number, messages.Verdict.GRANTED, 1.0, 150)
    own.take_answer("other", granted, 6_150)
    assert ask.verdict is messages.Verdict.USED_UP
    assert own.voided == 1


@pytest.mark.parametrize("seed", range(3))
def test_collectors_that_are_cut_off_lose_what_they_hold(seed):
    """Each collector with full buckets is alone for a while; others gather its shares."""
    fleet = quota_fleet.Fleet(9, seed)
    limit = test_quota_bound.LIMITS[1]
    fleet.set_limit(limit)
    fleet.run(25_000)
    alone = {e.entry_id for e in fleet.entries.values() if e.node.collector.is_active}

    def is_cut(entry, other):
        return entry.entry_id in alone or other.entry_id in alone

    fleet.cuts.append(is_cut)
    fleet.walls.append(is_cut)
    fleet.run(36_000)
    fleet.demand(limit.key, 100, 44_000, fleet.any_entry)
    fleet.run(46_000)
    runs = fleet.usage[limit.key].runs
    assert runs
    assert quota_fleet.most_in_a_window(runs) <= quota_fleet.bound(limit)
