"""How many requests may leave the region that is planned for them."""

from __future__ import annotations

from sassafraslock.decisions import region_plan, windows

SPILL_RATIO = 0.06  # share of the recent requests


class SpillBudget:
    """Counts placed and spilled requests over :data:`region_plan.SPILL_WINDOW_MS`."""

    __slots__ = ("_placed", "_spilled")

    def __init__(self) -> None:
        self._placed = windows.SlidingCount(region_plan.SPILL_WINDOW_MS)
        self._spilled = windows.SlidingCount(region_plan.SPILL_WINDOW_MS)

    def record_placed(self, now_ms: int) -> None:
        """Count a request that needs a server.

        :param now_ms: the current monotonic time.
        """
        self._placed.add(now_ms)

    def has_traffic(self, now_ms: int) -> bool:
        """Return whether any request needed a server lately.

        :param now_ms: the current monotonic time.
        """
        return self._placed.total(now_ms) > 0

    def may_spill(self, now_ms: int) -> bool:
        """Return whether one more request may leave its planned region.

        :param now_ms: the current monotonic time.
        """
        allowed = SPILL_RATIO * self._placed.total(now_ms)
        return self._spilled.total(now_ms) + 1 <= allowed

    def record_spilled(self, now_ms: int) -> None:
        """Count a request that leaves its planned region.

        :param now_ms: the current monotonic time.
        """
        self._spilled.add(now_ms)
