"""Helpers for ASGI applications that are served by uvicorn."""

from __future__ import annotations

import dataclasses
import socket
import typing
import urllib.parse

import anyio
import msgspec
import uvicorn

from sassafraslock import listening

Scope = typing.MutableMapping[str, typing.Any]
Message = typing.MutableMapping[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[Message]]
Send = typing.Callable[[Message], typing.Awaitable[None]]
App = typing.Callable[[Scope, Receive, Send], typing.Awaitable[None]]
Headers = list[tuple[bytes, bytes]]

KEEP_ALIVE_S = 30
BACKLOG = 512
START_POLL_S = 0.02


@dataclasses.dataclass(slots=True)
class Request:
    """The head of a request."""

    method: str
    path: str
    query: str
    headers: Headers

    def header(self, name: bytes) -> str:
        """Return the value of a header, or an empty string if it is absent.

        :param name: the name in lower case; if it occurs more than once, the first one counts.
        """
        return next((v.decode("latin-1") for n, v in self.headers if n == name), "")

    def parameter(self, name: str) -> str:
        """Return the decoded value of a query parameter, or an empty string if it is absent.

        :param name: the parameter's name; if it occurs more than once, the first one counts.
        """
        return urllib.parse.parse_qs(self.query).get(name, [""])[0]


def request_from_scope(scope: Scope) -> Request:
    """Return the head of a request from its ASGI scope.

    :param scope: the connection scope of type ``http``.
    """
    path = scope["raw_path"].decode("latin-1") if scope.get("raw_path") else scope["path"]
    return Request(scope["method"], path, scope["query_string"].decode("latin-1"), scope["headers"])


async def read_body(receive: Receive, max_bytes: int) -> bytes | None:
    """Return a request's body, or ``None`` if it is too large or the client disconnected.

    :param receive: the ASGI receive callable.
    :param max_bytes: the largest body that is accepted.
    """
    parts: list[bytes] = []
    size_bytes = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        parts.append(message.get("body", b""))
        size_bytes += len(parts[-1])
        if size_bytes > max_bytes:
            return None
        if not message.get("more_body", False):
            return b"".join(parts)


async def send_response(send: Send, status: int, headers: Headers, body: bytes) -> None:
    """Send a complete response.

    :param send: the ASGI send callable.
    :param status: the HTTP status.
    :param headers: the headers, without ``content-length``.
    :param body: the body.
    """
    head = [*headers, (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": head})
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Send, status: int, value: object, headers: Headers | None = None) -> None:
    """Send a complete response whose body is a value as JSON.

    :param send: the ASGI send callable.
    :param status: the HTTP status.
    :param value: built-in types, dataclasses or msgspec structs.
    :param headers: headers besides ``content-type`` and ``content-length``.
    """
    body = msgspec.json.encode(value)
    await send_response(
        send, status, [(b"content-type", b"application/json"), *(headers or [])], body
    )


class HttpServer:
    """Runs an ASGI application on one address as a kernel service."""

    __slots__ = ("_app", "_host", "_port")

    def __init__(self, app: App, host: str, port: int) -> None:
        self._app = app
        self._host = host
        self._port = port

    async def run(self, ready: anyio.Event) -> None:
        """Serve until cancelled, then abort every connection.

        :param ready: set once the address accepts connections.
        """
        config = uvicorn.Config(
            self._app,
            host=self._host,
            port=self._port,
            http="httptools",
            loop="asyncio",
            lifespan="off",
            interface="asgi3",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            ws="none",
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=1,
            backlog=BACKLOG,
        )
        server = _Server(config)
        listener = listening.listen(self._host, self._port)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._wait_started, server, ready)
                await server.main(listener)
                group.cancel_scope.cancel()
        finally:
            server.drop_connections()
            listener.close()

    async def _wait_started(self, server: uvicorn.Server, ready: anyio.Event) -> None:
        while not server.started:
            await anyio.sleep(START_POLL_S)
        ready.set()


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers and stops when cancelled."""

    async def main(self, listener: socket.socket) -> None:
        """Serve on a bound socket until cancelled.

        :param listener: the bound socket.
        """
        self.config.load()
        self.lifespan = self.config.lifespan_class(self.config)
        await self.startup(sockets=[listener])
        await self.main_loop()

    def drop_connections(self) -> None:
        """Close the listeners and abort every connection and task, as a crash would."""
        for server in getattr(self, "servers", []):
            server.close()
        for connection in list(self.server_state.connections):
            transport = getattr(connection, "transport", None)
            if transport is not None:
                transport.abort()
        for task in list(self.server_state.tasks):
            task.cancel()
