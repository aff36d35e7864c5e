"""Requests that break servers: counted, shared with peers, tried once, refused."""

from __future__ import annotations

import logging
import typing
import uuid

import anyio

from sassafraslock import clock, errors, events, messages, settings
from sassafraslock.decisions import quarantine, retry
from sassafraslock.services import admission, exchanges, forwarder

SUSPICION_TIMEOUT_MS = 300


class SuspectService:
    """Owns the quarantine of this entry."""

    __slots__ = ("quarantine", "_settings", "_peers", "_claims")

    def __init__(
        self, process: settings.Settings, peers: typing.Any, claim_service: typing.Any
    ) -> None:
        self.quarantine = quarantine.Quarantine()
        self._settings = process
        self._peers = peers
        self._claims = claim_service
        peers.handle(messages.Suspicion, self._on_suspicion)

    async def run(self, ready: anyio.Event) -> None:
        """Exist until cancelled; the work is done by those that ask.

        :param ready: set at once.
        """
        ready.set()
        await anyio.sleep_forever()

    async def check(self, exchange: exchanges.Exchange) -> errors.Refusal | None:
        """Refuse a quarantined request, and let a suspect one run once in the whole system.

        The claim service grants each trial once, so resends through other entries are refused
        while it runs.

        :param exchange: the request.
        """
        now_ms = clock.monotonic_ms()
        broken = self.quarantine.broken_servers(exchange.mark)
        if not broken:
            return None
        reason = f"this request broke {len(broken)} servers and is not run"
        if self.quarantine.is_quarantined(exchange.mark, now_ms):
            return errors.Refusal(errors.ErrorKind.QUARANTINED, reason)
        if exchange.hop_region and not exchange.attempts:
            return None
        trial = f"trial|{exchange.mark}|{','.join(broken)}"
        nonce = uuid.uuid4().hex
        verdict = await self._claims.claim(trial, nonce, exchange.mark, exchange.left_ms(now_ms))
        if verdict is None:
            exchange.trial, exchange.trial_nonce = trial, nonce
            return None
        return errors.Refusal(errors.ErrorKind.QUARANTINED, reason, 1_000)

    def end_trial(self, exchange: exchanges.Exchange, not_run: bool) -> None:
        """Allow another trial if this one did not reach a server.

        :param exchange: the request.
        :param not_run: whether it was refused as not run.
        """
        if exchange.trial and not_run:
            self._claims.release(exchange.trial, exchange.trial_nonce)

    async def note_end(
        self, exchange: exchanges.Exchange, result: forwarder.Attempt, slot: admission.Slot
    ) -> None:
        """Take in how an attempt ended, before its caller hears of it.

        :param exchange: the request.
        :param result: how the attempt ended.
        :param slot: where it ran.
        """
        if result.end is retry.AttemptEnd.ANSWERED:
            if self.quarantine.broken_servers(exchange.mark):
                self.quarantine.note_answered(exchange.mark)
                await self._share(exchange.mark, [])
            return
        if result.end is not retry.AttemptEnd.BROKE_MID_RUN:
            return
        server = f"{slot.service or exchange.service}/{slot.server_id}"
        if not self.quarantine.note_break(exchange.mark, server, clock.monotonic_ms()):
            return
        broken = self.quarantine.broken_servers(exchange.mark)
        events.log(
            events.Event.REQUEST_QUARANTINED,
            "a server broke while it ran a request",
            logging.WARNING,
            fingerprint=exchange.mark,
            servers=broken,
        )
        await self._share(exchange.mark, broken)

    async def _share(self, mark: str, servers: list[str]) -> None:
        """Tell every live peer before the caller hears of it and can send again."""
        async with anyio.create_task_group() as group:
            for peer in self._peers.table.live(clock.monotonic_ms()):
                message = messages.Suspicion(
                    sender=self._settings.entry_id,
                    request_id=self._peers.next_id(),
                    fingerprint=mark,
                    server_ids=servers,
                )
                group.start_soon(self._peers.call, peer.sender, message, SUSPICION_TIMEOUT_MS)

    async def _on_suspicion(self, message: messages.Suspicion) -> None:
        if message.server_ids:
            self.quarantine.merge(message.fingerprint, message.server_ids, clock.monotonic_ms())
        else:
            self.quarantine.note_answered(message.fingerprint)
        reply = messages.SuspicionNoted(
            sender=self._settings.entry_id, request_id=message.request_id
        )
        self._peers.send_to(message.sender, reply)

    def dump(self) -> dict[str, object]:
        """Return the number of fingerprints remembered."""
        return {"suspect_requests": self.quarantine.size}
