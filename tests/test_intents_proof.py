"""Proofs of the intents: whatever is late, stands still or jumps, no proof counts for too long."""

import pytest

from sassafraslock import store_version
from sassafraslock.decisions import intents_proof, store_clock

BOUND_MS = 5_000
STORE_MS = 700_000  # what the store's clock shows at the local time 0


def report(version, store_ms, clock_ms=0):
    return intents_proof.ProofReport(version, store_ms, clock_ms)


def proofs(bound_ms=BOUND_MS, applied=3):
    entry = intents_proof.IntentsProofs(bound_ms)
    entry.enter_era(0, 0)
    entry.apply_version(applied)
    return entry


def answered(entry, version, sent_ms, read_ms, store_ms=None):
    """Record an answer of the store, made at ``store_ms`` or just when it is read."""
    entry.record_answer(version, STORE_MS + read_ms if store_ms is None else store_ms,
                        sent_ms, read_ms)  # fmt: skip


def awake(entry, until_ms, since_ms=0):
    """Let gossip run, as at an entry that does not stand still."""
    for now_ms in range(since_ms, until_ms, 500):
        entry.recent_reports(now_ms)


def test_an_answer_proves_the_copy_for_the_bound_less_what_the_call_took():
    entry = proofs()
    answered(entry, 3, 0, 40)
    assert entry.age_ms(40) == 41  # the answer may have been made up to 40 ms ago, and drift
    assert entry.may_accept(4_800) and not entry.may_accept(5_000)
    assert entry.may_deny(1_800) and not entry.may_deny(2_000)


def test_without_any_answer_nothing_is_proven():
    entry = proofs()
    entry.merge_reports([report(3, STORE_MS)], 0)
    assert entry.age_ms(0) is None
    assert not entry.may_accept(0) and not entry.may_deny(0)
    assert 100 <= entry.retry_after_ms(0) <= 1_000


# Guards against requests that run with a key that a newer, unreadable row took away.
def test_a_version_that_is_not_applied_proves_nothing():
    entry = proofs(applied=3)
    answered(entry, 3, 0, 10)
    answered(entry, 4, 1_000, 1_010)
    assert entry.age_ms(1_010) == pytest.approx(1_010, abs=5)
    awake(entry, 5_000, 1_010)
    assert not entry.may_accept(5_000)
    entry.apply_version(4)
    assert entry.may_accept(5_000)


# Guards against proofs that lay unread in a process that stood still and count from their reading.
def test_a_late_message_is_as_old_as_its_store_time_says():
    entry = proofs()
    answered(entry, 3, 0, 10)
    awake(entry, 8_000)
    entry.merge_reports([report(3, STORE_MS + 1_000, STORE_MS + 2_000)], 8_000)
    assert entry.age_ms(8_000) == pytest.approx(7_010, abs=20)
    assert not entry.may_accept(8_000)


# Guards against an answer that was made before a standstill of 7 s and is read after it.
def test_an_answer_that_is_read_late_is_as_old_as_its_call():
    entry = proofs()
    answered(entry, 3, 0, 7_000, store_ms=STORE_MS + 5)
    assert not entry.may_accept(7_000)
    answered(entry, 3, 7_000, 7_010)
    assert entry.may_accept(7_010)


# Guards against datagrams of before a standstill, whose clock may have been another one.
def test_gossip_counts_again_a_moment_after_a_standstill():
    entry = proofs()
    answered(entry, 3, 0, 10)
    awake(entry, 1_000)
    assert not entry.may_accept(9_000)
    entry.merge_reports([report(3, STORE_MS + 8_900)], 9_100)
    assert not entry.may_accept(9_100)
    awake(entry, 10_200, 9_100)
    entry.merge_reports([report(3, STORE_MS + 8_900)], 10_200)
    assert entry.may_accept(10_200)


def test_gossip_keeps_an_entry_proven_that_the_store_turns_away():
    entry, peer = proofs(), proofs()
    answered(entry, 3, 0, 10)
    for now_ms in range(500, 60_000, 500):
        answered(peer, 3, now_ms - 20, now_ms)
        entry.merge_reports(peer.recent_reports(now_ms), now_ms)
        assert entry.may_accept(now_ms)
        assert entry.age_ms(now_ms) <= peer.age_ms(now_ms) + 80


# Guards against a clock that is set: proofs of the other clock would count for too long.
@pytest.mark.parametrize("jump_ms", [-600_000, -10_000, -300, 300, 10_000, 600_000])
def test_a_jump_of_the_stores_clock_voids_all_proofs(jump_ms):
    entry = proofs()
    answered(entry, 3, 0, 10)
    answered(entry, 3, 100, 110, STORE_MS + 110 + jump_ms)
    assert entry.age_ms(110) is None
    # An answer to a call that was under way may come from either clock.
    answered(entry, 3, 105, 120, STORE_MS + 115)
    assert entry.age_ms(120) is None
    answered(entry, 3, 130, 140, STORE_MS + 140 + jump_ms)
    assert entry.may_accept(140)


