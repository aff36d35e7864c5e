"""Requests and servers of :mod:`benchmarks.objects`."""

from __future__ import annotations

import bisect
import dataclasses
import random

from benchmarks import object_world, servers
from sassafraslock.decisions import candidates

SLOW_MS, SLOW_SHARE, SLOW_FACTOR = 600.0, 0.15, 2.5


@dataclasses.dataclass(slots=True)
class Request:
    """A client's request."""

    flow: object_world.Flow
    zone: str
    key: str
    first_ms: float
    tries: int = 0


@dataclasses.dataclass(slots=True)
class Job:
    """An attempt at a server."""

    request: Request
    entry: object_world.Entry
    wanted: candidates.PlacementRequest
    choice: candidates.Choice
    sent_ms: float
    is_known: bool = False
    started_ms: float = -1.0
    ends_ms: float = 0.0
    was_held: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """What became of a request; ``cause`` tells why it was not on time."""

    request: Request
    value: float
    cause: str
    is_warm: bool = False


class Server:
    """A server's memory and queue, and the times in which its machine is slow."""

    def __init__(self, kept: int, slots: int, seconds: int, rng: random.Random) -> None:
        self.queue = servers.QueueingServer(servers.KeptObjects(kept))
        self.slots = slots
        self.served = 0
        self.slow_from_ms: list[float] = []
        at_ms, gap_ms = 0.0, SLOW_MS * (1 - SLOW_SHARE) / SLOW_SHARE
        while at_ms < 2_000 * seconds:
            at_ms += rng.expovariate(1 / gap_ms)
            self.slow_from_ms.append(at_ms)
            at_ms += SLOW_MS

    def end_ms(self, now_ms: float, work_ms: float) -> float:
        """Return when work ends that starts now.

        :param now_ms: the present time.
        :param work_ms: the time that it takes at the usual speed.
        """
        index = max(0, bisect.bisect_right(self.slow_from_ms, now_ms) - 1)
        at_ms, left_ms = now_ms, work_ms
        for from_ms in self.slow_from_ms[index:]:
            until_ms = from_ms + SLOW_MS
            if until_ms <= at_ms:
                continue
            if at_ms + left_ms <= from_ms:
                break
            left_ms -= max(0.0, from_ms - at_ms)
            at_ms = max(at_ms, from_ms)
            if left_ms * SLOW_FACTOR <= until_ms - at_ms:
                return at_ms + left_ms * SLOW_FACTOR
            left_ms -= (until_ms - at_ms) / SLOW_FACTOR
            at_ms = until_ms
        return at_ms + left_ms
