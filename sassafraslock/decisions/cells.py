"""The cells in which traffic moves between regions, and the cap that holds for all moves.

Callers are hashed into cells, and a cell moves as a whole. Every entry bounds the part of its
own requests that meet a moved cell within any window; where each entry keeps the cap, so does
the sum, with no word between them.
"""

from __future__ import annotations

import array
import collections
import dataclasses
import math

import xxhash

from sassafraslock import shared_settings
from sassafraslock.decisions import shift

CELL_COUNT = 1024
HASH_SPAN = float(1 << 64)
SUB_WINDOWS = 32
DEVIATIONS = 3.0


def cell_of(identity: str, service: str) -> int:
    """Return the cell of a caller, the same at every entry.

    :param identity: the caller, as its address block or the name that it gave.
    :param service: the service.
    """
    return xxhash.xxh64_intdigest(f"{service}|{identity}".encode()) % CELL_COUNT


def _unit(cell: int, salt: str) -> float:
    return xxhash.xxh64_intdigest(f"{salt}|{cell}".encode()) / HASH_SPAN


def _places() -> list[tuple[float, float]]:
    """Return each cell's place, evenly spread in random order, and its choice."""
    ranked = sorted(range(CELL_COUNT), key=lambda c: _unit(c, "place"))
    place_of = {cell: (rank + 0.5) / CELL_COUNT for rank, cell in enumerate(ranked)}
    return [(place_of[c], _unit(c, "choice")) for c in range(CELL_COUNT)]


PLACES = _places()
MOVE_ORDER = sorted(range(CELL_COUNT), key=lambda c: -PLACES[c][0])


class WindowCount:
    """Counts events of the last window, exact to a small part of it."""

    __slots__ = ("_window_ms", "_parts", "_total")

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._parts: collections.deque[list[int]] = collections.deque()
        self._total = 0

    def add(self, count: int, now_ms: int) -> None:
        """Count events.

        :param count: how many.
        :param now_ms: the present time.
        """
        part = now_ms * SUB_WINDOWS // self._window_ms
        if not self._parts or self._parts[-1][0] != part:
            self._parts.append([part, 0])
        self._parts[-1][1] += count
        self._total += count

    def total(self, now_ms: int) -> int:
        """Return the count of the last window.

        :param now_ms: the present time.
        """
        oldest = now_ms * SUB_WINDOWS // self._window_ms - SUB_WINDOWS
        while self._parts and self._parts[0][0] <= oldest:
            self._total -= self._parts.popleft()[1]
        return self._total


@dataclasses.dataclass(slots=True)
class _Move:
    at_ms: int
    expected: float
    met: int = 0


