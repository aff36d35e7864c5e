"""The command line."""

from __future__ import annotations

import click

from sassafraslock import VERSION, demo, logs


@click.group()
@click.version_option(VERSION)
def main() -> None:
    """Steer requests between callers and backend servers."""


@main.command(name="demo")
@click.option("--json", "as_json", is_flag=True, help="Print the summary as one JSON line.")
@click.option("--log", default="error", help="The lowest log level shown.")
def demo_command(as_json: bool, log: str) -> None:
    """Run both firms' smallest shape in one process, with faults on the way."""
    logs.configure("text", log)
    raise SystemExit(demo.main(as_json))
