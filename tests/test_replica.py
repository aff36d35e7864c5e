"""The copy of the store: outages, lost history, expired rows and exports to and from peers."""

import random

import anyio
import msgspec
import pytest

from sassafraslock import facts
from sassafraslock.decisions import registry, roster
from sassafraslock.services import poll_pace, replica, routing_state, store_export, store_rows
from tests import fact_source, virtual_time

SERVERS = facts.Topic.SERVERS


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(poll_pace, "PAUSES_S", dict.fromkeys(facts.Topic, 0.005))
    monkeypatch.setattr(poll_pace, "RETRY_PAUSE_S", 0.01)
    monkeypatch.setattr(replica, "FALLBACK_AFTER_MS", 30)
    monkeypatch.setattr(replica, "FALLBACK_INTERVAL_S", 0.01)
    monkeypatch.setattr(replica, "LONG_POLL_MS", 50)
    monkeypatch.setattr(poll_pace, "LONG_POLLS_MS", dict.fromkeys(facts.Topic, 50))


class Peers:
    def __init__(self, export=None):
        self.export, self.calls = export, 0

    async def fetch(self, positions):
        self.calls += 1
        return self.export(positions) if self.export else None


def with_replica(scenario, peers=None):
    async def main():
        source = fact_source.FakeSource()
        state = routing_state.RoutingState(registry.Registry(), roster.Roster("e"))
        copy = replica.Replica(source, state)
        state.set_removal_hold(copy.hold_until_ms)
        if peers:
            copy.set_fallback(peers)
        async with anyio.create_task_group() as group:
            group.start_soon(copy.run, anyio.Event())
            with anyio.fail_after(10):
                await scenario(source, copy, state)
            group.cancel_scope.cancel()

    anyio.run(main)


async def until(condition):
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.005)


def server_ids(state):
    return set(state.registry.servers)


# Guards against servers that start again under their ids and are not probed before many requests.
def test_each_new_start_of_a_server_joins():
    async def scenario(source, copy, state):
        joined = []
        state.on_server_joined = lambda server_id, now_ms: joined.append(server_id)
        source.put_server("x", born_ms=1)
        await until(lambda: server_ids(state) == {"x"})
        source.put_server("x", born_ms=1, slots=4)
        await until(lambda: state.registry.servers["x"].report.slots == 4)
        assert not joined
        source.put_server("x", born_ms=2)
        await until(lambda: joined == ["x"])

    with_replica(scenario)


def test_rows_are_read_updated_and_removed():
    async def scenario(source, copy, state):
        source.put_server("x")
        await until(lambda: server_ids(state) == {"x"})
        source.put_server("y")
        source.remove_server("x")
        await until(lambda: server_ids(state) == {"y"})

    with_replica(scenario)


def test_older_intents_are_ignored():
    async def scenario(source, copy, state):
        source.put_intents(5, [fact_source.route()])
        await until(lambda: state.table is not None)
        source.put_intents(4, [])
        source.put_intents(7, [])
        await until(lambda: state.table.version != 5)
        assert state.table.version == 7

    with_replica(scenario)


def test_an_unreadable_version_leaves_the_last_one_in_force():
    async def scenario(source, copy, state):
        source.put_intents(5, [fact_source.route()])
        await until(lambda: state.table is not None)
        source.put(facts.Topic.INTENTS, "config", unreadable=facts.UnreadableRow("cut short"))
        await anyio.sleep(0.1)
        assert state.table.version == 5

    with_replica(scenario)


# Guards against a row that is read well but cannot be applied, and ended the reading service.
def test_a_row_that_cannot_be_applied_costs_that_row_alone():
    async def scenario(source, copy, state):
        def fail(server_id, now_ms):
            raise ZeroDivisionError(server_id)

        source.put_server("x")
        await until(lambda: server_ids(state) == {"x"})
        state.on_server_joined = fail
        source.put_server("odd")
        await until(lambda: state.rejections.counts[SERVERS] == 1)
        state.on_server_joined = lambda server_id, now_ms: None
        source.put_server("y")
        await until(lambda: server_ids(state) == {"x", "y"})

    with_replica(scenario)


