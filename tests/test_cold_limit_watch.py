"""What the limit on cold servers held back is counted and logged, few lines at a time."""

import anyio

from sassafraslock import clock, events
from sassafraslock.decisions import cold_start
from sassafraslock.services import cold_limit_watch
from tests import test_access_log, test_retry_gate

logged = test_access_log.logged


def test_a_server_has_one_line_a_second_with_the_counts_since_the_last(logged):
    limiter = cold_start.ColdStartLimiter("e", 1.5, 5.0)
    limiter.on_asked = cold_limit_watch.ColdLimitWatch().record
    for now_ms in range(0, 2_000, 100):
        limiter.try_acquire("i-1", 4.9, ["e"], now_ms)
    first, second = logged
    counts = {"server": "i-1", "granted": 1, "held_back": 1}
    assert first == (events.Event.COLD_LIMIT_REACHED, counts)
    assert second[1]["granted"] + second[1]["held_back"] == 10
    assert limiter.granted + limiter.held_back == 20


def test_lines_of_all_servers_and_the_memory_of_them_are_bounded(logged):
    watch = cold_limit_watch.ColdLimitWatch()
    for number in range(cold_limit_watch.MAX_REMEMBERED + 10):
        watch.record(f"i-{number}", False, 5_000)
    assert len(logged) == cold_limit_watch.MAX_LINES
    assert len(watch._counts) == cold_limit_watch.MAX_REMEMBERED
    watch.record(f"i-{cold_limit_watch.MAX_LINES + 20}", False, 6_000)
    assert logged[-1][1]["held_back"] == 2


def test_an_entry_logs_what_was_held_back_and_serves_the_counts(logged):
    async def metrics_text():
        entry = test_retry_gate.build_entries()[0]
        settled_ms = clock.monotonic_ms() + cold_start.SETTLE_MS
        for now_ms in range(settled_ms, settled_ms + 20):
            entry.pipeline.placer.cold.limiter.try_acquire("i-1", 4.9, ["e-0"], now_ms)
        entry.routing_state.restarts = 7
        return entry.render_metrics().decode()

    text = anyio.run(metrics_text)
    counts = {"cold_requests_granted": 1, "cold_requests_held_back": 19, "server_restarts": 7}
    for name, count in counts.items():
        assert f'sassafraslock_{name}_total{{entry="e-0"}} {count}\n' in text
    assert [event for event, _ in logged].count(events.Event.COLD_LIMIT_REACHED) == 1
