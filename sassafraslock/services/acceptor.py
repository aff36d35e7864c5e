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

    __slots__ = ("failures", "_listener", "_create_protocol", "_opening", "_retry", "_logged_ms")

    def __init__(
        self, listener: socket.socket, create_protocol: typing.Callable[[], asyncio.Protocol]
    ) -> None:
        self.failures = 0
        self._listener = listener
        self._create_protocol = create_protocol
        self._opening: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._logged_ms: int | None = None

    def start(self) -> None:
        """Listen, and accept from now on."""
        self._listener.setblocking(False)
        self._listener.listen(BACKLOG)
        self._resume()

    @property
    def is_opening(self) -> bool:
        """Whether an accepted connection is not yet known to its protocol."""
        return bool(self._opening)

    def close(self) -> None:
        """Accept what is queued, since closing the socket resets it, and stop listening."""
        if self._listener.fileno() < 0:
            return
        self._accept_queued()
        self.abort()

    def abort(self) -> None:
        """Stop listening; connections that are queued are reset."""
        if self._retry is not None:
            self._retry.cancel()
        if self._listener.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()

    def _resume(self) -> None:
        self._retry = None
        asyncio.get_running_loop().add_reader(self._listener, self._accept_queued)

    def _accept_queued(self) -> None:
        for _ in range(BACKLOG):
            try:
                accepted, _address = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._pause(error, clock.monotonic_ms())
                return
            task = asyncio.get_running_loop().create_task(self._open(accepted))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

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
