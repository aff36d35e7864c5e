"""Connections to backend servers: one request at a time on each, answers checked by id.

httpcore ends an exchange at the first answer it reads. A server may send an answer once more,
late, where the next one is due, so the exchange here reads on until the answer with the
request's own id. The parsing is httptools'.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import socket

import anyio
import httptools

from sassafraslock import clock, http_messages

CONNECT_TIMEOUT_MS = 600
UNACKNOWLEDGED_MS = 2_000
MAX_IDLE_MS = 8_000
MIN_IDLE_MS = 300
IDLE_MARGIN_MS = 1_000
MAX_BODY_BYTES = 64 << 20
SWEEP_S = 1.0
IDLE_GROWTH_RATIO = 1.05


class End(enum.Enum):
    """How an exchange with a server ended."""

    ANSWERED = "answered"
    NOT_CONNECTED = "not connected"
    BROKEN = "broken"
    GARBLED = "garbled"


@dataclasses.dataclass(slots=True)
class Exchange:
    """What came of sending a request to a server.

    Only :attr:`End.NOT_CONNECTED` says that nothing was sent.
    """

    end: End
    response: http_messages.Response | None = None
    reason: str = ""
    connect_ms: int = -1


class Connection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self, id_header: bytes) -> None:
        self.idle_since_ms = 0
        self.max_idle_ms = MAX_IDLE_MS
        self.dead = False
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._future: asyncio.Future[Exchange] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._request_id = b""
        self._reusable = True
        self._new_message()

    def _new_message(self) -> None:
        self._headers: http_messages.Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_done = False

    def send(self, data: bytes, request_id: bytes, head_only: bool) -> asyncio.Future[Exchange]:
        """Send a request and return its outcome.

        :param data: the request's bytes.
        :param request_id: the id that its answer must bear.
        :param head_only: whether the answer has no body.
        """
        assert self._transport is not None
        self._request_id = request_id
        self._reusable = not head_only
        self._future = asyncio.get_running_loop().create_future()
        if self.dead:
            self._settle(Exchange(End.NOT_CONNECTED, reason="the new connection was closed"))
            return self._future
        self._transport.write(data)
        return self._future

    def close(self) -> None:
        """Drop the connection at once."""
        self.dead = True
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start with a new connection.

        :param transport: the connection's transport.
        """
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what the server sent; bytes that nobody waits for end the connection.

        :param data: the bytes.
        """
        if self._future is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._reusable = False
            self._settle(Exchange(End.GARBLED, reason=f"the answer cannot be parsed: {error!r}"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Settle what waits; an answer without a length ends with a regular close.

        :param exc: why the connection ended, none after a regular end.
        """
        self.dead = True
        if self._future is None or self._future.done():
            return
        if exc is None and self._head_done and not self._is_framed():
            self.on_message_complete()
        if not self._future.done():
            cause = "closed" if exc is None else f"lost ({exc})"
            self._settle(Exchange(End.BROKEN, reason=f"connection {cause} before the answer"))

    # callbacks of httptools

    def on_message_begin(self) -> None:
        """Notice an answer that comes after the awaited one."""
        if self._future is None or self._future.done():
            self._reusable = False
        self._new_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header.

        :param name: its name.
        :param value: its value.
        """
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note that the head is whole."""
        self._head_done = True

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body.

        :param body: the part.
        """
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            reason = f"the answer is larger than {MAX_BODY_BYTES} bytes"
            self._reusable = False
            self._settle(Exchange(End.GARBLED, reason=reason))
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Settle the exchange if the answer is the awaited one."""
        if self._future is None or self._future.done():
            return
        status = self._parser.get_status_code()
        response = http_messages.Response(status, self._headers, b"".join(self._body))
        if status < 200:
            return
        if self._id_header and response.header(self._id_header) != self._request_id:
            return
        # Once the message is over, the parser no longer knows whether the connection is kept.
        if not self._parser.should_keep_alive() or not self._is_framed():
            self._reusable = False
        self._note_keep_alive(response.header(b"keep-alive"))
        self._settle(Exchange(End.ANSWERED, response))

    def _note_keep_alive(self, value: bytes) -> None:
        _, found, seconds = value.partition(b"timeout=")
        digits = seconds.split(b",")[0].strip()
        if found and digits.isdigit():
            self.max_idle_ms = min(MAX_IDLE_MS, int(digits) * 1_000 - IDLE_MARGIN_MS)

    def _is_framed(self) -> bool:
        return any(n in (b"content-length", b"transfer-encoding") for n, _ in self._headers)

    def _settle(self, exchange: Exchange) -> None:
        if self._future is not None and not self._future.done():
            self._future.set_result(exchange)

    def release(self, now_ms: int) -> bool:
        """End the exchange and tell whether the connection can serve another.

        :param now_ms: the present time.
        """
        self._future = None
        transport = self._transport
        if self.dead or not self._reusable or transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > 0:
            return False
        self.idle_since_ms = now_ms
        return True


