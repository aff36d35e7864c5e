"""How busy the servers of a service are in a region, by what any of them told lately."""

from __future__ import annotations

HALF_LIFE_MS = 1_500.0
PRIOR_SAMPLES = 1.0  # an idle server, so that a single answer is not taken for all


class TypicalLoad:
    """Mean of told loads in which old ones fade.

    With many entries each one hears of a single server seldom, but of its service often.
    """

    __slots__ = ("_sum", "_weight", "_at_ms")

    def __init__(self) -> None:
        self._sum = 0.0
        self._weight = 0.0
        self._at_ms = 0

    def record(self, load: float, now_ms: int) -> None:
        """Take in what a server told.

        :param load: the requests of other entries that ran or waited there.
        :param now_ms: the present time.
        """
        self._fade(now_ms)
        self._sum += load
        self._weight += 1.0

    def mean(self, now_ms: int) -> float:
        """Return the load to expect at a server of which nothing is known.

        :param now_ms: the present time.
        """
        self._fade(now_ms)
        return self._sum / (self._weight + PRIOR_SAMPLES)

    def _fade(self, now_ms: int) -> None:
        factor = 0.5 ** (max(0, now_ms - self._at_ms) / HALF_LIFE_MS)
        self._sum *= factor
        self._weight *= factor
        self._at_ms = max(self._at_ms, now_ms)
