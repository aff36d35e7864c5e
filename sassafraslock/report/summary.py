"""Summarizes the log lines of entries: outcomes, causes, calibration and busy regions."""

from __future__ import annotations

import collections

import hdrh.histogram
import msgspec

from sassafraslock.report import causes, log_files, log_lines, tallies, time_windows

MAX_KEYS = 500  # rows of each table; what comes later is counted as OTHER
OTHER = "(other)"

Pair = tuple[str, str]


class ReadRow(msgspec.Struct, frozen=True):
    """What was read; ``examples`` names some of the bad lines."""

    lines: int
    events: int
    foreign: int
    bad: int
    examples: list[str]


class RouteRow(msgspec.Struct, frozen=True):
    """The requests of a route, and how long those took that were answered."""

    service: str
    route: str
    target_ms: float
    outcomes: tallies.OutcomeCounts
    latency_ms: tallies.Percentiles


class RegionRow(msgspec.Struct, frozen=True):
    """The requests of one entry region that ended at servers of one region, if at any."""

    entry_region: str
    server_region: str
    outcomes: tallies.OutcomeCounts


class CauseRow(msgspec.Struct, frozen=True):
    """How many requests of a route were late or refused for one cause.

    ``expected_over_target`` is for refusals of which the log tells the best server's estimate.
    """

    route: str
    outcome: causes.Outcome
    cause: str
    count: int
    expected_over_target: tallies.Percentiles | None


class CalibrationRow(msgspec.Struct, frozen=True):
    """Measured over expected time of answers, by affinity and by load against slots."""

    object_is: str
    load: str
    ratio: tallies.Percentiles


class BusyRegion(msgspec.Struct, frozen=True):
    """A region in one window.

    ``busy_ratio`` is the mean of running and waiting requests over the slots of the servers that
    the log names, ``refused`` the requests that the region's entries refused.
    """

    service: str
    region: str
    busy_ratio: float
    refused: int


class WindowRow(msgspec.Struct, frozen=True):
    """What happened from ``start_s`` on, counted from the first request."""

    start_s: float
    outcomes: tallies.OutcomeCounts
    regions: list[BusyRegion]


class Report(msgspec.Struct, frozen=True):
    """All tables of a report."""

    read: ReadRow
    window_s: float
    routes: list[RouteRow]
    regions: list[RegionRow]
    causes: list[CauseRow]
    calibration: list[CalibrationRow]
    windows: list[WindowRow]


