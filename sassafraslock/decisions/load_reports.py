"""Loads reported by servers, as entries nearby exchange them by gossip."""

from __future__ import annotations

import dataclasses
import heapq

import msgspec

from sassafraslock import field_types

MAX_AGE_MS = 1_500
MAX_REPORTS = 128  # per gossip message


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load of one start of a server, as entries send it to each other.

    :param start_hash: the hash of the start's id, which keeps messages smaller than the id would.
    :param load: the requests that ran or waited at the server.
    :param age_ms: how long ago the server reported the load.
    """

    start_hash: field_types.Hash32
    load: field_types.Count
    age_ms: field_types.AgeMs


@dataclasses.dataclass(slots=True)
class _TimedLoad:
    load: int
    at_ms: int


class LoadReports:
    """The latest load known of each server."""

    __slots__ = ("_loads",)

    def __init__(self) -> None:
        self._loads: dict[int, _TimedLoad] = {}

    def record(self, start_hash: int, load: int, at_ms: int) -> bool:
        """Record a load unless a later one was recorded.

        :param start_hash: the hash of the id of the server's start.
        :param load: the requests that ran or waited there.
        :param at_ms: when the server reported it.
        :returns: whether the load was recorded.
        """
        latest = self._loads.get(start_hash)
        if latest is None:
            self._loads[start_hash] = _TimedLoad(load, at_ms)
            return True
        if at_ms <= latest.at_ms:
            return False
        latest.load, latest.at_ms = load, at_ms
        return True

    def forget(self, start_hash: int) -> None:
        """Forget the load of a start.

        :param start_hash: the hash of the id of the server's start.
        """
        self._loads.pop(start_hash, None)

    def recent(self, now_ms: int) -> list[LoadReport]:
        """Return the latest loads for a message, at most :data:`MAX_REPORTS`.

        Loads older than :data:`MAX_AGE_MS` are discarded.

        :param now_ms: the current monotonic time.
        """
        oldest_ms = now_ms - MAX_AGE_MS
        self._loads = {
            start_hash: timed
            for start_hash, timed in self._loads.items()
            if timed.at_ms > oldest_ms
        }
        newest = heapq.nlargest(MAX_REPORTS, self._loads.items(), key=lambda item: item[1].at_ms)
        return [LoadReport(h, t.load, max(0, now_ms - t.at_ms)) for h, t in newest]
