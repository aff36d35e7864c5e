"""Writes log lines in bulk, from a bounded buffer and without holding up the loop."""

from __future__ import annotations

import collections
import logging
import sys

import anyio
import anyio.to_thread

from sassafraslock import events

MAX_LINES = 4_096
INTERVAL_S = 0.25


class BufferedLogHandler(logging.Handler):
    """Keeps formatted lines until they are written; further ones are counted and dropped."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: collections.deque[str] = collections.deque()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Keep one line, or drop it where too many wait.

        :param record: the record to write.
        """
        if len(self.lines) >= MAX_LINES:
            self.dropped += 1
            return
        self.lines.append(self.format(record))

    def pop_text(self) -> str:
        """Return the lines that wait and keep none of them."""
        text = "".join(line + "\n" for line in self.lines)
        self.lines.clear()
        return text


class LogWriter:
    """Writes what the handler keeps to standard output, one write at a time."""

    __slots__ = ("_handler",)

    def __init__(self, handler: BufferedLogHandler) -> None:
        self._handler = handler

    async def run(self, ready: anyio.Event) -> None:
        """Write until cancelled.

        :param ready: set at once.
        """
        ready.set()
        while True:
            await anyio.sleep(INTERVAL_S)
            text = self._handler.pop_text()
            # Only now is there room for the line that tells of dropped ones.
            self._report_dropped()
            if text:
                await anyio.to_thread.run_sync(_write, text)

    def _report_dropped(self) -> None:
        dropped, self._handler.dropped = self._handler.dropped, 0
        if dropped:
            events.log(events.Event.LOG_LINES_DROPPED, "log lines were dropped", count=dropped)


def _write(text: str) -> None:
    sys.stdout.write(text)
    sys.stdout.flush()
