"""Copies of the store that entries pass to each other over HTTP."""

from __future__ import annotations

import random
import typing

import anyio
import httpcore
import msgspec

from sassafraslock import bounded_call, clock, events, http_messages
from sassafraslock.decisions import message_auth
from sassafraslock.services import gossip, replica

FETCH_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
ANSWER_MARGIN_S = 0.5
MAX_WAIT_MS = 2_000
MAX_COPY_BYTES = 8 << 20
COPY_PATH = "/copy"
OK = 200

_FAILURES = (
    OSError,
    TimeoutError,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    msgspec.DecodeError,
)


class CopyRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for what is known beyond some versions.

    An entry that follows another one's copy names how long to wait for news in ``wait_ms``; such
    a request is refused by an entry that does not read the store itself.
    """

    positions: dict[str, int]
    wait_ms: int = 0


class CopyClient:
    """Asks one peer after the other for its copy, over kept connections."""

    __slots__ = ("_token", "_pool", "_decoder")

    def __init__(self, token: str) -> None:
        self._token = token
        self._pool = httpcore.AsyncConnectionPool()
        self._decoder = msgspec.msgpack.Decoder(replica.Export)

    async def fetch(
        self, address: str, wanted: CopyRequest, timeout_s: float
    ) -> replica.Export | None:
        """Return a peer's copy, or none where it does not come in time; the reason is logged.

        :param address: the peer's address.
        :param wanted: what is asked for.
        :param timeout_s: the longest time for the whole call.
        """
        body = message_auth.sign(self._token, msgspec.msgpack.encode(wanted))
        url = f"http://{address}{COPY_PATH}"
        timeouts = {"connect": CONNECT_TIMEOUT_S, "read": timeout_s, "write": timeout_s}
        try:
            with anyio.fail_after(timeout_s):
                answer = await bounded_call.request(
                    self._pool,
                    "POST",
                    url,
                    MAX_COPY_BYTES,
                    content=body,
                    extensions={"timeout": timeouts},
                )
            opened = message_auth.verify(self._token, answer.body)
            if answer.status == OK and opened is not None:
                return self._decoder.decode(opened)
            reason = f"status {answer.status}"
        except _FAILURES as error:
            reason = repr(error)
        events.log(events.Event.PEER_MESSAGE_REJECTED, f"no copy from {address}: {reason}")
        await self._drop_connections()
        return None

    async def _drop_connections(self) -> None:
        """Leave kept connections, which may have died in the same silence."""
        pool, self._pool = self._pool, httpcore.AsyncConnectionPool()
        await pool.aclose()


class PeerCopyReader:
    """Fetches what any peer's copy of the store holds, while the store is away."""

    __slots__ = ("_gossip", "_own_version", "_client")

    def __init__(
        self, members: gossip.GossipService, own_version: typing.Callable[[], int]
    ) -> None:
        self._gossip = members
        self._own_version = own_version
        self._client = CopyClient(members.token)

    async def fetch(self, positions: dict[str, int]) -> replica.Export | None:
        """Return what a peer that is ahead knows beyond some versions, if there is one.

        :param positions: the version reached, by topic.
        """
        now_ms = clock.monotonic_ms()
        ahead = [
            m.record.gossip_address
            for m in self._gossip.roster.live(now_ms)
            if m.record.replica_version > self._own_version()
        ]
        if not ahead:
            return None
        return await self._client.fetch(
            random.choice(ahead), CopyRequest(positions), FETCH_TIMEOUT_S
        )


class PeerApi:
    """Answers peers that ask for this entry's copy."""

    __slots__ = ("_replica", "_decoder", "_token")

    def __init__(self, copy: replica.Replica, token: str) -> None:
        self._replica = copy
        self._token = token
        self._decoder = msgspec.msgpack.Decoder(CopyRequest)

    async def __call__(self, request: http_messages.Request) -> http_messages.Response:
        """Return the copy beyond the versions that the request names.

        :param request: the peer's request.
        """
        if request.path != COPY_PATH:
            return http_messages.Response(404)
        opened = message_auth.verify(self._token, request.body)
        if opened is None:
            return http_messages.Response(401)
        try:
            wanted = self._decoder.decode(opened)
        except msgspec.DecodeError:
            return http_messages.Response(400)
        if wanted.wait_ms:
            if self._replica.relayed:
                return http_messages.Response(409)
            await self._replica.wait_for_news(wanted.positions, min(wanted.wait_ms, MAX_WAIT_MS))
        export = msgspec.msgpack.encode(self._replica.export(wanted.positions))
        return http_messages.Response(200, body=message_auth.sign(self._token, export))