class Upstream:
    """Owns the connections to all servers, a bounded number to each."""

    __slots__ = ("_id_header", "_idle", "_open", "_idle_limit_ms")

    def __init__(self, id_header: bytes) -> None:
        self._id_header = id_header
        self._idle_limit_ms = float(MAX_IDLE_MS)
        self._idle: dict[str, list[Connection]] = {}
        self._open: dict[str, int] = {}

    async def run(self, ready: anyio.Event) -> None:
        """Close connections that stay idle, until cancelled.

        :param ready: set at once.
        """
        ready.set()
        try:
            while True:
                await anyio.sleep(SWEEP_S)
                self.sweep(clock.monotonic_ms())
        finally:
            for connections in self._idle.values():
                for connection in connections:
                    connection.close()

    def sweep(self, now_ms: int) -> None:
        """Close connections that were idle for too long.

        :param now_ms: the present time.
        """
        self._idle_limit_ms = min(MAX_IDLE_MS, self._idle_limit_ms * IDLE_GROWTH_RATIO)
        for address, connections in list(self._idle.items()):
            kept = [c for c in connections if _is_fresh(c, c.max_idle_ms, now_ms)]
            for connection in connections:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def open_connections(self, address: str) -> int:
        """Return the number of connections in use at a server.

        :param address: the server's address.
        """
        return self._open.get(address, 0)

    async def exchange(
        self, address: str, data: bytes, request_id: bytes, head_only: bool
    ) -> Exchange:
        """Send a request to a server and wait for its answer; cancellation closes the connection.

        :param address: the server's IP number and port.
        :param data: the request's bytes.
        :param request_id: the id that its answer must bear.
        :param head_only: whether the answer has no body.
        """
        self._open[address] = self._open.get(address, 0) + 1
        connection: Connection | None = None
        try:
            connection = self._take_idle(address)
            connect_ms = -1
            idle_ms = 0
            if connection is None:
                started_ms = clock.monotonic_ms()
                connection = await self._connect(address)
                connect_ms = clock.monotonic_ms() - started_ms
            else:
                idle_ms = clock.monotonic_ms() - connection.idle_since_ms
            outcome = await connection.send(data, request_id, head_only)
            outcome.connect_ms = connect_ms
            if outcome.end is End.BROKEN and idle_ms > MIN_IDLE_MS:
                # Servers or their network may forget idle connections sooner than they say.
                self._idle_limit_ms = max(MIN_IDLE_MS, min(self._idle_limit_ms, idle_ms) / 2)
            if connection.release(clock.monotonic_ms()):
                self._idle.setdefault(address, []).append(connection)
                connection = None
            return outcome
        except (OSError, TimeoutError) as error:
            return Exchange(End.NOT_CONNECTED, reason=f"{type(error).__name__}: {error}")
        finally:
            if connection is not None:
                connection.close()
            self._open[address] -= 1
            if not self._open[address]:
                del self._open[address]

    async def reachable(self, address: str) -> bool:
        """Tell whether a server accepts connections.

        :param address: the server's IP number and port.
        """
        try:
            connection = await self._connect(address)
        except (OSError, TimeoutError):
            return False
        connection.idle_since_ms = clock.monotonic_ms()
        self._idle.setdefault(address, []).append(connection)
        return True

    def _take_idle(self, address: str) -> Connection | None:
        now_ms = clock.monotonic_ms()
        connections = self._idle.get(address)
        while connections:
            connection = connections.pop()
            limit_ms = int(min(connection.max_idle_ms, self._idle_limit_ms))
            if _is_fresh(connection, limit_ms, now_ms):
                return connection
            connection.close()
        return None

    async def _connect(self, address: str) -> Connection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        with anyio.fail_after(CONNECT_TIMEOUT_MS / 1000):
            transport, connection = await loop.create_connection(
                lambda: Connection(self._id_header), host, int(port)
            )
        opened = transport.get_extra_info("socket")
        if opened is not None:
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
        return connection


def _is_fresh(connection: Connection, limit_ms: int, now_ms: int) -> bool:
    return not connection.dead and now_ms - connection.idle_since_ms < limit_ms
