"""Recent peaks of client demand, by service and region."""

from __future__ import annotations

import dataclasses

HALF_LIFE_MS = 30_000.0


@dataclasses.dataclass(slots=True)
class _Peak:
    busy_slots: float
    at_ms: int


class DemandPeaks:
    """Highest demands, which decay over time.

    Region plans move slowly. If the recorded demand of a region dropped as soon as its clients
    pause, the plan would move to serving all of their requests in the region. When the clients
    return, the region would be overloaded until the plan has moved back.
    """

    __slots__ = ("_peaks",)

    def __init__(self) -> None:
        self._peaks: dict[tuple[str, str], _Peak] = {}

    def record(self, service: str, region: str, busy_slots: float, now_ms: int) -> float:
        """Record a demand and return the decayed peak, which is at least the demand.

        :param service: the service.
        :param region: the region of the clients.
        :param busy_slots: the slots that their requests currently occupy.
        :param now_ms: the current monotonic time.
        """
        peak = self._peaks.setdefault((service, region), _Peak(busy_slots, now_ms))
        decayed = peak.busy_slots * 0.5 ** ((now_ms - peak.at_ms) / HALF_LIFE_MS)
        if busy_slots >= decayed:
            peak.busy_slots, peak.at_ms = busy_slots, now_ms
            return busy_slots
        return decayed
