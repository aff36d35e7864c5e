"""Clients that send requests without end."""

from __future__ import annotations

import anyio

CLIENTS = 20
PIECE = b"x-filler: a\r\n" * 1_000
HEADS = (
    b"GET / HTTP/1.1\r\n",
    b"GET / HTTP/1.1\r\nx-filler: ",
    b"POST /kocar/logbook/filings HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999\r\n\r\n",
    b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
)


async def flood(host: str, port: int, seconds: float) -> None:
    """Send from several clients at once for a time.

    :param host: the entry's IP number.
    :param port: the port of its callers.
    :param seconds: for how long.
    """
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as group:
            for number in range(CLIENTS):
                group.start_soon(_send_again_and_again, host, port, HEADS[number % len(HEADS)])


async def _send_again_and_again(host: str, port: int, head: bytes) -> None:
    while True:
        try:
            async with await anyio.connect_tcp(host, port) as stream:
                await stream.send(head)
                while True:
                    await stream.send(PIECE)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await anyio.sleep(0.05)
