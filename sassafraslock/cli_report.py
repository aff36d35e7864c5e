"""The command ``report``."""

from __future__ import annotations

import pathlib
import sys

import click
import msgspec

from sassafraslock import errors, output
from sassafraslock.report import log_files, page, summary, tables

PROGRESS_MIN_BYTES = 32 << 20  # smaller files are read before a bar could be seen


@click.command(name="report")
@click.argument("sources", metavar="LOG...", nargs=-1, required=True,
                type=click.Path(exists=True, dir_okay=False, allow_dash=True))  # fmt: skip
@click.option("--json", "as_json", is_flag=True, help="Print the tables as one JSON object.")
@click.option(
    "--html", "page_path", type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Also write a page with plots to this file.",
)  # fmt: skip
@click.option(
    "--window", "window_s", type=click.FloatRange(min=0.1), default=2.0, show_default=True,
    help="The length of a time window in seconds; it is doubled where the log is long.",
)  # fmt: skip
def report_command(
    sources: tuple[str, ...], as_json: bool, page_path: pathlib.Path | None, window_s: float
) -> None:
    """Report what became of requests, and why, from the logs of entries.

    LOG is a file of JSON lines, plain or compressed by gzip, or - for standard input.

    Example: sassafraslock report entry-a.log entry-b.log.gz --html report.html
    \f

    :param sources: the files.
    :param as_json: whether to print JSON.
    :param page_path: the file for the page with plots.
    :param window_s: the length of a time window.
    """
    files = log_files.LogFiles(list(sources))
    summed = summary.Summary(window_s)
    _read(files, summed)
    report = summed.report(files.counts)
    if page_path is not None:
        drawn = page.render(report)
        if isinstance(drawn, errors.Refusal):
            output.print_result_or_exit(drawn, "table")
        else:
            page_path.write_text(drawn)
    if as_json:
        click.echo(msgspec.json.encode(report).decode())
        return
    for line in tables.render(report):
        click.echo(line)


def _read(files: log_files.LogFiles, summed: summary.Summary) -> None:
    size_bytes = files.size_bytes()
    if size_bytes < PROGRESS_MIN_BYTES:
        for line in files.read(lambda read_bytes: None):
            summed.add(line)
        return
    with click.progressbar(length=size_bytes, label="Reading", file=sys.stderr) as progress:
        for line in files.read(progress.update):
            summed.add(line)
