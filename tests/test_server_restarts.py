"""Servers that may have started again count as cold until something newer shows otherwise."""

import dataclasses

import msgspec
import pytest

from sassafraslock.decisions import possible_restart, registry, server_restarts
from tests import fact_source

COLD_MS = 3_000
MARGIN_MS = server_restarts.MESSAGE_DELAY_MS
REFUSED = possible_restart.Evidence.REFUSED
ENDED, UP, WARM, SUSPECTED = server_restarts.Finding


class Entry:
    """An entry that knows one server, which started at ``born_ms``."""

    def __init__(self, name="e", born_ms=5):
        self.servers = registry.Registry()
        self.servers.apply_report(fact_source.report("i-1", born_ms=born_ms), 0, False, 0)
        self.restarts = server_restarts.ServerRestarts(name, self.servers)
        self.restarts.cold_start_ms = lambda service: COLD_MS

    @property
    def server(self):
        return self.servers.servers["i-1"]

    def is_cold(self, now_ms):
        return self.restarts.is_cold(self.server, now_ms)

    def hear(self, other, now_ms, delay_ms=0):
        self.restarts.merge_reports(other.restarts.recent_reports(now_ms), now_ms + delay_ms)


# Guards against FAILBACK: evidence of an end that does not make a server cold by itself.
@pytest.mark.parametrize("evidence", possible_restart.Evidence)
def test_each_evidence_makes_a_server_cold_until_its_cold_time_after_it_is_up(evidence):
    entry = Entry()
    assert entry.restarts.record_end(entry.server, evidence, 1_000)
    assert entry.is_cold(50_000) and entry.server.is_down
    assert entry.restarts.record_up(entry.server, 60_000)
    assert entry.is_cold(62_999) and not entry.is_cold(63_000)


def test_a_second_end_while_the_first_is_not_over_begins_anew():
    entry = Entry()
    for at_ms in (1_000, 3_000):
        entry.restarts.record_end(entry.server, REFUSED, at_ms)
        entry.restarts.record_up(entry.server, at_ms + 50)
    assert entry.is_cold(6_049) and not entry.is_cold(6_050)


# Guards against a row that hides an end: it may have been written before it.
def test_evidence_outlives_a_row_with_a_new_start():
    entry = Entry()
    entry.restarts.record_end(entry.server, REFUSED, 1_000)
    told = dataclasses.replace(fact_source.report("i-1", born_ms=6), tells_cold_time=True)
    entry.servers.apply_report(told, 1_100, True, COLD_MS)
    assert entry.is_cold(20_000)


@pytest.mark.parametrize("opened_ms, is_refuted", [(0, True), (900, False), (1_200, False)])
def test_only_an_answer_on_a_much_older_connection_refutes_an_end(opened_ms, is_refuted):
    entry = Entry()
    entry.restarts.record_end(entry.server, possible_restart.Evidence.PEER, 1_500)
    assert entry.restarts.record_answer(entry.server, opened_ms) is is_refuted
    assert entry.is_cold(1_600) is not is_refuted


def test_a_server_that_tells_that_it_is_warm_is_used_at_once_by_all():
    entry, other = Entry(), Entry("f")
    entry.restarts.record_end(entry.server, REFUSED, 1_000)
    other.hear(entry, 1_010)
    entry.restarts.record_up(entry.server, 1_100)
    entry.restarts.record_warm_in(entry.server, 0, 1_400)
    other.hear(entry, 1_410)
    assert not entry.is_cold(1_401) and not other.is_cold(1_411)


@pytest.mark.parametrize("born_ms", [5, 4])
def test_a_peers_word_is_enough_also_of_a_start_that_is_not_known_yet(born_ms):
    entry, other = Entry(), Entry("f", born_ms)
    entry.restarts.record_end(entry.server, REFUSED, 1_000)
    entry.restarts.record_up(entry.server, 1_500)
    other.hear(entry, 1_600, 20)
    assert other.is_cold(4_400) and not other.is_cold(4_700)


# Guards against reports that entries tell each other for ever, each time as a later end.
def test_what_is_passed_on_with_delays_ends_when_the_server_is_warm():
    entries = [Entry(f"e-{n}") for n in range(5)]
    entries[0].restarts.record_end(entries[0].server, REFUSED, 1_000)
    for round_ms in range(1_100, 20_000, 250):
        if round_ms == 1_600:
            entries[1].restarts.record_up(entries[1].server, round_ms)
        for number, entry in enumerate(entries):
            for other in entries[:number] + entries[number + 1 :]:
                other.hear(entry, round_ms, delay_ms=200)
    assert not any(entry.is_cold(8_000) for entry in entries)
    assert not any(entry.restarts.recent_reports(20_000) for entry in entries)


