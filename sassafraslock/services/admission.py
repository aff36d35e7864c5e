"""Slots and link bytes for a request: own, lent by a peer, or waited for."""

from __future__ import annotations

import collections
import dataclasses
import typing

import anyio

from sassafraslock import clock, errors, messages, settings
from sassafraslock.decisions import borrow, links, slots

LEND_TIMEOUT_MS = 50
LEND_WAIT_MS = 200
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


@dataclasses.dataclass(slots=True, frozen=True)
class _Wanted:
    service: str
    filing: bool
    deadline_ms: int
    avoid: list[str]


@dataclasses.dataclass(slots=True)
class _Queued:
    ticket: str
    granted: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    grant: slots.Grant | None = None

    def note(self, grant: slots.Grant) -> None:
        self.grant = grant
        self.granted.set()

    def take(self, service: str) -> Slot | None:
        grant, self.grant = self.grant, None
        return Slot(service, grant.grant_id, grant.server_id, "") if grant else None


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

    def choose_steward(self, service: str) -> messages.Heartbeat | None:
        """Return the neighbour with most room in its slots, none where nobody has any.

        :param service: the service.
        """
        now_ms = clock.monotonic_ms()
        return self._borrower.choose(service, self._region(now_ms), False, now_ms)

    def _region(self, now_ms: int) -> list[messages.Heartbeat]:
        near = self._peers.table.in_region(self._settings.region, now_ms)
        return [h for h in near if h.ready]

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
        found = self._own(service, filing, deadline_ms - now_ms, avoid, now_ms)
        if isinstance(found, Slot):
            return found
        wanted = _Wanted(service, filing, deadline_ms, avoid)
        queued = _Queued(self._steward.new_ticket())
        waiter = slots.Waiter(queued.ticket, filing, deadline_ms, give_up_ms, avoid, queued.note)
        if self._steward.wait(service, waiter):
            return await self._queue(wanted, queued, give_up_ms) or found
        return await self._borrow(wanted, give_up_ms, False) or found

    async def _queue(self, wanted: _Wanted, queued: _Queued, give_up_ms: int) -> Slot | None:
        """Wait for an own slot and a lent one at once, and take the first."""
        lent: list[Slot] = []
        try:
            async with anyio.create_task_group() as group:

                async def borrow_one() -> None:
                    found = await self._borrow(wanted, give_up_ms, True)
                    if found:
                        lent.append(found)
                        group.cancel_scope.cancel()

                group.start_soon(borrow_one)
                with anyio.move_on_after((give_up_ms - clock.monotonic_ms()) / 1000):
                    await queued.granted.wait()
                group.cancel_scope.cancel()
            if not lent and queued.grant:
                self.counts["own"] += 1
                return queued.take(wanted.service)
            return lent[0] if lent else None
        finally:
            self._steward.cancel(wanted.service, queued.ticket)
            if queued.grant:
                self._steward.release(wanted.service, queued.grant.grant_id)

    async def _borrow(self, wanted: _Wanted, give_up_ms: int, queued: bool) -> Slot | None:
        """Ask stewards one after another until one lends a slot."""
        while (now_ms := clock.monotonic_ms()) < give_up_ms:
            peer = self._borrower.choose(wanted.service, self._region(now_ms), queued, now_ms)
            if peer is None:
                await anyio.sleep(RECHECK_MS / 1000)
                continue
            found = await self._ask(wanted, peer, min(LEND_WAIT_MS, give_up_ms - now_ms))
            if found:
                return found
            self._borrower.note_denied(wanted.service, peer, clock.monotonic_ms())
        return None

    def _own(
        self, service: str, filing: bool, duration_ms: int, avoid: list[str], now_ms: int
    ) -> SlotResult:
        grant = self._steward.acquire(service, filing, duration_ms, avoid, now_ms)
        if not isinstance(grant, slots.Grant):
            return typing.cast(errors.Refusal, grant)
        self.counts["own"] += 1
        return Slot(service, grant.grant_id, grant.server_id, "")

    async def _ask(self, wanted: _Wanted, peer: messages.Heartbeat, wait_ms: int) -> Slot | None:
        """Wait for a slot in one steward's queue."""
        left_ms = max(0, wanted.deadline_ms - clock.monotonic_ms())
        request = messages.SlotRequest(
            sender=self._settings.entry_id,
            request_id=self._peers.next_id(),
            service=wanted.service,
            filing=wanted.filing,
            duration_ms=left_ms,
            wait_ms=wait_ms,
            avoid=wanted.avoid,
        )
        self._borrower.note_asked(wanted.service, peer)
        try:
            timeout_ms = min(LEND_TIMEOUT_MS + wait_ms, left_ms)
            reply = await self._peers.call(peer.sender, request, timeout_ms)
        finally:
            self._borrower.note_ended(wanted.service, peer)
        if not isinstance(reply, messages.SlotReply) or not reply.server_id:
            return None
        self._borrower.note_granted(wanted.service, peer)
        self.counts["lent"] += 1
        return Slot(wanted.service, reply.grant_id, reply.server_id, peer.sender)

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
        for steward in self._steward.view.link_stewards(to_region, self._settings.entry_id):
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
