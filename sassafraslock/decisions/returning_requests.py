"""Recognizes requests that come back after a refusal, so that newcomers do not pass them."""

from __future__ import annotations

import collections

import xxhash

MAX_REMEMBERED = 4_096
MAX_PER_OBJECT = 16
FORGET_AFTER_MS = 10_000


class ReturningRequests:
    """The requests that were refused lately, by their workspace, route and object.

    A request counts as returned no sooner than it was told to come back, and once for each refusal.
    """

    __slots__ = ("_due_ms",)

    def __init__(self) -> None:
        self._due_ms: collections.OrderedDict[int, list[int]] = collections.OrderedDict()

    def record_refusal(
        self, workspace: str, route: str, key: str, wait_ms: int, now_ms: int
    ) -> None:
        """Record a refused request.

        :param workspace: the name of its workspace.
        :param route: the name of its route.
        :param key: the affinity key of its object, or its id.
        :param wait_ms: the time after which it was told to come back.
        :param now_ms: the current monotonic time.
        """
        found = _digest(workspace, route, key)
        due_ms = self._due_ms.setdefault(found, [])
        due_ms.append(now_ms + wait_ms)
        del due_ms[:-MAX_PER_OBJECT]
        self._due_ms.move_to_end(found)
        while len(self._due_ms) > MAX_REMEMBERED:
            self._due_ms.popitem(last=False)

    def take(self, workspace: str, route: str, key: str, now_ms: int) -> bool:
        """Return whether a request returns after a refusal, and forget that refusal.

        :param workspace: the name of its workspace.
        :param route: the name of its route.
        :param key: the affinity key of its object, or its id.
        :param now_ms: the current monotonic time.
        """
        found = _digest(workspace, route, key)
        due_ms = self._due_ms.get(found)
        if due_ms is None:
            return False
        recent = sorted(due for due in due_ms if now_ms - due < FORGET_AFTER_MS)
        is_due = bool(recent) and recent[0] <= now_ms
        due_ms[:] = recent[1:] if is_due else recent
        if not due_ms:
            del self._due_ms[found]
        return is_due


def _digest(workspace: str, route: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{workspace}|{route}|{key}".encode())