class Summary:
    """Accumulates log lines; its memory depends on routes, regions and servers only."""

    __slots__ = (
        "_routes",
        "_latencies",
        "_targets_ms",
        "_regions",
        "_causes",
        "_refused_ratios",
        "_calibration",
        "_windows",
        "_slots",
    )

    def __init__(self, window_s: float) -> None:
        """:param window_s: the length of a time window at first."""
        self._routes: dict[Pair, tallies.OutcomeTally] = {}
        self._latencies: dict[Pair, hdrh.histogram.HdrHistogram] = {}
        self._targets_ms: dict[Pair, float] = {}
        self._regions: dict[Pair, tallies.OutcomeTally] = {}
        self._causes: collections.Counter[tuple[str, causes.Outcome, str]] = collections.Counter()
        self._refused_ratios: dict[str, hdrh.histogram.HdrHistogram] = {}
        self._calibration: dict[Pair, hdrh.histogram.HdrHistogram] = {}
        self._windows = time_windows.TimeWindows(window_s)
        self._slots: dict[Pair, dict[str, int]] = {}

    def add(self, line: log_lines.LogLine) -> None:
        """Add a line; lines that are not the end of a routed request are ignored.

        :param line: the line.
        """
        outcome = causes.outcome(line)
        if outcome is None or not line.route:
            return
        route = _bounded(self._routes, (line.service, line.route))
        self._routes.setdefault(route, tallies.OutcomeTally()).add(outcome)
        self._targets_ms[route] = line.target_ms
        self._add_region(line, outcome)
        self._add_cause(line, route[1], outcome)
        self._windows.add_outcome(line.arrived_s, outcome)
        if outcome in (causes.Outcome.IN_TARGET, causes.Outcome.LATE, causes.Outcome.ANSWERED):
            histogram = self._latencies.setdefault(route, tallies.latency_histogram())
            tallies.add_latency(histogram, line.took_ms)
            self._calibrate(line)
        if outcome is causes.Outcome.REFUSED:
            self._windows.add_refused(line.arrived_s, line.service, line.entry_region)
        self._add_attempts(line)

    def _add_region(self, line: log_lines.LogLine, outcome: causes.Outcome) -> None:
        last = line.attempts[-1] if line.attempts else line.best
        pair = _bounded(self._regions, (line.entry_region, last.region if last else ""))
        self._regions.setdefault(pair, tallies.OutcomeTally()).add(outcome)

    def _add_cause(self, line: log_lines.LogLine, route: str, outcome: causes.Outcome) -> None:
        if outcome is causes.Outcome.LATE:
            self._causes[route, outcome, causes.of_late_answer(line)] += 1
        elif outcome is causes.Outcome.REFUSED:
            self._causes[route, outcome, causes.of_refusal(line)] += 1
            if line.best is not None and line.target_ms:
                histogram = self._refused_ratios.setdefault(route, tallies.ratio_histogram())
                tallies.add_ratio(histogram, line.best.expected_ms / line.target_ms)

    def _calibrate(self, line: log_lines.LogLine) -> None:
        """Compare the estimate of a request that one server answered at the first attempt."""
        if len(line.attempts) != 1 or line.attempts[0].expected_ms <= 0:
            return
        attempt = line.attempts[0]
        key = (attempt.object_is, _load_class(attempt))
        histogram = self._calibration.setdefault(key, tallies.ratio_histogram())
        tallies.add_ratio(histogram, attempt.took_ms / attempt.expected_ms)

    def _add_attempts(self, line: log_lines.LogLine) -> None:
        sent_s = line.arrived_s
        for attempt in line.attempts:
            if attempt.after_ms is not None:
                sent_s = line.arrived_s + attempt.after_ms / 1000
            self._windows.add_busy(sent_s, line.service, attempt.region, attempt.took_ms)
            sent_s += attempt.took_ms / 1000
            servers = self._slots.setdefault((line.service, attempt.region), {})
            if attempt.server in servers or len(servers) < MAX_KEYS:
                servers[attempt.server] = attempt.slots

    def report(self, counts: log_files.ReadCounts) -> Report:
        """Return the report on all lines so far.

        :param counts: what was read.
        """
        read = ReadRow(counts.lines, counts.events, counts.foreign, counts.bad, counts.examples)
        return Report(
            read,
            self._windows.window_s,
            self._route_rows(),
            [RegionRow(*pair, t.counts()) for pair, t in sorted(self._regions.items())],
            self._cause_rows(),
            [
                CalibrationRow(*key, tallies.percentiles(histogram, tallies.RATIO_SCALE))
                for key, histogram in sorted(self._calibration.items())
            ],
            self._window_rows(),
        )

    def _route_rows(self) -> list[RouteRow]:
        empty = tallies.latency_histogram()
        rows = [
            RouteRow(
                *pair,
                self._targets_ms[pair],
                tally.counts(),
                tallies.percentiles(self._latencies.get(pair, empty)),
            )
            for pair, tally in self._routes.items()
        ]
        return sorted(rows, key=lambda row: -row.outcomes.requests)

    def _cause_rows(self) -> list[CauseRow]:
        rows = []
        for (route, outcome, cause), count in self._causes.most_common():
            histogram = self._refused_ratios.get(route)
            ratio = None
            if cause is causes.Cause.EXPECTED_QUEUE and histogram is not None:
                ratio = tallies.percentiles(histogram, tallies.RATIO_SCALE)
            rows.append(CauseRow(route, outcome, cause, count, ratio))
        return rows

    def _window_rows(self) -> list[WindowRow]:
        windows = self._windows.items()
        return [
            WindowRow(start_s - windows[0][0], window.tally.counts(), self._busy_regions(window))
            for start_s, window in windows
        ]

    def _busy_regions(self, window: time_windows.TimeWindow) -> list[BusyRegion]:
        slots = {pair: sum(servers.values()) for pair, servers in self._slots.items()}
        return [
            BusyRegion(
                *pair,
                window.busy_ms[pair]
                / (1_000 * self._windows.window_s * max(1, slots.get(pair, 0))),
                window.refused[pair],
            )
            for pair in sorted({*window.busy_ms, *window.refused})
        ]


def _bounded(known: dict[Pair, tallies.OutcomeTally], pair: Pair) -> Pair:
    return pair if pair in known or len(known) < MAX_KEYS else (OTHER, OTHER)


def _load_class(attempt: log_lines.Attempt) -> str:
    if not attempt.slots:
        return "slots unknown"
    if not attempt.is_full:
        return "a free slot"
    return "full" if attempt.load < 2 * attempt.slots else "full twice or more"
