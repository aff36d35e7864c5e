"""Grants of the last moments, so that a token is returned once and an ask is not granted twice."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """A granted ask: its limit, empty if it cannot be returned, and until when it is valid."""

    key: str
    until_ms: int


class GrantLog:
    """Grants by the entry, its process and the number of the ask, as long as they are valid."""

    __slots__ = ("_grants",)

    def __init__(self) -> None:
        self._grants: collections.OrderedDict[tuple[str, int, int], Grant] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._grants)

    def add(self, asker: tuple[str, int, int], grant: Grant, now_ms: int) -> None:
        """Record a grant; those that are void are dropped.

        :param asker: the entry, its process and the number of the ask.
        :param grant: the grant.
        :param now_ms: the current monotonic time.
        """
        while self._grants and next(iter(self._grants.values())).until_ms <= now_ms:
            self._grants.popitem(last=False)
        self._grants[asker] = grant

    def is_known(self, asker: tuple[str, int, int]) -> bool:
        """Return whether an ask was granted.

        :param asker: as in :meth:`add`.
        """
        return asker in self._grants

    def take_back(self, asker: tuple[str, int, int], now_ms: int) -> Grant | None:
        """Return the grant of a token that comes back, none if it is void or came back before.

        :param asker: as in :meth:`add`.
        :param now_ms: the current monotonic time.
        """
        grant = self._grants.get(asker)
        if grant is None or not grant.key or grant.until_ms <= now_ms:
            return None
        # The entry stays, so that a late copy of the ask is not granted again.
        self._grants[asker] = Grant("", grant.until_ms)
        return grant
