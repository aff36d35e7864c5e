"""Calls over httpcore whose answers may not be larger than the caller can hold."""

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
    """Call a peer or the store; httpcore itself bounds the head.

    :param pool: the connections.
    :param method: the method.
    :param url: where to.
    :param max_bytes: the largest body.
    :param headers: the request's headers.
    :param content: the request's body.
    :param extensions: httpcore's, such as time limits.
    :raises httpcore.RemoteProtocolError: if the body is larger; its connection is closed.
    """
    body = bytearray()
    streamed = pool.stream(method, url, headers=headers, content=content, extensions=extensions)
    async with streamed as response:
        async for part in response.aiter_stream():
            body += part
            if len(body) > max_bytes:
                raise httpcore.RemoteProtocolError(f"the answer is larger than {max_bytes} bytes")
        return http_messages.Response(response.status, response.headers, bytes(body))
