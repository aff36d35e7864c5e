"""Requests that break the servers that run them, by fingerprint."""

from __future__ import annotations

import collections
import dataclasses

import xxhash

MAX_BROKEN_SERVERS = 2
MAX_CRASHED_SERVERS_KEPT = 16
MAX_SUSPECTS = 4_096
SWEEP_MS = 1_000
QUARANTINE_MS = 600_000
SUSPECT_MS = 60_000
MASS_FAILURE_MS = 1_000
MASS_FAILURE_SERVERS = 3


def fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return a request's fingerprint, the same at every entry.

    :param service: the service.
    :param method: the HTTP method.
    :param path: the path with its query.
    :param body: the body.
    """
    digest = xxhash.xxh3_128(f"{service}\n{method}\n{path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


@dataclasses.dataclass(slots=True)
class _Suspect:
    server_ids: set[str]
    last_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class _Break:
    at_ms: int
    server_id: str
    fingerprint: str


class Quarantine:
    """Counts, for each fingerprint, the servers that broke while running it.

    When several servers break within a moment under different requests, the machines failed
    and not the requests, so those breaks do not count.
    """

    __slots__ = ("_suspects", "_breaks", "_swept_ms")

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._breaks: collections.deque[_Break] = collections.deque(maxlen=256)
        self._swept_ms = 0

    def record_crash(self, mark: str, server_id: str, now_ms: int) -> bool:
        """Note that a server's connection broke while it ran a request.

        :param mark: the request's fingerprint.
        :param server_id: the server with its service.
        :param now_ms: the present time.
        :returns: whether the break counts against the request.
        """
        self._breaks.append(_Break(now_ms, server_id, mark))
        recent = [b for b in self._breaks if now_ms - b.at_ms <= MASS_FAILURE_MS]
        others = {b.server_id for b in recent if b.fingerprint != mark}
        if len(others - {server_id}) >= MASS_FAILURE_SERVERS - 1:
            return False
        self.merge(mark, [server_id], now_ms)
        return True

    def merge(self, mark: str, server_ids: list[str], now_ms: int) -> None:
        """Take in what a peer knows of a fingerprint.

        :param mark: the fingerprint.
        :param server_ids: the servers that broke.
        :param now_ms: the present time.
        """
        self._forget(now_ms)
        suspect = self._suspects.get(mark)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                return
            suspect = self._suspects[mark] = _Suspect(set(), now_ms)
        room = MAX_CRASHED_SERVERS_KEPT - len(suspect.server_ids)
        suspect.server_ids.update(server_ids[: max(0, room)])
        suspect.last_ms = now_ms

    def crashed_servers(self, mark: str) -> list[str]:
        """Return the servers that broke under a fingerprint.

        :param mark: the fingerprint.
        """
        suspect = self._suspects.get(mark)
        return sorted(suspect.server_ids) if suspect else []

    def is_quarantined(self, mark: str, now_ms: int) -> bool:
        """Tell whether requests with this fingerprint are refused.

        :param mark: the fingerprint.
        :param now_ms: the present time.
        """
        suspect = self._suspects.get(mark)
        if suspect is None or len(suspect.server_ids) < MAX_BROKEN_SERVERS:
            return False
        return now_ms - suspect.last_ms < QUARANTINE_MS

    def record_answer(self, mark: str) -> None:
        """Clear a suspicion after a server answered the request whole.

        :param mark: the fingerprint.
        """
        suspect = self._suspects.get(mark)
        if suspect and len(suspect.server_ids) < MAX_BROKEN_SERVERS:
            del self._suspects[mark]

    def _forget(self, now_ms: int) -> None:
        if now_ms - self._swept_ms < SWEEP_MS:
            return
        self._swept_ms = now_ms
        for mark, suspect in list(self._suspects.items()):
            quarantined = len(suspect.server_ids) >= MAX_BROKEN_SERVERS
            if now_ms - suspect.last_ms >= (QUARANTINE_MS if quarantined else SUSPECT_MS):
                del self._suspects[mark]

    @property
    def size(self) -> int:
        """The number of fingerprints remembered."""
        return len(self._suspects)
