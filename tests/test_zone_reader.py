"""Selection of the zone reader: entries that know of each other select the same one."""

import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock.decisions import roster, zone_reader


def record(entry_id, zone="a-1", ready=False, leaving=False, replica_version=7, link_mbps=0.0):
    addresses = (f"{entry_id}:1", f"{entry_id}:2")
    return roster.MemberRecord(
        entry_id, 1, 1, zone[0], zone, *addresses, ready, leaving, replica_version, {}, link_mbps
    )


def selected_reader(own_id, records, now_ms=0):
    own_mbps = next((r.link_mbps for r in records if r.entry_id == own_id), 0.0)
    selector = zone_reader.ZoneReaderSelector(own_id, "a-1", own_mbps)
    reader = selector.choose([r for r in records if r.entry_id != own_id], now_ms)
    return reader.entry_id if reader else own_id


@pytest.mark.parametrize("count", [4, 12, 68, 225])
def test_all_entries_of_a_zone_select_the_same_reader(count):
    zone = [record(f"e{n}") for n in range(count)]
    others = [record(f"x{n}", "a-2") for n in range(count)]
    assert len({selected_reader(r.entry_id, zone + others) for r in zone}) == 1


def test_each_entry_of_a_small_zone_reads_the_store_itself():
    zone = [record(f"e{n}") for n in range(zone_reader.MIN_ENTRIES - 1)]
    assert {selected_reader(r.entry_id, zone) for r in zone} == {r.entry_id for r in zone}


@pytest.mark.parametrize("fault", [{"replica_version": 0}, {"leaving": True}])
def test_a_leaving_or_unsynchronized_entry_is_not_selected(fault):
    zone = [record(f"e{n}") for n in range(8)]
    first = selected_reader("e0", zone)
    rest = [r for r in zone if r.entry_id != first]
    assert selected_reader(rest[0].entry_id, [*rest, record(first, **fault)]) != first


def test_a_failed_reader_is_avoided_temporarily():
    zone = [record(f"e{n}") for n in range(8)]
    first = selected_reader("e0", zone)
    own = next(r.entry_id for r in zone if r.entry_id != first)
    selector = zone_reader.ZoneReaderSelector(own, "a-1")
    peers = [r for r in zone if r.entry_id != own]
    selector.record_failure(first, 1_000)
    assert selector.choose(peers, 1_000 + zone_reader.AVOIDED_MS - 1) is None
    assert selector.choose(peers, 1_000 + zone_reader.AVOIDED_MS).entry_id == first


@pytest.mark.parametrize("count", [4, 12, 68])
def test_the_reader_is_an_entry_with_a_wide_link(count):
    zone = [record(f"e{n}", link_mbps=200.0 if n % 3 == 1 else 10.0) for n in range(count)]
    readers = {selected_reader(r.entry_id, zone) for r in zone}
    assert len(readers) == 1 and int(readers.pop()[1:]) % 3 == 1


@hypothesis.given(
    st.lists(st.sets(st.integers(0, 9)), min_size=10, max_size=10),
    st.lists(st.sampled_from([0.0, 10.0, 200.0]), min_size=10, max_size=10),
)
def test_selections_have_no_cycle_whichever_entries_know_each_other(views, links):
    """Following the selections from any entry ends at one that reads the store itself.

    In a cycle of readers, no entry would read the store, and their copies would become stale.
    """
    zone = [record(f"e{n}", link_mbps=links[n]) for n in range(10)]
    known = {f"e{n}": [zone[m] for m in {*views[n], n}] for n in range(10)}
    for start in range(10):
        seen, current = set(), f"e{start}"
        while current not in seen:
            seen.add(current)
            current = selected_reader(current, known[current])
        assert current == selected_reader(current, known[current])
