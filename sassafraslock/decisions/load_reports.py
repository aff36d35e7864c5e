"""What servers told entries of their load, passed on between entries nearby."""

from __future__ import annotations

import dataclasses
import heapq

import msgspec
import xxhash

MAX_AGE_MS = 1_500
MAX_REPORTS = 128


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load of one start of a server, by a mark that is shorter than its name, and its age."""

    mark: int
    load: int
    age_ms: int


def mark_of(start: str) -> int:
    """Return the mark of a server's start.

    :param start: the server's id with its start.
    """
    return xxhash.xxh32_intdigest(start.encode())


@dataclasses.dataclass(slots=True)
class _Heard:
    load: int
    at_ms: int


class LoadReports:
    """The newest load heard of each server, by its mark; old ones are not told."""

    __slots__ = ("_heard",)

    def __init__(self) -> None:
        self._heard: dict[int, _Heard] = {}

    def record(self, mark: int, load: int, at_ms: int) -> bool:
        """Take in a load.

        :param mark: the server's mark.
        :param load: the requests that ran or waited there.
        :param at_ms: when it was so.
        :returns: whether it is newer than what is known.
        """
        known = self._heard.get(mark)
        if known is None:
            self._heard[mark] = _Heard(load, at_ms)
            return True
        if at_ms <= known.at_ms:
            return False
        known.load, known.at_ms = load, at_ms
        return True

    def recent(self, now_ms: int) -> list[LoadReport]:
        """Return the newest loads for the next message, and forget those that are too old.

        :param now_ms: the present time.
        """
        oldest_ms = now_ms - MAX_AGE_MS
        self._heard = {mark: h for mark, h in self._heard.items() if h.at_ms > oldest_ms}
        newest = heapq.nlargest(MAX_REPORTS, self._heard.items(), key=lambda item: item[1].at_ms)
        return [LoadReport(mark, h.load, max(0, now_ms - h.at_ms)) for mark, h in newest]
