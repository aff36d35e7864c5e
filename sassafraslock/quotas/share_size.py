"""The share of all limits that one entry owns, by what it knows of the others."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import zlib

# After this time all entries that are reached know an entry that joined.
KNOWN_AFTER_MS = 4_000
# A majority forgets entries that it has not heard for 60 s; these stop to use their shares before.
MINORITY_AFTER_MS = 45_000
MINORITY_RATIO = 0.4
SILENT_AFTER_MS = 5_000
MAX_STEPS = 256


@dataclasses.dataclass(slots=True, frozen=True)
class KnownEntry:
    """Another entry as the roster knows it; ``heard_ms`` is when its heartbeat last increased."""

    entry_id: str
    heard_ms: int


class ShareSize:
    """Tells the size of an entry's share, and since when each other entry has been known.

    All entries share equally. An entry that has been silent may not know of entries that joined
    since, and then takes a greater part; the others divide what it leaves.
    """

    __slots__ = ("unit", "digest", "_start_ms", "_known_since_ms", "_steps", "_last_majority_ms")

    def __init__(self, now_ms: int) -> None:
        self.unit = 0.0
        self.digest = 0  # of the ids of all known entries, the own one included
        self._start_ms = now_ms
        self._known_since_ms: dict[str, int] = {}
        # Times from which the number of entries was greater than before, and that number.
        self._steps: collections.deque[tuple[int, int]] = collections.deque(maxlen=MAX_STEPS)
        self._last_majority_ms = now_ms

    def update(
        self, known: collections.abc.Sequence[KnownEntry], now_ms: int, own_id: str = ""
    ) -> None:
        """Take up which other entries are known now.

        :param known: all other entries, silent ones included.
        :param now_ms: the current monotonic time.
        :param own_id: this entry's id.
        """
        since_ms = self._known_since_ms
        self._known_since_ms = {e.entry_id: since_ms.get(e.entry_id, now_ms) for e in known}
        self.digest = zlib.crc32(own_id.encode())
        for entry in known:
            self.digest ^= zlib.crc32(entry.entry_id.encode())
        self._record_count(1 + len(known), now_ms)
        silent_since_ms = now_ms - SILENT_AFTER_MS - 15 * len(known)
        silent = [e for e in known if e.heard_ms < silent_since_ms]
        heard = 1 + len(known) - len(silent)
        if heard >= MINORITY_RATIO * (1 + len(known)):
            self._last_majority_ms = now_ms
        if now_ms - self._last_majority_ms >= MINORITY_AFTER_MS:
            self.unit = 0.0
            return
        taken = sum(1 / self._count_at(e.heard_ms - KNOWN_AFTER_MS) for e in silent)
        self.unit = max(0.0, 1 - taken) / heard

    def _record_count(self, count: int, now_ms: int) -> None:
        if now_ms - self._start_ms < KNOWN_AFTER_MS or not self._steps:
            # What an entry learns right after its start was known to the others before.
            self._steps.clear()
            self._steps.append((self._start_ms, count))
        elif count != self._steps[-1][1]:
            self._steps.append((now_ms, count))

    def _count_at(self, time_ms: int) -> int:
        """Return the least number of entries from a time on until now."""
        least = self._steps[-1][1]
        for since_ms, count in reversed(self._steps):
            least = min(least, count)
            if since_ms <= time_ms:
                break
        return least

    def known_since_ms(self, entry_id: str) -> int | None:
        """Return since when another entry is known, none if it is unknown.

        :param entry_id: the entry.
        """
        return self._known_since_ms.get(entry_id)

    def counts_all(self, now_ms: int) -> bool:
        """Return whether all entries known are counted by the others.

        :param now_ms: the current monotonic time.
        """
        latest_ms = max(self._known_since_ms.values(), default=self._start_ms)
        return now_ms - max(latest_ms, self._start_ms) >= KNOWN_AFTER_MS

    def is_counted(self, entry_id: str, now_ms: int) -> bool:
        """Return whether the other entries count an entry by now, so that its share may be used.

        :param entry_id: the entry.
        :param now_ms: the current monotonic time.
        """
        since_ms = self._known_since_ms.get(entry_id)
        return since_ms is not None and now_ms - since_ms >= KNOWN_AFTER_MS
