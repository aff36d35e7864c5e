"""The shares that a collector holds, and their sum over time."""

from __future__ import annotations

import collections.abc
import dataclasses
import math


@dataclasses.dataclass(slots=True)
class _Lease:
    until_ms: int
    share: float
    number: int


class LeaseBook:
    """Leases of other entries' shares and of the own one.

    ``share`` is the sum in force. It falls as soon as a lease ends, and rises in :meth:`recount`
    only. ``share_ms`` is its integral over time, from which buckets compute what they gained.
    """

    __slots__ = ("share", "share_ms", "is_stale", "_leases", "_counted", "_settled_ms", "_next_ms")

    def __init__(self, now_ms: int) -> None:
        self.share = 0.0
        self.share_ms = 0.0
        self.is_stale = False
        self._leases: dict[str, _Lease] = {}
        self._counted: dict[str, float] = {}
        self._settled_ms = now_ms
        self._next_ms = math.inf

    def __len__(self) -> int:
        return len(self._leases)

    def add(self, owner: str, share: float, number: int, until_ms: int) -> None:
        """Record a lease that an owner granted or renewed.

        :param owner: the owner.
        :param share: the size of its share.
        :param number: the number of the ask.
        :param until_ms: when the lease ends.
        """
        known = self._leases.get(owner)
        if known is not None and known.number >= number:
            return
        if known is None or known.share != share:
            self.is_stale = True
        self._leases[owner] = _Lease(until_ms, share, number)
        self._next_ms = min(self._next_ms, until_ms)

    def advance(self, now_ms: int) -> bool:
        """Bring the sum up to a time, and return whether leases ended since.

        :param now_ms: the current monotonic time.
        """
        if now_ms < self._next_ms:
            self._integrate(now_ms)
            return False
        ended = sorted((x.until_ms, o) for o, x in self._leases.items() if x.until_ms <= now_ms)
        for until_ms, owner in ended:
            self._integrate(until_ms)
            del self._leases[owner]
            self.share = max(0.0, self.share - self._counted.pop(owner, 0.0))
        if not self._counted:
            self.share = 0.0
        self._next_ms = min((x.until_ms for x in self._leases.values()), default=math.inf)
        self._integrate(now_ms)
        return bool(ended)

    def _integrate(self, now_ms: int) -> None:
        self.share_ms += self.share * max(0, now_ms - self._settled_ms)
        self._settled_ms = max(self._settled_ms, now_ms)

    def recount(self, weight: collections.abc.Callable[[str, float], float]) -> float:
        """Return the sum that is to be in force, with the leases granted since.

        :param weight: returns by the owner and the size of its share what may be used of it.
        """
        self.is_stale = False
        self._counted = {o: weight(o, x.share) for o, x in self._leases.items()}
        return min(1.0, sum(self._counted.values()))

    def clear(self, now_ms: int) -> None:
        """End all leases, since this collector stops.

        :param now_ms: the current monotonic time.
        """
        self._integrate(now_ms)
        self.share = 0.0
        self._leases.clear()
        self._counted.clear()
        self._next_ms = math.inf

    def owners(self) -> list[str]:
        """Return the owners whose shares are held."""
        return list(self._leases)
