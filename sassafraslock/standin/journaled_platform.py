"""A platform stand-in that keeps its rows when its process ends, as the platform does."""

from __future__ import annotations

import pathlib

import msgspec

from sassafraslock import platform
from sassafraslock.standin import platform as standin_platform

SIZE_BYTES = 4  # of the length before each transaction


class JournaledPlatform(standin_platform.MemoryPlatform):
    """Appends each write to a file before it is answered, and reads the file at its start."""

    __slots__ = ("_path",)

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__()
        self._path = path
        data = path.read_bytes() if path.exists() else b""
        end = 0
        while (next_end := _record_end(data, end)) <= len(data):
            record = data[end + SIZE_BYTES : next_end]
            super()._write(msgspec.msgpack.decode(record, type=platform.Transaction))
            end = next_end
        path.write_bytes(data[:end])  # a kill may have cut off the last record

    def _write(self, transaction: platform.Transaction) -> None:
        data = msgspec.msgpack.encode(transaction)
        with self._path.open("ab") as journal:
            journal.write(len(data).to_bytes(SIZE_BYTES) + data)
        super()._write(transaction)


def _record_end(data: bytes, start: int) -> int:
    """Return where the record ends that starts at an offset, beyond the data if it is cut off."""
    size_bytes = int.from_bytes(data[start : start + SIZE_BYTES])
    return start + SIZE_BYTES + size_bytes
