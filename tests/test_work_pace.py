"""How long work takes on servers, as their fourth figure of a load tells it."""

import msgspec
import pytest

from benchmarks import servers
from sassafraslock.decisions import load_reports, work_pace
from sassafraslock.services import gossip_messages
from tests import test_gossip


def build():
    placer = servers.placer(2, 3)
    return placer.paces, placer.registry.servers["s0"], placer.registry.servers["s1"]


def test_a_figure_counts_relative_to_the_mean_and_less_the_older_it_is():
    paces, slow, unknown = build()
    assert paces.factor(slow, 10, 0) == 1.0
    paces.record(slow, 250, 1_000)
    half_ms = 1_000 + int(work_pace.HALF_LIFE_MS)
    at_once, later = paces.factor(slow, 10, 1_000), paces.factor(slow, 10, half_ms)
    assert 2.3 < at_once < 2.5
    assert later - 1.0 == pytest.approx((at_once - 1.0) / 2)
    assert paces.factor(slow, 10, 10_000) == pytest.approx(1.0)
    assert paces.factor(unknown, 10, 1_000) == 1.0


# Guards against requests that leave a server with their object for work that outlasts its slowness.
def test_a_figure_adds_no_more_than_its_time_to_long_work():
    paces, slow, _ = build()
    paces.record(slow, 250, 1_000)
    added_ms = [work_ms * (paces.factor(slow, work_ms, 1_000) - 1) for work_ms in (900, 9_000)]
    assert added_ms[0] < added_ms[1] < 1.5 * 2 * work_pace.HALF_LIFE_MS


# Guards against servers that all seem slow where a service's figures are always high.
def test_where_all_servers_tell_the_same_figure_it_changes_nothing():
    paces, first, second = build()
    for at_ms in range(1_000):
        paces.record(first if at_ms % 2 else second, 300, at_ms)
    assert paces.factor(first, 10, 1_000) == pytest.approx(1.0, abs=0.01)


@pytest.mark.parametrize("percent", [0, 1, 999_999])
def test_an_odd_figure_counts_as_the_nearest_possible_one(percent):
    paces, server, _ = build()
    paces.record(server, percent, 0)
    assert 0.2 < paces.factor(server, 10, 0) < 10


def test_an_older_figure_or_one_of_an_unknown_server_is_ignored():
    paces, server, _ = build()
    paces.record(server, 250, 1_000)
    (report,) = paces.recent_reports(1_100)
    older = msgspec.structs.replace(report, percent=100, age_ms=500)
    unknown = msgspec.structs.replace(report, start_hash=1)
    paces.merge_reports([older, unknown], 1_100)
    assert paces.recent_reports(1_100) == [report]


# Guards against a new start that counts as slow by what the old one told.
def test_the_figure_of_a_start_that_may_have_ended_is_forgotten():
    paces, server, _ = build()
    paces.record(server, 250, 1_000)
    paces.forget_start(server)
    assert paces.factor(server, 10, 1_000) == 1.0 and not paces.recent_reports(1_000)


def test_what_a_message_tells_is_bounded_and_recent():
    placer = servers.placer(work_pace.MAX_REPORTS + 9, 3)
    for number, server in enumerate(placer.registry.servers.values()):
        placer.paces.record(server, 100 + number, 1_000 + number)
    assert len(placer.paces.recent_reports(1_100)) == work_pace.MAX_REPORTS
    assert not placer.paces.recent_reports(9_000)


# Guards against messages that differ where no server tells a fourth figure.
def test_messages_differ_only_where_a_figure_is_known():
    paces, server, _ = build()
    message = gossip_messages.Message([], loads=[load_reports.LoadReport(1, 2, 3)])
    plain = msgspec.msgpack.encode(message)
    encode = msgspec.msgpack.encode
    assert encode(gossip_messages.extended(message, paces=paces.recent_reports(0))) == plain
    paces.record(server, 250, 0)
    told = gossip_messages.extended(message, paces=paces.recent_reports(0))
    assert msgspec.msgpack.decode(encode(told), type=gossip_messages.Message) == message
    receiver, (other, known, _) = test_gossip.service("one", "a-1"), build()
    receiver.paces = other
    receiver.merge_datagram(receiver.pack(told), 100)
    assert other.factor(known, 10, 100) > 1.5
