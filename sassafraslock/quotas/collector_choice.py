"""Which entries collect, by the same order at all entries that know the same others."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import heapq

from sassafraslock.decisions import hashing

# A process that just started knows few others and would hold hardly any shares: the leases of its
# former process have to end, and others are counted only after some seconds.
SETTLED_AFTER_MS = 5_500
# An entry that did not answer is asked last for this time.
SUSPECT_MS = 2_000
DECLINED_MS = 300
RANKED = 4  # of each region


@dataclasses.dataclass(slots=True, frozen=True)
class EntryInfo:
    """An entry as the roster knows it, this one included."""

    entry_id: str
    region: str
    link_mbps: float
    boot_ms: int
    heard_ms: int
    live: bool = True
    leaving: bool = False


class CollectorChoice:
    """Ranks the live entries of each region: the widest link first, then by rendezvous hash."""

    __slots__ = ("_own", "_start_ms", "_boots", "_ranks", "_avoid_until_ms")

    def __init__(self, own: EntryInfo, now_ms: int) -> None:
        self._own = own
        self._start_ms = now_ms
        # The process of each entry and since when it is known.
        self._boots: dict[str, tuple[int, int]] = {}
        self._ranks: dict[str, list[str]] = {}
        self._avoid_until_ms: dict[str, int] = {}

    def update(self, entries: collections.abc.Sequence[EntryInfo], now_ms: int) -> None:
        """Rank anew.

        :param entries: all entries, this one included.
        :param now_ms: the current monotonic time.
        """
        boots = self._boots
        self._boots = {}
        for entry in entries:
            boot_ms, since_ms = boots.get(entry.entry_id, (-1, now_ms))
            is_new = entry.boot_ms != boot_ms
            self._boots[entry.entry_id] = (entry.boot_ms, now_ms if is_new else since_ms)
        self._boots[self._own.entry_id] = (self._own.boot_ms, self._start_ms)
        usable = [e for e in entries if e.live and not e.leaving]
        by_region: dict[str, list[EntryInfo]] = collections.defaultdict(list)
        for entry in usable:
            by_region[entry.region].append(entry)
        self._ranks = {}
        for region, members in by_region.items():
            first = heapq.nsmallest(RANKED, members, key=lambda e: self._order(e, now_ms))
            self._ranks[region] = [e.entry_id for e in first]
        self._avoid_until_ms = {i: t for i, t in self._avoid_until_ms.items() if t > now_ms}

    def _order(self, entry: EntryInfo, now_ms: int) -> tuple[bool, float, float]:
        is_new = now_ms - self._boots[entry.entry_id][1] < SETTLED_AFTER_MS
        return is_new, -entry.link_mbps, hashing.fraction(f"collector {entry.entry_id}")

    def avoid(self, entry_id: str, duration_ms: int, now_ms: int) -> None:
        """Ask an entry last for a while, since it did not answer or does not collect.

        :param entry_id: the entry.
        :param duration_ms: that while.
        :param now_ms: the current monotonic time.
        """
        self._avoid_until_ms[entry_id] = now_ms + duration_ms

    def _is_avoided(self, entry_id: str, now_ms: int) -> bool:
        return self._avoid_until_ms.get(entry_id, 0) > now_ms

    def is_first(self) -> bool:
        """Return whether this entry is the first of its region."""
        return self._ranks.get(self._own.region, [])[:1] == [self._own.entry_id]

    def is_abroad(self, entry_id: str) -> bool:
        """Return whether an entry is not known to be in this entry's region.

        :param entry_id: the entry.
        """
        return entry_id not in self._ranks.get(self._own.region, [])

    def for_asks(self, now_ms: int) -> list[str]:
        """Return the collectors to ask one after the other.

        :param now_ms: the current monotonic time.
        """
        near = [i for i in self._ranks.get(self._own.region, []) if not self._is_avoided(i, now_ms)]
        return near[:2] + self.abroad(now_ms)

    def near(self) -> list[str]:
        """Return the first entries of this entry's region."""
        return self._ranks.get(self._own.region, [])

    def abroad(self, now_ms: int) -> list[str]:
        """Return the first collector of each other region.

        :param now_ms: the current monotonic time.
        """
        firsts = []
        for region in sorted(self._ranks):
            if region != self._own.region:
                ranks = self._ranks[region]
                asked = [i for i in ranks if not self._is_avoided(i, now_ms)]
                firsts += (asked or ranks)[:1]
        return firsts

    def first(self) -> str:
        """Return the first collector of this entry's region, empty if there is none."""
        return next(iter(self._ranks.get(self._own.region, [])), "")
