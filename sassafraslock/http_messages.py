"""Complete HTTP requests and responses, independent of any connection."""

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
    401: b"Unauthorized",
    403: b"Forbidden",
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
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
MISDIRECTED = 421  # another server than the named one has the address
SWITCHING_PROTOCOLS = 101
_VERSIONS = ("1.0", "1.1")  # parsers accept 0.9 and 2.0 too
_BODILESS_STATUSES = (204, 304)


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request; header names are in lower case.

    ``client`` is the client's IP address. ``received_ms`` is the monotonic time at which the
    first byte was read.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    client: str
    received_ms: int

    def header(self, name: bytes) -> str:
        """Return the value of a header, or an empty string if it is absent.

        :param name: the name in lower case; if it occurs more than once, the first one counts.
        """
        return next((v.decode("latin-1") for n, v in self.headers if n == name), "")

    @property
    def path(self) -> str:
        """The request target up to the query."""
        return self.target.partition("?")[0]

    def parameter(self, name: str) -> str:
        """Return the decoded value of a query parameter, or an empty string if it is absent.

        :param name: the parameter's name; if it occurs more than once, the first one counts.
        """
        query = urllib.parse.parse_qs(self.target.partition("?")[2])
        return query.get(name, [""])[0]


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response; if ``close`` is set, the connection closes after it."""

    status: int
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b""
    close: bool = False

    def header(self, name: bytes) -> bytes:
        """Return the value of a header, or empty bytes if it is absent.

        :param name: the name in lower case; if it occurs more than once, the first one counts.
        """
        return next((v for n, v in self.headers if n == name), b"")


def is_interim(status: int) -> bool:
    """Return whether a response with a status precedes the final one.

    101 does not: it would end HTTP on the connection, for which an entry never asks.

    :param status: the status as received.
    """
    return 100 <= status <= 199 and status != SWITCHING_PROTOCOLS


def is_final(status: int) -> bool:
    """Return whether a status is one of a final response.

    :param status: the status as received.
    """
    return 200 <= status <= 599


def status_line_fault(status: int, version: str) -> str:
    """Return what is wrong with a response's status line, or an empty string.

    :param status: the status as received.
    :param version: the version of HTTP, such as ``1.1``.
    """
    if version in _VERSIONS and (is_interim(status) or is_final(status)):
        return ""
    return f"response has the invalid status {status} of HTTP/{version}"


class Handler(typing.Protocol):
    """Processes the requests that arrive at one listening address."""

    async def __call__(self, request: Request) -> Response:
        """Return the response to a request; an exception becomes status 500.

        :param request: the complete request.
        """


class PipeliningPolicy(typing.Protocol):
    """Decides which pipelined requests may run concurrently with others of their connection."""

    def __call__(self, request: Request) -> bool:
        """Return whether a request may run while others of its connection are in progress.

        :param request: the complete request.
        """


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that a proxy forwards.

    Hop-by-hop headers are removed, as are those whose names a ``connection`` header lists.

    :param headers: the headers as received, with names in lower case.
    """
    hop_by_hop = HOP_BY_HOP
    for name, value in headers:
        if name == b"connection":
            hop_by_hop = hop_by_hop.union(part.strip().lower() for part in value.split(b","))
    return [(n, v) for n, v in headers if n not in hop_by_hop]


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of a request, with a ``content-length`` if it has or may have a body.

    :param method: the method.
    :param target: the path and the query.
    :param headers: the headers, without ``content-length`` and ``transfer-encoding``.
    :param body: the complete body.
    """
    lines = [f"{method} {target} HTTP/1.1\r\n".encode("latin-1")]
    lines += [b"%b: %b\r\n" % header for header in headers]
    if body or method not in ("GET", "HEAD", "OPTIONS", "DELETE"):
        lines.append(b"content-length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)


def encode_response(response: Response, head_only: bool, close: bool) -> bytes:
    """Return the bytes of a response; ``content-length`` gives the size of its body.

    It is left out for HEAD if the size is unknown.

    :param response: the response.
    :param head_only: whether to leave out the body, as for HEAD.
    :param close: whether to announce that the connection closes after this response.
    """
    reason = REASONS.get(response.status, b"Status")
    lines = [b"HTTP/1.1 %d %b\r\n" % (response.status, reason)]
    lines += [b"%b: %b\r\n" % header for header in response.headers]
    if response.status not in _BODILESS_STATUSES and (response.body or not head_only):
        lines.append(b"content-length: %d\r\n" % len(response.body))
    if close:
        lines.append(b"connection: close\r\n")
    lines.append(b"\r\n")
    if not head_only and response.status not in _BODILESS_STATUSES:
        lines.append(response.body)
    return b"".join(lines)
