"""HTTP calls over httpcore with a limit on the size of the response."""

from __future__ import annotations

import typing

import httpcore

from sassafraslock import http_messages


async def request(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    max_bytes: int,
    headers: http_messages.Headers | None = None,
    content: bytes | None = None,
    extensions: dict[str, typing.Any] | None = None,
) -> http_messages.Response:
    """Send a request to a peer or the store and return the complete response.

    Only the body is limited here, since httpcore limits the head itself.

    :param pool: the connection pool.
    :param method: the method.
    :param url: the absolute URL.
    :param max_bytes: the largest body that is accepted.
    :param headers: the request's headers.
    :param content: the request's body.
    :param extensions: httpcore's extensions, such as time-outs.
    :raises httpcore.RemoteProtocolError: if the body is larger, or the status is no status of a
        final response; the connection is then closed.
    """
    body = bytearray()
    stream = pool.stream(method, url, headers=headers, content=content, extensions=extensions)
    async with stream as response:
        version = response.extensions["http_version"].decode("latin-1").removeprefix("HTTP/")
        fault = http_messages.status_line_fault(response.status, version)
        if fault or not http_messages.is_final(response.status):
            reason = fault or f"interim response {response.status} ends the exchange"
            raise httpcore.RemoteProtocolError(f"{url}: {reason}")
        async for part in response.aiter_stream():
            body += part
            if len(body) > max_bytes:
                raise httpcore.RemoteProtocolError(
                    f"body of the response from {url} is larger than {max_bytes} bytes"
                )
        return http_messages.Response(response.status, response.headers, bytes(body))
