"""HTTP/1.1 server for one address, run as a kernel service."""

from __future__ import annotations

import asyncio
import logging
import typing

import anyio

from sassafraslock import clock, http_messages, listening, routing_table
from sassafraslock.decisions import message_quota
from sassafraslock.services import acceptor, client_connection, cut_log

TIMEOUT_CHECK_INTERVAL_S = 1.0
CLOSE_POLL_S = 0.05
RECEIVE_MS = 500  # at a stop, the time for the rest of a request that has begun to arrive
_LOGGER = logging.getLogger(__name__)


class HttpServer:
    """Passes the requests that arrive at one address to a handler.

    ``limits`` may be replaced at any time and applies to open connections too. Without a
    ``policy``, the pipelined requests of a connection run one after the other.
    """

    __slots__ = (
        "limits",
        "closing",
        "connections",
        "quota",
        "cuts",
        "_acceptor",
        "_handler",
        "_policy",
        "_host",
        "_port",
        "_tasks",
    )

    def __init__(
        self,
        handler: http_messages.Handler,
        host: str,
        port: int,
        policy: http_messages.PipeliningPolicy | None = None,
        quota: message_quota.MessageQuota | None = None,
    ) -> None:
        self.quota = quota or message_quota.MessageQuota()
        self.limits = routing_table.Limits()
        self.closing = False
        self.connections: set[client_connection.Connection] = set()
        self.cuts = cut_log.CutLog()
        self._acceptor: acceptor.Acceptor | None = None
        self._handler = handler
        self._policy = policy or _run_in_order
        self._host = host
        self._port = port
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, ready: anyio.Event) -> None:
        """Serve until cancelled, then abort every connection.

        :param ready: set once the address accepts connections.
        """
        accepting = acceptor.Acceptor(
            listening.listen(self._host, self._port), lambda: client_connection.Connection(self)
        )
        self._acceptor = accepting
        accepting.start()
        ready.set()
        try:
            while True:
                await anyio.sleep(TIMEOUT_CHECK_INTERVAL_S)
                self._enforce_timeouts(clock.monotonic_ms())
        finally:
            accepting.abort()
            self._abort_connections(clock.monotonic_ms())

    def _enforce_timeouts(self, now_ms: int) -> None:
        self._check_each(lambda connection: connection.enforce_timeouts(now_ms))

    def _check_each(self, check: typing.Callable[[client_connection.Connection], None]) -> None:
        """Call a function for each connection; a fault costs its connection alone."""
        for connection in list(self.connections):
            try:
                check(connection)
            except Exception:
                _LOGGER.exception("check of a connection failed; it is closed")
                connection.cut(cut_log.CutCause.FAULT)

    def _abort_connections(self, now_ms: int) -> None:
        unfinished = [connection.unfinished for connection in self.connections]
        self.cuts.record(cut_log.CutCause.STOP, unfinished, now_ms)
        for connection in list(self.connections):
            connection.abort()

    async def close_connections(self) -> None:
        """Stop listening, answer what has been received, and close each connection after that.

        Returns once all connections are closed. The caller limits the time, since clients may
        read their answers slowly.
        """
        self.closing = True
        if self._acceptor is not None:
            self._acceptor.close()
        started_ms = clock.monotonic_ms()
        while self.connections or (self._acceptor is not None and self._acceptor.is_opening):
            self._close_idle(started_ms, clock.monotonic_ms())
            await anyio.sleep(CLOSE_POLL_S)

    def _close_idle(self, started_ms: int, now_ms: int) -> None:
        self._check_each(lambda connection: connection.close_if_idle(now_ms))
        if now_ms - started_ms >= RECEIVE_MS:
            self._check_each(client_connection.Connection.reject_incomplete)

    @property
    def accept_failures(self) -> int:
        """The number of errors of ``accept``."""
        return self._acceptor.failures if self._acceptor is not None else 0

    @property
    def is_busy(self) -> bool:
        """Whether a request is being processed."""
        return any(connection.is_busy for connection in self.connections)

    def begin_closing(self) -> None:
        """Close each connection after its next response, announced with ``connection: close``."""
        self.closing = True

    def start(
        self, exchange: client_connection.Exchange, connection: client_connection.Connection
    ) -> None:
        """Run the handler for one request in a task of the event loop.

        :param exchange: receives the task now and the response later.
        :param connection: is notified when the response is available.
        """
        task = asyncio.get_running_loop().create_task(self._process(exchange, connection))
        exchange.task = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def may_run_concurrently(self, request: http_messages.Request) -> bool:
        """Return whether a request may run while earlier ones of its connection are in progress.

        :param request: the request.
        """
        try:
            return self._policy(request)
        except Exception:
            _LOGGER.exception("pipelining policy failed; the request runs alone")
            return False

    async def _process(
        self, exchange: client_connection.Exchange, connection: client_connection.Connection
    ) -> None:
        try:
            exchange.response = await self._handler(exchange.request)
        except Exception:
            _LOGGER.exception(
                f"request handler of {self._host}:{self._port} failed; client receives status 500"
            )
            exchange.response = http_messages.Response(500, close=True)
        connection.on_response_ready()


def _run_in_order(request: http_messages.Request) -> bool:
    return False
