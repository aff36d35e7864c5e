"""Servers that leave, as entries know and spread it."""

import msgspec

from sassafraslock.decisions import departing_servers, heard_from
from sassafraslock.services import gossip_messages

PEER, SERVER = heard_from.HeardFrom.PEER, heard_from.HeardFrom.SERVER


def test_a_departure_is_new_once_and_has_the_time_of_the_latest_answer():
    departing = departing_servers.DepartingServers()
    assert departing.record(7, PEER, 100) and not departing.record(7, SERVER, 300)
    assert departing.recent_reports(500) == [departing_servers.DepartureReport(7, 200)]
    assert departing.departure_of(7).source is SERVER and 7 in departing and 8 not in departing


# Guards against departures beyond the size of a message that are never sent.
def test_all_departures_are_sent_by_turns():
    departing = departing_servers.DepartingServers()
    for start_hash in range(150):
        departing.record(start_hash, SERVER, start_hash)
    rounds = [departing.recent_reports(1_000) for _ in range(3)]
    assert max(map(len, rounds)) == departing_servers.MAX_REPORTS
    assert {report.start_hash for reports in rounds for report in reports} == set(range(150))


class FormerMessage(msgspec.Struct, frozen=True, array_like=True):
    records: list
    beats: list = []
    suspects: list = []
    loads: list = []
    objects: list = []
    limits: list = []


def test_entries_of_the_former_version_and_this_one_read_each_others_messages():
    told = [departing_servers.DepartureReport(7, 40)]
    encoded = msgspec.msgpack.encode(gossip_messages.Message([], departures=told))
    assert msgspec.msgpack.decode(encoded, type=FormerMessage) == FormerMessage([])
    former = msgspec.msgpack.encode(FormerMessage([]))
    assert msgspec.msgpack.decode(former, type=gossip_messages.Message).departures == []
