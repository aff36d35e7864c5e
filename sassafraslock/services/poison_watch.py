"""Detects requests that crash the servers which run them, and shares them over gossip."""

from __future__ import annotations

import contextlib
import dataclasses
import enum

import anyio
import anyio.abc

from sassafraslock import clock, events
from sassafraslock.decisions import quarantine, registry
from sassafraslock.services import upstream

MAX_CHECKED_SERVERS = 256
MAX_BREAKS_PER_SERVER = 64
# A server may end a moment after it broke a connection.
CHECK_DELAYS_S = (0.03, 0.5)
# A server that is back at once has told the store of its new start by then.
REPLACED_CHECK_S = 2.0


class Finding(enum.StrEnum):
    """What a broken connection says of the request that its server ran."""

    CRASH = "crash of the server"
    REPLACED = "crash of the server, which was started again at once"
    REACHABLE = "server is reachable"
    LEAVING = "server is leaving"
    NOT_CHECKED = "not checked: too many servers broke connections"


@dataclasses.dataclass(slots=True, frozen=True)
class BrokenConnection:
    """A connection that broke, or stayed without an answer, while its server ran a request.

    ``is_silent`` tells these apart. ``start_id`` is that of the server's start. ``request_id`` and
    ``path`` are those of the request, for the log.
    """

    identity: quarantine.RequestIdentity
    server_id: str
    address: str
    start_id: str
    request_id: str = ""
    path: str = ""
    is_silent: bool = False


class PoisonWatch:
    """Owns the quarantine and records confirmed crashes in it.

    A broken connection counts if the server cannot be reached a moment later, or is another start
    by then. One that stayed silent counts only if the server's machine refuses a connection, since
    the network may be at fault otherwise.
    """

    __slots__ = ("quarantine", "_upstream", "_registry", "_send", "_receive", "_unchecked")

    def __init__(self, connections: upstream.Upstream, servers: registry.Registry) -> None:
        self.quarantine = quarantine.Quarantine()
        self._upstream = connections
        self._registry = servers
        self._send, self._receive = anyio.create_memory_object_stream[str](MAX_CHECKED_SERVERS)
        self._unchecked: dict[str, list[BrokenConnection]] = {}

    async def run(self, ready: anyio.Event) -> None:
        """Check the servers of broken connections until cancelled.

        :param ready: set at once.
        """
        ready.set()
        async with anyio.create_task_group() as group:
            for server_id in list(self._unchecked):
                group.start_soon(self._check_server, server_id, group)
            while True:
                server_id = await self._receive.receive()
                group.start_soon(self._check_server, server_id, group)

    def record_broken_connection(self, broken: BrokenConnection) -> None:
        """Queue a check of the server; it is checked once for all breaks that come meanwhile.

        :param broken: the request and the server.
        """
        self.quarantine.record_break(broken.identity, broken.start_id, clock.monotonic_ms())
        waiting = self._unchecked.get(broken.server_id)
        if waiting is not None and len(waiting) < MAX_BREAKS_PER_SERVER:
            waiting.append(broken)
        elif waiting is None and len(self._unchecked) < MAX_CHECKED_SERVERS:
            self._unchecked[broken.server_id] = [broken]
            with contextlib.suppress(anyio.WouldBlock):  # full while the service is restarted only
                self._send.send_nowait(broken.server_id)
        else:
            _log_finding(broken, Finding.NOT_CHECKED)

    async def _check_server(self, server_id: str, group: anyio.abc.TaskGroup) -> None:
        """Check a server until no more of its connections have broken meanwhile."""
        while breaks := self._unchecked.get(server_id):
            self._unchecked[server_id] = []
            for delay_s in CHECK_DELAYS_S:
                await anyio.sleep(delay_s)
                reachability = await self._upstream.probe(breaks[0].address)
                breaks = [b for b in breaks if not self._is_settled(b, reachability)]
                if not breaks:
                    break
            if breaks:
                group.start_soon(self._check_replaced, breaks)
        self._unchecked.pop(server_id, None)

    def _is_settled(self, broken: BrokenConnection, reachability: upstream.Reachability) -> bool:
        """Record a crash if the probe shows one; return false if the server may end yet."""
        server = self._registry.servers.get(broken.server_id)
        if server is not None and server.draining:
            _log_finding(broken, Finding.LEAVING)
            return True
        if reachability is upstream.Reachability.ACCEPTS:
            return False
        if broken.is_silent and reachability is not upstream.Reachability.REFUSES:
            return False
        self._record_crash(broken, Finding.CRASH)
        return True

    async def _check_replaced(self, breaks: list[BrokenConnection]) -> None:
        await anyio.sleep(REPLACED_CHECK_S)
        for broken in breaks:
            if self._is_replaced(broken):
                self._record_crash(broken, Finding.REPLACED)
            else:
                _log_finding(broken, Finding.REACHABLE)

    def _is_replaced(self, broken: BrokenConnection) -> bool:
        server = self._registry.servers.get(broken.server_id)
        if server is not None and registry.start_id(server) != broken.start_id:
            return True
        return any(
            other.server_id != broken.server_id
            and other.report.address == broken.address
            and (server is None or other.first_seen_ms > server.first_seen_ms)
            for other in self._registry.servers.values()
        )

    def _record_crash(self, broken: BrokenConnection, finding: Finding) -> None:
        now_ms = clock.monotonic_ms()
        self.quarantine.record_crash(broken.identity, broken.start_id, now_ms)
        _log_finding(broken, finding)
        self._log(broken.identity.all_callers, now_ms)
        self._log(broken.identity.one_caller, now_ms)

    def record_answer(self, identity: quarantine.RequestIdentity, now_ms: int) -> None:
        """Record a server's complete answer, which refutes earlier crashes under the request.

        :param identity: the request.
        :param now_ms: the current monotonic time.
        """
        if self.quarantine.record_answer(identity, now_ms):
            self._log(identity.all_callers, now_ms)
            self._log(identity.one_caller, now_ms)

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
        starts = self.quarantine.crashed_servers(fingerprint)
        events.log(
            events.Event.REQUEST_QUARANTINED,
            "request crashed the servers that ran it",
            fingerprint=fingerprint,
            servers=[registry.server_id_of(s) for s in starts],
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
