"""Runs the measurements and prints tables; ``--write`` puts them into docs/MEASUREMENTS.md."""

from __future__ import annotations

import dataclasses
import pathlib
import typing

import click
import msgspec

from benchmarks import (
    cold_restart,
    endless,
    entry_capacity,
    fair_share,
    gossip,
    latency,
    limits,
    object_rows,
    placement,
    poison,
    regions,
    revocation,
    server_limits,
    slopes,
    work_pace,
)

Rows = typing.Sequence[typing.Any]

PARTS: dict[str, tuple[str, typing.Callable[[], Rows]]] = {
    "latency": ("Latency through an entry, loopback, work of 20 ms", latency.measure),
    "placement": ("Choice of servers by policy, virtual time", placement.measure),
    "limits": ("Limits kept in parts: the most used of each whole, virtual time", limits.measure),
    "server-limits": ("Rate limits that a server names, virtual time", server_limits.measure),
    "gossip": ("Gossip by the number of entries, virtual time", gossip.measure),
    "poison": ("Requests that crash their servers, virtual time", poison.measure),
    "cold-restart": (
        "Servers that know no object yet, 24 entries, virtual time",
        cold_restart.measure,
    ),
    "regions": (
        "Three regions under a wave of demand and an evacuation, virtual time",
        regions.measure,
    ),
    "revocation": (
        "Keys that are taken away amid trouble, bound 5 s, virtual time",
        revocation.measure,
    ),
    "fair-share": (
        "Workspaces at full servers: requests served without and with fair shares, virtual time",
        fair_share.measure,
    ),
    "regions-objects": (
        "Objects in memory of two customers' servers, from a cold start, virtual time",
        object_rows.measure,
    ),
    "work-pace": ("Servers that are slow for 600 ms at a time, virtual time", work_pace.measure),
    "entry-capacity": ("Entries whose links differ, in a model", entry_capacity.measure),
    "endless": ("Servers that send without end, 100 at once", endless.measure),
    "slopes": ("Slopes over size", slopes.measure),
}
DOCUMENT = pathlib.Path(__file__).parent.parent / "docs" / "MEASUREMENTS.md"
HEAD = """# Measurements

Written by `make bench ARGS=--write` on one machine of 6 cores with Python 3.11; seeds are fixed.
Latency is real time on loopback in one process; placement and the ages of gossip are virtual
time, so they do not depend on the machine. The policies that came before are in the history of
this page; docs/design/platform.md compares with them.
"""


def _cell(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def table(rows: Rows) -> str:
    """Return rows as a Markdown table.

    :param rows: dataclasses of one kind.
    """
    names = [f.name for f in dataclasses.fields(rows[0])]
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    lines += ["| " + " | ".join(_cell(getattr(r, n)) for n in names) + " |" for r in rows]
    return "\n".join(lines)


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(list(PARTS)))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object as the last line.")
@click.option("--write", is_flag=True, help="Write docs/MEASUREMENTS.md.")
def main(names: tuple[str, ...], as_json: bool, write: bool) -> None:
    """Measure all parts, or those named.
    \f

    :param names: the parts, all where none is named.
    :param as_json: whether the last line is JSON.
    :param write: whether the page is written.
    """
    found: dict[str, Rows] = {}
    text = HEAD
    for name in names or PARTS:
        title, measure = PARTS[name]
        found[name] = measure()
        text += f"\n## {title}\n\n`make bench ARGS={name}`\n\n{table(found[name])}\n"
        click.echo(f"\n{title}\n{table(found[name])}")
    if write:
        DOCUMENT.write_text(text)
    if as_json:
        click.echo(msgspec.json.encode(found).decode())


if __name__ == "__main__":
    main()