def test_messages_and_memory_are_bounded_and_unknown_servers_ignored():
    entry = Entry()
    report = server_restarts.RestartReport(0, 1, 5, ENDED, 10)
    many = [msgspec.structs.replace(report, observation_id=n) for n in range(9_000)]
    assert not entry.restarts.merge_reports(many, 1_000).suspected
    assert not entry.restarts.recent_reports(1_000)
    own = server_restarts.server_hash("i-1")
    entry.restarts.merge_reports([msgspec.structs.replace(r, server_hash=own) for r in many], 1_000)
    assert len(entry.restarts._observations) == server_restarts.MAX_OBSERVATIONS
    assert len(entry.restarts.recent_reports(1_000)) == 1


def test_of_more_ends_than_a_message_holds_all_are_told_in_turn():
    entry = Entry()
    for number in range(150):
        entry.servers.apply_report(fact_source.report(f"j-{number}", born_ms=5), 0, False, 0)
    for server in list(entry.servers.servers.values()):
        entry.restarts.record_end(server, REFUSED, 1_000)
    told = [{r.server_hash for r in entry.restarts.recent_reports(1_100)} for _ in range(2)]
    assert len(told[0]) == server_restarts.MAX_REPORTS and len(told[0] | told[1]) == 151


def test_weak_evidence_makes_peers_ask_the_server_and_nothing_else():
    entry, other = Entry(), Entry("f")
    entry.restarts.record_end(entry.server, possible_restart.Evidence.DISCONNECTED, 1_000)
    merged = other.restarts.merge_reports(entry.restarts.recent_reports(1_010), 1_010)
    assert merged.to_check == [other.server] and not merged.suspected
    assert entry.is_cold(1_010) and not other.is_cold(1_010)


# Guards against a report that is older than it tells: messages take time, more so in a pause.
@pytest.mark.parametrize("finding, is_told", [(UP, True), (WARM, True), (ENDED, False)])
def test_a_peers_word_refutes_only_what_is_clearly_older(finding, is_told):
    entry = Entry()
    hashed = server_restarts.server_hash("i-1")
    entry.restarts.record_end(entry.server, REFUSED, 1_000)
    entry.restarts.merge_reports(
        [server_restarts.RestartReport(1, hashed, 5, finding, 0)], 1_000 + MARGIN_MS - 1
    )
    assert entry.server.is_down
    entry.restarts.merge_reports(
        [server_restarts.RestartReport(2, hashed, 5, finding, 0)], 1_000 + MARGIN_MS
    )
    assert entry.server.is_down is not is_told


def test_messages_that_waited_through_a_pause_do_not_show_a_server_up():
    entry = Entry()
    hashed = server_restarts.server_hash("i-1")
    entry.restarts.tick(0)
    entry.restarts.tick(5_000)
    reports = [server_restarts.RestartReport(n, hashed, 5, f, 0) for n, f in ((1, ENDED), (2, UP))]
    entry.restarts.merge_reports(reports, 5_050)
    assert entry.server.is_down
    entry.restarts.merge_reports(reports, 5_050 + MARGIN_MS)
    assert not entry.server.is_down


def test_a_second_restart_that_rows_tell_is_told_and_taken_up_as_the_first():
    entry, other = Entry(), Entry("f")
    for born_ms, now_ms in ((6, 2_000), (7, 9_000)):
        entry.servers.apply_report(
            fact_source.report("i-1", born_ms=born_ms), now_ms, True, COLD_MS
        )
        entry.restarts.record_start(entry.server, now_ms)
        other.hear(entry, now_ms + 50)
        assert other.is_cold(now_ms + COLD_MS - 1) and not other.is_cold(now_ms + COLD_MS + 100)


def test_a_row_that_says_warm_makes_no_peer_wait():
    entry, other = Entry(), Entry("f")
    told = dataclasses.replace(fact_source.report("i-1", born_ms=6), tells_cold_time=True)
    for known, now_ms in ((entry, 2_000), (other, 2_300)):
        known.servers.apply_report(told, now_ms, True, COLD_MS)
    entry.restarts.record_start(entry.server, 2_000)
    other.hear(entry, 2_350)
    assert not other.is_cold(2_350)


# Guards against FAILBACK after a pause: servers may have started again meanwhile.
@pytest.mark.parametrize("opened_ms, is_cold", [(500, False), (3_000, True), (9_000, True)])
def test_after_a_pause_servers_are_cold_unless_a_connection_is_older(opened_ms, is_cold):
    entry = Entry()
    entry.restarts.connected_before = lambda address, at_ms: at_ms > opened_ms
    for now_ms in (1_000, 1_100):
        assert not entry.restarts.tick(now_ms)
    assert not entry.is_cold(1_200)
    assert entry.is_cold(3_000) is is_cold
    assert entry.restarts.tick(3_000)
    assert not entry.restarts.tick(3_500)
    assert entry.is_cold(3_999) is is_cold
    assert not entry.is_cold(3_000 + server_restarts.OUTDATED_MS)