class CellTable:
    """Where each cell of one service is served by this entry.

    A cell moves only if the requests expected of all cells moved within a window stay under
    the cap by three standard deviations of their number. So a service with little traffic moves
    slowly or not at all, and its requests are served where they are. Cells move in one order at
    every entry, so that the entries' tables stay alike without a word between them.
    """

    __slots__ = (
        "cap",
        "window_ms",
        "accepted",
        "_regions",
        "_numbers",
        "_cells",
        "_requests",
        "_spilled",
        "_moves",
        "_counts",
        "_last_counts",
        "_rotated_ms",
        "_held_until_ms",
        "_wanted",
        "_goal",
        "_pending",
    )

    def __init__(
        self,
        accepted: shared_settings.Split,
        reached: shared_settings.Split,
        cap: float,
        window_ms: int,
        now_ms: int,
    ) -> None:
        """Start from the split that the plan has reached.

        An earlier process of this entry may have moved traffic within the last window, so
        nothing moves before a whole window has passed.

        :param accepted: the split before any shift, by which cells are laid out.
        :param reached: the split that the region's entries were at, taken over as it is.
        :param cap: the share that may move within a window.
        :param window_ms: the window's length.
        :param now_ms: the present time.
        """
        self.cap = cap
        self.window_ms = window_ms
        self.accepted = accepted
        self._regions: list[str] = []
        self._numbers: dict[str, int] = {}
        self._wanted: shared_settings.Split | None = None
        self._goal = array.array("B")
        self._pending: list[int] = []
        self._cells = self._lay_out(reached)
        self._requests = WindowCount(window_ms)
        self._spilled = WindowCount(window_ms)
        self._moves: dict[int, _Move] = {}
        self._counts = array.array("L", [0]) * CELL_COUNT
        self._last_counts = array.array("L", [0]) * CELL_COUNT
        self._rotated_ms = now_ms
        self._held_until_ms = now_ms + window_ms

    def relimit(self, cap: float, window_ms: int, accepted: shared_settings.Split) -> None:
        """Take over changed settings; cells stay where they are.

        :param cap: the share that may move within a window.
        :param window_ms: the window's length.
        :param accepted: the split before any shift.
        """
        self.cap = cap
        if accepted != self.accepted:
            self.accepted, self._wanted = accepted, None
        if window_ms != self.window_ms:
            self.window_ms = window_ms
            self._requests, self._spilled = WindowCount(window_ms), WindowCount(window_ms)

    def _lay_out(self, split: shared_settings.Split) -> array.array[int]:
        regions = [shift.region_at(self.accepted, split, p, c) for p, c in PLACES]
        return array.array("B", [self._number(r) for r in regions])

    def _number(self, region: str) -> int:
        if region not in self._numbers:
            self._numbers[region] = len(self._regions)
            self._regions.append(region)
        return self._numbers[region]

    def place(self, cell: int, wanted: shared_settings.Split, now_ms: int) -> str:
        """Return the region for a request, after moving cells as far as the cap allows.

        :param cell: the caller's cell.
        :param wanted: the split to reach.
        :param now_ms: the present time.
        """
        self._count(cell, now_ms)
        if wanted != self._wanted:
            self._wanted, self._goal = wanted, self._lay_out(wanted)
            self._pending = [c for c in MOVE_ORDER if self._goal[c] != self._cells[c]]
        if self._pending:
            self._advance(now_ms)
        move = self._moves.get(cell)
        if move:
            move.met += 1
        return self._regions[self._cells[cell]]

    def may_spill(self, now_ms: int) -> bool:
        """Tell whether one request may be served away from its cell's region.

        :param now_ms: the present time.
        """
        return self._used(now_ms) + 1 <= self._allowed(now_ms)

    def note_spill(self, now_ms: int) -> None:
        """Count a request served away from its cell's region.

        :param now_ms: the present time.
        """
        self._spilled.add(1, now_ms)

    def shares(self) -> shared_settings.Split:
        """Return the share of the cells that each region serves."""
        found = collections.Counter(self._cells)
        return {self._regions[n]: count / CELL_COUNT for n, count in sorted(found.items())}

    def used_ratio(self, now_ms: int) -> float:
        """Return the share of requests that count as moved within the last window.

        :param now_ms: the present time.
        """
        return self._used(now_ms) / max(1, self._requests.total(now_ms))

    def _count(self, cell: int, now_ms: int) -> None:
        if now_ms - self._rotated_ms >= self.window_ms:
            empty = array.array("L", [0]) * CELL_COUNT
            stale = now_ms - self._rotated_ms >= 2 * self.window_ms
            self._last_counts = empty if stale else self._counts
            self._counts = array.array("L", [0]) * CELL_COUNT
            self._rotated_ms = now_ms
        self._counts[cell] += 1
        self._requests.add(1, now_ms)

    def _expected(self, cell: int, now_ms: int) -> float:
        """Return the requests that a cell will bring in a window, from the last two."""
        windows = 1.0 + min(1.0, (now_ms - self._rotated_ms) / self.window_ms)
        return (self._counts[cell] + self._last_counts[cell]) / windows

    def _advance(self, now_ms: int) -> None:
        """Move pending cells in order until the cap is reached."""
        left = self._allowed(now_ms) - self._used(now_ms)
        if left <= 0:
            return
        kept = []
        for number, cell in enumerate(self._pending):
            if cell in self._moves:
                kept.append(cell)
                continue
            expected = self._expected(cell, now_ms)
            if expected > left:
                kept += self._pending[number:]
                break
            left -= expected
            self._cells[cell] = self._goal[cell]
            self._moves[cell] = _Move(now_ms, expected)
        self._pending = kept

    def _allowed(self, now_ms: int) -> float:
        if self.cap >= 1.0:
            return math.inf
        if now_ms < self._held_until_ms:
            return 0.0
        capped = self.cap * self._requests.total(now_ms)
        return capped - DEVIATIONS * math.sqrt(capped)

    def _used(self, now_ms: int) -> float:
        horizon_ms = now_ms - self.window_ms
        while self._moves:
            oldest = next(iter(self._moves))
            if self._moves[oldest].at_ms >= horizon_ms:
                break
            del self._moves[oldest]
        moved = sum(max(m.expected, m.met) for m in self._moves.values())
        return moved + self._spilled.total(now_ms)
