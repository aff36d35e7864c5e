"""The most that clients asked for lately, by service and region."""

from __future__ import annotations

import dataclasses

HALF_LIFE_MS = 30_000.0


@dataclasses.dataclass(slots=True)
class _Peak:
    busy: float
    at_ms: int


class DemandPeaks:
    """Highest demands, which fade with time.

    A plan moves slowly, so a region whose clients leave for a while must not be given all of
    its requests in the meantime: it would drown when they return.
    """

    __slots__ = ("_peaks",)

    def __init__(self) -> None:
        self._peaks: dict[tuple[str, str], _Peak] = {}

    def record(self, service: str, region: str, busy: float, now_ms: int) -> float:
        """Take in a demand and return the highest one of late.

        :param service: the service.
        :param region: the region of the clients.
        :param busy: the slots that their requests keep busy now.
        :param now_ms: the present time.
        """
        peak = self._peaks.setdefault((service, region), _Peak(busy, now_ms))
        faded = peak.busy * 0.5 ** ((now_ms - peak.at_ms) / HALF_LIFE_MS)
        if busy >= faded:
            peak.busy, peak.at_ms = busy, now_ms
            return busy
        return faded
