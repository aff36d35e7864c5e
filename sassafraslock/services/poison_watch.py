"""Finds requests that crash the servers which run them, and tells the other entries."""

from __future__ import annotations

import dataclasses

import anyio
import anyio.streams.memory
import msgspec

from sassafraslock import clock, events
from sassafraslock.decisions import quarantine
from sassafraslock.services import upstream

QUEUE = 256
CONFIRM_AFTER_S = 0.03
MAX_TOLD = 16
SUSPECT_GOSSIP_MS = 20_000


@dataclasses.dataclass(slots=True, frozen=True)
class BrokenConnection:
    """A server's connection broke while it ran a request."""

    fingerprint: str
    server_id: str
    address: str


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A request's fingerprint and the servers that crashed under it, as entries tell it."""

    fingerprint: str
    server_ids: list[str]


class PoisonWatch:
    """Owns the quarantine; a broken connection counts only where the server is down after it."""

    __slots__ = ("quarantine", "_upstream", "_send", "_receive", "_told")

    def __init__(self, connections: upstream.Upstream) -> None:
        self.quarantine = quarantine.Quarantine()
        self._upstream = connections
        self._send, self._receive = anyio.create_memory_object_stream[BrokenConnection](QUEUE)
        self._told: dict[str, int] = {}

    async def run(self, ready: anyio.Event) -> None:
        """Look at each broken connection until cancelled.

        :param ready: set at once.
        """
        ready.set()
        async with anyio.create_task_group() as group:
            while True:
                found = await self._receive.receive()
                group.start_soon(self._confirm, found)

    def record_broken_connection(self, found: BrokenConnection) -> None:
        """Ask for a look at a server whose connection broke.

        :param found: the request and the server.
        """
        try:
            self._send.send_nowait(found)
        except anyio.WouldBlock:
            events.log(events.Event.LOG_LINES_DROPPED, "too many broken connections to look at")

    async def _confirm(self, found: BrokenConnection) -> None:
        await anyio.sleep(CONFIRM_AFTER_S)
        if await self._upstream.is_reachable(found.address):
            return
        now_ms = clock.monotonic_ms()
        if self.quarantine.record_crash(found.fingerprint, found.server_id, now_ms):
            self._told[found.fingerprint] = now_ms
            self._log(found.fingerprint, now_ms)

    def merge(self, suspects: list[Suspect], now_ms: int) -> None:
        """Take in what another entry tells.

        :param suspects: fingerprints with the servers that crashed under them.
        :param now_ms: the present time.
        """
        for suspect in suspects:
            known = set(self.quarantine.crashed_servers(suspect.fingerprint))
            if known.issuperset(suspect.server_ids):
                continue
            self.quarantine.merge(suspect.fingerprint, suspect.server_ids, now_ms)
            self._told[suspect.fingerprint] = now_ms
            self._log(suspect.fingerprint, now_ms)

    def recent_suspects(self, now_ms: int) -> list[Suspect]:
        """Return what the other entries should know.

        :param now_ms: the present time.
        """
        self._told = {m: at for m, at in self._told.items() if now_ms - at < SUSPECT_GOSSIP_MS}
        marks = sorted(self._told, key=lambda m: self._told[m], reverse=True)[:MAX_TOLD]
        return [Suspect(mark, self.quarantine.crashed_servers(mark)) for mark in marks]

    def _log(self, mark: str, now_ms: int) -> None:
        events.log(
            events.Event.REQUEST_QUARANTINED,
            "servers crashed while they ran a request",
            fingerprint=mark,
            servers=self.quarantine.crashed_servers(mark),
            refused=self.quarantine.is_quarantined(mark, now_ms),
        )

    def dump(self) -> dict[str, object]:
        """Return the number of fingerprints remembered."""
        return {"suspects": self.quarantine.size}
