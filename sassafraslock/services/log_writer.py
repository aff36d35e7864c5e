"""Buffered log output: a limited number of lines, written by a thread in batches."""

from __future__ import annotations

import collections
import logging
import os
import select

import anyio
import anyio.to_thread

from sassafraslock import events, logs

MAX_LINES = 4_096
INTERVAL_S = 0.25
STANDARD_OUTPUT = 1  # the descriptor, so that no text stays behind in a buffer
CHUNK_BYTES = select.PIPE_BUF  # a pipe that is ready takes as many without blocking
WAIT_MS = 50
WAITS = 4
LAST_WAITS = 20  # at the end of the process


class BufferedLogHandler(logging.Handler):
    """Keeps up to :data:`MAX_LINES` formatted lines; further ones are dropped and counted.

    ``unwritten`` is the rest of a text that the reader of standard output has not taken yet.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lines: collections.deque[str] = collections.deque()
        self.dropped = 0
        self.unwritten = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Format a record and add it to the buffer, or count it as dropped if the buffer is full.

        :param record: the record.
        """
        if len(self.lines) >= MAX_LINES:
            self.dropped += 1
            return
        self.lines.append(self.format(record))

    def pop_text(self) -> str:
        """Return the buffered lines as one text, each with its line end, and clear the buffer."""
        text = "".join(line + "\n" for line in self.lines)
        self.lines.clear()
        return text

    def write(self, text: str, waits: int = WAITS) -> None:
        """Write what was left unwritten, and a text after it, to standard output.

        If the reader of the output is gone, the lines are dropped and counted.

        :param text: the lines.
        :param waits: how often to wait for the reader, for :data:`WAIT_MS`, before the rest is
            left unwritten.
        """
        self.unwritten += text.encode(errors="backslashreplace")
        try:
            written = _write(self.unwritten, waits)
        except OSError:
            self.dropped += self.unwritten.count(b"\n")
            written = len(self.unwritten)
        self.unwritten = self.unwritten[written:]

    def write_rest(self) -> None:
        """Write all that is left at the end of the process, if the reader takes it soon."""
        self.write(self.pop_text(), LAST_WAITS)


class LogWriter:
    """Writes the buffered lines to standard output, one batch at a time.

    A thread does the writing, so that a slow reader of standard output does not block the event
    loop. Meanwhile the handler drops the lines that exceed its buffer. No write waits long for the
    reader, so that the end of the process does not wait for it either.
    """

    __slots__ = ("_handler",)

    def __init__(self, handler: BufferedLogHandler) -> None:
        self._handler = handler

    async def run(self, ready: anyio.Event) -> None:
        """Write a batch every :data:`INTERVAL_S` until cancelled.

        :param ready: set immediately.
        """
        ready.set()
        while True:
            await anyio.sleep(INTERVAL_S)
            text = ""
            if not self._handler.unwritten:
                text = self._handler.pop_text()
                # The buffer was full before; now it has room for the line that reports the loss.
                self._report_dropped()
            if text or self._handler.unwritten:
                await anyio.to_thread.run_sync(self._handler.write, text)

    def _report_dropped(self) -> None:
        dropped, self._handler.dropped = self._handler.dropped, 0
        if dropped:
            events.log(
                events.Event.LOG_LINES_DROPPED,
                f"dropped {dropped} log lines: more than {MAX_LINES} waited, or nobody reads them",
                count=dropped,
            )


def configure_logs(log_format: logs.LogFormat, level: str) -> BufferedLogHandler:
    """Set up logging into a limited buffer, and return the buffer.

    :class:`LogWriter` writes it to standard output.

    :param log_format: ``text`` or ``json``.
    :param level: the lowest level that is logged.
    """
    handler = BufferedLogHandler()
    handler.setFormatter(logs.formatter(log_format))
    logs.install_handler(handler, level)
    return handler


def _write(data: bytes, waits: int) -> int:
    """Write to standard output, and return how much of the data its reader took."""
    output = select.poll()
    output.register(STANDARD_OUTPUT, select.POLLOUT)
    written = 0
    while written < len(data):
        if not output.poll(0):
            if not waits or not output.poll(WAIT_MS):
                break
            waits -= 1
        written += os.write(STANDARD_OUTPUT, data[written : written + CHUNK_BYTES])
    return written
