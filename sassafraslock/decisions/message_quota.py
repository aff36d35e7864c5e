"""Bounds the memory for messages that an entry has received and not yet forwarded."""

from __future__ import annotations

import typing

DEFAULT_MEMORY_BYTES = 256 << 20
HELD_RATIO = 0.125  # bodies are copied once or twice, and the entry itself needs memory
ONE_MESSAGE_RATIO = 0.5
HEADER_OVERHEAD_BYTES = 128  # Python objects of one header, without its text
PARSE_CHUNK_BYTES = 16 << 10  # connections check the bounds after each chunk
FRAMING_RATIO = 8  # framing bytes per body byte; an HTTP chunk of one byte takes six in all


class BufferingConnection(typing.Protocol):
    """A connection that buffers messages or parts of them."""

    held_bytes: int

    @property
    def is_at_work(self) -> bool:
        """Whether an abort would lose the answer to a request that is in progress."""

    @property
    def is_refusable(self) -> bool:
        """Whether an abort would only refuse a request that is still being received."""

    def abort_message(self, reason: str) -> None:
        """Drop the message that is being received.

        :param reason: the bound that was exceeded, with its figures.
        """


class MessageQuota:
    """Limits the bytes buffered by all connections of an entry.

    If the sum exceeds the limit, the connection that holds the most is aborted. A peer that sends
    an endless message soon holds the most, so that the other connections are not affected. In place
    of one whose request is in progress, a request that is still being received is refused.
    """

    __slots__ = ("limit_bytes", "held_bytes", "_connections")

    def __init__(self, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        self.limit_bytes = 0
        self.held_bytes = 0
        self._connections: dict[int, BufferingConnection] = {}
        self.resize(memory_bytes)

    def resize(self, memory_bytes: int) -> None:
        """Set the limit to :data:`HELD_RATIO` of the memory that the process may use.

        :param memory_bytes: the memory limit of the entry's process.
        """
        self.limit_bytes = int(HELD_RATIO * memory_bytes)

    @property
    def message_limit_bytes(self) -> int:
        """The limit for one message, :data:`ONE_MESSAGE_RATIO` of the limit for all."""
        return int(ONE_MESSAGE_RATIO * self.limit_bytes)

    def set_held_bytes(self, connection: BufferingConnection, held_bytes: int) -> None:
        """Update a connection's buffered bytes, and abort the largest ones while over the limit.

        :param connection: the connection.
        :param held_bytes: all bytes that it buffers now, not the difference; 0 removes it.
        """
        self.held_bytes += held_bytes - connection.held_bytes
        connection.held_bytes = held_bytes
        if held_bytes:
            self._connections[id(connection)] = connection
        else:
            self._connections.pop(id(connection), None)
        while self.held_bytes > self.limit_bytes:
            self._abort_largest()

    def _abort_largest(self) -> None:
        connections = self._connections.values()
        largest = max(connections, key=_held_bytes)
        if largest.is_at_work:
            refusable = (c for c in connections if c.is_refusable)
            largest = max(refusable, key=_held_bytes, default=largest)
        held_bytes = largest.held_bytes
        self.set_held_bytes(largest, 0)
        largest.abort_message(
            f"this entry holds more than {self.limit_bytes} bytes of messages,"
            f" and this connection holds the most of them, {held_bytes} bytes;"
            " if this is regular traffic, raise the entry's memory limit"
        )

    def dump(self) -> dict[str, object]:
        """Return the buffered bytes and the limit."""
        return {"held_bytes": self.held_bytes, "limit_bytes": self.limit_bytes}


def _held_bytes(connection: BufferingConnection) -> int:
    return connection.held_bytes
