"""A connection to a backend server: one request at a time, responses matched by request id.

A server may send a response twice, the second time after the next request on the connection.
httpcore would take that duplicate for the response to the next request. The exchange here skips
responses until one has the id of the request. httptools does the parsing.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import re
import socket
import struct
import typing

import httptools

from sassafraslock import http_messages, routing_table
from sassafraslock.decisions import message_quota
from sassafraslock.services import head_observer

MAX_IDLE_MS = 8_000
MAX_IDLE_DIGITS = 9  # of the announced seconds; int() refuses thousands of digits
IDLE_MARGIN_MS = 1_000  # subtracted from the idle time that servers announce
_IDLE_TIMEOUT = re.compile(rb"timeout=[ \t]*([0-9]+)[ \t]*(?:,|$)")
# In a head, it shows that a response begins inside another one that was cut off.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of zero
SERVER_HEADERS_BYTES = 32 << 10  # added to the request header limit to bound response headers


class Outcome(enum.Enum):
    """How an exchange with a server ended.

    ``NOT_CONNECTED`` and ``WITHHELD``: nothing was sent; the latter since the server wanted no
    requests any more once the connection was open. ``BROKEN``: the connection ended before the
    whole response. ``MALFORMED``: the response was aborted because it is not valid HTTP, exceeds a
    limit, or took memory that other messages need.
    """

    ANSWERED = "answered"
    NOT_CONNECTED = "not connected"
    WITHHELD = "withheld"
    BROKEN = "broken"
    MALFORMED = "garbled"


@dataclasses.dataclass(slots=True)
class Exchange:
    """The result of sending a request to a server.

    :attr:`Outcome.NOT_CONNECTED` and :attr:`Outcome.WITHHELD` alone guarantee that the server
    received nothing.
    ``response`` is set if the outcome is ``ANSWERED``, otherwise ``reason`` describes the error.
    ``connect_ms`` is -1 if an idle connection was reused.
    """

    outcome: Outcome
    response: http_messages.Response | None = None
    reason: str = ""
    connect_ms: int = -1


@dataclasses.dataclass(slots=True)
class ResponseLimits:
    """Limits of what a server may send for one request; a larger response is aborted."""

    quota: message_quota.MessageQuota
    max_head_bytes: int = routing_table.DEFAULT_HEADER_BYTES + SERVER_HEADERS_BYTES


class Connection(asyncio.Protocol):
    """A connection to a server, which runs one request at a time.

    With an empty ``id_header``, the first final response is accepted whatever its id.
    ``observe_head`` also gets the heads of responses that are late, repeated or not accepted.
    ``on_end`` is called when the connection has ended, with whether this entry closed it.
    """

    def __init__(self, id_header: bytes, limits: ResponseLimits) -> None:
        self.opened_ms = 0
        self.idle_since_ms = 0
        self.on_end: typing.Callable[[Connection, bool], None] = lambda connection, is_own: None
        self.max_idle_ms = MAX_IDLE_MS
        self.closed = False
        self.held_bytes = 0
        self.observe_head: head_observer.HeadObserver | None = None
        self._id_header = id_header
        self._limits = limits
        self._received_bytes = 0
        self._total_body_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._future: asyncio.Future[Exchange] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._request_id = b""
        self._head_only = False
        self._is_answered = True
        self._reusable = True
        self._new_message()

    def _new_message(self) -> None:
        self._headers: http_messages.Headers = []
        self._headers_bytes = 0
        self._unread_bytes = 0  # since the last part of the body, or the start of the message
        self._body = bytearray()
        self._head_done = False
        self._reason_phrase = b""

    @property
    def is_ending(self) -> bool:
        """Whether the connection has ended, or its end was read and is yet to be told."""
        return self.closed or self._transport is None or self._transport.is_closing()

    def send(self, data: bytes, request_id: bytes, head_only: bool) -> asyncio.Future[Exchange]:
        """Send a request and return the future of its result; failures are results as well.

        :param data: the encoded request.
        :param request_id: the id that the response must carry.
        :param head_only: whether the request is a HEAD; the connection is not reused after it.
        """
        assert self._transport is not None
        self._request_id = request_id
        self._head_only = head_only
        self._reusable = not head_only
        self._received_bytes = self._total_body_bytes = 0
        self._future = asyncio.get_running_loop().create_future()
        if self.is_ending:
            self._complete(
                Exchange(
                    Outcome.NOT_CONNECTED,
                    reason="server closed the connection before the request was sent",
                )
            )
            return self._future
        if self.observe_head is not None and not self.observe_head.may_send():
            reason = "the server asked for no further requests before this one was sent"
            self._complete(Exchange(Outcome.WITHHELD, reason=reason))
            return self._future
        self._is_answered = False
        self._transport.write(data)
        return self._future

    def close(self) -> None:
        """Abort the connection without flushing what is buffered.

        With a request unanswered it is reset. Otherwise what the network holds up would reach the
        server later, which may want no requests any more by then.
        """
        self.closed = True
        if self._transport is None:
            return
        tcp_socket = self._transport.get_extra_info("socket")
        if tcp_socket is not None and not self._is_answered and not self._transport.is_closing():
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport.

        :param transport: the TCP transport.
        """
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; if no request is waiting for them, close the connection.

        :param data: the received bytes.
        """
        if self._future is None:
            self._parse(data[: message_quota.PARSE_CHUNK_BYTES])
            self.close()
            return
        for start in range(0, len(data), message_quota.PARSE_CHUNK_BYTES):
            if self._future.done():
                self._reusable = False
                return
            self._parse(data[start : start + message_quota.PARSE_CHUNK_BYTES])

    def _parse(self, data: bytes) -> None:
        self._received_bytes += len(data)
        self._unread_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.abort_message(f"response is not valid HTTP: {error!r}")
            return
        if self._future is not None and not self._future.done():
            self._check_bounds()

    def _check_bounds(self) -> None:
        """Abort a response that exceeds a limit: its headers, its body, or its framing.

        The framing is limited too because interim responses, chunk headers and trailers could
        otherwise go on forever without adding to headers or body. The parser keeps an incomplete
        header or trailer, however long it grows.
        """
        max_head_bytes = self._limits.max_head_bytes
        head_bytes = max(self._headers_bytes, self._unread_bytes)
        if head_bytes > max_head_bytes:
            part = "trailer" if self._head_done else "head"
            self.abort_message(
                f"response {part} of {head_bytes} bytes exceeds {max_head_bytes} bytes"
            )
            return
        max_bytes = self._limits.quota.message_limit_bytes
        if self._total_body_bytes > max_bytes:
            self.abort_message(
                f"response bodies of {self._total_body_bytes} bytes exceed {max_bytes} bytes"
            )
            return
        framing_bytes = self._received_bytes - self._total_body_bytes
        if (
            framing_bytes
            > 2 * max_head_bytes + message_quota.FRAMING_RATIO * self._total_body_bytes
        ):
            self.abort_message(
                f"response has {framing_bytes} bytes of headers and framing"
                f" for {self._total_body_bytes} bytes of body"
            )
            return
        self._limits.quota.set_held_bytes(self, head_bytes + len(self._body))

    @property
    def is_idle(self) -> bool:
        """Whether no request uses the connection."""
        return self._future is None

    @property
    def has_announced_end(self) -> bool:
        """Whether the last response ends the connection, by what it says or by its framing."""
        return self._is_answered and not self._reusable

    @property
    def is_at_work(self) -> bool:
        """False, since a response without end must be aborted, whatever it answers."""
        return False

    @property
    def is_refusable(self) -> bool:
        """False, since the server has got its request."""
        return False

    def abort_message(self, reason: str) -> None:
        """Abort the response that is being received and close the connection.

        :param reason: what is wrong with the response, for the log.
        """
        self._reusable = False
        self._complete(Exchange(Outcome.MALFORMED, reason=reason))
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the pending exchange, as broken unless the close ends its response.

        A response without a length or chunks ends when the server closes the connection.

        :param exc: the error that ended the connection, ``None`` if it was closed normally.
        """
        was_closed, self.closed = self.closed, True
        self._limits.quota.set_held_bytes(self, 0)
        self._complete_at_end(exc)
        self.on_end(self, was_closed)

    def _complete_at_end(self, exc: Exception | None) -> None:
        if self._future is None or self._future.done():
            return
        if exc is None and self._head_done and not self._is_framed():
            self.on_message_complete()
        if not self._future.done():
            cause = "closed" if exc is None else f"lost ({exc})"
            self._complete(
                Exchange(
                    Outcome.BROKEN,
                    reason=f"connection to the server {cause} before the response was complete",
                )
            )

    # callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a response; one that follows the awaited response makes the connection unusable."""
        if self._future is None or self._future.done():
            self._reusable = False
        self._new_message()

    def on_status(self, reason: bytes) -> None:
        """Add a part of the reason phrase; the status is complete by then.

        :param reason: the part.
        """
        self._reason_phrase += reason
        self._check_status_line()

    def _check_status_line(self) -> None:
        """Abort a response with an invalid status; as an interim one it would be waited behind."""
        status, version = self._parser.get_status_code(), self._parser.get_http_version()
        if not self.closed and (fault := http_messages.status_line_fault(status, version)):
            self.abort_message(fault)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers after the body are ignored.

        :param name: the name as received.
        :param value: the value.
        """
        if self._head_done:
            return
        if not self._headers:
            self._check_status_line()  # on_status is not called without a reason phrase
        self._headers_bytes += len(name) + len(value) + message_quota.HEADER_OVERHEAD_BYTES
        if self._headers_bytes <= self._limits.max_head_bytes:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Mark the head as complete, and pass it to the observer.

        Two heads that run into each other are aborted: they may have the id of one response and
        the status of the other.
        """
        self._check_status_line()
        if self.closed:  # the parser goes on to the end of its chunk
            return
        self._head_done = True
        self._unread_bytes = 0
        texts = [self._reason_phrase, *(value for _, value in self._headers)]
        if any(_STATUS_LINE.search(text) for text in texts):
            self.abort_message("a response begins inside the head of another one")
            return
        status = self._parser.get_status_code()
        if self.observe_head is not None and http_messages.is_final(status):
            self.observe_head(status, self._headers)
        if self._head_only:
            self.on_message_complete()  # the parser would wait for the body

    def on_body(self, body: bytes) -> None:
        """Append a part of the body.

        :param body: the part, without chunk framing.
        """
        self._total_body_bytes += len(body)
        self._unread_bytes = 0
        if self._future is not None and not self._future.done():
            self._body += body

    def on_message_complete(self) -> None:
        """Complete the exchange if this is the final response with the id of the request."""
        if self._future is None or self._future.done():
            return
        if self._headers_bytes > self._limits.max_head_bytes:
            return  # _check_bounds runs after the parser returns and aborts the response
        status = self._parser.get_status_code()
        if http_messages.is_interim(status):
            return
        response = http_messages.Response(status, self._headers)
        if self._id_header and response.header(self._id_header) != self._request_id:
            return
        # The parser forgets whether to keep the connection alive once the message is complete.
        if not self._parser.should_keep_alive() or not self._is_framed():
            self._reusable = False
        self._apply_keep_alive(response.header(b"keep-alive"))
        response.body = bytes(self._body)
        self._is_answered = True
        self._complete(Exchange(Outcome.ANSWERED, response))

    def _apply_keep_alive(self, value: bytes) -> None:
        found = _IDLE_TIMEOUT.search(value)
        if found is None:
            return
        digits = found[1].lstrip(b"0")
        seconds = int(digits[:MAX_IDLE_DIGITS] or b"0")
        self.max_idle_ms = min(MAX_IDLE_MS, seconds * 1_000 - IDLE_MARGIN_MS)

    def _is_framed(self) -> bool:
        return any(n in (b"content-length", b"transfer-encoding") for n, _ in self._headers)

    def _complete(self, exchange: Exchange) -> None:
        if self._future is not None and not self._future.done():
            self._future.set_result(exchange)
        self._new_message()
        self._limits.quota.set_held_bytes(self, 0)

    def release(self, now_ms: int) -> bool:
        """End the exchange and return whether the connection can be reused.

        :param now_ms: the current monotonic time, from which the connection counts as idle.
        """
        self._future = None
        transport = self._transport
        if self.is_ending or not self._reusable or transport is None:
            return False
        if transport.get_write_buffer_size() > 0:
            return False
        self.idle_since_ms = now_ms
        return True
