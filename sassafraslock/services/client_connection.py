"""A client connection: runs pipelined requests concurrently and sends responses in order.

uvicorn runs the requests of a connection one after the other, which delays the later ones of a
pipeline, so it is not used here. httptools, which uvicorn uses too, does the parsing.
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
IDLE_MARGIN_MS = 1_000  # added to the time limits of clients
SEPARATE_WRITE_BYTES = 64 << 10  # bodies from this size on are written without a copy
REQUEST_OVERHEAD_BYTES = 2 << 10  # memory of the headers, the task and the objects of a request
UNAVAILABLE = 503


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request and, once it has been processed, its response."""

    request: http_messages.Request
    task: asyncio.Task[None] | None = None
    response: http_messages.Response | None = None

    @property
    def held_bytes(self) -> int:
        """The memory that the request and its response take."""
        response_bytes = len(self.response.body) if self.response is not None else 0
        return len(self.request.body) + response_bytes + REQUEST_OVERHEAD_BYTES


class Server(typing.Protocol):
    """Runs the requests of its connections.

    While ``closing`` is set, each connection closes after its next response.
    """

    limits: routing_table.Limits
    quota: message_quota.MessageQuota
    connections: set[Connection]
    closing: bool

    def start(self, exchange: Exchange, connection: Connection) -> None:
        """Run the handler for one request.

        :param exchange: receives the task now and the response later.
        :param connection: is notified when the response is available.
        """

    def may_run_concurrently(self, request: http_messages.Request) -> bool:
        """Return whether a request may run while earlier ones of its connection are in progress.

        :param request: the request.
        """


