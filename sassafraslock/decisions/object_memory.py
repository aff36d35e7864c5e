"""Which servers are likely to hold an object, by what this entry sent there."""

from __future__ import annotations

import collections

MAX_OBJECTS = 8_192
RETENTION_MS = 30_000


class ObjectMemory:
    """The last moment at which each server handled an object for this entry."""

    __slots__ = ("_objects",)

    def __init__(self) -> None:
        self._objects: collections.OrderedDict[str, dict[str, int]] = collections.OrderedDict()

    def record(self, name: str, server_id: str, now_ms: int) -> None:
        """Note that a server handled an object.

        :param name: the object with its service.
        :param server_id: the server.
        :param now_ms: the present time.
        """
        self._objects.setdefault(name, {})[server_id] = now_ms
        self._objects.move_to_end(name)
        if len(self._objects) > MAX_OBJECTS:
            self._objects.popitem(last=False)

    def has_handled(self, name: str, server_id: str, now_ms: int) -> bool:
        """Tell whether a server handled an object lately.

        :param name: the object with its service.
        :param server_id: the server.
        :param now_ms: the present time.
        """
        seen = self._objects.get(name)
        return seen is not None and now_ms - seen.get(server_id, -RETENTION_MS) < RETENTION_MS
