"""Which servers have handled which objects, as entries learn it from answers and from peers."""

import random
import zlib

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from sassafraslock.decisions import object_memory, registry, roster
from sassafraslock.services import gossip, gossip_messages, poison_watch, upstream

X, Y = 11, 12


def exchange(source, target, now_ms):
    target.merge_reports(source.recent_reports(now_ms), now_ms)


def test_objects_expire_and_the_oldest_is_evicted(monkeypatch):
    monkeypatch.setattr(object_memory, "MAX_OBJECTS", 3)
    memory = object_memory.ObjectMemory()
    for number in range(4):
        memory.record(number, X, 0, 0)
    assert not memory.has_handled(0, X, 0) and memory.has_handled(3, X, 0)
    assert not memory.has_handled(3, Y, 0)
    assert not memory.has_handled(3, X, object_memory.RETENTION_MS)


def test_an_object_keeps_the_servers_that_handled_it_last():
    memory = object_memory.ObjectMemory()
    for number in range(object_memory.MAX_SERVERS_PER_OBJECT + 1):
        memory.record(1, number, 10 * number, 10 * number)
    assert not memory.has_handled(1, 0, 200)
    assert memory.has_handled(1, 1, 200)


def test_a_peer_learns_which_server_handled_an_object_and_tells_others():
    """Clocks of entries differ, so reports carry ages."""
    one, other, third = (object_memory.ObjectMemory() for _ in range(3))
    one.record(1, X, 1_000, 1_000)
    other.merge_reports(one.recent_reports(1_500), 90_000)
    third.merge_reports(other.recent_reports(90_100), 5_000)
    assert third.has_handled(1, X, 5_000)
    expires_ms = 5_000 - 600 + object_memory.RETENTION_MS
    assert third.has_handled(1, X, expires_ms - 1) and not third.has_handled(1, X, expires_ms)


def test_an_object_in_steady_use_is_reported_for_a_part_of_the_time_only():
    """Pattern: a popular object, of which peers need to hear only before they forget it."""
    one, other = object_memory.ObjectMemory(), object_memory.ObjectMemory()
    sent = 0
    for now_ms in range(0, 100_000, 500):
        one.record(1, X, now_ms, now_ms)
        sent += len(one.recent_reports(now_ms))
        exchange(one, other, now_ms)
        assert other.has_handled(1, X, now_ms)
    assert sent < 100_000 / object_memory.RENEWAL_MS * (object_memory.SHARED_FOR_MS / 500 + 1)


def test_reports_that_are_too_old_or_from_the_future_do_no_harm():
    memory = object_memory.ObjectMemory()
    memory.merge_reports([object_memory.ObjectReport(1, X, object_memory.RETENTION_MS)], 50_000)
    assert not memory.has_handled(1, X, 50_000)
    memory.merge_reports([object_memory.ObjectReport(1, X, -9_000)], 50_000)
    assert memory.has_handled(1, X, 50_000)
    assert not memory.has_handled(1, X, 50_000 + object_memory.RETENTION_MS)


def test_a_message_holds_the_newest_sightings():
    memory = object_memory.ObjectMemory()
    for number in range(2 * object_memory.MAX_REPORTS):
        memory.record(number, X, number, number)
    reports = memory.recent_reports(2 * object_memory.MAX_REPORTS)
    assert len(reports) == object_memory.MAX_REPORTS
    assert min(r.object_hash for r in reports) == object_memory.MAX_REPORTS


@hypothesis.given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2), st.integers(0, 9_000))))
def test_a_memory_agrees_with_a_plain_record_of_all_answers(answers):
    memory, latest, now_ms = object_memory.ObjectMemory(), {}, 0
    for object_hash, start_hash, pause_ms in answers:
        now_ms += pause_ms
        memory.record(object_hash, start_hash, now_ms, now_ms)
        latest[object_hash, start_hash] = now_ms
    for (object_hash, start_hash), handled_ms in latest.items():
        expected = now_ms - handled_ms < object_memory.RETENTION_MS
        assert memory.has_handled(object_hash, start_hash, now_ms) == expected


def member(name, zone, region, ip):
    return roster.MemberRecord(name, 1, 1, region, zone, f"{ip}:1", f"{ip}:2", True)


@pytest.mark.parametrize("zone_size", [2, 6])
def test_gossip_takes_objects_to_the_whole_region_and_no_further(zone_size):
    own = member("own", "a-1", "a", "10.0.0.1")
    poison = poison_watch.PoisonWatch(upstream.Upstream(b"x-id"), registry.Registry())
    service = gossip.GossipService(
        "own", own.gossip_address, [], lambda beat: own, poison, rng=random.Random(1)
    )
    service.objects = object_memory.ObjectMemory()
    service.objects.record(1, X, 0, 0)
    region_of = {}
    for part, (zone, region) in enumerate((("a-1", "a"), ("a-2", "a"), ("b-1", "b")), 1):
        for number in range(zone_size):
            peer = member(f"{zone}-{number}", zone, region, f"10.0.{part}.{number}")
            region_of[peer.gossip_address] = region
            service.roster.merge_record(peer, 0)
    decoder = msgspec.msgpack.Decoder(gossip_messages.Message)
    regions = set()
    for _ in range(20):
        for address, datagram in service.datagrams(0):
            message = decoder.decode(zlib.decompress(datagram))
            regions.add((region_of[address], bool(message.objects)))
    assert regions == {("a", True), ("b", False)}


# Guards against a new start that gets the requests for all objects of the old one.
def test_the_objects_of_a_start_that_may_have_ended_are_forgotten():
    memory, peer = object_memory.ObjectMemory(), object_memory.ObjectMemory()
    for start in (X, Y):
        memory.record(1, start, 1_000, 1_000)
        peer.record(1, start, 1_000, 1_000)
    memory.forget_start(X, 1_200)
    assert [r.start_hash for r in memory.recent_reports(1_300)] == [Y]
    memory.merge_reports(peer.recent_reports(1_250), 1_500)
    assert not memory.has_handled(1, X, 1_500) and memory.has_handled(1, Y, 1_500)
    assert not memory.recent_reports(5_000)
    memory.record(1, X, 5_000, 5_000)
    assert memory.has_handled(1, X, 5_000)
    assert [r.start_hash for r in memory.recent_reports(5_100)] == [X]
