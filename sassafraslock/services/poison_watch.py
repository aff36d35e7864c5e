"""Detects requests that crash the servers which run them, and shares them over gossip."""

from __future__ import annotations

import dataclasses
import enum

import anyio
import anyio.streams.memory

from sassafraslock import clock, events
from sassafraslock.decisions import quarantine
from sassafraslock.services import upstream

QUEUE_SIZE = 256
CONFIRM_AFTER_S = 0.03


class Finding(enum.StrEnum):
    """What a broken connection says of the request that its server ran."""

    CRASH = "crash of the server"
    REACHABLE = "server is reachable"


@dataclasses.dataclass(slots=True, frozen=True)
class BrokenConnection:
    """A connection that broke while its server ran a request.

    ``request_id`` and ``path`` are those of the request, for the log.
    """

    identity: quarantine.RequestIdentity
    server_id: str
    address: str
    request_id: str = ""
    path: str = ""


class PoisonWatch:
    """Owns the quarantine and records confirmed crashes in it.

    A broken connection counts only if the server cannot be reached :data:`CONFIRM_AFTER_S` later.
    """

    __slots__ = ("quarantine", "_upstream", "_send", "_receive")

    def __init__(self, connections: upstream.Upstream) -> None:
        self.quarantine = quarantine.Quarantine()
        self._upstream = connections
        self._send, self._receive = anyio.create_memory_object_stream[BrokenConnection](QUEUE_SIZE)

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
        self.quarantine.record_break(broken.identity, broken.server_id, clock.monotonic_ms())
        try:
            self._send.send_nowait(broken)
        except anyio.WouldBlock:
            events.log(
                events.Event.LOG_LINES_DROPPED,
                "broken connection not checked for a crash: the queue is full",
            )

    def record_answer(self, identity: quarantine.RequestIdentity, now_ms: int) -> None:
        """Record a server's complete answer, which refutes earlier crashes under the request.

        :param identity: the request.
        :param now_ms: the current monotonic time.
        """
        if self.quarantine.record_answer(identity, now_ms):
            self._log(identity.all_callers, now_ms)
            self._log(identity.one_caller, now_ms)

    async def _confirm(self, broken: BrokenConnection) -> None:
        await anyio.sleep(CONFIRM_AFTER_S)
        if await self._upstream.is_reachable(broken.address):
            _log_finding(broken, Finding.REACHABLE)
            return
        now_ms = clock.monotonic_ms()
        self.quarantine.record_crash(broken.identity, broken.server_id, now_ms)
        _log_finding(broken, Finding.CRASH)
        self._log(broken.identity.all_callers, now_ms)
        self._log(broken.identity.one_caller, now_ms)

    def merge(self, reports: list[quarantine.SuspectReport], now_ms: int) -> None:
        """Merge what another entry knows; reports with nothing new are ignored.

        :param reports: requests, with the servers that crashed while running them.
        :param now_ms: the current monotonic time.
        """
        for report in reports:
            if self.quarantine.merge(report, now_ms):
                self._log(report.fingerprint, now_ms)

    def recent_reports(self, now_ms: int) -> list[quarantine.SuspectReport]:
        """Return the evidence to send to other entries.

        :param now_ms: the current monotonic time.
        """
        return self.quarantine.recent_reports(now_ms)

    def _log(self, fingerprint: str, now_ms: int) -> None:
        events.log(
            events.Event.REQUEST_QUARANTINED,
            "request crashed the servers that ran it",
            fingerprint=fingerprint,
            servers=self.quarantine.crashed_servers(fingerprint),
            refused=self.quarantine.is_culprit(fingerprint, now_ms),
        )

    def dump(self) -> dict[str, object]:
        """Return the number of suspected fingerprints, and of those that are refused."""
        return {"suspects": self.quarantine.size, "refused": self.quarantine.culprits}


def _log_finding(broken: BrokenConnection, finding: Finding) -> None:
    events.log(
        events.Event.CRASH_SUSPECTED,
        f"connection to a server broke under a request: {finding}",
        request=broken.request_id,
        path=broken.path,
        server=broken.server_id,
        fingerprint=broken.identity.all_callers,
        caller_fingerprint=broken.identity.one_caller,
        finding=finding,
    )
