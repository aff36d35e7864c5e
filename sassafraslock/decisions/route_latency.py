"""How long a route's requests take at servers that know their object, and at others."""

from __future__ import annotations

import dataclasses
import enum

WEIGHT = 0.08
PRIOR_SAMPLES = 1  # what the first guess counts for
KNOWN_START_RATIO = 0.4
NEW_START_RATIO = 1.2
MIN_NEW_RATIO = 1.2


class ObjectAffinity(enum.Enum):
    """What an entry can say of a server and an object.

    ``HOME`` stands for the object's home to which this entry did not send it lately: others may
    have done so, the more entries there are the more likely.
    """

    KNOWN = "known"
    HOME = "home"
    NEW = "new"


@dataclasses.dataclass(slots=True)
class _Mean:
    """A moving mean that follows its first samples faster than later ones."""

    mean_ms: float
    samples: int = 0

    def record(self, took_ms: float) -> None:
        self.samples += 1
        weight = max(WEIGHT, 1 / (self.samples + PRIOR_SAMPLES))
        self.mean_ms += weight * (took_ms - self.mean_ms)


@dataclasses.dataclass(slots=True)
class RouteLatency:
    """Moving means of a route's time at a server, without queues, in milliseconds."""

    known: _Mean
    home: _Mean
    new: _Mean

    @classmethod
    def from_target(cls, target_latency_ms: int) -> RouteLatency:
        """Return a first guess from what the operator aims at.

        :param target_latency_ms: the route's target.
        """
        new_ms = NEW_START_RATIO * target_latency_ms
        return cls(_Mean(KNOWN_START_RATIO * target_latency_ms), _Mean(new_ms), _Mean(new_ms))

    def expected_ms(self, affinity: ObjectAffinity) -> float:
        """Return the time that a request takes once a server works on it.

        :param affinity: what is known of the server and the object.
        """
        known_ms = self.known.mean_ms
        if affinity is ObjectAffinity.KNOWN:
            return known_ms
        new_ms = max(self.new.mean_ms, MIN_NEW_RATIO * known_ms)
        if affinity is ObjectAffinity.NEW:
            return new_ms
        return min(new_ms, max(self.home.mean_ms, known_ms))

    def record(self, affinity: ObjectAffinity, took_ms: float) -> None:
        """Take in an answer from a server that was not busy.

        :param affinity: what was known of the server and the object.
        :param took_ms: the time taken.
        """
        if affinity is ObjectAffinity.KNOWN:
            self.known.record(took_ms)
        elif affinity is ObjectAffinity.HOME:
            self.home.record(took_ms)
        else:
            self.new.record(took_ms)
