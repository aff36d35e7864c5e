"""Checks that servers which name rate limits get no more than these allow."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import pathlib

from sassafraslock.standin import limit_schedule
from soak import faults

WINDOW_MS = 4_000
STABLE_MS = 4_000  # the limit binds this long after it was first named
TOLD_MS = 500  # an entry is bound this long after an answer that named the limit
OVERAGE, SLACK = 1.5, 5


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request at a server: who sent it, and which limit its answer names, none if it is none."""

    at_ms: int
    entry_id: str
    limit_per_s: float | None


def read(path: pathlib.Path) -> list[Arrival]:
    """Return the arrivals in a server's journal, without a line truncated by a kill.

    :param path: the journal, which need not exist.
    """
    text = path.read_text() if path.exists() else ""
    rows = [line.split() for line in text.splitlines()]
    return [
        Arrival(int(r[0]), r[1], None if float(r[2]) == limit_schedule.NO_LIMIT else float(r[2]))
        for r in rows
        if len(r) == 3
    ]


def excess(server: str, arrivals: list[Arrival], disruptions: list[faults.Span]) -> list[str]:
    """Return where a server got more in :data:`WINDOW_MS` than its limit allows.

    An entry counts from :data:`TOLD_MS` after an answer told it the limit. After a restart or pause
    of the entry, or a fault of the server or its connections, it has to be told again.

    :param server: the server's name.
    :param arrivals: its requests in the order of their arrival.
    :param disruptions: when processes did not run, or their connections were harmed.
    """
    found: list[str] = []
    for limit, group in itertools.groupby(arrivals, key=lambda a: a.limit_per_s):
        if limit is not None:
            found += _excess_of_one_limit(server, limit, list(group), disruptions)
    return found


def _excess_of_one_limit(
    server: str, limit: float, arrivals: list[Arrival], disruptions: list[faults.Span]
) -> list[str]:
    allowed = OVERAGE * WINDOW_MS / 1000 * limit + SLACK
    told_ms: dict[str, int] = {}
    window: collections.deque[int] = collections.deque()
    for arrival in arrivals:
        causes = (arrival.entry_id, server)
        ended = [s.until_ms for s in disruptions if s.target in causes]
        if any(told_ms.get(arrival.entry_id, arrival.at_ms) < at <= arrival.at_ms for at in ended):
            del told_ms[arrival.entry_id]
        first_ms = told_ms.setdefault(arrival.entry_id, arrival.at_ms)
        is_bound = arrival.at_ms - first_ms >= TOLD_MS
        if not is_bound or arrival.at_ms - arrivals[0].at_ms < STABLE_MS:
            continue
        window.append(arrival.at_ms)
        while window[0] <= arrival.at_ms - WINDOW_MS:
            window.popleft()
        if len(window) > allowed:
            return [f"{server}: {len(window)} in 4 s at {arrival.at_ms}, limit {limit:g} a second"]
    return []
