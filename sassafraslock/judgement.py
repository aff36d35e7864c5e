"""Checks the guarantees of a run against what callers and backend servers observed.

Reports of the entries themselves are not used, so that a faulty entry cannot hide its fault.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses

from sassafraslock.standin import caller

LINK_WINDOW_MS = 1_000
STEPS_PER_WINDOW = 10

Outcomes = list[caller.Outcome]
Sample = tuple[int, str]  # time in ms, serving region


@dataclasses.dataclass(slots=True)
class Summary:
    """Results of a run.

    A ratio of use is a fraction of the limit; a ratio of shift is a fraction of all requests.
    ``drain_ms`` is the time from the drain to the last request that the drained server started.
    """

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
    key_refusals: int
    quota_refusals: int
    quotas_enforced: bool
    keys_at_servers: int
    wrong_workspaces: int
    ran_after_revocation: int
    highest_quota_use_ratio: float

    def violated_guarantees(self) -> list[str]:
        """Return a description of each guarantee that the run violated, empty if all held."""
        violations = {
            "a request ran twice": self.run_twice > 0,
            "a request refused as not run had run": self.false_not_run > 0,
            "a request was cut off": self.cut_off > 0,
            "an answer went to the wrong caller": self.mixed_up > 0,
            "more traffic moved than the cap": self.largest_shift_ratio > self.shift_cap_ratio,
            "a region was overloaded": self.highest_region_use_ratio > 1.0,
            "a server was overloaded": self.highest_server_use_ratio > 1.0,
            "a link was overloaded": self.highest_link_use_ratio > 1.0,
            "a draining server got work after 3 s": self.drain_ms > 3_000,
            "a server saw the key of a workspace": self.keys_at_servers > 0,
            "a server was told the wrong workspace": self.wrong_workspaces > 0,
            "a request ran with a key taken away before": self.ran_after_revocation > 0,
            "a workspace got more than its quota": self.highest_quota_use_ratio > 1.0,
            "not every request has an outcome": self.requests
            != self.answered + self.refused_not_run + self.unknown,
        }
        return [text for text, is_violated in violations.items() if is_violated]


def largest_shift(outcomes: Outcomes, region_of: dict[str, str], window_ms: int) -> float:
    """Return the largest share of one service's requests that moved between regions in a window.

    Each entry region is evaluated separately, because a split applies to one entry region.

    :param outcomes: the outcomes at the callers, refusals included.
    :param region_of: the region of each server.
    :param window_ms: the length of a window; any two adjacent windows are compared.
    :returns: a ratio from 0 to 1, 0 without outcomes.
    """
    samples: dict[tuple[str, str], list[Sample]] = collections.defaultdict(list)
    for outcome in outcomes:
        sample = (outcome.at_ms, region_of.get(outcome.server, ""))
        samples[(outcome.service, outcome.entry_region)].append(sample)
    return max((largest_window_shift(group, window_ms) for group in samples.values()), default=0.0)


def largest_window_shift(samples: list[Sample], window_ms: int) -> float:
    """Return the largest share that moved between regions from one window to the next.

    The pair of windows slides over the run in ``STEPS_PER_WINDOW`` steps per window. Refused
    requests count in the total, but a rise or fall of refusals is not a shift.

    :param samples: the time and the serving region of each request, "" if it was refused.
    :param window_ms: the length of a window.
    :returns: a ratio from 0 to 1, 0 if the samples cover less than two windows.
    """
    samples = sorted(samples)
    times = [at_ms for at_ms, _ in samples]
    largest = 0.0
    step_ms = max(1, window_ms // STEPS_PER_WINDOW)
    for middle_ms in range(times[0] + window_ms, times[-1] - window_ms, step_ms):
        before = _shares(samples, times, middle_ms - window_ms, middle_ms)
        after = _shares(samples, times, middle_ms, middle_ms + window_ms)
        increase = sum(max(0.0, after[r] - before.get(r, 0.0)) for r in after if r)
        decrease = sum(max(0.0, before[r] - after.get(r, 0.0)) for r in before if r)
        largest = max(largest, min(increase, decrease))
    return largest


def _shares(samples: list[Sample], times: list[int], from_ms: int, to_ms: int) -> dict[str, float]:
    in_window = samples[bisect.bisect_left(times, from_ms) : bisect.bisect_left(times, to_ms)]
    counts = collections.Counter(region for _, region in in_window)
    return {region: count / len(in_window) for region, count in counts.items()}


def highest_link_use(
    outcomes: Outcomes, region_of: dict[str, str], limits: dict[frozenset[str], int]
) -> float:
    """Return the highest use of a link's limit in any second of the run.

    :param outcomes: the outcomes at the callers, with the bytes of the request and the response.
    :param region_of: the region of each server.
    :param limits: the limit of each link in bytes per second, by the pair of its regions.
    :returns: the used fraction of the limit, 0 if nothing crossed a link.
    """
    sent_bytes: collections.Counter[tuple[frozenset[str], int]] = collections.Counter()
    for outcome in outcomes:
        ends = frozenset((outcome.entry_region, region_of.get(outcome.server, "")))
        if ends in limits:
            sent_bytes[(ends, outcome.at_ms // LINK_WINDOW_MS)] += outcome.size_bytes
    return max((size / limits[ends] for (ends, _), size in sent_bytes.items()), default=0.0)
