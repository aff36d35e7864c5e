"""Which heads and which peers' reports say that a server leaves."""

import pytest

from sassafraslock import field_types, header_names, http_messages
from sassafraslock.decisions import backpressure, departing_servers, registry
from sassafraslock.services import backpressure_watch
from tests import fact_source, test_placement

NAMES = header_names.HeaderNames()


def build():
    servers = registry.Registry()
    servers.apply_report(fact_source.report("i-1", born_ms=1), 0, False, 0)
    asked = backpressure.Backpressure("e-0", servers, test_placement.Entries())
    return backpressure_watch.BackpressureWatch(asked, servers, NAMES), asked, servers


def head(watch, servers, *values, status=200):
    headers = [(NAMES.leaving, value) for value in values]
    watch.record_head(servers.servers["i-1"], status, headers, 10, 0)


@pytest.mark.parametrize("status", [200, 204, 404, 429, 500, 503, 504])
def test_any_answer_says_so_once(status, caplog):
    caplog.set_level("INFO", "sassafraslock")
    watch, asked, servers = build()
    for _ in range(3):
        head(watch, servers, b"1", status=status)
    assert not servers.usable_servers("s") and servers.departing_count("s") == 1
    assert [r.fields["heard_from"] for r in caplog.records] == ["server"]


def test_an_answer_of_another_server_says_nothing():
    watch, asked, servers = build()
    head(watch, servers, b"1", status=http_messages.MISDIRECTED)
    assert servers.usable_servers("s") and not asked.departures


@pytest.mark.parametrize("values", [[b""], [b"0"], [b"1", b"true"], [b"1" * 5_000]], ids=str)
def test_an_invalid_value_is_counted_and_logged_once(values, caplog):
    watch, asked, servers = build()
    for _ in range(3):
        head(watch, servers, *values)
    assert watch.departing.invalid.count == 3 and not asked.departures
    assert len(caplog.records) == 1


def test_without_a_header_name_nothing_is_heard():
    servers = registry.Registry()
    servers.apply_report(fact_source.report("i-1", born_ms=1), 0, False, 0)
    asked = backpressure.Backpressure("e-0", servers, test_placement.Entries())
    names = header_names.HeaderNames(leaving=b"")
    watch = backpressure_watch.BackpressureWatch(asked, servers, names)
    watch.record_head(servers.servers["i-1"], 200, [(b"", b"1")], 10, 0)
    assert not asked.departures


@pytest.mark.parametrize("age_ms", [-5, 0, 40, 1 << 62])
def test_peers_reports_of_unknown_servers_and_odd_ages_are_harmless(age_ms):
    watch, asked, servers = build()
    start_hash = registry.start_hash(servers.servers["i-1"])
    reports = [departing_servers.DepartureReport(h, age_ms) for h in (5, -1, start_hash)]
    watch.departing.merge_reports(reports, 1_000)
    assert len(asked.departures) == 1 and not servers.usable_servers("s")
    [report] = watch.departing.recent_reports(1_010)
    sent_age_ms = min(field_types.MAX_WALL_MS, max(0, age_ms) + 10)
    assert report == departing_servers.DepartureReport(start_hash, sent_age_ms)


def test_a_server_whose_row_comes_after_the_report_is_known_from_the_next_one():
    watch, asked, servers = build()
    late = registry.Server(fact_source.report("i-2", born_ms=1), 0)
    report = departing_servers.DepartureReport(registry.start_hash(late), 0)
    watch.departing.merge_reports([report], 0)
    servers.apply_report(late.report, 100, True, 0)
    assert len(servers.usable_servers("s")) == 2
    watch.departing.merge_reports([report], 600)
    assert [s.server_id for s in servers.usable_servers("s")] == ["i-1"]
