"""One attempt of a request on a backend server or through another entry."""

from __future__ import annotations

import dataclasses

import anyio
import httpcore

from sassafraslock import asgi
from sassafraslock.decisions import retry

KEEP_ALIVE_S = 5.0
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    b"transfer-encoding upgrade content-length".split()
)
NOT_RUN_HEADER = b"sassafraslock-not-run"
BODILESS_STATUSES = (204, 304)
PoolKey = tuple[str, int]
UNSENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
BROKEN_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, OSError)


@dataclasses.dataclass(slots=True)
class Outgoing:
    """A request as it goes out."""

    method: str
    target: str
    headers: asgi.Headers
    body: bytes


@dataclasses.dataclass(slots=True)
class Attempt:
    """How an attempt ended, with the answer where there is one."""

    end: retry.AttemptEnd
    status: int = 0
    headers: asgi.Headers = dataclasses.field(default_factory=list)
    body: bytes = b""
    reason: str = ""

    def header(self, name: bytes) -> bytes:
        """Return an answer's header, empty where it is absent.

        :param name: the name in lower case.
        """
        return next((v for n, v in self.headers if n == name), b"")


class Forwarder:
    """Owns a bounded pool of connections for each address."""

    __slots__ = ("_pools", "late_answers")

    def __init__(self) -> None:
        self._pools: dict[PoolKey, httpcore.AsyncConnectionPool] = {}
        self.late_answers = 0

    async def run(self, ready: anyio.Event) -> None:
        """Keep the pools until cancelled, then close them.

        :param ready: set at once.
        """
        ready.set()
        try:
            await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                for pool in self._pools.values():
                    await pool.aclose()

    def _pool(self, address: str, connections: int) -> httpcore.AsyncConnectionPool:
        pool = self._pools.get((address, connections))
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=connections,
                max_keepalive_connections=connections,
                keepalive_expiry=KEEP_ALIVE_S,
            )
            self._pools[(address, connections)] = pool
        return pool

    async def attempt(
        self, address: str, connections: int, outgoing: Outgoing, left_ms: int, max_bytes: int
    ) -> Attempt:
        """Send a request and read the whole answer.

        :param address: the server's IP number and port.
        :param connections: the most connections to hold to it.
        :param outgoing: the request.
        :param left_ms: the time left to the deadline.
        :param max_bytes: the largest answer that is read.
        """
        found: Attempt | None = None
        with anyio.move_on_after(left_ms / 1000):
            found = await self._exchange(
                self._pool(address, connections), address, outgoing, max_bytes
            )
        if found is None:
            self.late_answers += 1
            return Attempt(retry.AttemptEnd.TIMED_OUT, reason="no answer before the deadline")
        return found

    async def _exchange(
        self,
        pool: httpcore.AsyncConnectionPool,
        address: str,
        outgoing: Outgoing,
        max_bytes: int,
    ) -> Attempt:
        headers = list(outgoing.headers)
        if not any(name == b"host" for name, _ in headers):
            headers.insert(0, (b"host", address.encode()))
        url = httpcore.URL(
            scheme=b"http",
            host=address.rpartition(":")[0].encode(),
            port=int(address.rpartition(":")[2]),
            target=outgoing.target.encode("latin-1"),
        )
        try:
            async with pool.stream(
                outgoing.method, url, headers=headers, content=outgoing.body
            ) as response:
                return await _read(response, outgoing.method, max_bytes)
        except UNSENT_ERRORS as error:
            return Attempt(retry.AttemptEnd.NOT_SENT, reason=f"{type(error).__name__}: {error}")
        except BROKEN_ERRORS as error:
            reason = f"{type(error).__name__}: {error}"
            return Attempt(retry.AttemptEnd.BROKE_MID_RUN, reason=reason)

    def dump(self) -> dict[str, object]:
        """Return the connections held to each address."""
        return {f"{a} of {n}": len(pool.connections) for (a, n), pool in self._pools.items()}


async def _read(response: httpcore.Response, method: str, max_bytes: int) -> Attempt:
    """Read an answer whole, or tell that it broke off."""
    headers = [(n.lower(), v) for n, v in response.headers]
    names = {n for n, _ in headers}
    framed = b"content-length" in names or b"transfer-encoding" in names
    if not framed and method != "HEAD" and response.status not in BODILESS_STATUSES:
        reason = "the answer has no length, so that its end cannot be told from a break"
        return Attempt(retry.AttemptEnd.BROKE_MID_RUN, reason=reason)
    parts: list[bytes] = []
    size_bytes = 0
    async for part in response.aiter_stream():
        parts.append(part)
        size_bytes += len(part)
        if size_bytes > max_bytes:
            reason = f"the answer is larger than {max_bytes} bytes"
            return Attempt(retry.AttemptEnd.BROKE_MID_RUN, reason=reason)
    refused = dict(headers).get(NOT_RUN_HEADER) == b"true"
    end = retry.AttemptEnd.REFUSED_NOT_RUN if refused else retry.AttemptEnd.ANSWERED
    return Attempt(end, response.status, headers, b"".join(parts))


def end_to_end(headers: asgi.Headers) -> asgi.Headers:
    """Return the headers that pass through an entry.

    Names listed in a ``connection`` header are left out with the hop-by-hop ones.

    :param headers: the headers received, names in lower case.
    """
    listed = {
        name.strip().lower() for n, v in headers if n == b"connection" for name in v.split(b",")
    }
    return [(n, v) for n, v in headers if n not in HOP_BY_HOP and n not in listed]
