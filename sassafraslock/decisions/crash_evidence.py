"""Weighs which requests are to blame for servers that crashed."""

from __future__ import annotations

import dataclasses
import heapq

MIN_CRASHED_SERVERS = 2
CERTAIN_CRASHED_SERVERS = 4  # enough against a request, whatever else crashes meanwhile
MAX_CRASHED_SERVERS_KEPT = 64
MIN_CALLERS = 2
# Servers that crash closer together may have one cause, such as the loss of their zone.
NEARBY_MS = 1_000
OTHERS_RATIO = 0.5  # of the servers that crash nearby to those that crash under the request


@dataclasses.dataclass(slots=True)
class Suspect:
    """The evidence against a request.

    :param crashed_ms: when it became known that a server crashed while it ran the request.
    :param broken: the servers whose connections broke under it, crashed or not.
    :param refuted: the servers that do not count, since another one answered the request later.
    :param callers: the fingerprints of some callers under whose requests servers crashed, if the
        evidence is against the request of all callers; else empty.
    :param last_ms: when a server was last added.
    :param changed_ms: when anything was last added.
    :param observed_ms: when this entry itself last saw a server crash.
    :param sent_count: how many gossip messages held it.
    """

    crashed_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    broken: set[str] = dataclasses.field(default_factory=set)
    refuted: set[str] = dataclasses.field(default_factory=set)
    callers: set[str] = dataclasses.field(default_factory=set)
    last_ms: int = 0
    changed_ms: int = 0
    observed_ms: int | None = None
    sent_count: int = 0

    @property
    def evidence(self) -> set[str]:
        """The servers that crashed under the request and count against it."""
        return self.crashed_ms.keys() - self.refuted

    @property
    def evidence_in_order(self) -> list[str]:
        """The servers of :attr:`evidence`, the latest last."""
        return [server_id for server_id in self.crashed_ms if server_id not in self.refuted]

    @property
    def first_crash_ms(self) -> int:
        """When the first server that counts against the request became known to have crashed."""
        return min(self.crashed_ms[server_id] for server_id in self.evidence)

    @property
    def may_be_culprit(self) -> bool:
        """Whether there are enough servers, and callers if it stands for all of them."""
        if len(self.crashed_ms) < MIN_CRASHED_SERVERS:
            return False
        if self.callers and len(self.callers) < MIN_CALLERS:
            return False
        return len(self.evidence) >= MIN_CRASHED_SERVERS

    def add_crash(self, server_id: str, now_ms: int) -> bool:
        """Add a server that crashed, unless it is known or there are too many.

        :param server_id: the server.
        :param now_ms: the current monotonic time.
        :returns: whether it was added.
        """
        if server_id in self.crashed_ms or len(self.crashed_ms) >= MAX_CRASHED_SERVERS_KEPT:
            return False
        self.crashed_ms[server_id] = now_ms
        return True


def find_culprits(suspects: dict[str, Suspect], crashed_ms: dict[str, int]) -> set[str]:
    """Return the fingerprints of the requests that are to blame.

    The request under which most servers crashed is judged first. The crashes of a culprit's servers
    are explained, and do not count against the requests that ran beside it. With fewer than
    :data:`CERTAIN_CRASHED_SERVERS`, a request is a culprit only if most servers that crashed at
    that time did so under it.

    :param suspects: the evidence by fingerprint.
    :param crashed_ms: when each server that crashed lately became known to have crashed.
    """
    ranked = [_rank(f, s, s.evidence) for f, s in suspects.items() if s.may_be_culprit]
    heapq.heapify(ranked)
    culprits: set[str] = set()
    explained: set[str] = set()
    while ranked:
        _, _, fingerprint = rank = heapq.heappop(ranked)
        suspect = suspects[fingerprint]
        unexplained = suspect.evidence - explained
        if len(unexplained) < MIN_CRASHED_SERVERS:
            continue
        if _rank(fingerprint, suspect, unexplained) != rank:
            heapq.heappush(ranked, _rank(fingerprint, suspect, unexplained))
            continue
        if _is_culprit(suspect, unexplained, explained, crashed_ms):
            culprits.add(fingerprint)
            explained |= unexplained
    return culprits


def _rank(fingerprint: str, suspect: Suspect, servers: set[str]) -> tuple[int, bool, str]:
    """Return the key that orders suspects: most servers first, then those of all callers."""
    return -len(servers), not suspect.callers, fingerprint


def _is_culprit(
    suspect: Suspect, unexplained: set[str], explained: set[str], crashed_ms: dict[str, int]
) -> bool:
    if len(unexplained) >= CERTAIN_CRASHED_SERVERS:
        return True
    times_ms = [suspect.crashed_ms[server_id] for server_id in unexplained]
    first_ms, last_ms = min(times_ms) - NEARBY_MS, max(times_ms) + NEARBY_MS
    nearby = {s for s, at_ms in crashed_ms.items() if first_ms <= at_ms <= last_ms}
    others = nearby - unexplained - explained
    return len(others) <= OTHERS_RATIO * len(unexplained)
