"""Accepts the connections that arrive at a listening socket.

The server of asyncio goes on calling ``accept`` after an error, and logs each failed call.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import typing

from sassafraslock import clock, events

BACKLOG = 512
RETRY_S = 0.1  # pause after an error, such as no free file descriptor
LOG_INTERVAL_MS = 1_000


class Acceptor:
    """Creates a protocol for each connection, until closed.

    ``failures`` counts the errors of ``accept``, without clients that left before it.
    """

    __slots__ = (
        "failures",
        "_listener",
        "_create_protocol",
        "_opening",
        "_retry",
        "_logged_ms",
        "_is_closing",
    )

    def __init__(
        self, listener: socket.socket, create_protocol: typing.Callable[[], asyncio.Protocol]
    ) -> None:
        self.failures = 0
        self._listener = listener
        self._create_protocol = create_protocol
        self._opening: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._logged_ms: int | None = None
        self._is_closing = False

    def start(self) -> None:
        """Listen, and accept from now on."""
        self._listener.setblocking(False)
        self._listener.listen(BACKLOG)
        self._resume()

    @property
    def is_opening(self) -> bool:
        """Whether a connection is queued or not yet known to its protocol, once closed."""
        return bool(self._opening) or self._listener.fileno() >= 0

    def close(self) -> None:
        """Stop listening once all that is queued is accepted, since closing the socket resets it.

        That takes until connections have ended if no file descriptor is free.
        """
        self._is_closing = True
        if self._listener.fileno() >= 0 and self._retry is None:
            self._accept_queued()

    def abort(self) -> None:
        """Stop listening; connections that are queued are reset."""
        if self._retry is not None:
            self._retry.cancel()
        if self._listener.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()

    def _resume(self) -> None:
        self._retry = None
        if self._is_closing:
            self._accept_queued()
        else:
            asyncio.get_running_loop().add_reader(self._listener, self._accept_queued)

    def _accept_queued(self) -> None:
        for _ in range(BACKLOG):
            try:
                accepted, _address = self._listener.accept()
            except BlockingIOError:
                if self._is_closing:
                    self.abort()
                return
            except (ConnectionAbortedError, InterruptedError):
                continue
            except OSError as error:
                self._pause(error, clock.monotonic_ms())
                return
            task = asyncio.get_running_loop().create_task(self._open(accepted))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)
        if self._is_closing:
            self._retry = asyncio.get_running_loop().call_later(0, self._resume)

    async def _open(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._create_protocol, accepted)
        except OSError as error:
            self._record_failure(error, clock.monotonic_ms())
            accepted.close()

    def _pause(self, error: OSError, now_ms: int) -> None:
        """Stop accepting for :data:`RETRY_S`, since the socket stays readable after an error."""
        self._record_failure(error, now_ms)
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener)
        if self._retry is None:
            self._retry = loop.call_later(RETRY_S, self._resume)

    def _record_failure(self, error: OSError, now_ms: int) -> None:
        self.failures += 1
        if self._logged_ms is not None and now_ms - self._logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        events.log(
            events.Event.ACCEPT_FAILED,
            f"a connection could not be accepted: {error}",
            logging.WARNING,
            failures=self.failures,
        )
