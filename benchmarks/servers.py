"""Parts of modelled servers and entries that several benches share."""

from __future__ import annotations

import collections
import dataclasses

from sassafraslock.decisions import cold_start, placement, registry


class LoneEntry:
    """The view of an entry that knows no other one; servers that start cold are no matter here."""

    def live_ids(self, region: str = "") -> list[str]:
        """Return the one entry's id.

        :param region: no matter here.
        """
        return ["e"]

    def known_ids(self, region: str = "") -> list[str]:
        """Return the one entry's id.

        :param region: no matter here.
        """
        return ["e"]


class KeptObjects:
    """A server's memory of the objects that it handled last."""

    __slots__ = ("_limit", "_objects")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._objects: collections.OrderedDict[str, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._objects)

    def __contains__(self, key: str) -> bool:
        return key in self._objects

    def note(self, key: str) -> str | None:
        """Remember an object, and forget the one not handled for longest where it is too many.

        :param key: the object.
        :returns: the object that is forgotten, if any.
        """
        self._objects[key] = None
        self._objects.move_to_end(key)
        if len(self._objects) > self._limit:
            return self._objects.popitem(last=False)[0]
        return None


@dataclasses.dataclass(slots=True)
class QueueingServer:
    """A server's memory, and the numbers of the requests that run and wait there."""

    kept: KeptObjects
    running: set[int] = dataclasses.field(default_factory=set)
    waiting: collections.deque[int] = dataclasses.field(default_factory=collections.deque)

    @property
    def load(self) -> int:
        """The requests that run or wait."""
        return len(self.running) + len(self.waiting)

    def remove(self, number: int) -> None:
        """Remove a request that ended, whether it ran or waited.

        :param number: the request.
        """
        self.running.discard(number)
        if number in self.waiting:
            self.waiting.remove(number)


def placer(servers: int, slots: int) -> placement.Placer:
    """Return what places an entry's requests at servers ``s0``, ``s1`` and so on of one service.

    :param servers: how many servers there are.
    :param slots: the slots of each.
    """
    known = registry.Registry()
    for number in range(servers):
        report = registry.ServerReport(
            f"s{number}", "s", f"h:{number}", "a", "a-1", slots, registry.ServerState.READY
        )
        known.apply_report(report, 0, False, 0)
    return placement.Placer("a", known, LoneEntry(), cold_start.ColdStartLimiter("e", 1.5, 5.0))
