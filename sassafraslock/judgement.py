"""Judges a run by what callers and backend servers saw, never by what entries say."""

from __future__ import annotations

import bisect
import collections
import dataclasses

from sassafraslock.standin import caller

LINK_WINDOW_MS = 1_000
PHASES = 10

Answers = list[caller.Answered]


@dataclasses.dataclass(slots=True)
class Summary:
    """The figures of a run; ratios are parts of the limit or of all requests."""

    requests: int
    answered: int
    refused_not_run: int
    unknown: int
    run_twice: int
    false_not_run: int
    cut_off: int
    mixed_up: int
    largest_shift_ratio: float
    shift_cap_ratio: float
    highest_region_use_ratio: float
    highest_server_use_ratio: float
    highest_link_use_ratio: float
    drain_ms: int
    p50_ms: float
    p99_ms: float

    def broken_promises(self) -> list[str]:
        """Return the promises that the run broke, in words."""
        checks = {
            "a request ran twice": self.run_twice > 0,
            "a request refused as not run had run": self.false_not_run > 0,
            "a request was cut off": self.cut_off > 0,
            "an answer went to the wrong caller": self.mixed_up > 0,
            "more traffic moved than the cap": self.largest_shift_ratio > self.shift_cap_ratio,
            "a region was overloaded": self.highest_region_use_ratio > 1.0,
            "a server was overloaded": self.highest_server_use_ratio > 1.0,
            "a link was overloaded": self.highest_link_use_ratio > 1.0,
            "a draining server got work after 3 s": self.drain_ms > 3_000,
            "not every request has an outcome": self.requests
            != self.answered + self.refused_not_run + self.unknown,
        }
        return [text for text, broken in checks.items() if broken]


def largest_shift(answers: Answers, region_of: dict[str, str], window_ms: int) -> float:
    """Return the largest share of one service's requests that moved within any window.

    A request moved if its server's region differs from the region that last served the same
    caller through the same region's entries before the window.

    :param answers: what callers saw.
    :param region_of: the region of each server.
    :param window_ms: the window's length.
    """
    by_service: dict[tuple[str, str], Answers] = collections.defaultdict(list)
    for answer in sorted(answers, key=lambda a: a.at_ms):
        by_service[(answer.service, answer.entry_region)].append(answer)
    return max(
        (_largest_of(found, region_of, window_ms) for found in by_service.values()), default=0.0
    )


def _largest_of(answers: Answers, region_of: dict[str, str], window_ms: int) -> float:
    times = [a.at_ms for a in answers]
    largest = 0.0
    last: dict[str, str] = {}
    index = 0
    start_ms = times[0]
    while start_ms + window_ms <= times[-1]:
        while index < len(answers) and times[index] < start_ms:
            last[answers[index].client] = region_of.get(answers[index].server, "")
            index += 1
        end = bisect.bisect_left(times, start_ms + window_ms)
        known = [a for a in answers[index:end] if a.client in last]
        moved = sum(region_of.get(a.server, "") != last[a.client] for a in known)
        largest = max(largest, moved / max(1, end - index))
        start_ms += max(1, window_ms // PHASES)
    return largest


def highest_link_use(
    answers: Answers, region_of: dict[str, str], limits: dict[frozenset[str], int]
) -> float:
    """Return the highest use of a link's limit in any second, by bytes that callers got.

    :param answers: what callers saw.
    :param region_of: the region of each server.
    :param limits: the bytes a second of each link.
    """
    used: collections.Counter[tuple[frozenset[str], int]] = collections.Counter()
    for answer in answers:
        ends = frozenset((answer.entry_region, region_of.get(answer.server, "")))
        if ends in limits:
            used[(ends, answer.at_ms // LINK_WINDOW_MS)] += answer.size_bytes
    return max((size / limits[ends] for (ends, _), size in used.items()), default=0.0)
