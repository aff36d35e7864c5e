"""The fields of log lines that reports use; lines of former versions lack some of them."""

from __future__ import annotations

import msgspec

KNOWN, HOME, NEW = "known", "home", "new"  # the values of ``object_is``


class Candidate(msgspec.Struct, frozen=True):
    """A server with the estimates by which it was compared; ``object_is`` is its affinity."""

    server: str = ""
    region: str = ""
    expected_ms: float = 0.0
    queue_ms: float = 0.0
    load: float = 0.0
    slots: int = 0
    object_is: str = ""
    cold: bool = False

    @property
    def is_full(self) -> bool:
        """Whether all slots of the server were expected to be in use."""
        return self.slots > 0 and self.load >= self.slots


class Attempt(Candidate, frozen=True):
    """One attempt at a server; ``verdict`` is empty in lines that lack it.

    ``after_ms`` is the time from the request's arrival, none in lines of former versions.
    """

    after_ms: float | None = None
    took_ms: float = 0.0
    verdict: str = ""
    selection: str = ""


class LogLine(msgspec.Struct, frozen=True):
    """One event of an entry.

    The fields after ``event`` are those of requests. ``limit_ms``, ``limited_by`` and ``best`` are
    only in refusals for a queue, ``target_ms`` is 0 in lines of former versions.
    """

    time_s: float
    event: int
    message: str = ""
    route: str = ""
    service: str = ""
    entry_region: str = ""
    target_ms: float = 0.0
    took_ms: float = 0.0
    kind: str = ""
    limit_ms: float = 0.0
    limited_by: str = ""
    leaving_servers: int = 0
    best: Candidate | None = None
    attempts: list[Attempt] = []

    @property
    def arrived_s(self) -> float:
        """The time at which the request arrived, by the wall clock."""
        return self.time_s - self.took_ms / 1000
