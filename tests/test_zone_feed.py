"""Followers of a zone reader call the store less, and read it themselves if the reader fails."""

import anyio
import msgspec
import pytest

from sassafraslock import facts, http_messages
from sassafraslock.decisions import registry, roster, zone_reader
from sassafraslock.services import (
    peer_copies,
    poll_pace,
    replica,
    routing_state,
    store_export,
    zone_feed,
)
from tests import fact_source


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(poll_pace, "PAUSES_S", dict.fromkeys(facts.Topic, 0.005))
    monkeypatch.setattr(poll_pace, "RETRY_PAUSE_S", 0.01)
    monkeypatch.setattr(poll_pace, "LONG_POLLS_MS", dict.fromkeys(facts.Topic, 50))
    monkeypatch.setattr(replica, "STABLE_AFTER_MS", -replica.REMOVAL_HOLD_MS)
    monkeypatch.setattr(zone_feed, "CHANGES_WAIT_MS", 40)
    monkeypatch.setattr(zone_feed, "RETRY_S", 0.01)
    monkeypatch.setattr(zone_reader, "MAX_AGE_MS", 200)


class Source(fact_source.FakeSource):
    """Counts the calls that read changes."""

    reads = 0

    async def read_changes(self, topic, after, wait_ms):
        self.reads += 1
        return await super().read_changes(topic, after, wait_ms)


class Client:
    """Passes requests to another entry's API; none is answered while ``silent`` is set."""

    def __init__(self, api):
        self.api, self.silent = api, False

    async def fetch(self, address, copy_request, timeout_s):
        with anyio.move_on_after(0.1):
            if self.silent:
                await anyio.sleep_forever()
            body = msgspec.msgpack.encode(copy_request)
            request = http_messages.Request("POST", peer_copies.COPY_PATH, [], body, "h", 0)
            answer = await self.api(request)
            if answer.status == 200:
                return msgspec.msgpack.decode(answer.body, type=store_export.Export)
        return None


class Entry:
    """An entry's source, roster, routing state, copy of the store and API for peers."""

    def __init__(self, entry_id, rows):
        self.source = Source()
        self.source.rows, self.source.history = rows.rows, rows.history
        self.members = roster.Roster(entry_id)
        self.state = routing_state.RoutingState(registry.Registry(), self.members)
        self.copy = replica.Replica(self.source, self.state)
        self.state.set_removal_hold(self.copy.hold_until_ms)
        self.api = peer_copies.PeerApi(self.copy, "")

    @property
    def server_ids(self):
        return set(self.state.registry.servers)


def fill_rosters(*entries):
    for entry in entries:
        for name in ("e0", "e1", "e2", "e3"):
            entry.members.merge_record(
                roster.MemberRecord(
                    name, 1, 1, "a", "a-1", f"{name}:1", f"{name}:2", replica_version=1
                ),
                replica.clock.monotonic_ms(),
            )


def with_reader_and_follower(scenario):
    async def main():
        rows = fact_source.FakeSource()
        records = [roster.MemberRecord(f"e{n}", 1, 1, "a", "a-1", "h:1", "h:2") for n in range(4)]
        first = zone_reader.ZoneReaderSelector("x", "a-1")
        name = max(records, key=first._rank).entry_id
        other = "e0" if name != "e0" else "e1"
        reader, follower = Entry(name, rows), Entry(other, rows)
        fill_rosters(reader, follower)
        client = Client(reader.api)
        feed = zone_feed.ZoneFeed("a-1", follower.members, follower.copy, client)
        async with anyio.create_task_group() as group:
            for service in (reader.copy, follower.copy, feed):
                group.start_soon(service.run, anyio.Event())
            put(reader, follower, "x")
            with anyio.fail_after(10):
                await until(lambda: follower.copy.is_following)
                await scenario(reader, follower, client)
            group.cancel_scope.cancel()

    anyio.run(main)


def put(reader, follower, server_id, **more):
    """Write one server's row to the store that both entries' sources share."""
    reader.source.put_server(server_id, **more)
    follower.source.version = reader.source.version
    follower.source.changed.set()
    follower.source.changed = anyio.Event()


async def until(condition):
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.005)


def test_a_follower_gets_all_changes_without_calling_the_store():
    async def scenario(reader, follower, client):
        await anyio.sleep(0.1)
        before = follower.source.reads
        put(reader, follower, "y")
        await until(lambda: follower.server_ids == {"x", "y"})
        put(reader, follower, "y", state="draining")
        await until(lambda: follower.state.registry.servers["y"].draining)
        assert follower.source.reads == before

    with_reader_and_follower(scenario)


def test_a_follower_of_a_silent_reader_reads_the_store_itself():
    async def scenario(reader, follower, client):
        client.silent = True
        await until(lambda: not follower.copy.is_following)
        put(reader, follower, "y")
        await until(lambda: follower.server_ids == {"x", "y"})

    with_reader_and_follower(scenario)


def test_a_follower_of_a_reader_that_lost_the_store_reads_it_itself():
    async def scenario(reader, follower, client):
        reader.source.is_unavailable = True
        await until(lambda: not follower.copy.is_following)
        put(reader, follower, "y")
        await until(lambda: follower.server_ids == {"x", "y"})
        assert reader.server_ids == {"x"}

    with_reader_and_follower(scenario)


def test_a_reader_with_stale_intents_is_not_followed_though_its_servers_are_fresh():
    async def scenario(reader, follower, client):
        reader.source.unanswered.add(facts.Topic.INTENTS)
        await until(lambda: not follower.copy.is_following)

    with_reader_and_follower(scenario)


def test_an_entry_that_follows_refuses_followers():
    async def scenario(reader, follower, client):
        copy_request = peer_copies.CopyRequest({}, 40)
        assert await Client(follower.api).fetch("h:1", copy_request, 1.0) is None

    with_reader_and_follower(scenario)


def test_unchanged_reports_are_not_sent_to_followers():
    async def scenario(reader, follower, client):
        put(reader, follower, "x")
        await until(lambda: reader.copy.version == 2)
        assert reader.copy.export({"servers": 1}).changes == []
        put(reader, follower, "x", cold_ms=500)
        put(reader, follower, "x", cold_ms=500)
        await until(lambda: reader.copy.version == 4)
        assert [c.version for c in reader.copy.export({"servers": 3}).changes] == [4]

    with_reader_and_follower(scenario)


def test_an_older_row_from_a_peer_is_ignored_after_unchanged_reports():
    async def scenario(reader, follower, client):
        put(reader, follower, "x")
        await until(lambda: reader.copy.version == 2)
        late = facts.Change(facts.Topic.SERVERS, "x", 1)
        reader.copy._rows._apply(late, False, 0)
        assert reader.server_ids == {"x"}

    with_reader_and_follower(scenario)
