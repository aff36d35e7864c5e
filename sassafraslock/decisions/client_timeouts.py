"""Decides when a client has taken too long to send a request, or to read its responses."""

from __future__ import annotations

import dataclasses
import enum

from sassafraslock import routing_table

MARGIN_MS = 1_000  # added to the time limits of clients


class Expiry(enum.Enum):
    """Which time limit a client has exceeded."""

    IDLE = "no request"
    LATE = "incomplete request"


class ReadProgress:
    """When a client last read some of what was sent to it.

    ``delivered_bytes`` is the sum that it has read so far, from any starting point.
    """

    __slots__ = ("_delivered_bytes", "_since_ms")

    def __init__(self, delivered_bytes: int, now_ms: int) -> None:
        self._delivered_bytes = delivered_bytes
        self._since_ms = now_ms

    def update(self, delivered_bytes: int, now_ms: int) -> None:
        """Compare what has been delivered so far with the last call.

        :param delivered_bytes: the sum now.
        :param now_ms: the current monotonic time.
        """
        if delivered_bytes != self._delivered_bytes:
            self._delivered_bytes = delivered_bytes
            self._since_ms = now_ms

    def is_stalled(self, limit_ms: int, now_ms: int) -> bool:
        """Return whether the client has read nothing for longer than a limit.

        :param limit_ms: the limit.
        :param now_ms: the current monotonic time.
        """
        return now_ms - self._since_ms > limit_ms


@dataclasses.dataclass(slots=True)
class ConnectionTimes:
    """The monotonic times of what last happened on a connection.

    ``idle_since_ms`` is when it was opened or its last response was sent, ``first_byte_ms`` when
    the request that is being received began, and ``received_ms`` when bytes last arrived.
    """

    idle_since_ms: int
    received_ms: int
    first_byte_ms: int | None = None

    def expiry(self, limits: routing_table.Limits, has_body: bool, now_ms: int) -> Expiry | None:
        """Return the limit that a client without unanswered requests has exceeded, if any.

        The head of a request is limited as a whole, its body by the time without progress.

        :param limits: the limits in force.
        :param has_body: whether a part of the request's body has arrived.
        :param now_ms: the current monotonic time.
        """
        if self.first_byte_ms is None:
            is_idle = now_ms - self.idle_since_ms > limits.idle_timeout_ms + MARGIN_MS
            return Expiry.IDLE if is_idle else None
        if has_body:
            is_late = now_ms - self.received_ms > limits.idle_timeout_ms + MARGIN_MS
        else:
            is_late = now_ms - self.first_byte_ms > limits.header_timeout_ms + MARGIN_MS
        return Expiry.LATE if is_late else None