def test_rows_removed_while_history_was_lost_are_found_by_a_full_read():
    async def scenario(source, copy, state):
        source.put_server("x")
        source.put_server("y")
        await until(lambda: server_ids(state) == {"x", "y"})
        source.remove_server("x")
        source.put_server("z")
        source.drop_history()
        await until(lambda: server_ids(state) == {"y", "z"})

    with_replica(scenario)


def test_an_outage_changes_nothing_and_a_lapsed_row_is_held_after_it(monkeypatch):
    monkeypatch.setattr(replica, "REMOVAL_HOLD_MS", 300)

    async def scenario(source, copy, state):
        source.put_server("x")
        await until(lambda: server_ids(state) == {"x"})
        source.is_unavailable = True
        await until(lambda: copy.dump()["lost"])
        assert server_ids(state) == {"x"}
        source.remove_server("x")
        source.is_unavailable = False
        await until(lambda: state.registry.servers["x"].held_until_ms is not None)
        assert [s.server_id for s in state.registry.usable_servers("s")] == ["x"]
        source.put_server("x")
        await until(lambda: state.registry.servers["x"].held_until_ms is None)

    with_replica(scenario)


def test_a_call_begun_during_an_outage_is_restarted_after_it():
    """Intents were applied 4 s late when their pending call ran into its time limit instead."""

    async def scenario(source, copy, state):
        source.put_intents(1, [fact_source.route()])
        source.put_server("x")
        await until(lambda: state.table is not None and server_ids(state))
        source.unanswered.add(facts.Topic.INTENTS)
        await anyio.sleep(0.2)
        source.is_unavailable = True
        await until(lambda: copy.dump()["lost"])
        source.unanswered.clear()
        source.is_unavailable = False
        source.put_intents(2, [fact_source.route()])
        await until(lambda: state.table.version == 2)

    with_replica(scenario)


def test_a_row_removed_while_the_store_answers_is_gone_at_once():
    async def scenario(source, copy, state):
        source.put_server("x")
        await until(lambda: server_ids(state) == {"x"})
        source.remove_server("x")
        await until(lambda: server_ids(state) == set())

    with_replica(scenario)


def test_a_peers_export_is_applied_while_the_store_is_unavailable():
    """The store is unavailable from the start; the peer's export is encoded and decoded."""
    server = facts.Change(SERVERS, "x", 8, report=fact_source.report("x"))
    intents = facts.Change(
        facts.Topic.INTENTS,
        "config",
        9,
        intents=facts.routing_table.Intents(3, (fact_source.route(regions=frozenset("a")),)),
    )
    raw = msgspec.msgpack.encode(
        store_export.Export({"servers": 8, "intents": 9}, [intents, server])
    )
    peers = Peers(lambda positions: msgspec.msgpack.decode(raw, type=store_export.Export))

    async def scenario(source, copy, state):
        source.is_unavailable = True
        await until(lambda: server_ids(state) == {"x"} and state.table is not None)
        assert state.table.routes[0].regions == {"a"}
        assert copy.positions["servers"] == 8

    with_replica(scenario, peers)


def test_peers_are_not_asked_while_the_store_answers():
    peers = Peers()

    async def scenario(source, copy, state):
        source.put_server("x")
        await until(lambda: server_ids(state) == {"x"})
        peers.calls = 0
        for number in range(10):
            source.put_server(f"y{number}")
            await anyio.sleep(0.02)
        assert peers.calls == 0

    with_replica(scenario, peers)


def test_an_older_row_from_a_peer_changes_nothing():
    async def scenario(source, copy, state):
        source.put_server("x")
        source.put_server("x", state="draining")
        await until(lambda: server_ids(state) and state.registry.servers["x"].draining)
        old = facts.Change(SERVERS, "x", 1, report=fact_source.report("x"))
        copy._rows._apply(old, False, 0)
        assert state.registry.servers["x"].draining

    with_replica(scenario)


def test_old_removals_are_dropped(monkeypatch):
    monkeypatch.setattr(store_rows, "REMOVALS_KEPT_VERSIONS", 5)

    async def scenario(source, copy, state):
        for number in range(30):
            source.put_server(f"x{number}")
            source.remove_server(f"x{number}")
        await until(lambda: copy.version == 60)
        assert len(copy.rows) <= 6

    with_replica(scenario)


