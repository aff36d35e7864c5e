"""Bounds of the store's steady clock, which hold however late an answer is read."""

from __future__ import annotations

import enum
import math

TOLERANCE_MS = 20  # rounding of both clocks; a greater contradiction means that the clock jumped
MAX_DRIFT = 0.001  # both clocks may be slewed by 500 ppm


class Reading(enum.Enum):
    """What a reading of the store's clock showed."""

    CONSISTENT = "consistent"
    JUMPED = "jumped"
    TOO_OLD = "too old"


class StoreClock:
    """The earliest and the latest time that the store's clock may show now.

    Let an answer say that the store's clock showed ``s`` at some moment between the local times at
    which the call was sent and its answer was read. Then the clock shows at least ``s`` and the
    time since the answer, and at most ``s`` and the time since the call. The tightest of these
    bounds are kept; they widen by :data:`MAX_DRIFT`, so that later answers replace them.

    A reading that contradicts the bounds means that the clock was set or is another one. All bounds
    are dropped then, and answers to calls that were under way do not count, since it is not known
    by which clock they tell the time.
    """

    __slots__ = ("_latest", "_earliest", "_dropped_ms")

    def __init__(self) -> None:
        self._latest: tuple[int, int] | None = None
        self._earliest: tuple[int, int] | None = None
        self._dropped_ms: int | None = None

    def latest_ms(self, now_ms: int) -> int | None:
        """Return the latest time that the store's clock may show, none if it is not known.

        :param now_ms: the current monotonic time.
        """
        if self._latest is None:
            return None
        store_ms, sent_ms = self._latest
        return store_ms + math.ceil((now_ms - sent_ms) * (1 + MAX_DRIFT))

    def earliest_ms(self, now_ms: int) -> int | None:
        """Return the earliest time that the store's clock may show, none if it is not known.

        :param now_ms: the monotonic time, which may lie before the last answer.
        """
        if self._earliest is None:
            return None
        store_ms, read_ms = self._earliest
        passed_ms = now_ms - read_ms
        drift = -MAX_DRIFT if passed_ms > 0 else MAX_DRIFT
        return max(0, store_ms + math.floor(passed_ms * (1 + drift)))

    def drop(self, now_ms: int) -> None:
        """Drop the bounds; answers to calls sent up to now do not count.

        :param now_ms: the current monotonic time.
        """
        self._latest = self._earliest = None
        self._dropped_ms = now_ms

    def record(self, from_ms: int, to_ms: int, sent_ms: int, now_ms: int) -> Reading:
        """Record a reading, and drop all bounds if it contradicts them.

        :param from_ms: the earliest time that the store's clock showed.
        :param to_ms: the latest time that it showed, the same if the store itself told it.
        :param sent_ms: the monotonic time before the call was sent.
        :param now_ms: the current monotonic time, at which the answer is read.
        """
        if self._dropped_ms is not None and sent_ms <= self._dropped_ms:
            return Reading.TOO_OLD
        if self.is_ahead(from_ms, now_ms) or self._is_behind(to_ms, sent_ms):
            self.drop(now_ms)
            return Reading.JUMPED
        latest_ms, earliest_ms = self.latest_ms(now_ms), self.earliest_ms(now_ms)
        if latest_ms is None or to_ms + (now_ms - sent_ms) <= latest_ms:
            self._latest = to_ms, sent_ms
        if earliest_ms is None or from_ms >= earliest_ms:
            self._earliest = from_ms, now_ms
        return Reading.CONSISTENT

    def is_ahead(self, store_ms: int, now_ms: int) -> bool:
        """Return whether the store's clock cannot have reached a time yet.

        :param store_ms: the time of the store's clock.
        :param now_ms: the current monotonic time.
        """
        latest_ms = self.latest_ms(now_ms)
        return latest_ms is not None and store_ms > latest_ms + TOLERANCE_MS

    def _is_behind(self, store_ms: int, sent_ms: int) -> bool:
        earliest_ms = self.earliest_ms(sent_ms)
        return earliest_ms is not None and store_ms < earliest_ms - TOLERANCE_MS
