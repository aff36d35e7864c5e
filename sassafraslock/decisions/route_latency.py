"""Latency averages of a route, by whether the server has the request's object in memory."""

from __future__ import annotations

import dataclasses
import enum

MIN_SAMPLE_WEIGHT = 0.08
PRIOR_SAMPLES = 1  # the weight of the initial estimate, in samples
# Initial estimates over the route's target latency.
INITIAL_KNOWN_RATIO = 0.4
INITIAL_NEW_RATIO = 1.2
MIN_NEW_RATIO = 1.2  # lower bound of the latency for new objects over that for known ones


class ObjectAffinity(enum.Enum):
    """Whether a server is likely to have an object in memory.

    ``KNOWN``: this entry recently got an answer for the object there, or the object does not
    matter. ``HOME``: the server is the object's home, but this entry did not use it recently for
    the object; other entries may have, which is more likely the more entries there are.
    ``NEW``: neither.
    """

    KNOWN = "known"
    HOME = "home"
    NEW = "new"


@dataclasses.dataclass(slots=True)
class _Mean:
    """A moving mean in which the first samples have more weight than later ones."""

    mean_ms: float
    samples: int = 0

    def record(self, took_ms: float) -> None:
        self.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / (self.samples + PRIOR_SAMPLES))
        self.mean_ms += weight * (took_ms - self.mean_ms)


@dataclasses.dataclass(slots=True)
class RouteLatency:
    """Moving means of the time that servers take for a route's requests, without queueing."""

    known: _Mean
    home: _Mean
    new: _Mean

    @classmethod
    def from_target(cls, target_latency_ms: int) -> RouteLatency:
        """Return initial estimates.

        :param target_latency_ms: the route's target latency.
        """
        new_ms = INITIAL_NEW_RATIO * target_latency_ms
        return cls(_Mean(INITIAL_KNOWN_RATIO * target_latency_ms), _Mean(new_ms), _Mean(new_ms))

    def expected_ms(self, affinity: ObjectAffinity) -> float:
        """Return the expected time in ms that a server takes for a request, without queueing.

        A weaker affinity never gives a shorter time: known <= home <= new, whatever the means say.

        :param affinity: the affinity of the server and the object.
        """
        known_ms = self.known.mean_ms
        if affinity is ObjectAffinity.KNOWN:
            return known_ms
        new_ms = max(self.new.mean_ms, MIN_NEW_RATIO * known_ms)
        if affinity is ObjectAffinity.NEW:
            return new_ms
        return min(new_ms, max(self.home.mean_ms, known_ms))

    def record(self, affinity: ObjectAffinity, took_ms: float) -> None:
        """Record the latency of an answer from a server with a free slot.

        :param affinity: the affinity of the server and the object when the request was sent.
        :param took_ms: the measured time.
        """
        if affinity is ObjectAffinity.KNOWN:
            self.known.record(took_ms)
        elif affinity is ObjectAffinity.HOME:
            self.home.record(took_ms)
        else:
            self.new.record(took_ms)
