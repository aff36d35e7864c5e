"""One connection to a backend server: one request at a time, answers checked by id.

httpcore ends an exchange at the first answer it reads. A server may send an answer once more,
late, where the next one is due, so the exchange here reads on until the answer with the
request's own id. The parsing is httptools'.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum

import httptools

from sassafraslock import http_messages, routing_table
from sassafraslock.decisions import message_quota

MAX_IDLE_MS = 8_000
IDLE_MARGIN_MS = 1_000
SERVER_HEADERS_BYTES = 32 << 10  # what servers may add to the headers of the request


class Outcome(enum.Enum):
    """How an exchange with a server ended."""

    ANSWERED = "answered"
    NOT_CONNECTED = "not connected"
    BROKEN = "broken"
    MALFORMED = "garbled"


@dataclasses.dataclass(slots=True)
class Exchange:
    """What came of sending a request to a server.

    Only :attr:`Outcome.NOT_CONNECTED` says that nothing was sent.
    """

    outcome: Outcome
    response: http_messages.Response | None = None
    reason: str = ""
    connect_ms: int = -1


@dataclasses.dataclass(slots=True)
class AnswerLimits:
    """What servers may send for one request; beyond it their answer counts as broken."""

    quota: message_quota.MessageQuota
    max_head_bytes: int = routing_table.DEFAULT_HEADER_BYTES + SERVER_HEADERS_BYTES


class Connection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self, id_header: bytes, limits: AnswerLimits) -> None:
        self.idle_since_ms = 0
        self.max_idle_ms = MAX_IDLE_MS
        self.dead = False
        self.held_bytes = 0
        self._id_header = id_header
        self._limits = limits
        self._received_bytes = 0
        self._bodies_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._future: asyncio.Future[Exchange] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._request_id = b""
        self._reusable = True
        self._new_message()

    def _new_message(self) -> None:
        self._headers: http_messages.Headers = []
        self._headers_bytes = 0
        self._unread_head_bytes = 0
        self._body = bytearray()
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
        self._received_bytes = self._bodies_bytes = 0
        self._future = asyncio.get_running_loop().create_future()
        if self.dead:
            self._settle(Exchange(Outcome.NOT_CONNECTED, reason="the new connection was closed"))
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
        for start in range(0, len(data), message_quota.PARSE_CHUNK_BYTES):
            if self._future.done():
                self._reusable = False
                return
            self._parse(data[start : start + message_quota.PARSE_CHUNK_BYTES])

    def _parse(self, data: bytes) -> None:
        self._received_bytes += len(data)
        if not self._head_done:
            self._unread_head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.abort_message(f"the answer cannot be parsed: {error!r}")
            return
        if self._future is not None and not self._future.done():
            self._check_bounds()

    def _check_bounds(self) -> None:
        """Cut an answer that goes on without end, in whichever of its parts."""
        head_bytes, max_head_bytes = self._headers_bytes, self._limits.max_head_bytes
        if not self._head_done:
            head_bytes = max(head_bytes, self._unread_head_bytes)
        if head_bytes > max_head_bytes:
            self.abort_message(f"the answer's head is larger than {max_head_bytes} bytes")
            return
        max_bytes = self._limits.quota.message_limit_bytes
        if self._bodies_bytes > max_bytes:
            self.abort_message(f"the answer is larger than {max_bytes} bytes")
            return
        framing_bytes = self._received_bytes - self._bodies_bytes
        if framing_bytes > 2 * max_head_bytes + message_quota.FRAMING_RATIO * self._bodies_bytes:
            self.abort_message(
                f"{framing_bytes} bytes came beside {self._bodies_bytes} bytes of a body"
            )
            return
        self._limits.quota.set_held_bytes(self, head_bytes + len(self._body))

    def abort_message(self, reason: str) -> None:
        """Give up the answer that is being received, and with it the connection.

        :param reason: why.
        """
        self._reusable = False
        self._settle(Exchange(Outcome.MALFORMED, reason=reason))
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Settle what waits; an answer without a length ends with a regular close.

        :param exc: why the connection ended, none after a regular end.
        """
        self.dead = True
        self._limits.quota.set_held_bytes(self, 0)
        if self._future is None or self._future.done():
            return
        if exc is None and self._head_done and not self._is_framed():
            self.on_message_complete()
        if not self._future.done():
            cause = "closed" if exc is None else f"lost ({exc})"
            self._settle(Exchange(Outcome.BROKEN, reason=f"connection {cause} before the answer"))

    # callbacks of httptools

    def on_message_begin(self) -> None:
        """Notice an answer that comes after the awaited one."""
        if self._future is None or self._future.done():
            self._reusable = False
        self._new_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header; those behind the body are left out.

        :param name: its name.
        :param value: its value.
        """
        if self._head_done:
            return
        self._headers_bytes += len(name) + len(value) + message_quota.HEADER_OVERHEAD_BYTES
        if self._headers_bytes <= self._limits.max_head_bytes:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note that the head is whole."""
        self._head_done = True

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body.

        :param body: the part.
        """
        self._bodies_bytes += len(body)
        if self._future is not None and not self._future.done():
            self._body += body

    def on_message_complete(self) -> None:
        """Settle the exchange if the answer is the awaited one."""
        if self._future is None or self._future.done():
            return
        if self._headers_bytes > self._limits.max_head_bytes:
            return  # the bounds are checked next
        status = self._parser.get_status_code()
        if status < 200:
            return
        response = http_messages.Response(status, self._headers)
        if self._id_header and response.header(self._id_header) != self._request_id:
            return
        # Once the message is over, the parser no longer knows whether the connection is kept.
        if not self._parser.should_keep_alive() or not self._is_framed():
            self._reusable = False
        self._note_keep_alive(response.header(b"keep-alive"))
        response.body = bytes(self._body)
        self._settle(Exchange(Outcome.ANSWERED, response))

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
        self._new_message()
        self._limits.quota.set_held_bytes(self, 0)

    def release(self, now_ms: int) -> bool:
        """Outcome the exchange and tell whether the connection can serve another.

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
