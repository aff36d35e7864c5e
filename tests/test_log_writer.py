"""Buffered logging: a limited buffer, a count of dropped lines, no blocking of the event loop."""

import contextlib
import json
import logging
import os
import select
import threading

import anyio
import pytest

from sassafraslock import events, logs
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
        buffer = log_writer.configure_logs("json", "info")
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


@pytest.fixture
def pipe(monkeypatch):
    """A pipe in place of standard output; its ends are closed afterwards where they are open."""
    reader, writer = os.pipe()
    monkeypatch.setattr(log_writer, "STANDARD_OUTPUT", writer)
    yield reader, writer
    for descriptor in (reader, writer):
        with contextlib.suppress(OSError):
            os.close(descriptor)


def fill(writer):
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"x" * log_writer.CHUNK_BYTES)
    os.set_blocking(writer, True)


def test_a_reader_that_goes_away_does_not_end_the_log_service(pipe, monkeypatch):
    """The error of the write ended the service, and after four of them the process."""
    monkeypatch.setattr(log_writer, "INTERVAL_S", 0.001)
    os.close(pipe[0])

    async def main():
        buffer = log_writer.configure_logs("json", "info")
        reports = []
        monkeypatch.setattr(events, "log", lambda *arguments, **fields: reports.append(fields))
        async with anyio.create_task_group() as group:
            group.start_soon(log_writer.LogWriter(buffer).run, anyio.Event())
            for number in range(3):
                logging.getLogger("sassafraslock").info("lost %s", number)
            while not reports:
                await anyio.sleep(0.001)
            group.cancel_scope.cancel()
        assert reports == [{"count": 3}]

    anyio.run(main)
    logging.getLogger().handlers.clear()


def test_a_reader_that_stands_still_gets_the_rest_later_and_in_order(pipe):
    """A write waited for the reader without end, and the process could not exit."""
    reader, writer = pipe
    fill(writer)
    buffer = handler()
    buffer.write("a\n")
    assert buffer.unwritten == b"a\n" and not buffer.dropped
    while os.read(reader, log_writer.CHUNK_BYTES) == b"x" * log_writer.CHUNK_BYTES:
        if not select.select([reader], [], [], 0)[0]:
            break
    buffer.write("b\n")
    assert os.read(reader, 10) == b"a\nb\n" and not buffer.unwritten


def test_more_than_a_pipe_holds_is_written_while_its_reader_reads(pipe):
    reader, writer = pipe
    text = "".join(f"line {number}\n" for number in range(50_000))
    read = []

    def read_all():
        while data := os.read(reader, 1 << 16):
            read.append(data)

    thread = threading.Thread(target=read_all)
    thread.start()
    buffer = handler()
    buffer.write(text, waits=100_000)
    os.close(writer)
    thread.join()
    assert b"".join(read).decode() == text
