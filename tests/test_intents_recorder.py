"""Proofs as the copy of the store gains them: polls, rows, restores, and copies of peers."""

import dataclasses

import anyio
import msgspec
import pytest

from sassafraslock import clock, facts
from sassafraslock.decisions import intents_proof, registry, roster
from sassafraslock.services import (
    export_decoder,
    gossip,
    gossip_messages,
    intents_recorder,
    poison_watch,
    poll_pace,
    replica,
    routing_state,
    store_export,
    upstream,
)
from tests import fact_source, virtual_time

INTENTS = facts.Topic.INTENTS
BOUND_MS = 5_000


class Source(fact_source.FakeSource):
    """A store that tells its clock, and records how long polls for intents wait."""

    def __init__(self):
        super().__init__()
        self.waits_ms = []

    def _batch(self, changes):
        now_ms = clock.monotonic_ms() + 700_000
        return dataclasses.replace(super()._batch(changes), store_now_ms=now_ms)

    async def read_changes(self, topic, after, wait_ms):
        if topic is INTENTS:
            self.waits_ms.append(wait_ms)
        return await super().read_changes(topic, after, wait_ms)


class Entry:
    def __init__(self, source, bound_ms=BOUND_MS):
        self.state = routing_state.RoutingState(registry.Registry(), roster.Roster("e"))
        self.proofs = intents_proof.IntentsProofs(bound_ms)
        recorder = intents_recorder.IntentsRecorder(self.proofs, lambda: self.state.table)
        self.copy = replica.Replica(source, self.state, recorder)

    @property
    def is_proven(self):
        return self.proofs.may_accept(clock.monotonic_ms())


def run(monkeypatch, scenario, bound_ms=BOUND_MS):
    async def main():
        source = Source()
        entry = Entry(source, bound_ms)
        source.put_intents(1, [fact_source.route()])
        async with anyio.create_task_group() as group:
            group.start_soon(entry.copy.run, anyio.Event())
            await anyio.sleep(0.5)
            await scenario(source, entry)
            group.cancel_scope.cancel()

    virtual_time.run(monkeypatch, main)


def test_answers_without_changes_keep_the_copy_proven(monkeypatch):
    async def scenario(source, entry):
        for _ in range(40):
            await anyio.sleep(0.5)
            assert entry.proofs.age_ms(clock.monotonic_ms()) < 2_100
        assert set(source.waits_ms) == {poll_pace.PROOF_LONG_POLL_MS}

    run(monkeypatch, scenario)


# Guards against a proof that runs out since the answer after a failed call comes a poll later.
def test_after_a_failed_call_the_next_one_does_not_wait(monkeypatch):
    async def scenario(source, entry):
        await anyio.sleep(1.0)
        source.is_unavailable = True
        source.put_server("x")  # ends the calls under way
        await anyio.sleep(1.5)
        source.is_unavailable = False
        source.waits_ms.clear()
        await anyio.sleep(0.5)
        assert source.waits_ms[:2] == [0, poll_pace.PROOF_LONG_POLL_MS]

    run(monkeypatch, scenario)


# Guards against more calls, and against other messages, where no bound is set.
def test_without_a_bound_polls_and_copies_are_as_before(monkeypatch):
    async def scenario(source, entry):
        await anyio.sleep(3.0)
        assert set(source.waits_ms) == {poll_pace.LONG_POLL_MS}
        assert type(entry.copy.export({})) is store_export.Export
        assert (
            type(gossip_of(entry.proofs).message(clock.monotonic_ms())) is gossip_messages.Message
        )

    run(monkeypatch, scenario, bound_ms=None)


def gossip_of(proofs):
    own = roster.MemberRecord("e", 1, 1, "a", "a-1", "127.0.0.1:1", "127.0.0.1:2")
    poison = poison_watch.PoisonWatch(upstream.Upstream(b""), registry.Registry())
    service = gossip.GossipService("e", own.gossip_address, [], lambda beat: own, poison)
    service.proofs = proofs
    return service


# Guards against an applied version that a row names which is not in force.
@pytest.mark.parametrize(
    ("change", "is_applied"),
    [
        ({"unreadable": facts.UnreadableRow("cut short")}, False),
        ({}, False),  # the row was removed
        ({"revision": 0}, True),  # not newer than what is in force, so left out
        ({"revision": 2}, True),
    ],
)
def test_only_rows_that_are_in_force_or_left_out_count_as_applied(monkeypatch, change, is_applied):
    async def scenario(source, entry):
        if "revision" in change:
            source.put_intents(change["revision"], [fact_source.route()])
        else:
            source.put(INTENTS, "config", **change)
        await anyio.sleep(6.0)
        assert entry.is_proven is is_applied
        source.put_intents(3, [fact_source.route()])
        await anyio.sleep(0.5)
        assert entry.is_proven

    run(monkeypatch, scenario)


# Guards against keys that a restored copy of the store holds again and that count as the newest.
def test_a_restored_store_proves_nothing_until_the_intents_are_settled(monkeypatch):
    async def scenario(source, entry):
        copy = source.copy()
        source.put_intents(2, [])
        await anyio.sleep(0.5)
        assert entry.is_proven
        source.restore(copy)
        await anyio.sleep(0.5)
        assert not entry.is_proven
        source.put_intents(2, [])
        await anyio.sleep(6.0)
        assert not entry.is_proven
        await anyio.sleep(5.0)
        assert entry.is_proven
        assert entry.state.table.version == 2

    run(monkeypatch, scenario)


# Guards against a follower that reads no store, and whose bounds of its clock get old.
def test_a_follower_is_proven_by_its_readers_copies_alone(monkeypatch):
    async def scenario(source, reader):
        follower = Entry(Source())
        decoder = export_decoder.ExportDecoder()
        for _ in range(40):
            sent_ms = clock.monotonic_ms()
            raw = msgspec.msgpack.encode(reader.copy.export(follower.copy.positions))
            await anyio.sleep(0.5)
            export, left_out = decoder.decode(raw)
            assert not left_out
            follower.copy.merge_reader_export(export, sent_ms, clock.monotonic_ms())
            assert follower.is_proven
        source.put_intents(2, [fact_source.route()])
        assert follower.proofs.age_ms(clock.monotonic_ms()) < 3_000

    run(monkeypatch, scenario)


def test_proofs_travel_in_gossip_where_a_bound_is_set(monkeypatch):
    async def scenario(source, entry):
        sender, other = gossip_of(entry.proofs), intents_proof.IntentsProofs(BOUND_MS)
        other.enter_era(0, 0)
        other.apply_version(source.version)
        now_ms = clock.monotonic_ms()
        other.record_answer(None, now_ms + 700_000, now_ms, now_ms)
        receiver = gossip_of(other)
        assert not other.may_accept(now_ms)
        receiver.merge_datagram(sender.pack(sender.message(now_ms)), now_ms)
        assert other.may_accept(now_ms)

    run(monkeypatch, scenario)
