"""The evidence that a start of a server has ended, so that another may run under its id."""

from __future__ import annotations

import dataclasses
import enum

NEVER_TOLD_MS = -1_000_000_000


class Evidence(enum.StrEnum):
    """Why a start of a server may have ended."""

    REFUSED = "connection refused"
    UNREACHABLE = "no connection within the time limit"
    DISCONNECTED = "all connections ended"
    PEER = "peer"


@dataclasses.dataclass(slots=True)
class PossibleRestart:
    """What is known of a start that may have ended. Times are of this entry's monotonic clock.

    A server that was seen up after the end started before that, and is cold for ``cold_start_ms``
    from then on at most.

    :param ended_ms: when the start may have ended at the latest.
    :param evidence: what showed it first.
    :param cold_start_ms: how long servers of the service are cold after a start.
    :param up_ms: when a server accepted a connection after the end, ``None`` if none did yet.
    :param warm_at_ms: when the server is warm, as it or a peer said; ``None`` if neither did.
    :param told_ms: when this entry last told peers of the end.
    :param idle_ms: for :attr:`Evidence.DISCONNECTED`, how long the last connection was idle.
    """

    ended_ms: int
    evidence: Evidence
    cold_start_ms: int
    up_ms: int | None = None
    warm_at_ms: int | None = None
    told_ms: int = NEVER_TOLD_MS
    idle_ms: int = 0

    def is_cold(self, now_ms: int) -> bool:
        """Return whether the server may be a new start that is cold.

        :param now_ms: the current monotonic time.
        """
        if self.warm_at_ms is not None:
            return now_ms < self.warm_at_ms
        return self.up_ms is None or now_ms < self.up_ms + self.cold_start_ms
