"""Gossip: liveness by counters, spread over few messages, what cannot be read, poison."""

import random

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from sassafraslock.decisions import roster
from sassafraslock.services import gossip, poison_watch, upstream


def record(entry_id, beat=1, boot_ms=1, **more):
    addresses = (f"{entry_id}:1", f"{entry_id}:2")
    return roster.MemberRecord(entry_id, boot_ms, beat, "a", "a-1", *addresses, **more)


def service(own_id="me"):
    poison = poison_watch.PoisonWatch(upstream.Upstream(b"x-id"))
    return gossip.GossipService(own_id, "me:1", [], lambda beat: record(own_id, beat), poison)


def live(members, now_ms):
    return {m.record.entry_id for m in members.live(now_ms)}


def test_an_entry_lives_while_its_counter_rises():
    members = roster.Roster("me")
    assert members.note(record("x", 1), 0)
    assert live(members, 2_900) == {"x"} and live(members, 3_100) == set()
    assert not members.note(record("x", 1), 3_200)
    assert live(members, 3_200) == set()
    assert members.note(record("x", 2), 3_300)
    assert live(members, 3_300) == {"x"}


def test_a_registration_names_an_address_and_no_life():
    members = roster.Roster("me")
    members.note_address(record("x", 0), 0)
    assert live(members, 0) == set() and len(members.known()) == 1


def test_an_entry_that_stood_still_does_not_take_the_whole_for_its_part():
    members = roster.Roster("me")
    for name in ("x", "y", "z"):
        members.note(record(name), 0)
    assert live(members, 20_000) == set()
    assert members.entry_count() == 4
    assert sorted(members.forget_dead(70_000)) == ["x", "y", "z"]
    assert members.entry_count() == 1


def test_a_new_boot_goes_before_a_higher_counter():
    members = roster.Roster("me")
    members.note(record("x", 900, boot_ms=1), 0)
    assert members.note(record("x", 1, boot_ms=2), 10)
    assert not members.note(record("x", 901, boot_ms=1), 20)


def test_own_records_are_not_news():
    members = roster.Roster("me")
    assert not members.note(record("me", 5), 0)


def test_a_counter_alone_keeps_an_entry_alive_and_never_hides_a_newer_record():
    members = roster.Roster("me")
    members.note_beat(roster.Beat("x", 1, 9), 0)
    assert members.known() == []
    members.note(record("x", 1), 0)
    members.note_beat(roster.Beat("x", 1, 9), 5_000)
    assert live(members, 6_000) == {"x"}
    assert members.note(record("x", 5, leaving=True), 6_000)
    assert members.known()[0].record.leaving and members.known()[0].heard_ms == 5_000


@hypothesis.given(st.lists(st.tuples(st.integers(1, 2), st.integers(1, 5)), min_size=1))
def test_records_in_any_order_leave_the_newest(orders):
    members = roster.Roster("me")
    for boot_ms, beat in orders:
        members.note(record("x", beat, boot_ms), 0)
    assert members.known()[0].record.order == max(orders)


@pytest.mark.parametrize(
    "raw",
    [b"", b"\xff", b"hello", msgspec.msgpack.encode([1]), msgspec.msgpack.encode([[["x"]]])],
)
def test_a_datagram_that_cannot_be_read_is_left_out(raw):
    one = service()
    one.take_in(raw, 0)
    assert one.roster.known() == []


def test_suspects_pass_from_entry_to_entry():
    one, other = service("one"), service("other")
    for server in ("s-1", "s-2"):
        one._poison.quarantine.note_break("mark", server, 100)
    one._poison._told["mark"] = 100
    raw = msgspec.msgpack.encode(one.message(100))
    other.take_in(raw, 200)
    assert other._poison.quarantine.is_quarantined("mark", 200)
    assert [s.mark for s in other._poison.told(200)] == ["mark"]


@pytest.mark.parametrize("count", [9, 68])
def test_all_hear_of_all_within_two_seconds(count):
    """Rounds of gossip with a tenth of the messages lost; nobody is missed for long."""
    source = random.Random(5)
    entries = {f"e{n}": service(f"e{n}") for n in range(count)}
    by_address = {f"{name}:1": entry for name, entry in entries.items()}
    for entry in entries.values():
        entry._address = f"{entry.roster.own_id}:1"
        for other in entries:
            entry.roster.note_address(record(other, 0), -100_000)
    silent_ms = roster.SILENT_AFTER_MS
    oldest_ms = 0
    for now_ms in range(0, 15_000, 500):
        for entry in entries.values():
            raw = entry.encode(now_ms)
            for address in entry.targets(now_ms):
                if address in by_address and source.random() > 0.1:
                    by_address[address].take_in(raw, now_ms)
        if now_ms >= 6_000:
            ages = (now_ms - m.heard_ms for e in entries.values() for m in e.roster.known())
            oldest_ms = max(oldest_ms, *ages)
    assert oldest_ms < silent_ms + roster.SILENT_PER_MEMBER_MS * count
