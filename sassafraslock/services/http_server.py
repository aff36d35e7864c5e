"""HTTP/1.1 server that runs pipelined idempotent requests side by side.

uvicorn runs a connection's requests one after the other, which makes the later ones of a
pipeline late; httptools, the parser that uvicorn uses, does the parsing here as well.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging

import anyio
import httptools

from sassafraslock import clock, http_messages, listening, routing_table

BACKLOG = 512
MAX_PIPELINED = 32
LINGER_S = 1.0
SWEEP_S = 1.0
IDLE_MARGIN_MS = 1_000
_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Exchange:
    """One request of a connection and its answer, once there is one."""

    request: http_messages.Request
    task: asyncio.Task[None] | None = None
    response: http_messages.Response | None = None


class HttpServer:
    """Serves one handler on one address, as a kernel service."""

    __slots__ = (
        "limits",
        "closing",
        "connections",
        "_handler",
        "_ordering",
        "_host",
        "_port",
        "_tasks",
    )

    def __init__(
        self,
        handler: http_messages.Handler,
        host: str,
        port: int,
        ordering: http_messages.Ordering | None = None,
    ) -> None:
        self.limits = routing_table.Limits()
        self.closing = False
        self.connections: set[Connection] = set()
        self._handler = handler
        self._ordering = ordering or _never
        self._host = host
        self._port = port
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, ready: anyio.Event) -> None:
        """Serve until cancelled.

        :param ready: set once the address accepts connections.
        """
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: Connection(self), sock=listening.listen(self._host, self._port), backlog=BACKLOG
        )
        ready.set()
        try:
            while True:
                await anyio.sleep(SWEEP_S)
                now_ms = clock.monotonic_ms()
                for connection in list(self.connections):
                    connection.sweep(now_ms)
        finally:
            server.close()
            for connection in list(self.connections):
                connection.abort()

    @property
    def busy(self) -> bool:
        """Whether a request is being answered."""
        return any(connection.busy for connection in self.connections)

    def begin_closing(self) -> None:
        """Close each connection after its next answer, and tell clients so."""
        self.closing = True

    def start(self, exchange: _Exchange, connection: Connection) -> None:
        """Run the handler for one request.

        :param exchange: the request.
        :param connection: the connection that sent it.
        """
        task = asyncio.get_running_loop().create_task(self._answer(exchange, connection))
        exchange.task = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def may_overlap(self, request: http_messages.Request) -> bool:
        """Tell whether a request may run before earlier ones of its connection are answered.

        :param request: the request.
        """
        return self._ordering(request)

    async def _answer(self, exchange: _Exchange, connection: Connection) -> None:
        try:
            exchange.response = await self._handler(exchange.request)
        except Exception:
            _LOGGER.exception("a request's handler failed")
            exchange.response = http_messages.Response(500, close=True)
        connection.flush()


class Connection(asyncio.Protocol):
    """One client connection: parses requests, keeps answers in the order of the requests."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchanges: collections.deque[_Exchange] = collections.deque()
        self._client = ""
        self._since_ms = clock.monotonic_ms()
        self._head_since_ms: int | None = None
        self._finished = False
        self._refused = False
        self._new_message()

    def _new_message(self) -> None:
        self._target = b""
        self._headers: http_messages.Headers = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_since_ms = None

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start with a new connection.

        :param transport: the connection's transport.
        """
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self._client = peer[0] if peer else ""
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what runs for a client that has left.

        :param exc: why the connection ended, none after a regular end.
        """
        self._server.connections.discard(self)
        self._finished = True
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()

    def data_received(self, data: bytes) -> None:
        """Parse what a client sent.

        :param data: the bytes.
        """
        if self._finished or self._refused:
            return
        if self._head_since_ms is None:
            self._head_since_ms = clock.monotonic_ms()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(400)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    # callbacks of httptools

    def on_url(self, url: bytes) -> None:
        """Take in a part of the target.

        :param url: the part.
        """
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header.

        :param name: its name.
        :param value: its value.
        """
        self._headers.append((name.lower(), value))
        self._count_head(len(name) + len(value) + 4)

    def _count_head(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        if self._header_bytes > self._server.limits.max_header_bytes:
            self._refuse(431)

    def on_headers_complete(self) -> None:
        """Ask for the body where the client waits to be asked."""
        waits = any(n == b"expect" and v.lower() == b"100-continue" for n, v in self._headers)
        if waits and not self._finished and not self._exchanges and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body.

        :param body: the part.
        """
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._refuse(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue a whole request and start it where its order allows."""
        if self._finished or self._refused:
            return
        now_ms = clock.monotonic_ms()
        request = http_messages.Request(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body),
            self._client,
            now_ms if self._head_since_ms is None else self._head_since_ms,
        )
        if not self._parser.should_keep_alive():
            request.headers.append((b"connection", b"close"))
        self._new_message()
        self._exchanges.append(_Exchange(request))
        self._start_next()
        if len(self._exchanges) >= MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    # answers

    def _start_next(self) -> None:
        for place, exchange in enumerate(self._exchanges):
            if place and not self._server.may_overlap(exchange.request):
                return
            if exchange.task is None and exchange.response is None:
                self._server.start(exchange, self)
            if not self._server.may_overlap(exchange.request):
                return

    def flush(self) -> None:
        """Send the answers that are next in order."""
        while self._exchanges and self._exchanges[0].response is not None and not self._finished:
            exchange = self._exchanges.popleft()
            self._send(exchange)
        if not self._finished:
            self._start_next()
            if self._transport is not None and len(self._exchanges) < MAX_PIPELINED:
                self._transport.resume_reading()

    def _send(self, exchange: _Exchange) -> None:
        response = exchange.response
        assert response is not None and self._transport is not None
        last = not self._exchanges
        asked = any(n == b"connection" and v == b"close" for n, v in exchange.request.headers)
        close = response.close or (last and (asked or self._server.closing))
        head_only = exchange.request.method == "HEAD"
        self._transport.write(http_messages.encode_response(response, head_only, close))
        self._since_ms = clock.monotonic_ms()
        if close:
            self._finish()

    def _refuse(self, status: int) -> None:
        """Answer a message that cannot be read, after all answers before it."""
        if self._finished or self._refused:
            return
        self._refused = True
        request = http_messages.Request("GET", "/", [], b"", self._client, 0)
        self._exchanges.append(_Exchange(request, None, http_messages.Response(status, close=True)))
        self.flush()

    def _finish(self) -> None:
        """End the sending side, and read on for a moment so that the answer is not reset away."""
        self._finished = True
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, transport.close)

    @property
    def busy(self) -> bool:
        """Whether a request of this connection is being answered."""
        return bool(self._exchanges)

    def sweep(self, now_ms: int) -> None:
        """Close the connection if the client is too slow or idle for too long.

        :param now_ms: the present time.
        """
        if self._finished or self._exchanges or self._transport is None:
            return
        limits = self._server.limits
        if self._head_since_ms is not None and not self._body:
            if now_ms - self._head_since_ms > limits.header_timeout_ms + IDLE_MARGIN_MS:
                self._refuse(408)
            return
        if now_ms - self._since_ms > limits.idle_timeout_ms + IDLE_MARGIN_MS:
            self._transport.close()

    def abort(self) -> None:
        """Drop the connection at once."""
        if self._transport is not None:
            self._transport.abort()


def _never(request: http_messages.Request) -> bool:
    return False
