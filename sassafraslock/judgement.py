"""Judges a run by what callers and backend servers saw, never by what entries say."""

from __future__ import annotations

import bisect
import collections
import dataclasses

from sassafraslock.standin import caller

LINK_WINDOW_MS = 1_000
PHASES = 10

Answers = list[caller.Answered]
Mark = tuple[int, str]


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

    Callers of each region are judged apart, since the split holds for each entry region.

    :param answers: what callers saw, refusals included.
    :param region_of: the region of each server.
    :param window_ms: the window's length.
    """
    marks: dict[tuple[str, str], list[Mark]] = collections.defaultdict(list)
    for answer in answers:
        mark = (answer.at_ms, region_of.get(answer.server, ""))
        marks[(answer.service, answer.entry_region)].append(mark)
    return max((largest_gain(found, window_ms) for found in marks.values()), default=0.0)


def largest_gain(marks: list[Mark], window_ms: int) -> float:
    """Return the largest share that went from one region to another from window to window.

    Every phase of the window is looked at. Requests that no region served count in the whole,
    and neither their start nor their end is a movement.

    :param marks: the moment and the serving region of each request, empty where it was refused.
    :param window_ms: the window's length.
    """
    marks = sorted(marks)
    times = [at_ms for at_ms, _ in marks]
    largest = 0.0
    step_ms = max(1, window_ms // PHASES)
    for middle_ms in range(times[0] + window_ms, times[-1] - window_ms, step_ms):
        before = _shares(marks, times, middle_ms - window_ms, middle_ms)
        after = _shares(marks, times, middle_ms, middle_ms + window_ms)
        gained = sum(max(0.0, after[r] - before.get(r, 0.0)) for r in after if r)
        lost = sum(max(0.0, before[r] - after.get(r, 0.0)) for r in before if r)
        largest = max(largest, min(gained, lost))
    return largest


def _shares(marks: list[Mark], times: list[int], from_ms: int, to_ms: int) -> dict[str, float]:
    found = marks[bisect.bisect_left(times, from_ms) : bisect.bisect_left(times, to_ms)]
    counts = collections.Counter(region for _, region in found)
    return {region: count / len(found) for region, count in counts.items()}


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