def test_an_export_holds_only_newer_rows():
    async def scenario(source, copy, state):
        source.put_server("x")
        await until(lambda: len(server_ids(state)) == 1)
        source.put_server("y")
        await until(lambda: len(server_ids(state)) == 2)
        assert [c.key for c in copy.export({"servers": 1}).changes] == ["y"]

    with_replica(scenario)


def copy_of(rows, version, topic=SERVERS):
    """Return an entry's copy after one full read, with its routing state."""
    state = routing_state.RoutingState(registry.Registry(), roster.Roster("e"))
    copy = replica.Replica(fact_source.FakeSource(), state)
    copy._apply_batch(topic, facts.Batch(tuple(rows), version), 0)
    return copy, state


def server_row(name, version):
    return facts.Change(SERVERS, name, version, report=fact_source.report(name))


def test_the_export_of_a_newer_copy_removes_rows_deleted_before_it_began():
    """It never held those rows, so it has no removals to send; ``complete_topics`` implies them."""

    async def scenario():
        early, state = copy_of([server_row("x", 1), server_row("gone", 2)], 2)
        late, _ = copy_of([server_row("x", 1), server_row("new", 3)], 4)
        raw = msgspec.msgpack.encode(late.export(early.positions))
        early.merge_reader_export(msgspec.msgpack.decode(raw, type=store_export.Export), 0, 0)
        assert server_ids(state) == {"x", "new"}
        assert early.positions == {SERVERS: 4}
        assert early.export({SERVERS: 3}).complete_topics == [SERVERS]

    anyio.run(scenario)


def test_a_copy_that_dropped_old_removals_exports_all_rows(monkeypatch):
    monkeypatch.setattr(store_rows, "REMOVALS_KEPT_VERSIONS", 3)

    async def scenario():
        early, state = copy_of([server_row("x", 1), server_row("gone", 2)], 2)
        other, _ = copy_of([server_row("x", 1), server_row("gone", 2)], 2)
        other._apply_batch(SERVERS, facts.Batch((facts.Change(SERVERS, "gone", 3),), 3), 0)
        other._apply_batch(SERVERS, facts.Batch((server_row("x", 9),), 9), 0)
        early.merge_reader_export(other.export(early.positions), 0, 0)
        assert server_ids(state) == {"x"}

    anyio.run(scenario)


def test_a_copy_behind_another_one_removes_nothing_from_it():
    async def scenario():
        ahead, state = copy_of([server_row("x", 1), server_row("y", 5)], 6)
        behind, _ = copy_of([server_row("x", 1)], 3)
        ahead.merge_reader_export(behind.export(ahead.positions), 0, 0)
        ahead.merge_reader_export(behind.export({}), 0, 0)
        assert server_ids(state) == {"x", "y"}

    anyio.run(scenario)


# Guards against a thousand calls a second to a store that is away: all entries repeat failed calls.
@pytest.mark.parametrize(("entries", "most_per_s"), [(1, 6.0), (88, 4.0)])
def test_an_entry_calls_a_store_that_is_away_a_few_times_a_second(monkeypatch, entries, most_per_s):
    monkeypatch.undo()
    # The pauses are drawn at random; without a seed, 20 s of them may hold a few more calls.
    monkeypatch.setattr(replica.random, "random", random.Random(1).random)
    calls = []

    class Source(fact_source.FakeSource):
        async def read_all(self, topic):
            calls.append(topic)
            return await super().read_all(topic)

        async def read_changes(self, topic, after, wait_ms):
            calls.append(topic)
            return await super().read_changes(topic, after, wait_ms)

    async def main():
        source = Source()
        source.is_unavailable = True
        copy = replica.Replica(
            source, routing_state.RoutingState(registry.Registry(), roster.Roster("e"))
        )
        copy.set_entry_count(lambda: entries)
        async with anyio.create_task_group() as group:
            group.start_soon(copy.run, anyio.Event())
            await anyio.sleep(20)
            group.cancel_scope.cancel()

    virtual_time.run(monkeypatch, main)
    assert len(calls) / 20 <= most_per_s
