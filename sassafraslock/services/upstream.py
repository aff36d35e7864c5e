"""Connection pool to backend servers, with idle connections kept for reuse."""

from __future__ import annotations

import asyncio
import enum
import socket
import typing

import anyio

from sassafraslock import clock, field_types
from sassafraslock.decisions import message_quota
from sassafraslock.services import head_observer, server_connection

CONNECT_TIMEOUT_MS = 600
TCP_USER_TIMEOUT_MS = 2_000  # the connection fails if sent data stays unacknowledged for longer
MIN_IDLE_MS = 300  # the limit on idle time is not reduced below this
CLOSE_IDLE_INTERVAL_S = 1.0
# What connecting to an address may raise; an address that is none raises ValueError.
_CONNECT_ERRORS = (OSError, ValueError, OverflowError)
IDLE_GROWTH_RATIO = 1.05  # growth of a reduced limit on idle time at each check
IDLE_CLOSE_RATIO = 0.8  # of the idle time at which a server closed a connection


class Reachability(enum.Enum):
    """How an address answers to a new connection.

    ``REFUSES``: its machine is there, without a process that listens. ``UNREACHABLE``: no answer.
    """

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    UNREACHABLE = "unreachable"


class ConnectionObserver(typing.Protocol):
    """Observes what connections show of the servers at their addresses."""

    def on_connected(self, address: str) -> None:
        """Observe that an address accepted a connection.

        :param address: the IP address and port.
        """

    def on_not_connected(self, address: str, reachability: Reachability) -> None:
        """Observe that an address did not accept a connection.

        :param address: the IP address and port.
        :param reachability: whether it refused it, or could not be reached.
        """

    def on_disconnected(self, address: str, idle_ms: int) -> None:
        """Observe that no connection to an address is left, and that one ended unexpectedly.

        :param address: the IP address and port.
        :param idle_ms: how long that connection was idle.
        """

    def on_answered(self, address: str, opened_ms: int) -> None:
        """Observe an answer on a connection that was used before.

        :param address: the IP address and port.
        :param opened_ms: when the connection was opened.
        """


