"""Weighted split of a route's requests between services, stable by object."""

from __future__ import annotations

import collections

from sassafraslock import routing_table
from sassafraslock.decisions import hashing

WINDOW = 200
TOLERANCE = 0.04
MIN_SAMPLE = 40


class Splitter:
    """Chooses a destination for each request of one entry.

    An object stays with one destination, so that its server keeps it in memory. Where the
    objects asked for lately lean away from the weights by more than :data:`TOLERANCE`, the
    destination that lacks most gets the request.
    """

    __slots__ = ("_recent", "_counts")

    def __init__(self) -> None:
        self._recent: dict[str, collections.deque[str]] = {}
        self._counts: dict[str, collections.Counter[str]] = {}

    def choose(self, route: routing_table.Route, key: str) -> str:
        """Return the service for a request.

        :param route: the request's route.
        :param key: the object that it concerns, empty where unknown.
        """
        if len(route.destinations) == 1:
            return route.destinations[0].service
        chosen = self._corrected(route, _by_hash(route, key))
        self._note(route.name, chosen)
        return chosen

    def _corrected(self, route: routing_table.Route, chosen: str) -> str:
        counts = self._counts.get(route.name)
        recent = self._recent.get(route.name)
        if counts is None or recent is None or len(recent) < MIN_SAMPLE:
            return chosen
        total = sum(d.weight for d in route.destinations)
        lacks = {
            d.service: d.weight / total - counts[d.service] / len(recent)
            for d in route.destinations
            if d.weight > 0
        }
        if lacks.get(chosen, -1.0) > -TOLERANCE:
            return chosen
        return max(lacks, key=lambda service: lacks[service])

    def _note(self, name: str, service: str) -> None:
        recent = self._recent.setdefault(name, collections.deque())
        counts = self._counts.setdefault(name, collections.Counter())
        recent.append(service)
        counts[service] += 1
        if len(recent) > WINDOW:
            counts[recent.popleft()] -= 1

    def reset(self) -> None:
        """Start anew after the weights changed."""
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
