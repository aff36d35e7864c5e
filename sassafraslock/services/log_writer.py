"""Buffered log output: a limited number of lines, written by a thread in batches."""

from __future__ import annotations

import collections
import logging
import os

import anyio
import anyio.to_thread

from sassafraslock import events

MAX_LINES = 4_096
INTERVAL_S = 0.25
STANDARD_OUTPUT = 1  # the descriptor, so that no text stays behind in a buffer


class BufferedLogHandler(logging.Handler):
    """Keeps up to :data:`MAX_LINES` formatted lines; further ones are dropped and counted."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: collections.deque[str] = collections.deque()
        self.dropped = 0

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


class LogWriter:
    """Writes the buffered lines to standard output, one batch at a time.

    A thread does the writing, so that a slow reader of standard output does not block the event
    loop. Meanwhile the handler drops the lines that exceed its buffer.
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
            text = self._handler.pop_text()
            # The buffer was full before; now it has room for the line that reports the loss.
            self._report_dropped()
            if text:
                await anyio.to_thread.run_sync(self._write, text)

    def _write(self, text: str) -> None:
        if not write(text):
            self._handler.dropped += text.count("\n")

    def _report_dropped(self) -> None:
        dropped, self._handler.dropped = self._handler.dropped, 0
        if dropped:
            events.log(
                events.Event.LOG_LINES_DROPPED,
                f"dropped {dropped} log lines: more than {MAX_LINES} waited, or nobody reads them",
                count=dropped,
            )


def write(text: str) -> bool:
    """Write lines to standard output; return false if that fails, as when its reader is gone.

    :param text: the lines.
    """
    left = memoryview(text.encode(errors="backslashreplace"))
    try:
        while left:
            left = left[os.write(STANDARD_OUTPUT, left) :]
    except OSError:
        return False
    return True
