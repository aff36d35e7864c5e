"""Which servers are likely to have an object in memory, by the requests of this entry."""

from __future__ import annotations

import collections

MAX_OBJECTS = 8_192  # beyond this, the least recently used object is evicted
RETENTION_MS = 30_000


class ObjectMemory:
    """The time of the last answer from each server for an object, in least-recently-used order."""

    __slots__ = ("_objects",)

    def __init__(self) -> None:
        self._objects: collections.OrderedDict[str, dict[str, int]] = collections.OrderedDict()

    def record(self, name: str, server_id: str, now_ms: int) -> None:
        """Record that a server answered a request for an object.

        :param name: the object's key, qualified by its service.
        :param server_id: the server.
        :param now_ms: the current monotonic time.
        """
        self._objects.setdefault(name, {})[server_id] = now_ms
        self._objects.move_to_end(name)
        if len(self._objects) > MAX_OBJECTS:
            self._objects.popitem(last=False)

    def has_handled(self, name: str, server_id: str, now_ms: int) -> bool:
        """Return whether a server handled an object within :data:`RETENTION_MS`.

        :param name: the object's key, qualified by its service.
        :param server_id: the server.
        :param now_ms: the current monotonic time.
        """
        handled_ms = self._objects.get(name)
        return (
            handled_ms is not None
            and now_ms - handled_ms.get(server_id, -RETENTION_MS) < RETENTION_MS
        )
