"""Reads the requests of a client's connection, within the limits on their size.

httptools, which uvicorn uses too, does the parsing.
"""

from __future__ import annotations

import typing

import httptools

from sassafraslock import http_messages, routing_table
from sassafraslock.decisions import client_timeouts, message_quota

MAX_HEADERS = 256


class Bounds(typing.Protocol):
    """The limits on a request; both may change at any time."""

    limits: routing_table.Limits
    quota: message_quota.MessageQuota


class Receiver(typing.Protocol):
    """Gets what a reader reads."""

    def on_request(self, request: http_messages.Request) -> None:
        """Take a complete request, whose client is not set.

        :param request: the request.
        """

    def on_rejected(self, status: int) -> None:
        """Answer the message that is being read with an error; nothing is read after it.

        :param status: the HTTP status.
        """

    def on_continue_expected(self) -> None:
        """Send an interim response, since the client waits for it before it sends a body."""


class RequestReader:
    """Parses requests until one is the last of its connection, or is rejected.

    While ``ended``, what arrives is not parsed any more.
    """

    def __init__(self, bounds: Bounds, receiver: Receiver, now_ms: int) -> None:
        self.times = client_timeouts.ConnectionTimes(now_ms, now_ms)
        self.ended = False
        self._bounds = bounds
        self._receiver = receiver
        self._parser = httptools.HttpRequestParser(self)
        self.discard()

    def discard(self) -> None:
        """Forget the message that is being read."""
        self._target = b""
        self._headers: http_messages.Headers = []
        self._header_bytes = 0
        self._received_bytes = 0
        self._unread_bytes = 0  # since the last part of the body, or the start of the message
        self._head_done = False
        self._body = bytearray()
        self.times.first_byte_ms = None

    @property
    def has_body(self) -> bool:
        """Whether a part of a body has arrived."""
        return bool(self._body)

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a message has arrived."""
        return self.times.first_byte_ms is not None

    @property
    def held_bytes(self) -> int:
        """The memory that the message takes which is being read."""
        unread_bytes = min(self._unread_bytes, self._bounds.limits.max_header_bytes)
        return self._header_bytes + len(self._body) + unread_bytes

    def feed(self, data: bytes, now_ms: int) -> None:
        """Parse a chunk of at most :data:`message_quota.PARSE_CHUNK_BYTES`.

        :param data: the chunk.
        :param now_ms: the current monotonic time.
        """
        self.times.received_ms = now_ms
        if self.times.first_byte_ms is None:
            self.times.first_byte_ms = now_ms
        self._received_bytes += len(data)
        self._unread_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is complete, and what follows it may be of another protocol.
            self.ended = True
            return
        except httptools.HttpParserError:
            self.reject(400)
            return
        self._check_bounds()

    def _check_bounds(self) -> None:
        """Reject a message whose head or framing grows without limit.

        Chunk headers and trailers count as framing, which is limited in proportion to the body. The
        parser keeps an incomplete header or trailer, however long it grows.
        """
        max_header_bytes = self._bounds.limits.max_header_bytes
        framing_bytes = self._received_bytes - len(self._body)
        chunk_bytes = message_quota.PARSE_CHUNK_BYTES
        body_framing_bytes = message_quota.FRAMING_RATIO * len(self._body)
        if self._unread_bytes > max_header_bytes + chunk_bytes:
            self.reject(431)
        elif framing_bytes > 2 * max_header_bytes + chunk_bytes + body_framing_bytes:
            self.reject(413)

    def reject(self, status: int) -> None:
        """Reject the message that is being read, and end the reading.

        :param status: the HTTP status of the rejection.
        """
        if not self.ended:
            self.ended = True
            self._receiver.on_rejected(status)

    # callbacks of httptools

    def on_message_begin(self) -> None:
        """Note the time of a message that begins in the chunk in which another one ended."""
        if self.times.first_byte_ms is None:
            self.times.first_byte_ms = self.times.received_ms

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target.

        :param url: the part.
        """
        self._count_head(len(url))
        if not self.ended:
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
            self.reject(431)
        if not self.ended:
            self._headers.append((name.lower(), value))

    def _count_head(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        if self._header_bytes > self._bounds.limits.max_header_bytes:
            self.reject(431)

    def on_headers_complete(self) -> None:
        """Tell the receiver if the client waits for the interim response ``100 Continue``."""
        self._head_done = True
        if any(n == b"expect" and v.lower() == b"100-continue" for n, v in self._headers):
            self._receiver.on_continue_expected()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, or reject the message if it becomes too large.

        :param body: the part, without chunk framing.
        """
        self._unread_bytes = 0
        bounds = self._bounds
        limit_bytes = min(bounds.limits.max_body_bytes, bounds.quota.message_limit_bytes)
        if len(self._body) + len(body) > limit_bytes:
            self.reject(413)
        if not self.ended:
            self._body += body

    def on_message_complete(self) -> None:
        """Pass on a complete request; the reading ends if the client asks for the close."""
        if self.ended:
            return
        first_byte_ms = self.times.first_byte_ms
        request = http_messages.Request(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            bytes(self._body),
            "",
            self.times.received_ms if first_byte_ms is None else first_byte_ms,
        )
        self.ended = not self._parser.should_keep_alive()
        self.discard()
        self._receiver.on_request(request)
