"""Exchange of store copies between entries over HTTP."""

from __future__ import annotations

import random

import anyio
import httpcore
import msgspec

from sassafraslock import bounded_call, clock, events, facts, field_types, http_messages
from sassafraslock.decisions import copy_budget, message_auth
from sassafraslock.services import (
    copy_encoder,
    export_decoder,
    gossip,
    rejections,
    replica,
    store_export,
)

FETCH_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
ANSWER_MARGIN_S = 0.5
MAX_WAIT_MS = 2_000
MAX_COPY_BYTES = 8 << 20
COPY_PATH = "/copy"
OK = 200
NO_BUDGET = 503

_FAILURES = (
    OSError,
    TimeoutError,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    msgspec.DecodeError,
    ValueError,  # of an address that is none, or of a copy that cannot be decompressed
)


class CopyRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the rows that changed after ``positions``, the version reached by topic.

    A follower sets ``wait_ms``, the longest time to wait for a change. An entry that follows
    another one itself refuses such a request with status 409. Entries of former versions do not
    set ``accepts_compressed``.
    """

    positions: dict[field_types.Name, field_types.Version]
    wait_ms: int = 0
    accepts_compressed: bool = False


class CopyClient:
    """Fetches peers' copies over pooled connections; ``rejected`` counts rows left out."""

    __slots__ = ("_token", "_rejected", "_pool", "_decoder")

    def __init__(self, token: str, rejected: rejections.Rejections | None = None) -> None:
        self._rejected = rejected or rejections.Rejections()
        self._token = token
        self._pool = httpcore.AsyncConnectionPool()
        self._decoder = export_decoder.ExportDecoder()

    async def fetch(
        self, address: str, copy_request: CopyRequest, timeout_s: float
    ) -> store_export.Export | None:
        """Return a peer's rows, or none if the call fails; the reason is logged.

        :param address: the peer's address.
        :param copy_request: the versions after which changes are requested.
        :param timeout_s: the time limit of the call.
        """
        body = message_auth.sign(self._token, msgspec.msgpack.encode(copy_request))
        url = f"http://{address}{COPY_PATH}"
        timeouts = {"connect": CONNECT_TIMEOUT_S, "read": timeout_s, "write": timeout_s}
        try:
            with anyio.fail_after(timeout_s):
                response = await bounded_call.request(
                    self._pool,
                    "POST",
                    url,
                    MAX_COPY_BYTES,
                    content=body,
                    extensions={"timeout": timeouts},
                )
            export = self.read(address, response)
            if export is not None:
                return export
            reason = f"status {response.status}"
        except _FAILURES as error:
            reason = repr(error)
        events.log(
            events.Event.PEER_MESSAGE_REJECTED, f"fetching the copy of {address} failed: {reason}"
        )
        await self._drop_connections()
        return None

    def read(self, address: str, response: http_messages.Response) -> store_export.Export | None:
        """Return the rows in a peer's response, none if it has none or is not signed rightly.

        :param address: the peer's address.
        :param response: its response.
        :raises ValueError: if the rows cannot be decompressed or decoded.
        """
        data = message_auth.verify(self._token, response.body)
        if response.status != OK or data is None:
            return None
        if response.header(copy_encoder.CONTENT_ENCODING) == copy_encoder.DEFLATE:
            data = copy_encoder.decompress(data, MAX_COPY_BYTES)
        export, left_out = self._decoder.decode(data)
        for reason in left_out:
            event, now_ms = events.Event.PEER_ENTRY_INVALID, clock.monotonic_ms()
            self._rejected.record(event, "copy", reason, now_ms, peer=address)
        return export

    async def _drop_connections(self) -> None:
        """Close the pool: the other connections may have failed with the one that was used."""
        pool, self._pool = self._pool, httpcore.AsyncConnectionPool()
        await pool.aclose()


class PeerCopyReader:
    """Reads the copy of a peer that is ahead of this entry, while the store is unavailable."""

    __slots__ = ("_gossip", "_client")

    def __init__(self, members: gossip.GossipService) -> None:
        self._gossip = members
        self._client = CopyClient(members.token, members.rejections)

    async def fetch(self, positions: dict[str, int]) -> store_export.Export | None:
        """Return newer rows of a random peer that is ahead; none if no peer is, or on failure.

        :param positions: the version that this entry has reached, by topic.
        """
        now_ms = clock.monotonic_ms()
        own_version = positions.get(facts.Topic.SERVERS, 0)
        ahead = [
            m.record.gossip_address
            for m in self._gossip.roster.live(now_ms)
            if m.record.replica_version > own_version
        ]
        if not ahead:
            return None
        return await self._client.fetch(
            random.choice(ahead), CopyRequest(positions, 0, True), FETCH_TIMEOUT_S
        )


class PeerApi:
    """Serves this entry's copy to its peers at :data:`COPY_PATH`, within a budget of its link."""

    __slots__ = ("_replica", "_decoder", "_token", "_encoder", "_budget")

    def __init__(self, copy: replica.Replica, token: str, link_mbps: float = 0.0) -> None:
        self._replica = copy
        self._token = token
        self._encoder = copy_encoder.CopyEncoder()
        self._budget = copy_budget.CopyBudget(link_mbps, clock.monotonic_ms())
        self._decoder = msgspec.msgpack.Decoder(CopyRequest)

    async def __call__(self, request: http_messages.Request) -> http_messages.Response:
        """Return the rows that changed after the request's versions.

        :param request: the peer's request, signed with the peer token.
        """
        if request.path != COPY_PATH:
            return http_messages.Response(404)
        verified = message_auth.verify(self._token, request.body)
        if verified is None:
            return http_messages.Response(401)
        try:
            copy_request = self._decoder.decode(verified)
        except (msgspec.DecodeError, RecursionError):
            return http_messages.Response(400)
        if copy_request.wait_ms:
            if self._replica.is_following:
                return http_messages.Response(409)
            await self._replica.wait_for_changes(
                copy_request.positions, min(copy_request.wait_ms, MAX_WAIT_MS)
            )
        return self._answer(copy_request, clock.monotonic_ms())

    def _answer(self, copy_request: CopyRequest, now_ms: int) -> http_messages.Response:
        export = self._replica.export(copy_request.positions)
        if not copy_request.accepts_compressed:
            copy = copy_encoder.EncodedCopy(msgspec.msgpack.encode(export), False)
        else:
            copy = self._encoder.encode(export, copy_request.positions, now_ms)
        if not self._budget.try_acquire(len(copy.body), now_ms):
            _log_withheld(len(copy.body))
            return http_messages.Response(NO_BUDGET)
        headers = [(copy_encoder.CONTENT_ENCODING, copy_encoder.DEFLATE)]
        body = message_auth.sign(self._token, copy.body)
        return http_messages.Response(OK, headers if copy.is_compressed else [], body)


def _log_withheld(size_bytes: int) -> None:
    events.log(
        events.Event.COPY_WITHHELD,
        "the link of this entry has no room for another copy; the peer reads the store",
        size_bytes=size_bytes,
    )
