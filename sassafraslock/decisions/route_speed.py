"""How long a route's requests take at servers that know their object, and at others."""

from __future__ import annotations

import dataclasses

WEIGHT = 0.08
WARM_START_RATIO = 0.4
COLD_START_RATIO = 1.2
MIN_COLD_RATIO = 1.2


@dataclasses.dataclass(slots=True)
class RouteSpeed:
    """Moving means of a route's time at a server, without queues, in milliseconds."""

    warm_ms: float
    cold_ms: float

    @classmethod
    def guess(cls, target_latency_ms: int) -> RouteSpeed:
        """Return a first guess from what the operator aims at.

        :param target_latency_ms: the route's target.
        """
        return cls(WARM_START_RATIO * target_latency_ms, COLD_START_RATIO * target_latency_ms)

    def expected_ms(self, warm: bool) -> float:
        """Return the time that a request takes once a server works on it.

        :param warm: whether the server handled the object before.
        """
        return self.warm_ms if warm else max(self.cold_ms, MIN_COLD_RATIO * self.warm_ms)

    def note(self, warm: bool, took_ms: float) -> None:
        """Take in an answer from a server that was not busy.

        :param warm: whether the server handled the object before.
        :param took_ms: the time taken.
        """
        if warm:
            self.warm_ms += WEIGHT * (took_ms - self.warm_ms)
        else:
            self.cold_ms += WEIGHT * (took_ms - self.cold_ms)
