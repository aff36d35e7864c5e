"""One client connection: parses requests, runs pipelined ones side by side, keeps their order.

uvicorn runs a connection's requests one after the other, which makes the later ones of a
pipeline late; httptools, the parser that uvicorn uses, does the parsing here as well.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import typing

import httptools

from sassafraslock import clock, events, http_messages, routing_table
from sassafraslock.decisions import message_quota

MAX_PIPELINED = 32
MAX_HEADERS = 256
LINGER_S = 1.0
IDLE_MARGIN_MS = 1_000
JOINED_BODY_BYTES = 64 << 10  # larger bodies are written apart from their head, not copied
REQUEST_OVERHEAD_BYTES = 2 << 10  # headers, task and bookkeeping of one request
UNAVAILABLE = 503


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request of a connection and its answer, once there is one."""

    request: http_messages.Request
    task: asyncio.Task[None] | None = None
    response: http_messages.Response | None = None

    @property
    def held_bytes(self) -> int:
        """What the request and its answer take."""
        answer_bytes = len(self.response.body) if self.response is not None else 0
        return len(self.request.body) + answer_bytes + REQUEST_OVERHEAD_BYTES


class Server(typing.Protocol):
    """Runs the requests of its connections; ``closing`` ends each after its next answer."""

    limits: routing_table.Limits
    quota: message_quota.MessageQuota
    connections: set[Connection]
    closing: bool

    def start(self, exchange: Exchange, connection: Connection) -> None:
        """Run the handler for one request.

        :param exchange: the request.
        :param connection: the connection that sent it.
        """

    def may_run_concurrently(self, request: http_messages.Request) -> bool:
        """Tell whether a request may run before earlier ones of its connection are answered.

        :param request: the request.
        """


