"""Detects poison requests, which crash the servers that run them, by request fingerprint."""

from __future__ import annotations

import collections
import dataclasses

import xxhash

CRASHED_SERVERS_TO_QUARANTINE = 2
MAX_CRASHED_SERVERS_KEPT = 16
MAX_SUSPECTS = 4_096
SWEEP_INTERVAL_MS = 1_000
QUARANTINE_MS = 600_000
SUSPECT_MS = 60_000
MASS_FAILURE_MS = 1_000
MASS_FAILURE_SERVERS = 3


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


@dataclasses.dataclass(slots=True)
class _Suspect:
    server_ids: set[str]
    last_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class _Crash:
    at_ms: int
    server_id: str
    fingerprint: str


class Quarantine:
    """Counts, for each fingerprint, the distinct servers that crashed while they ran the request.

    When :data:`MASS_FAILURE_SERVERS` servers crash within :data:`MASS_FAILURE_MS` under different
    requests, their machines failed and the requests are not the cause, so the crash does not count.
    """

    __slots__ = ("_suspects", "_crashes", "_last_sweep_ms")

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._crashes: collections.deque[_Crash] = collections.deque(maxlen=256)
        self._last_sweep_ms = 0

    def record_crash(self, fingerprint: str, server_id: str, now_ms: int) -> bool:
        """Record that a server crashed while it ran a request.

        :param fingerprint: the request's fingerprint.
        :param server_id: the id of the server, which includes its service.
        :param now_ms: the monotonic time.
        :returns: whether the crash counts against the request; false for a mass failure.
        """
        self._crashes.append(_Crash(now_ms, server_id, fingerprint))
        recent = [c for c in self._crashes if now_ms - c.at_ms <= MASS_FAILURE_MS]
        others = {c.server_id for c in recent if c.fingerprint != fingerprint}
        if len(others - {server_id}) >= MASS_FAILURE_SERVERS - 1:
            return False
        self.merge(fingerprint, [server_id], now_ms)
        return True

    def merge(self, fingerprint: str, server_ids: list[str], now_ms: int) -> None:
        """Add crashed servers to a fingerprint, for example those that another entry reported.

        A new fingerprint is dropped if :data:`MAX_SUSPECTS` are already stored.

        :param fingerprint: the request's fingerprint.
        :param server_ids: the servers that crashed; at most
            :data:`MAX_CRASHED_SERVERS_KEPT` are stored for a fingerprint.
        :param now_ms: the monotonic time.
        """
        self._remove_expired(now_ms)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                return
            suspect = self._suspects[fingerprint] = _Suspect(set(), now_ms)
        free = MAX_CRASHED_SERVERS_KEPT - len(suspect.server_ids)
        suspect.server_ids.update(server_ids[: max(0, free)])
        suspect.last_ms = now_ms

    def crashed_servers(self, fingerprint: str) -> list[str]:
        """Return the sorted ids of the servers that crashed, empty for an unknown fingerprint.

        :param fingerprint: the request's fingerprint.
        """
        suspect = self._suspects.get(fingerprint)
        return sorted(suspect.server_ids) if suspect else []

    def is_quarantined(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether requests with this fingerprint are refused.

        :param fingerprint: the request's fingerprint.
        :param now_ms: the monotonic time.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or len(suspect.server_ids) < CRASHED_SERVERS_TO_QUARANTINE:
            return False
        return now_ms - suspect.last_ms < QUARANTINE_MS

    def record_answer(self, fingerprint: str) -> None:
        """Remove a fingerprint that is not quarantined yet, after a server's complete answer.

        :param fingerprint: the request's fingerprint.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect and len(suspect.server_ids) < CRASHED_SERVERS_TO_QUARANTINE:
            del self._suspects[fingerprint]

    def _remove_expired(self, now_ms: int) -> None:
        if now_ms - self._last_sweep_ms < SWEEP_INTERVAL_MS:
            return
        self._last_sweep_ms = now_ms
        for fingerprint, suspect in list(self._suspects.items()):
            quarantined = len(suspect.server_ids) >= CRASHED_SERVERS_TO_QUARANTINE
            if now_ms - suspect.last_ms >= (QUARANTINE_MS if quarantined else SUSPECT_MS):
                del self._suspects[fingerprint]

    @property
    def size(self) -> int:
        """The number of stored fingerprints, quarantined or only suspected."""
        return len(self._suspects)
