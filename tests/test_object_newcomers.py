"""Entries that start are told which servers have which objects, each by few others."""

from __future__ import annotations

from sassafraslock.decisions import object_memory, roster
from sassafraslock.decisions.objects import newcomers


def record(name, boot_ms=1, region="a"):
    return roster.MemberRecord(name, boot_ms, 1, region, f"{region}-1", f"{name}:1", "h:1", True)


def told(own_name, others, known, rounds=range(0, 4_000, 500)):
    """Return what each address gets from one entry, round by round."""
    selected = newcomers.Newcomers()
    found = []
    for now_ms in rounds:
        found += selected.reports(record(own_name), others, known, now_ms)
    return found


def memory_of(objects):
    known = object_memory.ObjectMemory()
    for number in range(objects):
        known.record(number, 1, 0, 0)
    return known


def test_an_entry_that_starts_gets_all_objects_from_two_entries_within_seconds():
    """Load: 14 entries start at once beside 29 that know 1,500 objects."""
    old = [record(f"e{n}") for n in range(29)]
    new = [record(f"n{n}", boot_ms=1_000) for n in range(14)]
    known = memory_of(1_500)
    sponsors = dict.fromkeys((r.gossip_address for r in new), 0)
    for own in old:
        others = [r for r in old if r is not own] + new
        by_address = {}
        for address, reports in told(own.entry_id, others, known):
            by_address.setdefault(address, set()).update(r.object_hash for r in reports)
        for address, objects in by_address.items():
            assert objects == set(range(1_500))
            sponsors[address] += 1
    assert set(sponsors.values()) == {newcomers.SPONSORS}


def test_nothing_is_sent_without_objects_or_to_entries_that_are_older_or_far():
    """Load: gossip of a deployment without sticky routes, or in which no entry starts."""
    later = [record("n", boot_ms=9)]
    assert told("e", later, memory_of(0)) == []
    known = memory_of(10)
    assert told("e", [record("o", boot_ms=1), record("f", 9, "b")], known) == []
    assert len(told("e", later, known)) == 1


def test_what_a_newcomer_learns_is_not_passed_on_as_new():
    """Load: many entries start; each would fill its messages with what all others know."""
    known = memory_of(100)
    newcomer = object_memory.ObjectMemory()
    newcomer.merge_reports(known.known_reports(0, 8_000), 8_000)
    assert len(newcomer.handlers(7, 8_000)) == 1
    assert newcomer.recent_reports(8_000) == []
