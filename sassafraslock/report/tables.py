"""Shows a report as text."""

from __future__ import annotations

import typing

from sassafraslock.report import summary, tallies

MAX_CAUSES = 20
MAX_WINDOWS = 60
OUTCOME_HEADS = ("requests", "in target", "late", "answered", "refused", "failed", "abandoned")

Row = typing.Sequence[str]


def render(report: summary.Report) -> list[str]:
    """Return the lines of all tables.

    :param report: the report.
    """
    tables = (
        ("Routes", _routes(report)),
        ("By region of the entry and of the server", _regions(report)),
        ("Causes of late answers and of refusals", _causes(report)),
        ("Measured over expected time of answers", _calibration(report)),
        (f"By time, windows of {report.window_s:g} s", _windows(report)),
        ("Busy slots, and requests refused by the entries of the same region", _busy(report)),
    )
    lines = _read_lines(report.read)
    for title, rows in tables:
        lines += ["", title, *_aligned(rows)]
    return lines


def _read_lines(read: summary.ReadRow) -> list[str]:
    lines = [
        f"{read.lines} lines read: {read.events} events, {read.foreign} of other programs,"
        f" {read.bad} bad"
    ]
    return lines + [f"  bad: {example}" for example in read.examples]


def _routes(report: summary.Report) -> list[Row]:
    heads = ("service", "route", "target ms", *OUTCOME_HEADS, "p50 ms", "p90 ms", "p99 ms")
    rows: list[Row] = [heads]
    rows += [
        (
            row.service,
            row.route,
            f"{row.target_ms:.0f}" if row.target_ms else "unknown",
            *_outcome_cells(row.outcomes),
            *(f"{v:.0f}" for v in (row.latency_ms.p50, row.latency_ms.p90, row.latency_ms.p99)),
        )
        for row in report.routes
    ]
    return rows


def _regions(report: summary.Report) -> list[Row]:
    return [("entry in", "server in", *OUTCOME_HEADS)] + [
        (row.entry_region or "unknown", row.server_region or "none", *_outcome_cells(row.outcomes))
        for row in report.regions
    ]


def _causes(report: summary.Report) -> list[Row]:
    rows: list[Row] = [("route", "outcome", "cause", "requests", "expected over target")]
    for row in report.causes[:MAX_CAUSES]:
        ratio = row.expected_over_target
        rows.append((row.route, row.outcome, row.cause, str(row.count), _range(ratio)))
    return rows


def _calibration(report: summary.Report) -> list[Row]:
    rows: list[Row] = [("object is", "server has", "answers", "median (10th to 90th percentile)")]
    rows += [
        (row.object_is or "unknown", row.load, str(row.ratio.count), _range(row.ratio))
        for row in report.calibration
    ]
    return rows


def _windows(report: summary.Report) -> list[Row]:
    heads = ("from s", *OUTCOME_HEADS)
    return [heads] + [
        (f"{row.start_s:g}", *_outcome_cells(row.outcomes)) for row in report.windows[:MAX_WINDOWS]
    ]


def _busy(report: summary.Report) -> list[Row]:
    """Return a row a window, and a column for each service and region."""
    shown = report.windows[:MAX_WINDOWS]
    pairs = sorted({(b.service, b.region) for row in shown for b in row.regions if b.region})
    rows: list[Row] = [("from s", *(f"{service} {region}" for service, region in pairs))]
    for row in shown:
        busy = {(b.service, b.region): b for b in row.regions}
        rows.append((f"{row.start_s:g}", *(_busy_cell(busy.get(pair)) for pair in pairs)))
    return rows


def _busy_cell(busy: summary.BusyRegion | None) -> str:
    if busy is None:
        return "-"
    refused = f", {busy.refused} refused" if busy.refused else ""
    return f"{busy.busy_ratio:.2f}{refused}"


def _outcome_cells(counts: tallies.OutcomeCounts) -> list[str]:
    return [
        str(value)
        for value in (
            counts.requests,
            counts.in_target,
            counts.late,
            counts.answered,
            counts.refused,
            counts.failed,
            counts.abandoned,
        )
    ]


def _range(ratio: tallies.Percentiles | None) -> str:
    return f"{ratio.p50:.2f} ({ratio.p10:.2f} to {ratio.p90:.2f})" if ratio else ""


def _aligned(rows: list[Row]) -> list[str]:
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        "  "
        + "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
