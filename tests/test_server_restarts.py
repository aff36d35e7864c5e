"""Servers that may have started again count as cold until something newer shows otherwise."""

import dataclasses

import msgspec
import pytest

from sassafraslock.decisions import possible_restart, registry, server_restarts
from tests import fact_source

COLD_MS = 3_000
REFUSED = possible_restart.Evidence.REFUSED
ENDED, UP, WARM = server_restarts.Finding


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
    entry.restarts.record_warm_in(entry.server, 0, 1_200)
    other.hear(entry, 1_210)
    assert not entry.is_cold(1_201) and not other.is_cold(1_211)


@pytest.mark.parametrize("born_ms", [5, 4])
def test_a_peers_word_is_enough_also_of_a_start_that_is_not_known_yet(born_ms):
    entry, other = Entry(), Entry("f", born_ms)
    entry.restarts.record_end(entry.server, REFUSED, 1_000)
    entry.restarts.record_up(entry.server, 1_500)
    other.hear(entry, 1_600, 20)
    assert other.is_cold(4_400) and not other.is_cold(4_700)


def test_a_row_with_a_new_start_is_told_to_peers_that_cannot_read_it():
    entry, other = Entry(born_ms=6), Entry("f")
    entry.restarts.record_start(entry.server, 2_000)
    other.hear(entry, 2_100)
    assert other.is_cold(4_900) and not other.is_cold(5_200)


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
    many = [msgspec.structs.replace(report, observation_id=n, server_hash=n) for n in range(9_000)]
    assert entry.restarts.merge_reports(many, 1_000) == []
    assert len(entry.restarts.recent_reports(1_000)) == server_restarts.MAX_REPORTS
    assert len(entry.restarts._observations) <= server_restarts.MAX_OBSERVATIONS


# Guards against FAILBACK after a pause: servers may have started again meanwhile.
@pytest.mark.parametrize(
    "connected, read_ms, is_cold", [(0, 0, True), (1, 0, False), (0, 9, False)]
)
def test_after_a_pause_servers_are_cold_unless_a_connection_or_a_new_row_shows_more(
    connected, read_ms, is_cold
):
    entry, resumed = Entry(), []
    entry.restarts.on_resumed = lambda: resumed.append(True)
    entry.restarts.connected_before = lambda address, at_ms: bool(connected)
    entry.restarts.rows_read_ms = lambda: 1_000 * read_ms
    entry.restarts.tick(1_000)
    entry.restarts.tick(1_100)
    assert not entry.is_cold(1_200) and not resumed
    assert entry.is_cold(3_000) is is_cold and resumed
    entry.restarts.tick(3_500)
    assert not entry.is_cold(3_000 + server_restarts.OUTDATED_MS)