# Guards against proofs by the former clock from peers that have not called the store since.
@pytest.mark.parametrize("jump_ms", [-600_000, -3_000, 3_000, 600_000])
def test_proofs_by_another_clock_do_not_count(jump_ms):
    before, after = proofs(), proofs()
    answered(before, 3, 0, 10)
    answered(after, 3, 1_000, 1_010, STORE_MS + 1_010 + jump_ms)
    for now_ms in range(1_500, 20_000, 500):
        before.merge_reports(after.recent_reports(now_ms), now_ms)
        after.merge_reports(before.recent_reports(now_ms), now_ms)
        assert not (before.may_accept(now_ms) and now_ms > 5_010)
        assert not (after.may_accept(now_ms) and now_ms > 6_010)


def test_a_small_difference_of_clocks_is_no_jump():
    entry = proofs()
    for sent_ms in range(0, 600_000, 1_000):  # 100 ppm, and readings off by 2 ms
        store_ms = STORE_MS + round(1.0001 * sent_ms) + 5 + (sent_ms // 1_000) % 3
        answered(entry, 3, sent_ms, sent_ms + 10, store_ms)
        assert entry.age_ms(sent_ms + 10) <= 30


def test_a_new_era_voids_proofs_and_calls_under_way():
    entry = proofs()
    answered(entry, 3, 0, 10)
    entry.enter_era(1, 20)
    assert entry.age_ms(20) is None
    answered(entry, store_version.join(1, 2), 15, 30)
    assert entry.age_ms(30) is None
    entry.apply_version(store_version.join(1, 2))
    answered(entry, None, 40, 50)
    # A peer that has not seen the new era yet proves nothing, though this row is newer.
    entry.merge_reports([report(3, STORE_MS + 40)], 50)
    assert entry.age_ms(50) is None
    entry.merge_reports([report(store_version.join(1, 2), STORE_MS + 40)], 50)
    assert entry.may_accept(50)


# Guards against an unsettled copy of a restored store that counts as the newest one.
def test_an_answer_without_a_version_shows_the_clock_only():
    entry = proofs()
    answered(entry, None, 0, 10)
    assert entry.clock_range(10) is not None
    assert not entry.may_accept(10)


def test_a_peers_answer_shows_the_clock_to_an_entry_that_never_reached_the_store():
    entry, peer = proofs(), proofs()
    answered(peer, 3, 0, 10)
    told = peer.clock_range(500)
    entry.merge_exchange(peer.recent_reports(500), told, 400, 600)
    assert entry.age_ms(600) == pytest.approx(702, abs=5)
    # The peer's answer is read late: its range of the clock is taken at the call.
    late = proofs()
    late.merge_exchange(peer.recent_reports(500), told, 400, 9_000)
    assert not late.may_accept(9_000)


# Guards against a follower that never counts its reader's proofs again after a jump of the clock.
def test_a_peer_with_another_clock_voids_the_proofs_until_the_next_exchange():
    entry = proofs()
    answered(entry, 3, 0, 10)
    told = intents_proof.ClockRange(STORE_MS - 9_000, STORE_MS - 8_990)
    entry.merge_exchange([report(3, STORE_MS - 9_000)], told, 100, 110)
    assert entry.age_ms(110) is None
    entry.merge_exchange([report(3, STORE_MS - 9_000)], told, 120, 130)
    assert entry.may_accept(130)


def test_without_a_bound_keys_are_accepted_and_denied_by_the_age_of_the_copy():
    entry = proofs(bound_ms=None)
    assert entry.may_accept(0) and not entry.may_deny(0)
    entry.record_answer(3, None, 0, 10)
    assert entry.may_deny(4_000) and not entry.may_deny(4_100)
    entry.record_copy(3, 6_000)
    assert entry.may_deny(9_000)
    entry.record_copy(4, 9_000)  # a row that could not be applied
    assert not entry.may_deny(9_000)
    answered(entry, 3, 10_000, 10_010)
    assert entry.recent_reports(10_010) == []


def test_proofs_are_few_whatever_peers_send():
    entry = proofs()
    answered(entry, 3, 0, 10)
    entry.merge_reports([report(n, STORE_MS) for n in range(1_000)], 20)
    assert len(entry.recent_reports(20)) <= intents_proof.MAX_PROOFS


def test_the_bounds_of_the_clock_hold_for_calls_that_overlap():
    clock = store_clock.StoreClock()
    assert clock.record(1_000, 1_000, 0, 500) is store_clock.Reading.CONSISTENT
    assert clock.record(900, 900, 300, 900) is store_clock.Reading.CONSISTENT
    assert clock.latest_ms(1_000) <= 1_602
    assert clock.earliest_ms(1_000) >= 1_498
