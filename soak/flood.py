"""Clients that send requests of unbounded size."""

from __future__ import annotations

import anyio

CLIENTS = 20
FILLER = b"x-filler: a\r\n" * 1_000
REQUEST_HEADS = (
    b"GET / HTTP/1.1\r\n",
    b"GET / HTTP/1.1\r\nx-filler: ",
    b"POST /kocar/logbook/filings HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999\r\n\r\n",
    b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
)


async def flood(host: str, port: int, seconds: float) -> None:
    """Send unbounded requests from ``CLIENTS`` clients at once.

    :param host: the entry's IP address.
    :param port: the entry's port for callers.
    :param seconds: when to stop.
    """
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as group:
            for number in range(CLIENTS):
                group.start_soon(
                    _send_unbounded_requests, host, port, REQUEST_HEADS[number % len(REQUEST_HEADS)]
                )


async def _send_unbounded_requests(host: str, port: int, head: bytes) -> None:
    while True:
        try:
            async with await anyio.connect_tcp(host, port) as stream:
                await stream.send(head)
                while True:
                    await stream.send(FILLER)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await anyio.sleep(0.05)