class Connection(asyncio.Protocol):
    """One client connection: parses requests, keeps answers in the order of the requests."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchanges: collections.deque[Exchange] = collections.deque()
        self._client = ""
        self.held_bytes = 0
        self._unparsed = bytearray()
        self._blocked_since_ms: int | None = None
        self._since_ms = clock.monotonic_ms()
        self._head_since_ms: int | None = None
        self._finished = False
        self._refused = False
        self._new_message()

    def _new_message(self) -> None:
        self._target = b""
        self._headers: http_messages.Headers = []
        self._header_bytes = 0
        self._received_bytes = 0
        self._head_done = False
        self._body = bytearray()
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
        self._transport = None
        self._drop_all()

    def _drop_all(self) -> None:
        """Cancel what runs and forget what was received."""
        self._finished = True
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        self._unparsed.clear()
        self._new_message()
        self._note_held()

    def data_received(self, data: bytes) -> None:
        """Parse what a client sent.

        :param data: the bytes.
        """
        if self._finished or self._refused:
            return
        if (
            not self._unparsed
            and len(data) <= message_quota.PARSE_CHUNK_BYTES
            and self._may_parse()
        ):
            self._feed(data)
        else:
            self._unparsed += data
        self._parse()

    def _parse(self) -> None:
        """Parse piece by piece, as long as not too many requests wait for their answers."""
        while self._unparsed and self._may_parse():
            piece = bytes(self._unparsed[: message_quota.PARSE_CHUNK_BYTES])
            del self._unparsed[: message_quota.PARSE_CHUNK_BYTES]
            self._feed(piece)
        self._note_held()
        if self._transport is None or self._transport.is_closing():
            return
        if self._may_parse():
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _may_parse(self) -> bool:
        if self._finished or self._refused:
            self._unparsed.clear()
            return True
        return len(self._exchanges) < MAX_PIPELINED and self._blocked_since_ms is None

    def _feed(self, data: bytes) -> None:
        if self._head_since_ms is None:
            self._head_since_ms = clock.monotonic_ms()
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(400)
            return
        self._check_bounds()

    def _check_bounds(self) -> None:
        """Refuse a message that goes on without end, in whichever of its parts."""
        max_header_bytes = self._server.limits.max_header_bytes
        framing_bytes = self._received_bytes - len(self._body)
        if (
            not self._head_done
            and framing_bytes > max_header_bytes + message_quota.PARSE_CHUNK_BYTES
        ):
            self._refuse(431)
        elif (
            framing_bytes
            > 2 * max_header_bytes
            + message_quota.PARSE_CHUNK_BYTES
            + message_quota.FRAMING_RATIO * len(self._body)
        ):
            self._refuse(413)

    def _note_held(self) -> None:
        """Tell the quota what this connection holds now."""
        held_bytes = self._header_bytes + len(self._body) + len(self._unparsed)
        held_bytes += sum(exchange.held_bytes for exchange in self._exchanges)
        if not self._head_done:
            held_bytes += min(self._received_bytes, self._server.limits.max_header_bytes)
        if self._transport is not None:
            held_bytes += self._transport.get_write_buffer_size()
        self._server.quota.set_held_bytes(self, held_bytes)

    def abort_message(self, reason: str) -> None:
        """Refuse the request that is being received, or leave a client that reads no answers.

        :param reason: why.
        """
        events.log(events.Event.CLIENT_CUT, reason, client=self._client)
        if self._exchanges or self._blocked_since_ms is not None or self._refused:
            self.abort()
            return
        self._refuse(UNAVAILABLE)

    def pause_writing(self) -> None:
        """Read no more from a client that does not read its answers."""
        self._blocked_since_ms = clock.monotonic_ms()

    def resume_writing(self) -> None:
        """Go on with a client that reads its answers again."""
        self._blocked_since_ms = None
        self._since_ms = clock.monotonic_ms()
        self._parse()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    # callbacks of httptools

    def on_url(self, url: bytes) -> None:
        """Take in a part of the target.

        :param url: the part.
        """
        self._count_head(len(url))
        if not self._refused:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header; those behind the body are left out.

        :param name: its name.
        :param value: its value.
        """
        if self._head_done:
            return
        self._count_head(len(name) + len(value) + 4)
        if len(self._headers) == MAX_HEADERS:
            self._refuse(431)
        if not self._refused:
            self._headers.append((name.lower(), value))

    def _count_head(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        if self._header_bytes > self._server.limits.max_header_bytes:
            self._refuse(431)

    def on_headers_complete(self) -> None:
        """Ask for the body where the client waits to be asked."""
        self._head_done = True
        waits = any(n == b"expect" and v.lower() == b"100-continue" for n, v in self._headers)
        if waits and not self._finished and not self._exchanges and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body.

        :param body: the part.
        """
        limit_bytes = self._server.limits.max_body_bytes
        if len(self._body) + len(body) > min(limit_bytes, self._server.quota.message_limit_bytes):
            self._refuse(413)
        if not self._refused:
            self._body += body

    def on_message_complete(self) -> None:
        """Queue a whole request and start it where its order allows."""
        if self._finished or self._refused:
            return
        now_ms = clock.monotonic_ms()
        request = http_messages.Request(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            bytes(self._body),
            self._client,
            now_ms if self._head_since_ms is None else self._head_since_ms,
        )
        if not self._parser.should_keep_alive():
            request.headers.append((b"connection", b"close"))
        self._new_message()
        self._exchanges.append(Exchange(request))
        if len(self._exchanges) <= MAX_PIPELINED:
            self._start_next()

    # answers

    def _start_next(self) -> None:
        for place, exchange in enumerate(itertools.islice(self._exchanges, MAX_PIPELINED)):
            if place and not self._server.may_run_concurrently(exchange.request):
                return
            if exchange.task is None and exchange.response is None:
                self._server.start(exchange, self)
            if not self._server.may_run_concurrently(exchange.request):
                return

    def answered(self) -> None:
        """Send what is next in order, and read on if that was what kept from it."""
        self._flush()
        self._parse()

    def _flush(self) -> None:
        while self._exchanges and self._exchanges[0].response is not None and not self._finished:
            exchange = self._exchanges.popleft()
            self._send(exchange)
        if not self._finished:
            self._start_next()

    def _send(self, exchange: Exchange) -> None:
        response = exchange.response
        assert response is not None and self._transport is not None
        last = not self._exchanges
        asked = any(n == b"connection" and v == b"close" for n, v in exchange.request.headers)
        close = response.close or (last and (asked or self._server.closing))
        head_only = exchange.request.method == "HEAD"
        apart = not head_only and len(response.body) >= JOINED_BODY_BYTES
        self._transport.write(http_messages.encode_response(response, head_only or apart, close))
        if apart:
            self._transport.write(response.body)
        self._since_ms = clock.monotonic_ms()
        if close:
            self._finish()

    def _refuse(self, status: int) -> None:
        """Answer a message that cannot be read, after all answers before it."""
        if self._finished or self._refused:
            return
        self._refused = True
        request = http_messages.Request("GET", "/", [], b"", self._client, 0)
        self._exchanges.append(Exchange(request, None, http_messages.Response(status, close=True)))
        self._flush()

    def _finish(self) -> None:
        """End the sending side, and read on for a moment so that the answer is not reset away."""
        self._drop_all()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, transport.close)

    @property
    def is_busy(self) -> bool:
        """Whether a request of this connection is being answered."""
        return bool(self._exchanges)

    def sweep(self, now_ms: int) -> None:
        """Close the connection if the client is too slow or idle for too long.

        :param now_ms: the present time.
        """
        if self._transport is None:
            return
        limits = self._server.limits
        blocked_since_ms = self._blocked_since_ms
        if blocked_since_ms is not None and now_ms - blocked_since_ms > limits.idle_timeout_ms:
            self.abort()
        if self._finished or self._exchanges:
            return
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
