"""Log lines: bounded, counted where dropped, never waiting for a slow reader."""

import json
import logging

import anyio

from sassafraslock import edge, events, logs
from sassafraslock.services import log_writer


def handler():
    found = log_writer.BufferedLogHandler()
    found.setFormatter(logs.JsonFormatter())
    return found


def record(number=0):
    return logging.LogRecord("x", logging.INFO, "", 0, f"line {number}", (), None)


def test_lines_beyond_the_bound_are_dropped_and_counted():
    found = handler()
    for number in range(log_writer.MAX_LINES + 7):
        found.emit(record(number))
    assert len(found.lines) == log_writer.MAX_LINES
    assert found.dropped == 7
    lines = found.pop_text().splitlines()
    assert json.loads(lines[0])["message"] == "line 0" and not found.lines


def test_a_reader_that_does_not_read_holds_nothing_up(monkeypatch):
    """The write blocks in a thread while the loop goes on; what is dropped is told afterwards."""
    written, release = [], anyio.Event()

    async def blocked(function, text):
        written.append(text)
        if len(written) == 1:
            await release.wait()

    monkeypatch.setattr(log_writer.anyio.to_thread, "run_sync", blocked)
    monkeypatch.setattr(log_writer, "INTERVAL_S", 0.01)

    async def main():
        found = edge.configure_logs("json", "info")
        async with anyio.create_task_group() as group:
            group.start_soon(log_writer.LogWriter(found).run, anyio.Event())
            events.log(events.Event.STORE_UP, "first")
            await anyio.sleep(0.05)
            for number in range(log_writer.MAX_LINES + 3):
                events.log(events.Event.STORE_UP, "more", number=number)
            release.set()
            await anyio.sleep(0.1)
            group.cancel_scope.cancel()

    anyio.run(main)
    logging.getLogger().handlers.clear()
    told = json.loads(written[2])
    assert (told["event"], told["count"]) == (7001, 3)
