"""Closes a connection without losing what its client has not read yet."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios
import typing

from sassafraslock import clock
from sassafraslock.decisions import client_timeouts

LINGER_S = 1.0
_INT = struct.Struct("i")


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that were written and that the client's host has not acknowledged.

    :param transport: a TCP transport.
    """
    return transport.get_write_buffer_size() + _queue_bytes(transport, termios.TIOCOUTQ)


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that have arrived and that the event loop has not read yet.

    :param transport: a TCP transport.
    """
    return _queue_bytes(transport, termios.FIONREAD)


def _queue_bytes(transport: asyncio.Transport, request: int) -> int:
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is None:
        return 0
    try:
        packed = fcntl.ioctl(tcp_socket.fileno(), request, bytes(_INT.size))
    except (OSError, ValueError):  # the socket is closed
        return 0
    size_bytes: int = _INT.unpack(packed)[0]
    return size_bytes


def lost_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that an abort would lose.

    The system sends what it has taken, unless data is unread, which makes it reset the connection.

    :param transport: a TCP transport.
    """
    if unread_bytes(transport):
        return unsent_bytes(transport)
    return transport.get_write_buffer_size()


class GracefulClose:
    """Closes the sending side of a connection, and reads on until the client closes it too.

    Closing a socket that has unread data resets the connection, and the client could then lose the
    end of the last response. So the socket stays open until the client's host has acknowledged
    everything, and for :data:`LINGER_S` or more after that, unless the client reads nothing for as
    long as a connection may be idle.
    """

    __slots__ = ("_transport", "_abort", "_idle_timeout_ms", "_progress", "_was_unsent")

    def __init__(
        self,
        transport: asyncio.Transport,
        abort: typing.Callable[[], None],
        idle_timeout_ms: int,
    ) -> None:
        self._transport = transport
        self._abort = abort
        self._idle_timeout_ms = idle_timeout_ms
        self._progress = client_timeouts.ReadProgress(0, clock.monotonic_ms())
        self._was_unsent = False

    def start(self) -> None:
        """Close the sending side once what is buffered has been sent."""
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._check_later()

    def _check_later(self) -> None:
        asyncio.get_running_loop().call_later(LINGER_S, self._check)

    def _check(self) -> None:
        if self._transport.is_closing():
            return
        unsent = unsent_bytes(self._transport)
        if not unsent and not self._was_unsent:
            self._transport.close()
            return
        self._was_unsent = bool(unsent)
        now_ms = clock.monotonic_ms()
        self._progress.update(-unsent, now_ms)
        if unsent and self._progress.is_stalled(self._idle_timeout_ms, now_ms):
            self._abort()
            return
        self._check_later()
