"""HTTP/1.1 server of one address, as a kernel service."""

from __future__ import annotations

import asyncio
import logging

import anyio

from sassafraslock import clock, http_messages, listening, routing_table
from sassafraslock.decisions import message_quota
from sassafraslock.services import client_connection

BACKLOG = 512
SWEEP_S = 1.0
_LOGGER = logging.getLogger(__name__)


class HttpServer:
    """Serves one handler on one address, as a kernel service."""

    __slots__ = (
        "limits",
        "closing",
        "connections",
        "quota",
        "_handler",
        "_ordering",
        "_host",
        "_port",
        "_tasks",
    )

    def __init__(
        self,
        handler: http_messages.Handler,
        host: str,
        port: int,
        ordering: http_messages.PipeliningPolicy | None = None,
        quota: message_quota.MessageQuota | None = None,
    ) -> None:
        self.quota = quota or message_quota.MessageQuota()
        self.limits = routing_table.Limits()
        self.closing = False
        self.connections: set[client_connection.Connection] = set()
        self._handler = handler
        self._ordering = ordering or _never
        self._host = host
        self._port = port
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, ready: anyio.Event) -> None:
        """Serve until cancelled.

        :param ready: set once the address accepts connections.
        """
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: client_connection.Connection(self),
            sock=listening.listen(self._host, self._port),
            backlog=BACKLOG,
        )
        ready.set()
        try:
            while True:
                await anyio.sleep(SWEEP_S)
                now_ms = clock.monotonic_ms()
                for connection in list(self.connections):
                    connection.sweep(now_ms)
        finally:
            server.close()
            for connection in list(self.connections):
                connection.abort()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being answered."""
        return any(connection.is_busy for connection in self.connections)

    def begin_closing(self) -> None:
        """Close each connection after its next answer, and tell clients so."""
        self.closing = True

    def start(
        self, exchange: client_connection.Exchange, connection: client_connection.Connection
    ) -> None:
        """Run the handler for one request.

        :param exchange: the request.
        :param connection: the connection that sent it.
        """
        task = asyncio.get_running_loop().create_task(self._answer(exchange, connection))
        exchange.task = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def may_run_concurrently(self, request: http_messages.Request) -> bool:
        """Tell whether a request may run before earlier ones of its connection are answered.

        :param request: the request.
        """
        return self._ordering(request)

    async def _answer(
        self, exchange: client_connection.Exchange, connection: client_connection.Connection
    ) -> None:
        try:
            exchange.response = await self._handler(exchange.request)
        except Exception:
            _LOGGER.exception("a request's handler failed")
            exchange.response = http_messages.Response(500, close=True)
        connection.answered()


def _never(request: http_messages.Request) -> bool:
    return False
