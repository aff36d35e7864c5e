"""Weighted split of a route's requests between services, by object."""

from __future__ import annotations

import collections

from sassafraslock import routing_table
from sassafraslock.decisions import hashing

WINDOW_REQUESTS = 200
TOLERANCE = 0.04  # by how much a recent share may exceed its weight
MIN_REQUESTS = 40  # before shares are compared with weights


class Splitter:
    """Chooses a destination for each request of one entry.

    An object keeps its destination, so that its server keeps it in memory. If that destination's
    share of recent requests exceeds its weight by at least :data:`TOLERANCE`, the destination
    that is furthest below its weight gets the request instead.
    """

    __slots__ = ("_recent", "_counts")

    def __init__(self) -> None:
        self._recent: dict[str, collections.deque[str]] = {}
        self._counts: dict[str, collections.Counter[str]] = {}

    def choose(self, route: routing_table.Route, key: str) -> str:
        """Return the service for a request.

        :param route: the request's route.
        :param key: the key of the object that it concerns, empty if unknown.
        """
        if len(route.destinations) == 1:
            return route.destinations[0].service
        chosen = self._rebalanced(route, _by_hash(route, key))
        self._record(route.name, chosen)
        return chosen

    def _rebalanced(self, route: routing_table.Route, chosen: str) -> str:
        counts = self._counts.get(route.name)
        recent = self._recent.get(route.name)
        if counts is None or recent is None or len(recent) < MIN_REQUESTS:
            return chosen
        total = sum(d.weight for d in route.destinations)
        deficits = {
            d.service: d.weight / total - counts[d.service] / len(recent)
            for d in route.destinations
            if d.weight > 0
        }
        if deficits.get(chosen, -1.0) > -TOLERANCE:
            return chosen
        return max(deficits, key=lambda service: deficits[service])

    def _record(self, name: str, service: str) -> None:
        recent = self._recent.setdefault(name, collections.deque())
        counts = self._counts.setdefault(name, collections.Counter())
        recent.append(service)
        counts[service] += 1
        if len(recent) > WINDOW_REQUESTS:
            counts[recent.popleft()] -= 1

    def reset(self) -> None:
        """Discard the recent requests, because the weights changed."""
        self._recent.clear()
        self._counts.clear()


def _by_hash(route: routing_table.Route, key: str) -> str:
    total = sum(d.weight for d in route.destinations)
    point = hashing.fraction(f"split|{key}") * total
    for destination in route.destinations:
        point -= destination.weight
        if point < 0:
            return destination.service
    return route.destinations[-1].service
