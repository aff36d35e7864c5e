"""Requests and responses as the proxy handles them, whole and apart from any connection."""

from __future__ import annotations

import dataclasses
import typing
import urllib.parse

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    b"transfer-encoding upgrade content-length expect".split()
)
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
_BODILESS_STATUSES = (204, 304)


@dataclasses.dataclass(slots=True)
class Request:
    """A whole request; header names are in lower case.

    ``received_ms`` is the steady time at which its first byte was read.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    client: str
    received_ms: int

    def header(self, name: bytes) -> str:
        """Return a header's value, empty where it is absent.

        :param name: the name in lower case.
        """
        return next((v.decode("latin-1") for n, v in self.headers if n == name), "")

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def parameter(self, name: str) -> str:
        """Return a query parameter's value, empty where it is absent.

        :param name: the parameter's name.
        """
        query = urllib.parse.parse_qs(self.target.partition("?")[2])
        return query.get(name, [""])[0]


@dataclasses.dataclass(slots=True)
class Response:
    """A whole response; ``close`` ends the connection after it."""

    status: int
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b""
    close: bool = False

    def header(self, name: bytes) -> bytes:
        """Return a header's value, empty where it is absent.

        :param name: the name in lower case.
        """
        return next((v for n, v in self.headers if n == name), b"")


class Handler(typing.Protocol):
    """Answers requests of one listening address."""

    async def __call__(self, request: Request) -> Response:
        """Return the response to a request.

        :param request: the whole request.
        """


class PipeliningPolicy(typing.Protocol):
    """Tells which requests of one connection may run before earlier ones are answered."""

    def __call__(self, request: Request) -> bool:
        """Tell whether a request may run beside earlier ones.

        :param request: the request.
        """


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that pass through a proxy.

    Names listed in a ``connection`` header are left out with the hop-by-hop ones.

    :param headers: the headers received, names in lower case.
    """
    listed = HOP_BY_HOP
    for name, value in headers:
        if name == b"connection":
            listed = listed.union(part.strip().lower() for part in value.split(b","))
    return [(n, v) for n, v in headers if n not in listed]


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Return a request's bytes.

    :param method: the method.
    :param target: path and query.
    :param headers: the headers, without framing.
    :param body: the whole body.
    """
    lines = [f"{method} {target} HTTP/1.1\r\n".encode("latin-1")]
    lines += [b"%b: %b\r\n" % header for header in headers]
    if body or method not in ("GET", "HEAD", "OPTIONS", "DELETE"):
        lines.append(b"content-length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)


def encode_response(response: Response, head_only: bool, close: bool) -> bytes:
    """Return a response's bytes.

    :param response: the response.
    :param head_only: whether the body is left out, as for HEAD.
    :param close: whether the connection ends after it.
    """
    reason = REASONS.get(response.status, b"Status")
    lines = [b"HTTP/1.1 %d %b\r\n" % (response.status, reason)]
    lines += [b"%b: %b\r\n" % header for header in response.headers]
    if response.status not in _BODILESS_STATUSES:
        lines.append(b"content-length: %d\r\n" % len(response.body))
    if close:
        lines.append(b"connection: close\r\n")
    lines.append(b"\r\n")
    if not head_only and response.status not in _BODILESS_STATUSES:
        lines.append(response.body)
    return b"".join(lines)
