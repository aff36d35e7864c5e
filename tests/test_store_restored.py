"""The store comes back from an older copy: versions go back and are given out again."""

import anyio
import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock import clock, facts, field_types, store_version
from sassafraslock.decisions import registry, roster, store_era
from sassafraslock.services import replica, routing_state, store_eras
from tests import fact_source, test_replica

quick = test_replica.quick
until, with_replica, server_ids = (
    test_replica.until,
    test_replica.with_replica,
    test_replica.server_ids,
)
INTENTS, SERVERS = facts.Topic.INTENTS, facts.Topic.SERVERS
ROUTES = [fact_source.route()]


async def restore(source, copy, outage_s=0.05):
    source.is_unavailable = True
    await anyio.sleep(outage_s)
    source.restore(copy)
    source.is_unavailable = False


# Guards against changes after a restore that are taken for old ones, since their versions are.
def test_a_change_after_the_store_was_restored_is_in_force():
    async def scenario(source, copy, state):
        source.put_intents(5, ROUTES)
        source.put_server("x")
        older = source.copy()
        for version in (8, 10):
            source.put_intents(version, ROUTES)
        await until(lambda: state.table is not None and state.table.version == 10)
        await restore(source, older)
        source.put_intents(10, ROUTES)
        source.put_intents(12, ROUTES)
        await until(lambda: state.table.version == 12)

    with_replica(scenario)


# Guards against reads that are refused one after the other, without a pause, after a restore.
def test_the_store_gets_few_calls_after_it_was_restored(monkeypatch):
    calls = []

    class CountingSource(fact_source.FakeSource):
        async def read_all(self, topic):
            calls.append(topic)
            return await super().read_all(topic)

    monkeypatch.setattr(fact_source, "FakeSource", CountingSource)

    async def scenario(source, copy, state):
        source.put_intents(5, ROUTES)
        older = source.copy()
        source.put_intents(8, ROUTES)
        await until(lambda: state.table is not None and state.table.version == 8)
        before = len(calls)
        await restore(source, older)
        await anyio.sleep(0.5)
        assert len(calls) - before <= 2 * len(facts.Topic)

    with_replica(scenario)


@pytest.mark.parametrize("state_after", ["evacuated", "taken back"])
def test_an_evacuation_does_not_come_back_older(state_after):
    async def scenario(source, copy, state):
        source.put_intents(5, ROUTES)
        if state_after == "taken back":
            source.put(INTENTS, "a-1", evacuation=facts.Evacuation("a-1"))
        older = source.copy()
        evacuation = facts.Evacuation("a-1") if state_after == "evacuated" else None
        source.put(INTENTS, "a-1", evacuation=evacuation)
        expected = {"a-1"} if evacuation else set()
        await until(lambda: state.table is not None)
        await anyio.sleep(0.1)
        assert state.registry.evacuated_zones == expected
        await restore(source, older)
        for _ in range(20):
            await anyio.sleep(0.02)
            assert state.registry.evacuated_zones == expected

    with_replica(scenario)


def test_a_draining_server_does_not_come_back_ready():
    async def scenario(source, copy, state):
        source.put_server("x")
        older = source.copy()
        source.put_server("x", state="draining")
        await until(lambda: server_ids(state) and state.registry.servers["x"].draining)
        await restore(source, older)
        for _ in range(20):
            await anyio.sleep(0.02)
            assert state.registry.servers["x"].draining
        source.put_server("x", born_ms=9)
        await until(lambda: not state.registry.servers["x"].draining)

    with_replica(scenario)


@pytest.mark.parametrize("zone", ["a-1", "b-1"])
def test_an_evacuation_that_nobody_writes_again_ends_at_last(monkeypatch, zone):
    monkeypatch.setattr(store_era, "SETTLE_MS", 300)
    monkeypatch.setattr(replica, "SETTLE_SPREAD_MS", 1)

    async def scenario(source, copy, state):
        source.put_intents(5, ROUTES)
        older = source.copy()
        source.put(INTENTS, zone, evacuation=facts.Evacuation(zone))
        await until(lambda: state.registry.evacuated_zones == {zone})
        await restore(source, older)
        await anyio.sleep(0.15)
        assert state.registry.evacuated_zones == {zone}
        await until(lambda: not state.registry.evacuated_zones)

    with_replica(scenario)


def test_servers_that_the_copy_lacks_stay_for_a_moment_and_those_that_live_are_back(monkeypatch):
    monkeypatch.setattr(replica, "REMOVAL_HOLD_MS", 200)

    async def scenario(source, copy, state):
        older = source.copy()
        for name in ("lives", "gone"):
            source.put_server(name)
        await until(lambda: server_ids(state) == {"lives", "gone"})
        await restore(source, older, outage_s=0)
        await until(lambda: state.registry.servers["gone"].held_until_ms is not None)
        assert len(state.registry.usable_servers("s")) == 2
        source.put_server("lives")
        await until(lambda: state.registry.servers["lives"].held_until_ms is None)
        state.registry.remove_expired(clock.monotonic_ms() + 300)
        assert server_ids(state) == {"lives"}

    with_replica(scenario)


# Guards against versions that passed the old position before anybody read: no read is refused then.
def test_a_restore_that_no_refused_read_shows_is_seen_by_its_era():
    async def scenario(source, copy, state):
        source.put_server("x")
        source.put_server("y")
        older = source.copy()
        source.put_server("y", state="draining")
        await until(lambda: len(server_ids(state)) == 2 and state.registry.servers["y"].draining)
        source.restore(older)
        source.put_server("y", state="draining")
        for number in range(5):
            source.put_server(f"z{number}")
        source.put_server("x", state="draining")
        await until(lambda: len(server_ids(state)) == 7 and state.registry.servers["x"].draining)

    with_replica(scenario)


