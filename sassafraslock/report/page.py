"""A report as one HTML page with plots; needs the extra ``plots``, which brings matplotlib."""

from __future__ import annotations

import html
import importlib.util
import io
import typing

from sassafraslock import errors
from sassafraslock.report import summary, tables

PLOT_INCHES = (9.0, 3.2)
STYLE = (
    "body{font:15px/1.5 system-ui,sans-serif;max-width:62em;margin:2em auto;padding:0 1em}"
    "svg{max-width:100%;height:auto}pre{overflow-x:auto;font-size:13px}"
)
OUTCOMES = (
    ("in target", "in_target", "#2a9d8f"),
    ("late", "late", "#e9c46a"),
    ("answered", "answered", "#8ab6d6"),
    ("refused", "refused", "#e76f51"),
    ("failed", "failed", "#9b2226"),
    ("abandoned", "abandoned", "#adb5bd"),
)


def render(report: summary.Report) -> str | errors.Refusal:
    """Return the page, or a refusal that names the extra to install.

    :param report: the report.
    """
    if importlib.util.find_spec("matplotlib") is None:
        reason = 'plots need matplotlib; install it with: pip install "sassafraslock[plots]"'
        return errors.Refusal(errors.ErrorKind.NOT_FOUND, reason)
    plots = (
        ("Outcomes by time", _plot_outcomes),
        ("Busy slots of each region's servers", _plot_busy),
        ("Requests refused by each region's entries", _plot_refused),
        ("Measured over expected time: median, 10th to 90th percentile", _plot_calibration),
    )
    body = "".join(f"<h2>{title}</h2>{_figure(plot, report)}" for title, plot in plots)
    text = html.escape("\n".join(tables.render(report)))
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>Requests</title>"
        f"<style>{STYLE}</style><h1>Requests</h1>{body}<h2>Tables</h2><pre>{text}</pre></html>"
    )


def _figure(
    plot: typing.Callable[[typing.Any, summary.Report], None], report: summary.Report
) -> str:
    """Return a plot as SVG; matplotlib is imported here, since it is optional."""
    import matplotlib.figure

    figure = matplotlib.figure.Figure(figsize=PLOT_INCHES, layout="constrained")
    axes = figure.add_subplot()
    plot(axes, report)
    if axes.get_legend_handles_labels()[0]:
        figure.legend(loc="outside right upper", fontsize="small")
    image = io.StringIO()
    figure.savefig(image, format="svg")
    drawn = image.getvalue()
    return drawn[drawn.index("<svg") :]


def _plot_outcomes(axes: typing.Any, report: summary.Report) -> None:
    starts = [row.start_s for row in report.windows]
    counts = [[getattr(row.outcomes, field) for row in report.windows] for _, field, _ in OUTCOMES]
    names = [name for name, _, _ in OUTCOMES]
    colors = [color for _, _, color in OUTCOMES]
    if starts:
        axes.stackplot(starts, *counts, labels=names, colors=colors, step="post")
    axes.set_xlabel("seconds")
    axes.set_ylabel("requests")


def _plot_busy(axes: typing.Any, report: summary.Report) -> None:
    _plot_regions(axes, report, "busy_ratio")
    axes.axhline(1.0, color="#adb5bd", linewidth=1)
    axes.set_ylabel("requests over slots")


def _plot_refused(axes: typing.Any, report: summary.Report) -> None:
    _plot_regions(axes, report, "refused")
    axes.set_ylabel("requests")


def _plot_regions(axes: typing.Any, report: summary.Report, field: str) -> None:
    """Draw a line of one field for each service and region."""
    pairs = sorted({(b.service, b.region) for row in report.windows for b in row.regions})
    starts = [row.start_s for row in report.windows]
    for pair in pairs:
        values = []
        for row in report.windows:
            found = [getattr(b, field) for b in row.regions if (b.service, b.region) == pair]
            values.append(found[0] if found else 0)
        axes.step(starts, values, where="post", label=" ".join(pair))
    axes.set_xlabel("seconds")


def _plot_calibration(axes: typing.Any, report: summary.Report) -> None:
    for number, row in enumerate(report.calibration):
        axes.plot([row.ratio.p10, row.ratio.p90], [number, number], color="#2a9d8f")
        axes.plot([row.ratio.p50], [number], "o", color="#264653")
    names = [f"{row.object_is}, {row.load} ({row.ratio.count})" for row in report.calibration]
    axes.set_yticks(range(len(names)), names)
    axes.axvline(1.0, color="#adb5bd", linewidth=1)
    axes.set_xlabel("measured over expected")
