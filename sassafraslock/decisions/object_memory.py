"""Which servers are likely to hold an object, by what this entry sent there."""

from __future__ import annotations

import collections
import dataclasses

MAX_OBJECTS = 8_192
KEPT_MS = 30_000
NEAR_AFTER_REQUESTS = 3


@dataclasses.dataclass(slots=True)
class _Object:
    requests: int = 0
    handled_ms: dict[str, int] = dataclasses.field(default_factory=dict)


class ObjectMemory:
    """The last moment at which each server handled an object for this entry.

    One home in a region serves an object with the fewest slow first requests. An object asked
    for often is worth a second home in the entry's own zone, which saves bytes between zones.
    """

    __slots__ = ("_objects",)

    def __init__(self) -> None:
        self._objects: collections.OrderedDict[str, _Object] = collections.OrderedDict()

    def note(self, name: str, server_id: str, now_ms: int) -> None:
        """Note that a server handled an object.

        :param name: the object with its service.
        :param server_id: the server.
        :param now_ms: the present time.
        """
        seen = self._objects.setdefault(name, _Object())
        seen.requests += 1
        seen.handled_ms[server_id] = now_ms
        self._objects.move_to_end(name)
        if len(self._objects) > MAX_OBJECTS:
            self._objects.popitem(last=False)

    def holds(self, name: str, server_id: str, now_ms: int) -> bool:
        """Tell whether a server handled an object lately.

        :param name: the object with its service.
        :param server_id: the server.
        :param now_ms: the present time.
        """
        seen = self._objects.get(name)
        return seen is not None and now_ms - seen.handled_ms.get(server_id, -KEPT_MS) < KEPT_MS

    def wants_near_home(self, name: str) -> bool:
        """Tell whether an object is asked for often enough to live in the entry's own zone.

        :param name: the object with its service.
        """
        seen = self._objects.get(name)
        return seen is not None and seen.requests >= NEAR_AFTER_REQUESTS

    def moves_now(self, name: str, idempotent: bool) -> bool:
        """Tell whether this request may be the slow first one at a new home.

        Requests that are not idempotent weigh more, so they go first only where no other did.

        :param name: the object with its service.
        :param idempotent: whether the request may run twice.
        """
        seen = self._objects.get(name)
        if seen is None or seen.requests % NEAR_AFTER_REQUESTS:
            return False
        return idempotent or seen.requests >= 2 * NEAR_AFTER_REQUESTS