class Upstream:
    """Opens connections to servers and keeps idle ones for reuse.

    The pool does not limit the number of connections; callers limit the requests in flight at
    each server. If a connection breaks on reuse after it was idle, the limit on idle time is
    reduced for all servers, and then grows back slowly. ``observer`` is told what connections show.
    """

    __slots__ = (
        "limits",
        "observer",
        "request_bytes",
        "_id_header",
        "_idle",
        "_open",
        "_connections",
        "_unexpected_ends",
        "_idle_limit_ms",
    )

    def __init__(self, id_header: bytes, quota: message_quota.MessageQuota | None = None) -> None:
        self.limits = server_connection.ResponseLimits(quota or message_quota.MessageQuota())
        self.observer: ConnectionObserver | None = None
        self.request_bytes = 0  # of all requests that servers have not answered
        self._id_header = id_header
        self._idle_limit_ms = float(server_connection.MAX_IDLE_MS)
        self._idle: dict[str, list[server_connection.Connection]] = {}
        self._open: dict[str, int] = {}
        self._connections: dict[str, list[server_connection.Connection]] = {}
        self._unexpected_ends: dict[str, int] = {}  # idle times by address

    async def run(self, ready: anyio.Event) -> None:
        """Close connections that were idle for too long, once a second, until cancelled.

        :param ready: set immediately.
        """
        ready.set()
        try:
            while True:
                await anyio.sleep(CLOSE_IDLE_INTERVAL_S)
                self.close_idle(clock.monotonic_ms())
        finally:
            for connections in self._idle.values():
                for connection in connections:
                    connection.close()

    def close_idle(self, now_ms: int) -> None:
        """Close connections that were idle for too long.

        :param now_ms: the current monotonic time.
        """
        self._idle_limit_ms = min(
            server_connection.MAX_IDLE_MS, self._idle_limit_ms * IDLE_GROWTH_RATIO
        )
        for address, connections in list(self._idle.items()):
            kept = [c for c in connections if _is_reusable(c, c.max_idle_ms, now_ms)]
            for connection in connections:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
        self._forget_closed()

    def _forget_closed(self) -> None:
        for address, connections in list(self._connections.items()):
            self._connections[address] = [c for c in connections if not c.closed]
            if not self._connections[address]:
                del self._connections[address]

    def open_connections(self, address: str) -> int:
        """Return the number of connections in use at a server, idle ones excluded.

        :param address: the server's IP address and port.
        """
        return self._open.get(address, 0)

    @property
    def connection_count(self) -> int:
        """The number of connections to servers, idle ones included."""
        return sum(len(connections) for connections in self._connections.values())

    def connected_before(self, address: str, at_ms: int) -> bool:
        """Return whether a connection to an address is open that was open at a given time.

        :param address: the server's IP address and port.
        :param at_ms: the monotonic time.
        """
        connections = self._connections.get(address, ())
        return any(c.opened_ms < at_ms and not c.closed for c in connections)

    async def exchange(
        self,
        address: str,
        encode: typing.Callable[[], bytes],
        request_id: bytes,
        head_only: bool,
        observe_head: head_observer.HeadObserver | None = None,
    ) -> server_connection.Exchange:
        """Send a request to a server and wait for its response.

        Failures are reported by the outcome of the exchange, not raised. Cancellation closes the
        connection.

        :param address: the server's IP address and port.
        :param encode: returns the encoded request, once the connection is open.
        :param request_id: the id that the response must carry.
        :param head_only: whether the request is a HEAD.
        :param observe_head: gets the head of each response on the connection, until its next use.
        """
        self._open[address] = self._open.get(address, 0) + 1
        connection: server_connection.Connection | None = None
        try:
            connection = self._take_idle(address)
            connect_ms = -1
            idle_ms = 0
            if connection is None:
                started_ms = clock.monotonic_ms()
                connection = await self._connect(address)
                connect_ms = clock.monotonic_ms() - started_ms
            else:
                idle_ms = clock.monotonic_ms() - connection.idle_since_ms
            connection.observe_head = observe_head
            exchange = await self._send(connection, encode(), request_id, head_only)
            exchange.connect_ms = connect_ms
            self._observe_answer(address, connection, exchange)
            self._adapt_idle_limit(exchange, idle_ms)
            if connection.release(clock.monotonic_ms()):
                self._idle.setdefault(address, []).append(connection)
                connection = None
            return exchange
        except _CONNECT_ERRORS as error:
            return _not_connected(address, error)
        finally:
            if connection is not None:
                connection.close()
            self._open[address] -= 1
            if not self._open[address]:
                del self._open[address]

    async def _send(
        self,
        connection: server_connection.Connection,
        data: bytes,
        request_id: bytes,
        head_only: bool,
    ) -> server_connection.Exchange:
        self.request_bytes += len(data)
        try:
            return await connection.send(data, request_id, head_only)
        finally:
            self.request_bytes -= len(data)

    def _observe_answer(
        self,
        address: str,
        connection: server_connection.Connection,
        exchange: server_connection.Exchange,
    ) -> None:
        is_answered = exchange.outcome is server_connection.Outcome.ANSWERED
        if not is_answered or exchange.connect_ms >= 0:
            return
        self._unexpected_ends.pop(address, None)
        if self.observer is not None:
            self.observer.on_answered(address, connection.opened_ms)

    def record_idle_close(self, idle_ms: int) -> None:
        """Reduce the limit on idle time, since a server that goes on closed a connection.

        :param idle_ms: how long the connection was idle.
        """
        limit_ms = IDLE_CLOSE_RATIO * idle_ms
        self._idle_limit_ms = max(MIN_IDLE_MS, min(self._idle_limit_ms, limit_ms))

    def _adapt_idle_limit(self, exchange: server_connection.Exchange, idle_ms: int) -> None:
        """Reduce the limit on idle time if a connection broke on reuse.

        Servers or the network may drop idle connections earlier than announced.
        """
        if exchange.outcome is server_connection.Outcome.BROKEN and idle_ms > MIN_IDLE_MS:
            self._idle_limit_ms = max(MIN_IDLE_MS, min(self._idle_limit_ms, idle_ms) / 2)

    async def probe(self, address: str) -> Reachability:
        """Return whether a server accepts a TCP connection, which is kept for reuse.

        :param address: the server's IP address and port.
        """
        try:
            connection = await self._connect(address)
        except ConnectionRefusedError:
            return Reachability.REFUSES
        except _CONNECT_ERRORS:
            return Reachability.UNREACHABLE
        connection.idle_since_ms = clock.monotonic_ms()
        self._idle.setdefault(address, []).append(connection)
        return Reachability.ACCEPTS

    def _take_idle(self, address: str) -> server_connection.Connection | None:
        now_ms = clock.monotonic_ms()
        connections = self._idle.get(address)
        while connections:
            connection = connections.pop()
            limit_ms = int(min(connection.max_idle_ms, self._idle_limit_ms))
            if _is_reusable(connection, limit_ms, now_ms):
                return connection
            connection.close()
        return None

    async def _connect(self, address: str) -> server_connection.Connection:
        try:
            connection = await self._open_connection(address)
        except _CONNECT_ERRORS as error:
            if self.observer is not None:
                self.observer.on_not_connected(address, _reachability(error))
            raise
        if self.observer is not None:
            self.observer.on_connected(address)
        return connection

    async def _open_connection(self, address: str) -> server_connection.Connection:
        host, port = field_types.split_address(address)
        loop = asyncio.get_running_loop()
        with anyio.fail_after(CONNECT_TIMEOUT_MS / 1000):
            transport, connection = await loop.create_connection(
                lambda: server_connection.Connection(self._id_header, self.limits), host, port
            )
        tcp_socket = transport.get_extra_info("socket")
        if tcp_socket is not None:
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        connection.opened_ms = clock.monotonic_ms()
        connection.on_end = lambda ended, is_own: self._observe_end(address, ended, is_own)
        opened = [c for c in self._connections.get(address, ()) if not c.closed]
        self._connections[address] = [*opened, connection]
        return connection

    def _observe_end(self, address: str, ended: server_connection.Connection, is_own: bool) -> None:
        """Tell the observer once no connection is left, if any ended unexpectedly."""
        if not is_own and not ended.has_announced_end:
            idle_ms = clock.monotonic_ms() - ended.idle_since_ms if ended.is_idle else 0
            self._unexpected_ends.setdefault(address, idle_ms)
        if any(not c.closed for c in self._connections.get(address, ())):
            return
        unexpected_idle_ms = self._unexpected_ends.pop(address, None)
        if unexpected_idle_ms is not None and self.observer is not None:
            self.observer.on_disconnected(address, unexpected_idle_ms)


def _not_connected(address: str, error: Exception) -> server_connection.Exchange:
    reason = (
        f"connecting to {address} failed (time limit {CONNECT_TIMEOUT_MS} ms):"
        f" {type(error).__name__}: {error}"
    )
    return server_connection.Exchange(server_connection.Outcome.NOT_CONNECTED, reason=reason)


def _reachability(error: Exception) -> Reachability:
    refused = isinstance(error, ConnectionRefusedError)
    return Reachability.REFUSES if refused else Reachability.UNREACHABLE


def _is_reusable(connection: server_connection.Connection, limit_ms: int, now_ms: int) -> bool:
    return not connection.is_ending and now_ms - connection.idle_since_ms < limit_ms
