"""Detects poison requests, which crash the servers that run them, by request fingerprint."""

from __future__ import annotations

import collections
import dataclasses
import heapq

import msgspec
import xxhash

from sassafraslock import field_types
from sassafraslock.decisions import crash_evidence

MAX_SUSPECTS = 4_096
DISCARDED_RATIO = 0.25  # of the suspects, when there are too many
MAX_CRASHED_SERVERS = 8_192
MAX_ANSWERED = 8_192
SWEEP_INTERVAL_MS = 1_000
QUARANTINE_MS = 600_000
SUSPECT_MS = 60_000
MAX_CULPRITS_SENT = 8
MAX_SUSPECTS_SENT = 24
SUSPECT_GOSSIP_MS = 20_000
OWN_FIRST_MS = 2_000
# Servers sent of a culprit that no longer changes; an entry that starts needs no more of them.
SERVERS_SENT_LATER = crash_evidence.CERTAIN_CRASHED_SERVERS


def fingerprint(scope: str, method: str, path: str, body: bytes) -> str:
    """Return the hexadecimal 128-bit hash of a request, which is the same at every entry.

    :param scope: the host or the service that the path belongs to.
    :param method: the HTTP method.
    :param path: the path and query.
    :param body: the whole request body.
    """
    digest = xxhash.xxh3_128(f"{scope}\n{method}\n{path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


@dataclasses.dataclass(slots=True, frozen=True)
class RequestIdentity:
    """The fingerprints of a request: whoever sends it, and from its one caller.

    A request may crash servers for each caller that sends it, or for one caller alone.
    """

    all_callers: str
    one_caller: str


def identify(host: str, caller: str, method: str, path: str, body: bytes) -> RequestIdentity:
    """Return the identity of a request, which is the same at every entry.

    :param host: the host that the request names.
    :param caller: the address of the client.
    :param method: the HTTP method.
    :param path: the path and query.
    :param body: the whole request body.
    """
    all_callers = fingerprint(host.lower(), method, path, body)
    one_caller = xxhash.xxh3_128_hexdigest(f"{all_callers}\n{caller}".encode())
    return RequestIdentity(all_callers, one_caller)


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """The evidence against a request, as entries send it to each other.

    :param fingerprint: the request's fingerprint, of all callers or of one.
    :param server_ids: servers that crashed while running it.
    :param refuted_ids: those that do not count against it.
    :param callers: fingerprints of callers, if the request is that of all callers.
    :param age_ms: how long ago a server was last added.
    """

    fingerprint: field_types.Name
    server_ids: field_types.ServerIds
    refuted_ids: field_types.ServerIds = []
    callers: field_types.CallerIds = []
    age_ms: field_types.AgeMs = 0


class Quarantine:
    """Collects evidence against requests, and tells which of them no server gets any more.

    A crash counts against a request until a server answers it. Answers are remembered, since other
    entries may tell of earlier crashes only later.
    """

    __slots__ = ("_suspects", "_crashed_ms", "_answered_ms", "_culprits", "_last_sweep_ms")

    def __init__(self) -> None:
        self._suspects: dict[str, crash_evidence.Suspect] = {}
        self._crashed_ms: dict[str, int] = {}
        self._answered_ms: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._culprits: set[str] | None = set()
        self._last_sweep_ms = 0

    def record_break(self, identity: RequestIdentity, server_id: str, now_ms: int) -> None:
        """Record that a connection broke under a request; an answer from now on refutes a crash.

        :param identity: the request.
        :param server_id: the server, which may have crashed.
        :param now_ms: the current monotonic time.
        """
        for name in (identity.all_callers, identity.one_caller):
            broken = self._suspect(name, now_ms).broken
            if len(broken) < crash_evidence.MAX_CRASHED_SERVERS_KEPT:
                broken.add(server_id)

    def record_crash(self, identity: RequestIdentity, server_id: str, now_ms: int) -> None:
        """Record that a server crashed while it ran a request.

        :param identity: the request.
        :param server_id: the id of the server, which includes its service.
        :param now_ms: the current monotonic time.
        """
        self._remove_expired(now_ms)
        self._observe(identity.all_callers, server_id, now_ms)
        self._add_callers(identity.all_callers, [identity.one_caller], now_ms)
        self._observe(identity.one_caller, server_id, now_ms)

    def _observe(self, name: str, server_id: str, now_ms: int) -> None:
        self._suspect(name, now_ms).observed_ms = now_ms
        self._add(name, [server_id], now_ms, now_ms)

    def record_answer(self, identity: RequestIdentity, now_ms: int) -> bool:
        """Record a server's complete answer, which speaks for a request and against its crashes.

        :param identity: the request.
        :param now_ms: the current monotonic time.
        :returns: whether this refutes any crash.
        """
        changed = False
        for name in (identity.all_callers, identity.one_caller):
            self._remember_answer(name, now_ms)
            suspect = self._suspects.get(name)
            if suspect is not None:
                servers = [*suspect.crashed_ms, *suspect.broken]
                changed |= self._refute(suspect, servers, now_ms)
        return changed

    def merge(self, report: SuspectReport, now_ms: int) -> bool:
        """Add what another entry knows.

        :param report: the other entry's evidence.
        :param now_ms: the current monotonic time.
        :returns: whether anything was new.
        """
        self._remove_expired(now_ms)
        if report.age_ms >= QUARANTINE_MS:
            return False
        last_ms = now_ms - report.age_ms
        suspect = self._suspect(report.fingerprint, last_ms)
        changed = self._add(report.fingerprint, report.server_ids, last_ms, now_ms)
        is_answered = self._answered_ms.get(report.fingerprint, last_ms) > last_ms
        refuted_ids = report.server_ids if is_answered else report.refuted_ids
        changed |= self._refute(suspect, refuted_ids, now_ms)
        changed |= self._add_callers(report.fingerprint, report.callers, now_ms)
        return changed

    def _remember_answer(self, name: str, now_ms: int) -> None:
        self._answered_ms[name] = now_ms
        self._answered_ms.move_to_end(name)
        if len(self._answered_ms) > MAX_ANSWERED:
            self._answered_ms.popitem(last=False)

    def _suspect(self, name: str, last_ms: int) -> crash_evidence.Suspect:
        suspect = self._suspects.get(name)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                self._discard_weakest()
            suspect = self._suspects[name] = crash_evidence.Suspect(last_ms=last_ms)
        return suspect

    def _discard_weakest(self) -> None:
        """Discard the suspects with the fewest servers, of these the oldest ones."""
        weakest = heapq.nsmallest(
            int(DISCARDED_RATIO * MAX_SUSPECTS),
            self._suspects,
            key=lambda name: (len(self._suspects[name].evidence), self._suspects[name].last_ms),
        )
        for name in weakest:
            del self._suspects[name]
        self._culprits = None

    def _add(self, name: str, server_ids: list[str], last_ms: int, now_ms: int) -> bool:
        suspect = self._suspects[name]
        added = [s for s in server_ids if suspect.add_crash(s, now_ms)]
        if not added:
            return False
        for server_id in added:
            self._crashed_ms.setdefault(server_id, now_ms)
        suspect.last_ms = max(suspect.last_ms, last_ms)
        self._record_change(suspect, now_ms)
        return True

    def _add_callers(self, name: str, callers: list[str], now_ms: int) -> bool:
        suspect = self._suspects[name]
        new = set(callers) - suspect.callers
        if not new or len(suspect.callers) >= crash_evidence.MIN_CALLERS:
            return False
        suspect.callers.update(new)
        self._record_change(suspect, now_ms)
        return True

    def _refute(self, suspect: crash_evidence.Suspect, servers: list[str], now_ms: int) -> bool:
        new = set(servers) - suspect.refuted
        room = crash_evidence.MAX_CRASHED_SERVERS_KEPT - len(suspect.refuted)
        suspect.refuted.update(sorted(new)[: max(0, room)])
        if not new.intersection(suspect.crashed_ms):
            return False
        self._record_change(suspect, now_ms)
        return True

    def _record_change(self, suspect: crash_evidence.Suspect, now_ms: int) -> None:
        suspect.changed_ms = now_ms
        self._culprits = None

    def crashed_servers(self, name: str) -> list[str]:
        """Return the sorted ids of the servers that count against a request.

        :param name: the request's fingerprint, of all callers or of one.
        """
        suspect = self._suspects.get(name)
        return sorted(suspect.evidence) if suspect else []

    def is_quarantined(self, identity: RequestIdentity, now_ms: int) -> bool:
        """Return whether a request is refused.

        :param identity: the request.
        :param now_ms: the current monotonic time.
        """
        self._remove_expired(now_ms)
        names = (identity.all_callers, identity.one_caller)
        return any(self.is_culprit(name, now_ms) for name in names)

    def is_culprit(self, name: str, now_ms: int) -> bool:
        """Return whether the requests with a fingerprint are refused.

        :param name: the fingerprint, of all callers or of one.
        :param now_ms: the current monotonic time.
        """
        if self._culprits is None:
            self._culprits = crash_evidence.find_culprits(self._suspects, self._crashed_ms)
        return name in self._culprits and now_ms - self._suspects[name].last_ms < QUARANTINE_MS

    def is_suspected(self, identity: RequestIdentity) -> bool:
        """Return whether a server is known to have crashed under a request, whoever sent it.

        :param identity: the request.
        """
        names = (identity.all_callers, identity.one_caller)
        return any(self._suspects[n].evidence for n in names if n in self._suspects)

    def _remove_expired(self, now_ms: int) -> None:
        if now_ms - self._last_sweep_ms < SWEEP_INTERVAL_MS:
            return
        self._last_sweep_ms = now_ms
        for name, suspect in list(self._suspects.items()):
            kept_ms = QUARANTINE_MS if self.is_culprit(name, now_ms) else SUSPECT_MS
            if now_ms - suspect.last_ms >= kept_ms:
                del self._suspects[name]
        oldest_ms = self._oldest_crash_ms(now_ms)
        recent = {s: at for s, at in self._crashed_ms.items() if at >= oldest_ms}
        newest = heapq.nlargest(MAX_CRASHED_SERVERS, recent, key=recent.__getitem__)
        self._crashed_ms = {server_id: recent[server_id] for server_id in newest}
        self._culprits = None

    def _oldest_crash_ms(self, now_ms: int) -> int:
        """Return the time of the oldest crashes to keep.

        Those near the crashes under a request that is no culprit yet speak for it as long as it is
        suspected.
        """
        first_ms = [
            suspect.first_crash_ms
            for name, suspect in self._suspects.items()
            if suspect.may_be_culprit and not self.is_culprit(name, now_ms)
        ]
        return min([now_ms - SUSPECT_MS + 1, *(ms - crash_evidence.NEARBY_MS for ms in first_ms)])

    def recent_reports(self, now_ms: int) -> list[SuspectReport]:
        """Return the evidence to send to other entries.

        It is that against the refused requests, at most :data:`MAX_CULPRITS_SENT` in turn, for
        entries that start or were cut off; and what changed within :data:`SUSPECT_GOSSIP_MS`,
        against at most :data:`MAX_SUSPECTS_SENT` other requests.

        :param now_ms: the current monotonic time.
        """
        names = [n for n, s in self._suspects.items() if s.crashed_ms]
        in_turn = heapq.nsmallest(
            MAX_CULPRITS_SENT,
            [n for n in names if self.is_culprit(n, now_ms)],
            key=lambda name: self._suspects[name].sent_count,
        )
        changed = [
            n
            for n in names
            if n not in in_turn and now_ms - self._suspects[n].changed_ms < SUSPECT_GOSSIP_MS
        ]
        latest = heapq.nlargest(
            MAX_SUSPECTS_SENT, changed, key=lambda name: self._urgency(name, now_ms)
        )
        return [self._report(name, now_ms) for name in [*in_turn, *latest]]

    def _urgency(self, name: str, now_ms: int) -> tuple[bool, bool, int]:
        """Return the key that orders changes: several servers, then this entry's own, the latest.

        Others cannot know what this entry observed, while they pass on among themselves what it
        heard from them.
        """
        suspect = self._suspects[name]
        is_own = suspect.observed_ms is not None and now_ms - suspect.observed_ms < OWN_FIRST_MS
        has_several = len(suspect.crashed_ms) >= crash_evidence.MIN_CRASHED_SERVERS
        return has_several, is_own, suspect.changed_ms

    def _report(self, name: str, now_ms: int) -> SuspectReport:
        suspect = self._suspects[name]
        suspect.sent_count += 1
        is_new = now_ms - suspect.changed_ms < SUSPECT_GOSSIP_MS
        count = field_types.MAX_SERVER_IDS if is_new else SERVERS_SENT_LATER
        newest = list(suspect.crashed_ms if is_new else suspect.evidence_in_order)[-count:]
        return SuspectReport(
            name,
            newest,
            [server_id for server_id in newest if server_id in suspect.refuted],
            sorted(suspect.callers)[: field_types.MAX_CALLER_IDS],
            field_types.age_ms(suspect.last_ms, now_ms),
        )

    @property
    def size(self) -> int:
        """The number of stored fingerprints, quarantined or only suspected."""
        return len(self._suspects)

    @property
    def culprits(self) -> int:
        """The number of fingerprints whose requests are refused."""
        return len(self._culprits or ())
