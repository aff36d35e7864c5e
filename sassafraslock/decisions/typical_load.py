"""The mean load of the servers of one service in one region, by their recent reports."""

from __future__ import annotations

HALF_LIFE_MS = 1_500.0
PRIOR_SAMPLES = 1.0  # counted as idle, so that a single report does not determine the mean


class TypicalLoad:
    """Mean of reported loads, weighted by exponential decay.

    In a system with many entries, each entry gets few reports of any single server, but many of
    the service.
    """

    __slots__ = ("_sum", "_weight", "_at_ms")

    def __init__(self) -> None:
        self._sum = 0.0
        self._weight = 0.0
        self._at_ms = 0

    def record(self, load: float, now_ms: int) -> None:
        """Record a reported load.

        :param load: the requests of other entries that ran or waited at the server.
        :param now_ms: the current monotonic time.
        """
        self._decay(now_ms)
        self._sum += load
        self._weight += 1.0

    def mean(self, now_ms: int) -> float:
        """Return the load to expect at a server without a recent report; 0 without any report.

        :param now_ms: the current monotonic time.
        """
        self._decay(now_ms)
        return self._sum / (self._weight + PRIOR_SAMPLES)

    def _decay(self, now_ms: int) -> None:
        factor = 0.5 ** (max(0, now_ms - self._at_ms) / HALF_LIFE_MS)
        self._sum *= factor
        self._weight *= factor
        self._at_ms = max(self._at_ms, now_ms)
