"""Checks of planned work, by what clients and servers saw of entries.

Requests get their answers, retries keep to their budget, and processes end when they are asked to.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import functools
import math
import signal

from soak import faults, fleet, platform_client, platform_server

LOSS_SLACK_MS = 200
STABILITY_MS = 4_000
EARLY_IN_STOP_MS = 3_000
END_OF_STOP_RATIO = 5 / 6  # of the grace period
WINDOW_MS = int(1_000 * fleet.RETRY_WINDOW_S)
WINDOW_STEP_MS = 100
ROUNDING_MS = 5  # of the clocks in whole milliseconds of client and entry, and of a timer
DEADLINE_MS = int(1_000 * min(platform_client.DEADLINE_S, fleet.TIMEOUT_S))


@dataclasses.dataclass(slots=True)
class Window:
    """The window of a service in which its retries used most of their budget."""

    service: str
    until_ms: int
    retries: int
    allowed: float

    @property
    def used_ratio(self) -> float:
        """The share of the budget that was used."""
        return self.retries / self.allowed


def fullest_window(
    service: str,
    arrivals: list[platform_server.Arrival],
    attempts: list[platform_client.Attempt],
) -> Window:
    """Return the window in which a service got most retries for what its budget allowed.

    :param service: the service.
    :param arrivals: all arrivals at servers.
    :param attempts: all attempts of clients.
    """
    seen: set[str] = set()
    retries_ms: list[int] = []
    for arrival in sorted(arrivals, key=lambda a: a.at_ms):
        if arrival.service == service and arrival.request_id in seen:
            retries_ms.append(arrival.at_ms)
        seen.add(arrival.request_id)
    sent_ms = sorted(a.sent_ms for a in attempts if a.service == service)
    fullest = Window(service, 0, 0, fleet.RETRY_SLACK)
    if not retries_ms:
        return fullest
    # The sum changes where a retry enters a window, or is about to leave it; the requests between.
    ends_ms = {*retries_ms, *(at_ms + WINDOW_MS - 1 for at_ms in retries_ms)}
    ends_ms.update(range(retries_ms[0], retries_ms[-1] + WINDOW_MS, WINDOW_STEP_MS))
    for until_ms in ends_ms:
        window = Window(service, until_ms, _count(retries_ms, until_ms), 0)
        shifts_ms = (0, WINDOW_MS // 2, WINDOW_MS)
        requests = max(_count(sent_ms, until_ms - shift_ms) for shift_ms in shifts_ms)
        window.allowed = fleet.RETRY_RATIO * requests + fleet.RETRY_SLACK
        fullest = max(fullest, window, key=lambda w: w.used_ratio)
    return fullest


def _count(times_ms: list[int], until_ms: int) -> int:
    """Return how many sorted times lie in the window that ends at a time, which it contains."""
    last = bisect.bisect_right(times_ms, until_ms)
    return last - bisect.bisect_right(times_ms, until_ms - WINDOW_MS)


@dataclasses.dataclass
class Evidence:
    """What clients and servers saw, and what was done to entries.

    ``harmed`` are the spans in which entries were killed or suspended, ``lags`` those in which the
    clients' own process did not run.
    """

    attempts: list[platform_client.Attempt]
    arrivals: list[platform_server.Arrival]
    harmed: list[faults.Span] = dataclasses.field(default_factory=list)
    signals: list[fleet.Signalled] = dataclasses.field(default_factory=list)
    exits: list[fleet.Exit] = dataclasses.field(default_factory=list)
    lags: list[faults.Span] = dataclasses.field(default_factory=list)
    overran: list[fleet.Signalled] = dataclasses.field(default_factory=list)
    recovered: bool = True
    deadline_ms: int = DEADLINE_MS

    @functools.cached_property
    def arrivals_by_id(self) -> dict[str, list[platform_server.Arrival]]:
        """The arrivals of each request."""
        by_id: dict[str, list[platform_server.Arrival]] = collections.defaultdict(list)
        for arrival in self.arrivals:
            by_id[arrival.request_id].append(arrival)
        return dict(by_id)

    def lost(self) -> list[platform_client.Attempt]:
        """Return the requests that an entry read and ended without a complete answer.

        A connection that ends soon after the request was sent may not have been read; nor may a
        request behind another, however late. An answer of the entry's own counts as none if the
        entry stops and has broken off the server's work for it.
        """
        return [a for a in self.attempts if self._is_lost(a) and not self._is_excused(a)]

    def _is_lost(self, attempt: platform_client.Attempt) -> bool:
        arrivals = self.arrivals_by_id.get(attempt.request_id, [])
        if attempt.end is platform_client.End.CUT:
            late = self._waited_ms(attempt) > LOSS_SLACK_MS
            return bool(arrivals) or (attempt.position == 0 and late)
        if attempt.end is not platform_client.End.FAILED:
            return False
        stop_ms = self._stop_ms(attempt)
        return any(
            a.ran and not a.answered and a.until_ms >= max(stop_ms, a.at_ms) for a in arrivals
        )

    def _is_excused(self, attempt: platform_client.Attempt) -> bool:
        arrivals = self.arrivals_by_id.get(attempt.request_id, [])
        took_ms = attempt.ended_ms - attempt.sent_ms + ROUNDING_MS
        if took_ms >= self.deadline_ms or self._is_harmed(attempt):
            return True
        if any(a.broken for a in arrivals):
            return True
        stop_ms = self._stop_ms(attempt)
        late_ms = stop_ms + END_OF_STOP_RATIO * 1_000 * fleet.GRACE_S
        return attempt.sent_ms <= stop_ms + EARLY_IN_STOP_MS and any(
            a.ran and a.at_ms <= late_ms <= (a.until_ms or attempt.ended_ms) for a in arrivals
        )

    def _stop_ms(self, attempt: platform_client.Attempt) -> float:
        """Return when its entry's stop began in which the attempt ended, infinite if none."""
        stops_ms = [
            s.at_ms
            for s in self.signals
            if s.entry_ip == attempt.entry_ip
            and s.number in (signal.SIGTERM, signal.SIGINT)
            and attempt.ended_ms - int(1_000 * fleet.GRACE_S) <= s.at_ms <= attempt.ended_ms
        ]
        return min(stops_ms, default=math.inf)

    def _is_harmed(self, attempt: platform_client.Attempt) -> bool:
        from_ms = attempt.sent_ms - STABILITY_MS
        return any(
            s.target == attempt.entry_ip and s.from_ms <= attempt.ended_ms and s.until_ms >= from_ms
            for s in self.harmed
        )

    def _waited_ms(self, attempt: platform_client.Attempt) -> int:
        """Return how long the client waited, without the time in which it did not run."""
        span = attempt.sent_ms, attempt.ended_ms
        lags_ms = [min(s.until_ms, span[1]) - max(s.from_ms, span[0]) for s in self.lags]
        return span[1] - span[0] - sum(max(0, lag_ms) for lag_ms in lags_ms)

    def overdue(self) -> list[platform_client.Attempt]:
        """Return the requests without an answer long after their deadline, at sound entries."""
        margin_ms = int(1_000 * platform_client.ANSWER_MARGIN_S)
        return [
            a
            for a in self.attempts
            if a.end is platform_client.End.TIMED_OUT
            and a.ended_ms
            and self._waited_ms(a) >= self.deadline_ms + margin_ms - 1
            and not self._is_harmed(a)
        ]

    def broken(self) -> list[str]:
        """Return a description of each promise that was broken."""
        ran = {i: sum(a.ran for a in found) for i, found in self.arrivals_by_id.items()}
        unsafe = [a for a in self.attempts if a.kind == "unsafe"]
        refused = platform_client.End.REFUSED
        windows = [fullest_window(s, self.arrivals, self.attempts) for s in fleet.SERVICES]
        found = {
            "requests without an answer": _ids(self.lost()),
            "requests without an answer in time": _ids(self.overdue()),
            "unsafe requests run twice": _ids([a for a in unsafe if ran.get(a.request_id, 0) > 1]),
            "requests refused as not run that ran": _ids(
                [a for a in unsafe if a.end is refused and ran.get(a.request_id)]
            ),
            "answers that are another's": _ids(
                [a for a in self.attempts if a.reason == platform_client.MIXED]
            ),
            "requests that nobody sent": sorted(set(ran) - {a.request_id for a in self.attempts}),
            "requests at too many servers": [i for i, n in ran.items() if n > fleet.MAX_ATTEMPTS],
            "retries beyond the budget": [
                f"{w.service}: {w.retries} of {w.allowed:.1f}" for w in windows if w.used_ratio > 1
            ],
            "unexpected exits": [
                f"{e.entry}: {e.code} after {e.age_ms} ms" for e in self.exits if not e.is_expected
            ],
            "stops beyond the grace period": [s.entry_ip for s in self.overran],
            "recovery": [] if self.recovered else ["none"],
        }
        return [f"{text}: {len(ids)}: {ids[:3]}" for text, ids in found.items() if ids]


def _ids(attempts: list[platform_client.Attempt]) -> list[str]:
    return [f"{a.request_id} at {a.entry_ip}" for a in attempts]
