"""Detects requests that crash the servers which run them, and shares them over gossip."""

from __future__ import annotations

import dataclasses
import enum

import anyio
import anyio.streams.memory
import msgspec

from sassafraslock import clock, events, field_types
from sassafraslock.decisions import quarantine
from sassafraslock.services import upstream

QUEUE_SIZE = 256
CONFIRM_AFTER_S = 0.03
MAX_SUSPECTS_SENT = 16
SUSPECT_GOSSIP_MS = 20_000


class Finding(enum.StrEnum):
    """What a broken connection says of the request that its server ran."""

    CRASH = "crash of the server"
    REACHABLE = "server is reachable"
    MASS_FAILURE = "mass failure"


@dataclasses.dataclass(slots=True, frozen=True)
class BrokenConnection:
    """A connection that broke while its server ran the request with this fingerprint.

    ``request_id`` and ``path`` are those of the request, for the log.
    """

    fingerprint: str
    server_id: str
    address: str
    request_id: str = ""
    path: str = ""


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A request's fingerprint and the servers that crashed while running it, as sent in gossip."""

    fingerprint: field_types.Name
    server_ids: field_types.ServerIds


class PoisonWatch:
    """Owns the quarantine and records confirmed crashes in it.

    A broken connection counts only if the server cannot be reached :data:`CONFIRM_AFTER_S` later.
    """

    __slots__ = ("quarantine", "_upstream", "_send", "_receive", "_changed_ms")

    def __init__(self, connections: upstream.Upstream) -> None:
        self.quarantine = quarantine.Quarantine()
        self._upstream = connections
        self._send, self._receive = anyio.create_memory_object_stream[BrokenConnection](QUEUE_SIZE)
        self._changed_ms: dict[str, int] = {}

    async def run(self, ready: anyio.Event) -> None:
        """Check the server of each broken connection until cancelled.

        :param ready: set at once.
        """
        ready.set()
        async with anyio.create_task_group() as group:
            while True:
                broken = await self._receive.receive()
                group.start_soon(self._confirm, broken)

    def record_broken_connection(self, broken: BrokenConnection) -> None:
        """Queue a check of the server; the break is dropped and logged if the queue is full.

        :param broken: the request and the server.
        """
        try:
            self._send.send_nowait(broken)
        except anyio.WouldBlock:
            events.log(
                events.Event.LOG_LINES_DROPPED,
                "broken connection not checked for a crash: the queue is full",
            )

    async def _confirm(self, broken: BrokenConnection) -> None:
        await anyio.sleep(CONFIRM_AFTER_S)
        if await self._upstream.is_reachable(broken.address):
            _log_finding(broken, Finding.REACHABLE)
            return
        now_ms = clock.monotonic_ms()
        if not self.quarantine.record_crash(broken.fingerprint, broken.server_id, now_ms):
            _log_finding(broken, Finding.MASS_FAILURE)
            return
        _log_finding(broken, Finding.CRASH)
        self._changed_ms[broken.fingerprint] = now_ms
        self._log(broken.fingerprint, now_ms)

    def merge(self, suspects: list[Suspect], now_ms: int) -> None:
        """Merge another entry's suspects; those that add no server are ignored.

        :param suspects: fingerprints with the servers that crashed while running them.
        :param now_ms: the current monotonic time.
        """
        for suspect in suspects:
            known = set(self.quarantine.crashed_servers(suspect.fingerprint))
            if known.issuperset(suspect.server_ids):
                continue
            self.quarantine.merge(suspect.fingerprint, suspect.server_ids, now_ms)
            self._changed_ms[suspect.fingerprint] = now_ms
            self._log(suspect.fingerprint, now_ms)

    def recent_suspects(self, now_ms: int) -> list[Suspect]:
        """Return the suspects to send to other entries, the latest first.

        They are those that changed within :data:`SUSPECT_GOSSIP_MS`, at most
        :data:`MAX_SUSPECTS_SENT`.

        :param now_ms: the current monotonic time.
        """
        self._changed_ms = {
            f: at for f, at in self._changed_ms.items() if now_ms - at < SUSPECT_GOSSIP_MS
        }
        latest = sorted(self._changed_ms, key=lambda f: self._changed_ms[f], reverse=True)[
            :MAX_SUSPECTS_SENT
        ]
        return [
            Suspect(fingerprint, self.quarantine.crashed_servers(fingerprint))
            for fingerprint in latest
        ]

    def _log(self, fingerprint: str, now_ms: int) -> None:
        events.log(
            events.Event.REQUEST_QUARANTINED,
            "request crashed the servers that ran it",
            fingerprint=fingerprint,
            servers=self.quarantine.crashed_servers(fingerprint),
            refused=self.quarantine.is_quarantined(fingerprint, now_ms),
        )

    def dump(self) -> dict[str, object]:
        """Return the number of suspected fingerprints."""
        return {"suspects": self.quarantine.size}


def _log_finding(broken: BrokenConnection, finding: Finding) -> None:
    events.log(
        events.Event.CRASH_SUSPECTED,
        f"connection to a server broke under a request: {finding}",
        request=broken.request_id,
        path=broken.path,
        server=broken.server_id,
        fingerprint=broken.fingerprint,
        finding=finding,
    )