def test_two_restores_within_a_moment():
    async def scenario(source, copy, state):
        source.put_intents(5, ROUTES)
        older = source.copy()
        for version in (8, 10):
            source.put_intents(version, ROUTES)
        await until(lambda: state.table is not None and state.table.version == 10)
        for _ in range(2):
            await restore(source, older)
            await anyio.sleep(0.05)
            assert state.table.version == 10
        source.put_intents(12, ROUTES)
        await until(lambda: state.table.version == 12)

    with_replica(scenario)


def test_an_entry_that_starts_after_a_restore_learns_from_a_peer_what_the_copy_lacks():
    async def scenario(source, copy, state):
        source.put_intents(5, ROUTES)
        older = source.copy()
        source.put_intents(8, ROUTES)
        source.put(INTENTS, "a-1", evacuation=facts.Evacuation("a-1"))
        await until(lambda: state.registry.evacuated_zones)
        await restore(source, older)
        await until(lambda: copy.dump()["unsettled"])
        peers = test_replica.Peers(copy.export)
        late_state = routing_state.RoutingState(registry.Registry(), roster.Roster("late"))
        late = replica.Replica(source, late_state)
        late.set_fallback(peers)
        async with anyio.create_task_group() as group:
            group.start_soon(late.run, anyio.Event())
            await until(lambda: late_state.registry.evacuated_zones == {"a-1"})
            await until(lambda: late_state.table.version == 8)
            group.cancel_scope.cancel()

    with_replica(scenario)


# Guards against a peer that was cut off and brings old rows, whose versions are greater.
def test_rows_of_an_earlier_era_do_not_displace_those_of_the_present_one():
    async def main():
        behind, _ = test_replica.copy_of([test_replica.server_row("x", 900)], 900)
        draining = facts.Change(
            SERVERS,
            "x",
            store_version.join(1, 7),
            report=fact_source.report("x", state="draining"),
        )
        ahead, state = test_replica.copy_of([draining], store_version.join(1, 7))
        ahead.merge_reader_export(behind.export({}), 0, 0)
        assert state.registry.servers["x"].draining
        assert ahead.positions == {SERVERS: store_version.join(1, 7)}
        behind.merge_reader_export(ahead.export(behind.positions), 0, 0)
        assert behind.rows[SERVERS, "x"].report.state == "draining"

    anyio.run(main)


def test_answers_of_an_earlier_era_are_dropped_until_they_stay():
    era = store_era.StoreEra()
    later, earlier = store_version.join(2, 5), store_version.join(1, 90)
    assert not era.observe(later, 0, 0)
    assert era.is_outdated(earlier, 100) and not era.is_lowered(100)
    assert not era.is_outdated(later, 200)
    assert era.is_outdated(earlier, 300) and not era.is_lowered(store_era.LOWER_ERA_MS + 250)
    assert era.is_lowered(store_era.LOWER_ERA_MS + 300)


def test_a_store_whose_era_goes_back_for_good_is_followed(monkeypatch):
    monkeypatch.setattr(store_era, "LOWER_ERA_MS", 50)

    async def scenario(source, copy, state):
        source.era = 3
        source.put_server("x")
        await until(lambda: server_ids(state) == {"x"})
        source.era, source.version = 0, 1
        source.put_server("y")
        await until(lambda: "y" in server_ids(state))

    with_replica(scenario)


# Guards against servers that started again meanwhile and get requests as if they were warm.
def test_a_new_start_that_is_read_after_the_era_went_back_is_cold(monkeypatch):
    monkeypatch.setattr(store_era, "LOWER_ERA_MS", 50)

    async def scenario(source, copy, state):
        source.era = 3
        source.put_intents(5, ROUTES)
        source.put_server("x", born_ms=1)
        await until(lambda: server_ids(state) == {"x"} and state.table is not None)
        assert not state.registry.servers["x"].is_cold(clock.monotonic_ms())
        source.era, source.version = 0, 1
        source.put_server("x", born_ms=2)
        await until(lambda: state.registry.servers["x"].report.born_ms == 2)
        assert state.registry.servers["x"].is_cold(clock.monotonic_ms())

    with_replica(scenario)


HEADERS = {
    b"3": 3, b" 3 ": 3, b"0": 0, b"": 7, b"-1": 7, b"x": 7, b"1e3": 7, b"9" * 40: 7, b"\xb2": 7,
    b"4194303": 4_194_303, b"4194304": 7,
}  # fmt: skip


@pytest.mark.parametrize("value", list(HEADERS), ids=ascii)
def test_an_odd_era_costs_a_log_line_and_the_last_one_counts(caplog, value):
    eras = store_eras.EraReader(b"store-era")
    assert eras.read([]) == 0 and not caplog.records
    assert eras.read([(b"Store-Era", b"7")]) == 7
    for _ in range(2):
        assert eras.read([(b"Store-Era", value)]) == HEADERS[value]
    assert len(caplog.records) == (HEADERS[value] == 7)


@hypothesis.given(*[st.integers(0, 1 << 45)] * 4)
def test_versions_are_ordered_by_era_and_then_by_number(era, number, other_era, other_number):
    one, other = store_version.join(era, number), store_version.join(other_era, other_number)
    pairs = [
        (min(e, store_version.MAX_ERA), min(n, store_version.MAX_NUMBER))
        for e, n in ((era, number), (other_era, other_number))
    ]
    assert (one < other) == (pairs[0] < pairs[1])
    assert (store_version.era(one), store_version.number(one)) == pairs[0]
    assert field_types.is_valid(one, field_types.Version)
    assert store_version.join(0, number) == min(number, store_version.MAX_NUMBER)
