"""Loopback TCP proxy that delays, resets or stalls connections, or sends unbounded responses."""

from __future__ import annotations

import enum
import random
import socket
import struct

import anyio
import anyio.abc

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
LINGER_RESET = struct.pack("ii", 1, 0)


ENDLESS_HEADS = (
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nx-filler: ",
    b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
)
ENDLESS_LINES = b"x-filler: a\r\n" * 1_000


class Mode(enum.StrEnum):
    """The fault in force; ``ONE_WAY`` stalls data from server to client only."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one way"
    ENDLESS = "endless"


class Proxy:
    """Forwards one port to another; a fault applies to open and new connections."""

    def __init__(self, port: int, target_port: int, seed: int) -> None:
        self.port = port
        self.mode = Mode.PASS
        self._target_port = target_port
        self._random = random.Random(seed)
        self._connections: set[anyio.abc.SocketStream] = set()

    async def run(self, ready: anyio.Event) -> None:
        """Forward until cancelled.

        :param ready: set once the port accepts connections.
        """
        listener = await anyio.create_tcp_listener(local_host=HOST, local_port=self.port)
        async with listener:
            ready.set()
            await listener.serve(self._serve)

    def set_mode(self, mode: Mode) -> None:
        """Set the fault in force; :attr:`Mode.PASS` ends it.

        :param mode: the fault, which for :attr:`Mode.RESET` also resets all open connections.
        """
        self.mode = mode
        if mode is Mode.RESET:
            for stream in list(self._connections):
                _reset(stream)

    async def _serve(self, client: anyio.abc.SocketStream) -> None:
        if self.mode is Mode.RESET:
            _reset(client)
        self._connections.add(client)
        try:
            async with (
                client,
                await anyio.connect_tcp(HOST, self._target_port) as server,
                anyio.create_task_group() as group,
            ):
                group.start_soon(self._pump, client, server, False, group.cancel_scope)
                group.start_soon(self._pump, server, client, True, group.cancel_scope)
        except OSError:
            _reset(client)
        finally:
            self._connections.discard(client)

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        is_response: bool,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                await self._wait_for_fault(is_response)
                if is_response and self.mode is Mode.ENDLESS:
                    await self._send_unbounded_response(sink)
                    scope.cancel()
                    return
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            scope.cancel()

    async def _send_unbounded_response(self, sink: anyio.abc.SocketStream) -> None:
        """Send an unbounded response until the connection closes or the fault ends."""
        await sink.send(self._random.choice(ENDLESS_HEADS))
        while self.mode is Mode.ENDLESS:
            await sink.send(ENDLESS_LINES)

    async def _wait_for_fault(self, is_response: bool) -> None:
        if self.mode is Mode.DELAY:
            await anyio.sleep(self._random.uniform(0.02, 0.3))
        while self.mode is Mode.SILENCE or (self.mode is Mode.ONE_WAY and is_response):
            await anyio.sleep(0.02)


def _reset(stream: anyio.abc.SocketStream) -> None:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        raw.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