class Connection(asyncio.Protocol):
    """A client connection, which sends responses in the order of the requests.

    ``held_bytes`` is the memory that the connection last reported to the quota.
    """

    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchanges: collections.deque[Exchange] = collections.deque()
        self._client = ""
        self.held_bytes = 0
        self._unparsed = bytearray()
        self._blocked_since_ms: int | None = None
        self._idle_since_ms = clock.monotonic_ms()
        self._first_byte_ms: int | None = None
        self._finished = False
        self._rejected = False
        self._new_message()

    def _new_message(self) -> None:
        self._target = b""
        self._headers: http_messages.Headers = []
        self._header_bytes = 0
        self._received_bytes = 0
        self._head_done = False
        self._body = bytearray()
        self._first_byte_ms = None

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and the client's address, and join the server's connections.

        :param transport: the TCP transport.
        """
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self._client = peer[0] if peer else ""
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a client that has disconnected.

        :param exc: the error that ended the connection, ``None`` if it was closed normally.
        """
        self._server.connections.discard(self)
        self._transport = None
        self._cancel_all()

    def _cancel_all(self) -> None:
        """Cancel the running requests and discard unparsed data."""
        self._finished = True
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        self._unparsed.clear()
        self._new_message()
        self._report_held_bytes()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or keep them while too many requests await their responses.

        :param data: the received bytes.
        """
        if self._finished or self._rejected:
            return
        is_small = len(data) <= message_quota.PARSE_CHUNK_BYTES
        if not self._unparsed and is_small and self._may_parse():
            self._feed(data)
        else:
            self._unparsed += data
        self._parse()

    def _parse(self) -> None:
        """Parse chunk by chunk while the pipeline has room, and pause reading when it has none."""
        while self._unparsed and self._may_parse():
            data = bytes(self._unparsed[: message_quota.PARSE_CHUNK_BYTES])
            del self._unparsed[: message_quota.PARSE_CHUNK_BYTES]
            self._feed(data)
        self._report_held_bytes()
        if self._transport is None or self._transport.is_closing():
            return
        if self._may_parse():
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _may_parse(self) -> bool:
        """Return whether to read on; data that will not be parsed any more is discarded."""
        if self._finished or self._rejected:
            self._unparsed.clear()
            return True
        return len(self._exchanges) < MAX_PIPELINED and self._blocked_since_ms is None

    def _feed(self, data: bytes) -> None:
        if self._first_byte_ms is None:
            self._first_byte_ms = clock.monotonic_ms()
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(400)
            return
        self._check_bounds()

    def _check_bounds(self) -> None:
        """Reject a message whose head or framing grows without limit.

        Chunk headers and trailers count as framing, which is limited in proportion to the body.
        """
        max_header_bytes = self._server.limits.max_header_bytes
        framing_bytes = self._received_bytes - len(self._body)
        chunk_bytes = message_quota.PARSE_CHUNK_BYTES
        body_framing_bytes = message_quota.FRAMING_RATIO * len(self._body)
        if not self._head_done and framing_bytes > max_header_bytes + chunk_bytes:
            self._reject(431)
        elif framing_bytes > 2 * max_header_bytes + chunk_bytes + body_framing_bytes:
            self._reject(413)

    def _report_held_bytes(self) -> None:
        """Report the memory that this connection holds to the quota."""
        held_bytes = self._header_bytes + len(self._body) + len(self._unparsed)
        held_bytes += sum(exchange.held_bytes for exchange in self._exchanges)
        if not self._head_done:
            held_bytes += min(self._received_bytes, self._server.limits.max_header_bytes)
        if self._transport is not None:
            held_bytes += self._transport.get_write_buffer_size()
        self._server.quota.set_held_bytes(self, held_bytes)

    def abort_message(self, reason: str) -> None:
        """Reject the request that is being received, to free its memory.

        The connection is aborted instead if the rejection could not be sent soon: if earlier
        requests await their responses, or the client does not read its responses.

        :param reason: which limit was exceeded, for the log.
        """
        events.log(events.Event.CLIENT_CUT, reason, client=self._client)
        if self._exchanges or self._blocked_since_ms is not None or self._rejected:
            self.abort()
            return
        self._reject(UNAVAILABLE)

    def pause_writing(self) -> None:
        """Stop reading requests while the client does not read its responses."""
        self._blocked_since_ms = clock.monotonic_ms()

    def resume_writing(self) -> None:
        """Read requests again, since the client has read enough of its responses."""
        self._blocked_since_ms = None
        self._idle_since_ms = clock.monotonic_ms()
        self._parse()

    def eof_received(self) -> bool:
        """Close the connection if the client closes its sending side; half-close is unsupported."""
        return False

    # callbacks of httptools

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target.

        :param url: the part.
        """
        self._count_head(len(url))
        if not self._rejected:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers after the body are ignored.

        :param name: the name as received.
        :param value: the value.
        """
        if self._head_done:
            return
        self._count_head(len(name) + len(value) + 4)
        if len(self._headers) == MAX_HEADERS:
            self._reject(431)
        if not self._rejected:
            self._headers.append((name.lower(), value))

    def _count_head(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        if self._header_bytes > self._server.limits.max_header_bytes:
            self._reject(431)

    def on_headers_complete(self) -> None:
        """Send the interim response ``100 Continue`` if the client waits for it.

        It is not sent while earlier requests await their responses, since it would overtake them.
        """
        self._head_done = True
        expects = any(n == b"expect" and v.lower() == b"100-continue" for n, v in self._headers)
        if expects and not self._finished and not self._exchanges and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, or reject the message if it becomes too large.

        :param body: the part, without chunk framing.
        """
        limit_bytes = self._server.limits.max_body_bytes
        if len(self._body) + len(body) > min(limit_bytes, self._server.quota.message_limit_bytes):
            self._reject(413)
        if not self._rejected:
            self._body += body

    def on_message_complete(self) -> None:
        """Queue a complete request and start it if the pipelining policy allows."""
        if self._finished or self._rejected:
            return
        now_ms = clock.monotonic_ms()
        request = http_messages.Request(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            bytes(self._body),
            self._client,
            now_ms if self._first_byte_ms is None else self._first_byte_ms,
        )
        if not self._parser.should_keep_alive():
            request.headers.append((b"connection", b"close"))
        self._new_message()
        self._exchanges.append(Exchange(request))
        if len(self._exchanges) <= MAX_PIPELINED:
            self._start_ready()

    # responses

    def _start_ready(self) -> None:
        """Start each queued request that may run now.

        One that may not run concurrently waits for all earlier ones and holds back later ones.
        """
        for position, exchange in enumerate(itertools.islice(self._exchanges, MAX_PIPELINED)):
            if position and not self._server.may_run_concurrently(exchange.request):
                return
            if exchange.task is None and exchange.response is None:
                self._server.start(exchange, self)
            if not self._server.may_run_concurrently(exchange.request):
                return

    def on_response_ready(self) -> None:
        """Send the responses that are next in order, and continue parsing if there is room."""
        self._flush()
        self._parse()

    def _flush(self) -> None:
        while self._exchanges and self._exchanges[0].response is not None and not self._finished:
            self._send(self._exchanges.popleft())
        if not self._finished:
            self._start_ready()

    def _send(self, exchange: Exchange) -> None:
        response = exchange.response
        assert response is not None and self._transport is not None
        is_last = not self._exchanges
        wants_close = any(n == b"connection" and v == b"close" for n, v in exchange.request.headers)
        close = response.close or (is_last and (wants_close or self._server.closing))
        head_only = exchange.request.method == "HEAD"
        separate_body = not head_only and len(response.body) >= SEPARATE_WRITE_BYTES
        data = http_messages.encode_response(response, head_only or separate_body, close)
        self._transport.write(data)
        if separate_body:
            self._transport.write(response.body)
        self._idle_since_ms = clock.monotonic_ms()
        if close:
            self._finish()

    def _reject(self, status: int) -> None:
        """Reject the current message after all earlier responses, and close the connection.

        :param status: the HTTP status of the rejection.
        """
        if self._finished or self._rejected:
            return
        self._rejected = True
        request = http_messages.Request("GET", "/", [], b"", self._client, 0)
        self._exchanges.append(Exchange(request, None, http_messages.Response(status, close=True)))
        self._flush()

    def _finish(self) -> None:
        """Close the sending side, and keep reading for :data:`LINGER_S`.

        Closing a connection that has unread data resets it, and the client could then lose the
        last response.
        """
        self._cancel_all()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, transport.close)

    @property
    def is_busy(self) -> bool:
        """Whether a request of this connection is being processed."""
        return bool(self._exchanges)

    def enforce_timeouts(self, now_ms: int) -> None:
        """Close the connection if the client exceeds a time limit.

        The limits apply to the time that a client takes to read responses, to send the head of a
        request, and between requests.

        :param now_ms: the current monotonic time.
        """
        if self._transport is None:
            return
        limits = self._server.limits
        blocked_since_ms = self._blocked_since_ms
        if blocked_since_ms is not None and now_ms - blocked_since_ms > limits.idle_timeout_ms:
            self.abort()
        if self._finished or self._exchanges:
            return
        if self._first_byte_ms is not None and not self._body:
            if now_ms - self._first_byte_ms > limits.header_timeout_ms + IDLE_MARGIN_MS:
                self._reject(408)
            return
        if now_ms - self._idle_since_ms > limits.idle_timeout_ms + IDLE_MARGIN_MS:
            self._transport.close()

    def abort(self) -> None:
        """Abort the connection without flushing what is buffered."""
        if self._transport is not None:
            self._transport.abort()
