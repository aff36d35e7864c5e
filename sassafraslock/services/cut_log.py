"""Counts and logs connections that are closed with requests unanswered or responses unsent."""

from __future__ import annotations

import dataclasses
import enum
import logging

from sassafraslock import events

LOG_INTERVAL_MS = 1_000


class CutCause(enum.StrEnum):
    """Why an entry cuts a client's connection."""

    BLOCKED = "blocked"  # the client does not read its responses
    FAULT = "fault"  # an error of this program
    MEMORY = "memory"
    STOP = "stop"


@dataclasses.dataclass(slots=True, frozen=True)
class Unfinished:
    """What a connection has not finished.

    ``is_receiving`` is set if a part of a request has arrived.
    """

    client: str
    unanswered: int
    unsent_bytes: int
    is_receiving: bool

    def __bool__(self) -> bool:
        return bool(self.unanswered or self.unsent_bytes or self.is_receiving)


class CutLog:
    """Counts cut connections by cause; logs at most one line a cause and second."""

    __slots__ = ("counts", "_logged_ms")

    def __init__(self) -> None:
        self.counts: dict[CutCause, int] = dict.fromkeys(CutCause, 0)
        self._logged_ms: dict[CutCause, int] = {}

    def record(self, cause: CutCause, cut: list[Unfinished], now_ms: int) -> None:
        """Count connections that are cut together, except those that have finished everything.

        :param cause: why they are cut.
        :param cut: what each of them has not finished.
        :param now_ms: the current monotonic time.
        """
        cut = [unfinished for unfinished in cut if unfinished]
        if not cut:
            return
        self.counts[cause] += len(cut)
        logged_ms = self._logged_ms.get(cause)
        if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms[cause] = now_ms
        events.log(
            events.Event.CONNECTION_CUT,
            "closed with a request unanswered or a response unsent",
            logging.WARNING,
            cause=cause,
            connections=len(cut),
            unanswered=sum(unfinished.unanswered for unfinished in cut),
            unsent_bytes=sum(unfinished.unsent_bytes for unfinished in cut),
            receiving=sum(unfinished.is_receiving for unfinished in cut),
            client=cut[0].client,
            total=self.counts[cause],
        )
