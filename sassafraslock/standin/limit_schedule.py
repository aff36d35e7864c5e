"""Rate limits that a stand-in server names by turns, and the journal of what it then gets."""

from __future__ import annotations

import pathlib
import random

PERIOD_MS = 8_000
LIMITS_PER_S = (0.0, 0.5, 1.0, 2.0, 8.0)
NO_LIMIT = -1.0


class LimitSchedule:
    """The limits of one server: in half of the periods it names one, drawn at random.

    Periods count from the server's start, so a run of the same seed names the same limits.

    :param seed: the seed of the limits.
    :param started_ms: the monotonic time of the server's start.
    :param path: the file that gets a line for each request: its time, the id of the entry that sent
        it, and the limit that its answer names, -1 for none.
    """

    __slots__ = ("_seed", "_path", "_started_ms")

    def __init__(self, seed: int, path: str, started_ms: int) -> None:
        self._seed = seed
        self._started_ms = started_ms
        self._path = pathlib.Path(path)

    def limit_per_s(self, now_ms: int) -> float | None:
        """Return the limit at a time, ``None`` if the server names none.

        :param now_ms: the monotonic time.
        """
        period = (now_ms - self._started_ms) // PERIOD_MS
        rng = random.Random(self._seed * 1_000_003 + period)
        return rng.choice(LIMITS_PER_S) if rng.random() < 0.5 else None

    def record(self, entry_id: str, now_ms: int) -> float | None:
        """Append a request to the journal, and return the limit that its answer has to name.

        :param entry_id: the entry that sent it.
        :param now_ms: the monotonic time at which it arrived.
        """
        limit = self.limit_per_s(now_ms)
        with self._path.open("a") as journal:
            journal.write(f"{now_ms} {entry_id} {NO_LIMIT if limit is None else limit}\n")
        return limit
