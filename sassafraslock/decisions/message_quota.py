"""Bounds the memory of messages that an entry has received and not yet passed on."""

from __future__ import annotations

import typing

DEFAULT_MEMORY_BYTES = 256 << 20
HELD_RATIO = 0.125  # a body is copied once or twice on its way, and the entry itself needs memory
ONE_MESSAGE_RATIO = 0.5
HEADER_OVERHEAD_BYTES = 128  # what the objects of one header take beside its text
PARSE_CHUNK_BYTES = 16 << 10  # connections parse and check so much at a time
FRAMING_RATIO = 8  # of a body, for its framing: a chunk of one byte takes six


class BufferingConnection(typing.Protocol):
    """A connection that holds parts of messages."""

    held_bytes: int

    def abort_message(self, reason: str) -> None:
        """Give up what is being received.

        :param reason: which bound was reached.
        """


class MessageQuota:
    """Sums what all connections of an entry hold, and cuts the one that holds most when full.

    A peer that sends without end holds most before long, so that it goes and the others stay.
    """

    __slots__ = ("limit_bytes", "held_bytes", "_connections")

    def __init__(self, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        self.limit_bytes = 0
        self.held_bytes = 0
        self._connections: dict[int, BufferingConnection] = {}
        self.resize(memory_bytes)

    def resize(self, memory_bytes: int) -> None:
        """Set the limit from the memory that the entry's process may use.

        :param memory_bytes: the process's memory.
        """
        self.limit_bytes = int(HELD_RATIO * memory_bytes)

    @property
    def message_limit_bytes(self) -> int:
        """The most that one message may hold."""
        return int(ONE_MESSAGE_RATIO * self.limit_bytes)

    def set_held_bytes(self, connection: BufferingConnection, held_bytes: int) -> None:
        """Note how much a connection holds now, and cut the largest ones while it is too much.

        :param connection: the connection.
        :param held_bytes: all that it holds.
        """
        self.held_bytes += held_bytes - connection.held_bytes
        connection.held_bytes = held_bytes
        if held_bytes:
            self._connections[id(connection)] = connection
        else:
            self._connections.pop(id(connection), None)
        while self.held_bytes > self.limit_bytes:
            self._cut_largest()

    def _cut_largest(self) -> None:
        largest = max(self._connections.values(), key=lambda r: r.held_bytes)
        held_bytes = largest.held_bytes
        self.set_held_bytes(largest, 0)
        largest.abort_message(
            f"this entry holds more than {self.limit_bytes} bytes of messages,"
            f" and this connection the most of them, {held_bytes}"
        )

    def dump(self) -> dict[str, object]:
        """Return how much is held."""
        return {"held_bytes": self.held_bytes, "limit_bytes": self.limit_bytes}
