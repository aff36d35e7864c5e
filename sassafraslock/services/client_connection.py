"""A client connection: runs pipelined requests concurrently and sends responses in order.

uvicorn runs the requests of a connection one after the other, which delays the later ones of a
pipeline, so it is not used here.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import logging
import typing

from sassafraslock import clock, events, http_messages, routing_table
from sassafraslock.decisions import client_timeouts, message_quota
from sassafraslock.services import cut_log, graceful_close, request_reader

MAX_PIPELINED = 32
NEW_CONNECTION_MS = 200  # a new connection's first request may take so long to arrive
SEPARATE_WRITE_BYTES = 64 << 10  # bodies from this size on are written without a copy
REQUEST_OVERHEAD_BYTES = 2 << 10  # memory of the headers, the task and the objects of a request
UNAVAILABLE = 503
LATE = 408
_LOGGER = logging.getLogger(__name__)


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
    cuts: cut_log.CutLog

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
        self._transport: asyncio.Transport | None = None
        self._exchanges: collections.deque[Exchange] = collections.deque()
        self._client = ""
        self.held_bytes = 0
        self._unparsed = bytearray()
        now_ms = clock.monotonic_ms()
        self._reader = request_reader.RequestReader(server, self, now_ms)
        self._progress = client_timeouts.ReadProgress(0, now_ms)
        self._written_bytes = 0
        self._is_blocked = False

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
        self._reader.ended = True
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        self._unparsed.clear()
        self._reader.discard()
        self._report_held_bytes()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or keep them while too many requests await their responses.

        :param data: the received bytes.
        """
        if self._reader.ended:
            return
        is_small = len(data) <= message_quota.PARSE_CHUNK_BYTES
        if not self._unparsed and is_small and self._may_parse():
            self._reader.feed(data, clock.monotonic_ms())
        else:
            self._unparsed += data
        self._parse()

    def _parse(self) -> None:
        """Parse chunk by chunk while the pipeline has room, and pause reading when it has none."""
        while self._unparsed and self._may_parse():
            data = bytes(self._unparsed[: message_quota.PARSE_CHUNK_BYTES])
            del self._unparsed[: message_quota.PARSE_CHUNK_BYTES]
            self._reader.feed(data, clock.monotonic_ms())
        self._report_held_bytes()
        if self._transport is None or self._transport.is_closing():
            return
        if self._may_parse():
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _may_parse(self) -> bool:
        """Return whether to read on; data that will not be parsed any more is discarded."""
        if self._reader.ended:
            self._unparsed.clear()
            return True
        return len(self._exchanges) < MAX_PIPELINED and not self._is_blocked

    @property
    def unread_bytes(self) -> int:
        """The part of written responses that waits in this process for the client to read."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def _report_held_bytes(self) -> None:
        """Report the memory that this connection holds to the quota."""
        held_bytes = self._reader.held_bytes + len(self._unparsed)
        held_bytes += sum(exchange.held_bytes for exchange in self._exchanges)
        if self._transport is not None:
            held_bytes += self._transport.get_write_buffer_size()
        self._server.quota.set_held_bytes(self, held_bytes)

    @property
    def is_at_work(self) -> bool:
        """Whether requests are in progress, for a client that reads its responses."""
        return bool(self._exchanges) and not self._is_blocked

    @property
    def is_refusable(self) -> bool:
        """Whether a request is being received and no other one awaits its response."""
        return not (self._exchanges or self._is_blocked or self._reader.ended)

    def abort_message(self, reason: str) -> None:
        """Reject the request that is being received, to free its memory.

        The connection is aborted instead if the rejection could not be sent soon: if earlier
        requests await their responses, or the client does not read its responses.

        :param reason: which limit was exceeded, for the log.
        """
        events.log(events.Event.CLIENT_CUT, reason, client=self._client)
        if not self.is_refusable:
            self.cut(cut_log.CutCause.MEMORY)
            return
        self._reader.reject(UNAVAILABLE)

    def pause_writing(self) -> None:
        """Stop reading requests while the client does not read its responses."""
        self._is_blocked = True
        self._progress = client_timeouts.ReadProgress(self._delivered_bytes, clock.monotonic_ms())

    def resume_writing(self) -> None:
        """Read requests again, since the client has read enough of its responses."""
        self._is_blocked = False
        self._reader.times.idle_since_ms = clock.monotonic_ms()
        self._parse()

    def eof_received(self) -> bool:
        """Close the connection if the client closes its sending side; half-close is unsupported.

        What is buffered is still sent, unless the client stops reading.
        """
        self._progress = client_timeouts.ReadProgress(self._delivered_bytes, clock.monotonic_ms())
        return False

    # request_reader.Receiver

    def on_request(self, request: http_messages.Request) -> None:
        """Queue a complete request and start it if the pipelining policy allows.

        :param request: the request.
        """
        request.client = self._client
        self._exchanges.append(Exchange(request))
        if len(self._exchanges) <= MAX_PIPELINED:
            self._start_ready()

    def on_continue_expected(self) -> None:
        """Send ``100 Continue``, unless it would overtake responses to earlier requests."""
        if not self._reader.ended and not self._exchanges and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_rejected(self, status: int) -> None:
        """Send a rejection after all earlier responses, and close the connection.

        :param status: the HTTP status of the rejection.
        """
        request = http_messages.Request("GET", "/", [], b"", self._client, 0)
        self._exchanges.append(Exchange(request, None, http_messages.Response(status, close=True)))
        self._flush()

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
        while self._exchanges and self._exchanges[0].response is not None:
            self._send(self._exchanges.popleft())
        self._start_ready()

    def _send(self, exchange: Exchange) -> None:
        """Send a response; the last one before the connection closes announces that.

        A response that asks for the close is not the last if requests behind it are in progress.
        """
        response = exchange.response
        assert response is not None and self._transport is not None
        self._reader.ended |= response.close
        close = not self._exchanges and (self._reader.ended or self._server.closing)
        head_only = exchange.request.method == "HEAD"
        for data in _encode(response, head_only, close):
            self._transport.write(data)
            self._written_bytes += len(data)
        self._reader.times.idle_since_ms = clock.monotonic_ms()
        if close:
            self._finish()

    def _finish(self) -> None:
        """Close the connection once the client has everything; nothing more is parsed."""
        self._cancel_all()
        transport = self._transport
        if transport is not None and not transport.is_closing():
            idle_timeout_ms = self._server.limits.idle_timeout_ms
            closing = graceful_close.GracefulClose(transport, self._cut_blocked, idle_timeout_ms)
            closing.start()

    @property
    def _is_finishing(self) -> bool:
        """Whether the last response has been sent."""
        return self._reader.ended and not self._exchanges

    @property
    def is_busy(self) -> bool:
        """Whether a request of this connection is being processed."""
        return bool(self._exchanges)

    @property
    def _unsent_bytes(self) -> int:
        return graceful_close.unsent_bytes(self._transport) if self._transport else 0

    @property
    def _delivered_bytes(self) -> int:
        return self._written_bytes - self._unsent_bytes

    @property
    def unfinished(self) -> cut_log.Unfinished:
        """What would be lost if the connection were aborted now."""
        lost_bytes = graceful_close.lost_bytes(self._transport) if self._transport else 0
        is_receiving = self._reader.is_receiving or bool(self._unparsed)
        return cut_log.Unfinished(self._client, len(self._exchanges), lost_bytes, is_receiving)

    def close_if_idle(self, now_ms: int) -> None:
        """Close the connection if nothing would be lost; its first request may be on the way.

        :param now_ms: the current monotonic time.
        """
        transport = self._transport
        if transport is None or self._is_finishing or self.unfinished or self._unsent_bytes:
            return
        age_ms = now_ms - self._reader.times.idle_since_ms
        is_unused = not self._written_bytes and age_ms < NEW_CONNECTION_MS
        if not is_unused:
            self._close_idle(transport)

    def reject_incomplete(self) -> None:
        """Reject the request that is being received, if there is one."""
        if self._reader.is_receiving:
            self._reader.reject(LATE)

    def enforce_timeouts(self, now_ms: int) -> None:
        """Close the connection if the client exceeds a time limit.

        The limits apply to the time that a client takes to read responses, to send a request, and
        between requests.

        :param now_ms: the current monotonic time.
        """
        if self._transport is None:
            return
        if self._is_read_stalled(now_ms):
            self._cut_blocked()
            return
        if self._is_finishing or self._exchanges:
            return
        expiry = self._reader.times.expiry(self._server.limits, self._reader.has_body, now_ms)
        if expiry is client_timeouts.Expiry.LATE:
            self._reader.reject(LATE)
        elif expiry is client_timeouts.Expiry.IDLE:
            self._close_idle(self._transport)

    def _close_idle(self, transport: asyncio.Transport) -> None:
        """Close the connection between two requests, unless bytes wait to be read."""
        if graceful_close.unread_bytes(transport):
            return
        if self._unsent_bytes:
            self._finish()
        else:
            transport.close()

    def _is_read_stalled(self, now_ms: int) -> bool:
        """Return whether the client has stopped reading; one that reads slowly has not."""
        is_closing = self._transport is not None and self._transport.is_closing()
        if not self._is_blocked and not is_closing:
            return False
        self._progress.update(self._delivered_bytes, now_ms)
        return self._progress.is_stalled(self._server.limits.idle_timeout_ms, now_ms)

    def _cut_blocked(self) -> None:
        self.cut(cut_log.CutCause.BLOCKED)

    def cut(self, cause: cut_log.CutCause) -> None:
        """Abort the connection, and count it if that loses something.

        :param cause: why.
        """
        self._server.cuts.record(cause, [self.unfinished], clock.monotonic_ms())
        self.abort()

    def abort(self) -> None:
        """Abort the connection without flushing what is buffered."""
        if self._transport is not None:
            self._transport.abort()


def _encode(response: http_messages.Response, head_only: bool, close: bool) -> list[bytes]:
    """Return the bytes to write; a response that cannot be encoded becomes status 500."""
    separate_body = not head_only and len(response.body) >= SEPARATE_WRITE_BYTES
    try:
        head = http_messages.encode_response(response, head_only or separate_body, close)
    except Exception:
        _LOGGER.exception("a response cannot be encoded; client receives status 500")
        return [http_messages.encode_response(http_messages.Response(500), head_only, close)]
    return [head, response.body] if separate_body else [head]
