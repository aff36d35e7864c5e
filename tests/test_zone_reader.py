"""One entry of a zone reads the store for the others; all that know of each other agree on it."""

import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock.decisions import roster, zone_reader


def record(entry_id, zone="a-1", ready=False, leaving=False, replica_version=7):
    addresses = (f"{entry_id}:1", f"{entry_id}:2")
    return roster.MemberRecord(
        entry_id, 1, 1, zone[0], zone, *addresses, ready, leaving, replica_version
    )


def chosen(own_id, records, now_ms=0):
    readers = zone_reader.ZoneReaderSelector(own_id, "a-1")
    found = readers.choose([r for r in records if r.entry_id != own_id], now_ms)
    return found.entry_id if found else own_id


@pytest.mark.parametrize("count", [4, 12, 68, 225])
def test_all_entries_of_a_zone_choose_the_same_reader(count):
    zone = [record(f"e{n}") for n in range(count)]
    others = [record(f"x{n}", "a-2") for n in range(count)]
    assert len({chosen(r.entry_id, zone + others) for r in zone}) == 1


def test_each_entry_of_a_small_zone_reads_itself():
    zone = [record(f"e{n}") for n in range(zone_reader.MIN_ENTRIES - 1)]
    assert {chosen(r.entry_id, zone) for r in zone} == {r.entry_id for r in zone}


@pytest.mark.parametrize("fault", [{"replica_version": 0}, {"leaving": True}])
def test_an_entry_that_leaves_or_has_read_nothing_reads_for_nobody(fault):
    zone = [record(f"e{n}") for n in range(8)]
    first = chosen("e0", zone)
    rest = [r for r in zone if r.entry_id != first]
    assert chosen(rest[0].entry_id, [*rest, record(first, **fault)]) != first


def test_a_reader_that_failed_is_left_out_for_a_moment():
    zone = [record(f"e{n}") for n in range(8)]
    first = chosen("e0", zone)
    own = next(r.entry_id for r in zone if r.entry_id != first)
    readers = zone_reader.ZoneReaderSelector(own, "a-1")
    peers = [r for r in zone if r.entry_id != own]
    readers.record_failure(first, 1_000)
    assert readers.choose(peers, 1_000 + zone_reader.AVOIDED_MS - 1) is None
    assert readers.choose(peers, 1_000 + zone_reader.AVOIDED_MS).entry_id == first


@hypothesis.given(st.lists(st.sets(st.integers(0, 9)), min_size=10, max_size=10))
def test_somebody_reads_the_store_whoever_knows_whom(views):
    """Follows the choices from any entry: without a circle they end at one that reads itself."""
    zone = [record(f"e{n}") for n in range(10)]
    for start in range(10):
        seen, at = set(), f"e{start}"
        while at not in seen:
            seen.add(at)
            at = chosen(at, [zone[n] for n in views[int(at[1:])]])
        assert at == chosen(at, [zone[n] for n in views[int(at[1:])]])
