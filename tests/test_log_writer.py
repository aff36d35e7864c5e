"""Buffered logging: a limited buffer, a count of dropped lines, no blocking of the event loop."""

import json
import logging
import os

import anyio

from sassafraslock import edge, events, logs
from sassafraslock.services import log_writer


def handler():
    buffer = log_writer.BufferedLogHandler()
    buffer.setFormatter(logs.JsonFormatter())
    return buffer


def record(number=0):
    return logging.LogRecord("x", logging.INFO, "", 0, f"line {number}", (), None)


def test_lines_beyond_the_limit_are_dropped_and_counted():
    buffer = handler()
    for number in range(log_writer.MAX_LINES + 7):
        buffer.emit(record(number))
    assert len(buffer.lines) == log_writer.MAX_LINES
    assert buffer.dropped == 7
    lines = buffer.pop_text().splitlines()
    assert json.loads(lines[0])["message"] == "line 0" and not buffer.lines


def test_a_blocked_standard_output_does_not_block_the_event_loop(monkeypatch):
    """A blocked write must not stop the event loop; the lines dropped meanwhile are reported."""
    written, release = [], anyio.Event()

    async def blocked(function, text):
        written.append(text)
        if len(written) == 1:
            await release.wait()

    monkeypatch.setattr(log_writer.anyio.to_thread, "run_sync", blocked)
    monkeypatch.setattr(log_writer, "INTERVAL_S", 0.01)

    async def main():
        buffer = edge.configure_logs("json", "info")
        async with anyio.create_task_group() as group:
            group.start_soon(log_writer.LogWriter(buffer).run, anyio.Event())
            events.log(events.Event.STORE_UP, "first")
            await anyio.sleep(0.05)
            for number in range(log_writer.MAX_LINES + 3):
                events.log(events.Event.STORE_UP, "more", number=number)
            release.set()
            await anyio.sleep(0.1)
            group.cancel_scope.cancel()

    anyio.run(main)
    logging.getLogger().handlers.clear()
    reported = json.loads(written[2])
    assert (reported["event"], reported["count"]) == (7001, 3)


def test_a_reader_that_goes_away_does_not_end_the_log_service(monkeypatch):
    """The error of the write ended the service, and after four of them the process."""
    results, written = [False, True], []

    def write(text):
        written.append(text)
        return results.pop(0) if results else True

    monkeypatch.setattr(log_writer, "write", write)
    monkeypatch.setattr(log_writer, "INTERVAL_S", 0.001)

    async def main():
        buffer = edge.configure_logs("json", "info")
        async with anyio.create_task_group() as group:
            group.start_soon(log_writer.LogWriter(buffer).run, anyio.Event())
            for number in range(3):
                events.log(events.Event.STORE_UP, "lost", number=number)
            while len(written) < 2:
                await anyio.sleep(0.001)
            group.cancel_scope.cancel()

    anyio.run(main)
    logging.getLogger().handlers.clear()
    assert json.loads(written[1])["count"] == 3


def test_lines_for_a_closed_pipe_are_lost_without_an_error(monkeypatch):
    reader, writer = os.pipe()
    monkeypatch.setattr(log_writer, "STANDARD_OUTPUT", writer)
    assert log_writer.write("a\n")
    assert os.read(reader, 10) == b"a\n"
    os.close(reader)
    assert not log_writer.write("b\n")
    os.close(writer)
