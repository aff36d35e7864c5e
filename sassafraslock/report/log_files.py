"""Reads the log lines of entries from files, plain or compressed, or from standard input."""

from __future__ import annotations

import dataclasses
import gzip
import pathlib
import sys
import typing
import zlib

import msgspec

from sassafraslock.report import log_lines

STANDARD_INPUT = "-"
MAX_EXAMPLES = 5  # bad lines that are named
MAX_LINE_BYTES = 1 << 20
_GZIP_MAGIC = b"\x1f\x8b"

Advance = typing.Callable[[int], None]


@dataclasses.dataclass(slots=True)
class ReadCounts:
    """What was read.

    :param lines: all lines.
    :param events: the lines that are events of entries.
    :param foreign: the lines without any event, such as those of other programs.
    :param bad: the lines that look like events but cannot be read, and files that break off.
    :param examples: where some of the bad lines are, and what is wrong with them.
    """

    lines: int = 0
    events: int = 0
    foreign: int = 0
    bad: int = 0
    examples: list[str] = dataclasses.field(default_factory=list)

    def add_bad(self, place: str, reason: str) -> None:
        """Count a bad line, and keep the first :data:`MAX_EXAMPLES`.

        :param place: the file and the number of the line.
        :param reason: what is wrong with it.
        """
        self.bad += 1
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(f"{place}: {reason}")


class LogFiles:
    """Streams the events of log files, one line at a time, so that memory does not grow."""

    __slots__ = ("counts", "_sources", "_decoder")

    def __init__(self, sources: list[str]) -> None:
        """:param sources: paths of files, or ``-`` for standard input."""
        self.counts = ReadCounts()
        self._sources = sources
        self._decoder = msgspec.json.Decoder(log_lines.LogLine)

    def size_bytes(self) -> int:
        """Return the size of all files; standard input counts as empty."""
        paths = [pathlib.Path(s) for s in self._sources if s != STANDARD_INPUT]
        return sum(path.stat().st_size for path in paths if path.is_file())

    def read(self, advance: Advance) -> typing.Iterator[log_lines.LogLine]:
        """Return the events of all files in turn; lines that cannot be read are counted.

        :param advance: called with the number of bytes of each file that was read.
        """
        for source in self._sources:
            if source == STANDARD_INPUT:
                yield from self._read_lines(source, sys.stdin.buffer)
                continue
            with open(source, "rb") as raw:
                yield from self._read_file(source, raw, advance)

    def _read_file(
        self, source: str, raw: typing.BinaryIO, advance: Advance
    ) -> typing.Iterator[log_lines.LogLine]:
        is_compressed = raw.read(len(_GZIP_MAGIC)) == _GZIP_MAGIC
        raw.seek(0)
        lines = typing.cast(typing.BinaryIO, gzip.GzipFile(fileobj=raw)) if is_compressed else raw
        position = 0
        try:
            for line in self._read_lines(source, lines):
                yield line
                if raw.tell() != position:
                    advance(raw.tell() - position)
                    position = raw.tell()
        except (EOFError, OSError, zlib.error) as error:
            self.counts.add_bad(source, f"the compressed file breaks off: {error}")
        advance(raw.tell() - position)

    def _read_lines(
        self, source: str, lines: typing.BinaryIO
    ) -> typing.Iterator[log_lines.LogLine]:
        number = 0
        while text := lines.readline(MAX_LINE_BYTES):
            number += 1
            self.counts.lines += 1
            event = self._decode(text, f"{source}:{number}")
            if event is not None:
                self.counts.events += 1
                yield event

    def _decode(self, text: bytes, place: str) -> log_lines.LogLine | None:
        """Return the event of a line; text before the first brace is skipped."""
        start = text.find(b"{")
        if start < 0 or b'"event"' not in text:
            self.counts.foreign += 1
            return None
        try:
            return self._decoder.decode(text[start:])
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.counts.add_bad(place, str(error))
            return None
