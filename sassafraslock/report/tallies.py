"""Counts and latency percentiles of requests, and histograms of took over expected time."""

from __future__ import annotations

import collections
import dataclasses

import hdrh.histogram
import msgspec

from sassafraslock.report import causes

MAX_LATENCY_MS = 600_000
RATIO_SCALE = 1_000  # histograms hold whole numbers, so ratios are stored in thousandths
MAX_RATIO = 100
SIGNIFICANT_DIGITS = 2


class Percentiles(msgspec.Struct, frozen=True):
    """The 10th, 50th, 90th and 99th percentile of ``count`` values."""

    count: int
    p10: float
    p50: float
    p90: float
    p99: float


def percentiles(histogram: hdrh.histogram.HdrHistogram, scale: int = 1) -> Percentiles:
    """Return the percentiles of a histogram.

    :param histogram: the histogram.
    :param scale: what the stored values are divided by.
    """
    values = [histogram.get_value_at_percentile(p) / scale for p in (10, 50, 90, 99)]
    return Percentiles(histogram.get_total_count(), *values)


def latency_histogram() -> hdrh.histogram.HdrHistogram:
    """Return an empty histogram of milliseconds."""
    return hdrh.histogram.HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)


def ratio_histogram() -> hdrh.histogram.HdrHistogram:
    """Return an empty histogram of ratios, in units of 1 / :data:`RATIO_SCALE`."""
    return hdrh.histogram.HdrHistogram(1, MAX_RATIO * RATIO_SCALE, SIGNIFICANT_DIGITS)


def add_latency(histogram: hdrh.histogram.HdrHistogram, took_ms: float) -> None:
    """Add a latency; one beyond :data:`MAX_LATENCY_MS` counts as that.

    :param histogram: the histogram of milliseconds.
    :param took_ms: the latency.
    """
    histogram.record_value(min(MAX_LATENCY_MS, max(1, int(took_ms))))


def add_ratio(histogram: hdrh.histogram.HdrHistogram, ratio: float) -> None:
    """Add a ratio; one beyond :data:`MAX_RATIO` counts as that.

    :param histogram: the histogram of ratios.
    :param ratio: the ratio.
    """
    histogram.record_value(min(MAX_RATIO * RATIO_SCALE, max(1, int(ratio * RATIO_SCALE))))


class OutcomeCounts(msgspec.Struct, frozen=True):
    """How many requests had each outcome."""

    requests: int
    in_target: int
    late: int
    answered: int
    refused: int
    failed: int
    abandoned: int


@dataclasses.dataclass(slots=True)
class OutcomeTally:
    """Counts the outcomes of requests."""

    outcomes: collections.Counter[causes.Outcome] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, outcome: causes.Outcome) -> None:
        """Count a request.

        :param outcome: what became of it.
        """
        self.outcomes[outcome] += 1

    def merge(self, other: OutcomeTally) -> None:
        """Add the counts of another tally.

        :param other: the other tally.
        """
        self.outcomes.update(other.outcomes)

    def counts(self) -> OutcomeCounts:
        """Return the counts."""
        return OutcomeCounts(
            sum(self.outcomes.values()), *(self.outcomes[outcome] for outcome in causes.Outcome)
        )
