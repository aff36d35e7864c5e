"""HTTP calls to a store over pooled connections, with a time limit on each call."""

from __future__ import annotations

import socket

import anyio
import httpcore

from sassafraslock import bounded_call, errors, http_messages

CONNECT_TIMEOUT_S = 0.5  # shorter than the 1 s after which TCP sends a lost SYN again
ANSWER_TIMEOUT_S = 1.0  # for each read of a part of the response
WHOLE_ANSWER_TIMEOUT_S = 4.0
MAX_ANSWER_BYTES = 8 << 20  # more than the reports of 1000 servers in 20 s
MAX_CONNECTIONS = 8
KEEP_ALIVE_EXPIRY_S = 10.0
KEEP_ALIVE_S = 1
KEEP_ALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 2_000

_SOCKET_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
]


class StoreCaller:
    """Calls one store; after a failure it uses new connections."""

    __slots__ = ("_url", "_pool")

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}"
        self._pool = _new_pool()

    async def call(
        self,
        method: str,
        target: str,
        headers: http_messages.Headers,
        body: bytes,
        wait_s: float = 0.0,
    ) -> http_messages.Response | errors.Refusal:
        """Return the store's response, or a refusal if none arrives in time.

        :param method: the method.
        :param target: the path and query.
        :param headers: the request's headers.
        :param body: the request's body.
        :param wait_s: how long the store may wait before it responds, as in a long poll.
        """
        timeouts = {
            "connect": CONNECT_TIMEOUT_S,
            "read": ANSWER_TIMEOUT_S + wait_s,
            "write": ANSWER_TIMEOUT_S,
            "pool": ANSWER_TIMEOUT_S,
        }
        pool = self._pool
        try:
            with anyio.fail_after(WHOLE_ANSWER_TIMEOUT_S + wait_s):
                return await bounded_call.request(
                    pool,
                    method,
                    self._url + target,
                    MAX_ANSWER_BYTES,
                    headers=headers,
                    content=body or None,
                    extensions={"timeout": timeouts},
                )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            await self._replace_pool(pool)
            return _refusal(method, target, error)
        except OSError as error:
            return _refusal(method, target, error)

    async def _replace_pool(self, pool: httpcore.AsyncConnectionPool) -> None:
        """Close all connections of a pool, since its idle ones may have died of the same fault."""
        if self._pool is pool:
            self._pool = _new_pool()
            await pool.aclose()


def _new_pool() -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        keepalive_expiry=KEEP_ALIVE_EXPIRY_S,
        socket_options=_SOCKET_OPTIONS,
    )


def _refusal(method: str, target: str, error: Exception) -> errors.Refusal:
    reason = f"store call {method} {target} failed: {error!r}"
    return errors.Refusal(errors.ErrorKind.STORE_UNAVAILABLE, reason)
