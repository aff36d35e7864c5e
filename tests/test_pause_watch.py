"""Which heads ask for a pause, and how often that is logged."""

import pytest

from sassafraslock import header_names
from sassafraslock.decisions import backpressure, registry
from sassafraslock.services import backpressure_watch, invalid_headers, pause_watch
from tests import fact_source, test_placement

NAMES = header_names.HeaderNames()
SERVER = registry.Server(fact_source.report("i-1", born_ms=1), 0)
START = registry.start_hash(SERVER)
WALL_MS = 1_780_000_000_000


def asked():
    entries = test_placement.Entries()
    return backpressure.Backpressure("e-0", registry.Registry(), entries)


def head(watch, *values, status=503, now_ms=0, server=SERVER):
    headers = [(pause_watch.RETRY_AFTER, value) for value in values]
    watch.record_head(server, status, headers, now_ms, WALL_MS)


@pytest.mark.parametrize(
    "status, pauses", [(503, True), (429, False), (421, False), (500, False), (200, False)]
)
def test_only_503_asks_for_a_pause(status, pauses):
    known = asked()
    watch = backpressure_watch.BackpressureWatch(known, registry.Registry(), NAMES)
    head(watch, b"2", status=status)
    assert known.pauses.is_paused(START, 1_999) == pauses
    assert watch.gauges(1_000).paused == int(pauses)


@pytest.mark.parametrize("values", [[b""], [b"nan"], [b"x", b"-1"], [b"9" * 1_000]], ids=str)
def test_an_invalid_pause_is_counted_and_logged_once(values, caplog):
    known = asked()
    watch = pause_watch.PauseWatch(known)
    for _ in range(3):
        head(watch, *values)
    assert watch.invalid.count == 3 and not known.pauses and len(caplog.records) == 1
    assert all(len(v) <= 40 for v in caplog.records[0].fields["values"])


# Guards against a server whose many rejections, or many starts, fill the log.
def test_log_lines_are_bounded(caplog):
    caplog.set_level("INFO", "sassafraslock")
    watch = pause_watch.PauseWatch(asked())
    for now_ms in range(0, 10_000, 10):
        head(watch, b"0.005", now_ms=now_ms)
    assert len(caplog.records) == 5
    head(watch, b"60", now_ms=10_000)
    for _ in range(50):
        head(watch, b"60.1", now_ms=10_010)
    assert len(caplog.records) == 6 and caplog.records[-1].fields["for_ms"] >= 60_000
    invalid = pause_watch.PauseWatch(asked())
    for number in range(invalid_headers.MAX_LOGGED + 10):
        server = registry.Server(fact_source.report("i-1", born_ms=number), 0)
        head(invalid, b"x", server=server)
    assert len(caplog.records) == 6 + invalid_headers.MAX_LOGGED
    assert invalid.invalid.count == invalid_headers.MAX_LOGGED + 10


@pytest.mark.parametrize("status, advances", [(200, True), (500, True), (503, False), (429, False)])
def test_rejections_do_not_advance_the_slow_start(status, advances):
    known = asked()
    watch = backpressure_watch.BackpressureWatch(known, registry.Registry(), NAMES)
    head(watch, b"1")
    now_ms = known.pauses.left_ms(START, 0)
    known.acquire(SERVER, now_ms)
    response = pause_watch.http_messages.Response(status)
    watch.record_answer(SERVER, response, now_ms, now_ms + 5)
    assert (known.hold(SERVER, now_ms + 6) is None) == advances
