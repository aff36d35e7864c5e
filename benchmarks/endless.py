"""Memory of an entry's connections while many servers send answers without end, on loopback."""

from __future__ import annotations

import dataclasses
import itertools
import pathlib
import socket
import threading
import time

import anyio

from sassafraslock.services import server_connection, upstream

HOST = "127.0.0.1"
SERVERS = 100
SECONDS = 3.0
PIECE = 64 << 10
FIRST = b"HTTP/1.1 200 OK\r\nx-id: r\r\n"
STATUS = pathlib.Path("/proc/self/status")
CLEAR_PEAK = pathlib.Path("/proc/self/clear_refs")


@dataclasses.dataclass(slots=True, frozen=True)
class Pattern:
    """What a server sends: once, and then again and again."""

    name: str
    first: bytes
    again: bytes


PATTERNS = (
    Pattern("header lines", FIRST, b"x-filler: " + b"a" * 100 + b"\r\n"),
    Pattern("one header", FIRST + b"x-filler: ", b"a" * PIECE),
    Pattern("body to the end", FIRST + b"\r\n", b"a" * PIECE),
    Pattern("chunks of one byte", FIRST + b"transfer-encoding: chunked\r\n\r\n", b"1\r\na\r\n"),
    Pattern("chunk extension", FIRST + b"transfer-encoding: chunked\r\n\r\n1;", b"a" * PIECE),
    Pattern("trailers", FIRST + b"transfer-encoding: chunked\r\n\r\n0\r\n", b"x: y\r\n"),
    Pattern("interim answers", b"", b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"),
    Pattern("foreign answers", b"", b"HTTP/1.1 200 OK\r\nx-id: z\r\ncontent-length: 1\r\n\r\na"),
)


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """The most memory above idle, and how many exchanges ended before their time limit."""

    pattern: str
    servers: int
    peak_mib: float
    cut: int


def measure() -> list[Row]:
    """Return a row for each pattern."""
    return [anyio.run(_measure, pattern) for pattern in PATTERNS]


async def _measure(pattern: Pattern) -> Row:
    listener = socket.create_server((HOST, 0), backlog=SERVERS)
    threading.Thread(target=_accept, args=(listener, pattern), daemon=True).start()
    address = f"{HOST}:{listener.getsockname()[1]}"
    connections = upstream.Upstream(b"x-id")
    ends: list[server_connection.Exchange] = []
    CLEAR_PEAK.write_text("5")
    idle_kib = _status_kib("VmRSS")

    async def ask() -> None:
        with anyio.move_on_after(SECONDS):
            request = b"GET / HTTP/1.1\r\n\r\n"
            ends.append(await connections.exchange(address, lambda: request, b"r", False))

    async with anyio.create_task_group() as group:
        for _ in range(SERVERS):
            group.start_soon(ask)
    peak_kib = _status_kib("VmHWM")
    listener.close()
    return Row(pattern.name, SERVERS, (peak_kib - idle_kib) / 1024, len(ends))


def _accept(listener: socket.socket, pattern: Pattern) -> None:
    while True:
        try:
            accepted, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=_send, args=(accepted, pattern), daemon=True).start()


def _send(accepted: socket.socket, pattern: Pattern) -> None:
    piece = pattern.again * max(1, PIECE // len(pattern.again))
    until_s = time.monotonic() + SECONDS
    with accepted:
        try:
            accepted.sendall(pattern.first)
            for _ in itertools.takewhile(lambda _: time.monotonic() < until_s, itertools.count()):
                accepted.sendall(piece)
        except OSError:
            return


def _status_kib(name: str) -> int:
    found = next(line for line in STATUS.read_text().splitlines() if line.startswith(name))
    return int(found.split()[1])
