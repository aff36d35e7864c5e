"""Slots and link bytes for a request: own, lent by a peer, or waited for."""

from __future__ import annotations

import collections
import dataclasses
import typing

import anyio

from sassafraslock import clock, errors, messages, settings
from sassafraslock.decisions import borrow, links, slots

LEND_TIMEOUT_MS = 50
RECHECK_MS = 20
MAX_QUEUE_MS = 1_000
BYTES_TIMEOUT_MS = 100
OVERHEAD_BYTES = 600


@dataclasses.dataclass(slots=True)
class Slot:
    """A granted slot; ``lender`` is empty where this entry is the steward."""

    service: str
    grant_id: str
    server_id: str
    lender: str


SlotResult = Slot | errors.Refusal


class AdmissionService:
    """Finds a slot within the region and bytes on a link before anything is sent."""

    __slots__ = ("_settings", "_peers", "_steward", "_health", "_borrower", "_quotas", "counts")

    def __init__(
        self,
        process: settings.Settings,
        peers: typing.Any,
        steward: typing.Any,
        health: typing.Any,
    ) -> None:
        self._settings = process
        self._peers = peers
        self._steward = steward
        self._health = health
        self._borrower = borrow.Borrower()
        self._quotas: dict[str, links.Quota] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        peers.handle_late(messages.SlotReply, self._on_late_reply)

    def has_own(self, service: str) -> bool:
        """Tell whether this entry hands out slots of a service.

        :param service: the service.
        """
        return bool(self._steward.serves(service, clock.monotonic_ms()))

    async def acquire(
        self, service: str, filing: bool, deadline_ms: int, avoid: list[str]
    ) -> SlotResult:
        """Find a slot on a server of this region.

        :param service: the service.
        :param filing: whether the request is not idempotent, and may use the reserve.
        :param deadline_ms: the request's deadline on this machine's clock.
        :param avoid: servers not to use.
        """
        now_ms = clock.monotonic_ms()
        give_up_ms = now_ms + min(MAX_QUEUE_MS, (deadline_ms - now_ms) // 2)
        while True:
            now_ms = clock.monotonic_ms()
            found = self._own(service, filing, deadline_ms - now_ms, avoid, now_ms)
            if isinstance(found, errors.Refusal):
                found = await self._lent(service, filing, deadline_ms, avoid) or found
            if isinstance(found, Slot) or clock.monotonic_ms() >= give_up_ms:
                return found
            await self._steward.wait_for_release(RECHECK_MS)

    def _own(
        self, service: str, filing: bool, duration_ms: int, avoid: list[str], now_ms: int
    ) -> SlotResult:
        grant = self._steward.acquire(service, filing, duration_ms, avoid, now_ms)
        if not isinstance(grant, slots.Grant):
            return typing.cast(errors.Refusal, grant)
        self.counts["own"] += 1
        return Slot(service, grant.grant_id, grant.server_id, "")

    async def _lent(
        self, service: str, filing: bool, deadline_ms: int, avoid: list[str]
    ) -> Slot | None:
        now_ms = clock.monotonic_ms()
        region = [h for h in self._peers.table.live(now_ms) if h.region == self._settings.region]
        for peer in self._borrower.candidates(service, region, now_ms):
            now_ms = clock.monotonic_ms()
            request = messages.SlotRequest(
                sender=self._settings.entry_id,
                request_id=self._peers.next_id(),
                service=service,
                filing=filing,
                duration_ms=max(0, deadline_ms - now_ms),
                avoid=avoid,
            )
            reply = await self._peers.call(
                peer.sender, request, min(LEND_TIMEOUT_MS, deadline_ms - now_ms)
            )
            if isinstance(reply, messages.SlotReply) and reply.server_id:
                self._borrower.note_granted(service, peer)
                self.counts["lent"] += 1
                return Slot(service, reply.grant_id, reply.server_id, peer.sender)
            self._borrower.note_denied(service, peer, clock.monotonic_ms())
        return None

    async def _on_late_reply(self, reply: messages.SlotReply) -> None:
        if reply.server_id:
            self.release(Slot("", reply.grant_id, reply.server_id, reply.sender), False)

    def release(self, slot: Slot, failed: bool) -> None:
        """Give a slot back once the server has nothing of the request any more.

        :param slot: the slot.
        :param failed: whether the server's connection failed or broke.
        """
        if not slot.lender:
            self._steward.release(slot.service, slot.grant_id)
            self._health.note_attempt((slot.service, slot.server_id), failed, clock.monotonic_ms())
            return
        message = messages.SlotReturn(
            sender=self._settings.entry_id,
            service=slot.service,
            grant_id=slot.grant_id,
            server_id=slot.server_id,
            failed=failed,
        )
        self._peers.send_to(slot.lender, message)

    async def take_bytes(
        self, to_region: str, size_bytes: int, filing: bool, deadline_ms: int, wait: bool
    ) -> bool:
        """Take bytes on the link to a region.

        :param to_region: the receiving region.
        :param size_bytes: the bytes about to be sent.
        :param filing: whether the reserve may be used.
        :param deadline_ms: the request's deadline.
        :param wait: whether to wait for bytes until the deadline.
        """
        quota = self._quotas.setdefault(to_region, links.Quota())
        left_bytes = size_bytes
        while (now_ms := clock.monotonic_ms()) < deadline_ms:
            left_bytes -= quota.spend(left_bytes, now_ms)
            if left_bytes <= 0:
                return True
            granted_bytes = await self._ask_bytes(to_region, filing, now_ms)
            if granted_bytes:
                quota.add(granted_bytes, now_ms)
                continue
            if not wait and left_bytes == size_bytes:
                return False
            await anyio.sleep(RECHECK_MS / 1000)
        return False

    async def _ask_bytes(self, to_region: str, filing: bool, now_ms: int) -> int:
        own_bytes = self._steward.take_bytes(to_region, links.CHUNK_BYTES, filing, now_ms)
        if own_bytes:
            return int(own_bytes)
        for steward in self._steward.link_stewards(to_region):
            if not self._peers.table.is_live(steward, now_ms):
                continue
            lent_bytes = await self._ask_peer_bytes(steward, to_region, links.CHUNK_BYTES, filing)
            if lent_bytes:
                return lent_bytes
        return 0

    async def _ask_peer_bytes(
        self, steward: str, to_region: str, size_bytes: int, filing: bool
    ) -> int:
        request = messages.BytesRequest(
            sender=self._settings.entry_id,
            request_id=self._peers.next_id(),
            to_region=to_region,
            size_bytes=size_bytes,
            filing=filing,
        )
        reply = await self._peers.call(steward, request, BYTES_TIMEOUT_MS)
        return reply.granted_bytes if isinstance(reply, messages.BytesReply) else 0

    async def run(self, ready: anyio.Event) -> None:
        """Exist until cancelled; the work is done by those that ask.

        :param ready: set at once.
        """
        ready.set()
        await anyio.sleep_forever()

    def dump(self) -> dict[str, object]:
        """Return how many slots were own and lent, and the link bytes at hand."""
        return {"slots": dict(self.counts), "link_quotas": self._quotas}
