"""Command line options and argument types that several commands share."""

from __future__ import annotations

import pathlib

import click

FORMATS = click.Choice(["table", "json", "toml"])

ENTRY = click.option(
    "--entry", "address", default="127.0.0.1:7200", show_default=True, envvar="SASSAFRASLOCK_ENTRY",
    help="The operators' address of any entry.",
)  # fmt: skip
TOKEN = click.option(
    "--token", envvar="SASSAFRASLOCK_TOKEN", default="", help="The operator token."
)
FORMAT = click.option(
    "--format", "form", type=FORMATS, default="table", show_default=True, help="The output format."
)


FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)
