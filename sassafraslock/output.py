"""Prints the results of commands as JSON, as TOML or as a table of paths and values."""

from __future__ import annotations

import typing

import click
import msgspec
import tomli_w

from sassafraslock import errors
from sassafraslock.decisions import revisions

OutputFormat = typing.Literal["json", "table", "toml"]


def print_value(value: typing.Any, output: OutputFormat) -> None:
    """Print a value to standard output; text is printed as it is in any format.

    :param value: plain data.
    :param output: the format.
    """
    if isinstance(value, str):
        click.echo(value)
    elif output == "json":
        click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())
    elif output == "toml":
        click.echo(tomli_w.dumps(_without_none(value)), nl=False)
    else:
        _print_table(value)


def _print_table(value: typing.Any) -> None:
    rows = value if isinstance(value, list) else [value]
    for row in rows:
        leaves = revisions.flatten(msgspec.to_builtins(row))
        width = max((len(path) for path in leaves), default=0)
        for path, leaf in leaves.items():
            click.echo(f"{path.lstrip('/'):{width}} {leaf}")


def _without_none(value: typing.Any) -> typing.Any:
    if isinstance(value, dict):
        return {k: _without_none(v) for k, v in value.items() if v is not None}
    return [_without_none(v) for v in value] if isinstance(value, list) else value


def print_result_or_exit(result: typing.Any, output: OutputFormat) -> None:
    """Print the result of a command; a refusal ends the process with its exit code.

    A refusal is printed to standard error.

    :param result: plain data or a refusal.
    :param output: the format.
    """
    if isinstance(result, errors.Refusal):
        click.echo(f"{result.kind.value}: {result.reason}", err=True)
        raise SystemExit(result.properties.exit_code)
    print_value(result, output)


def difference(old: typing.Any, new: typing.Any) -> list[str]:
    """Return the differences by path: ``- PATH VALUE`` for old and ``+ PATH VALUE`` for new values.

    :param old: plain data.
    :param new: plain data.
    """
    before, after = revisions.flatten(old), revisions.flatten(new)
    lines = []
    for path in sorted({*before, *after}):
        if before.get(path) == after.get(path):
            continue
        if path in before:
            lines.append(f"- {path} {before[path]}")
        if path in after:
            lines.append(f"+ {path} {after[path]}")
    return lines
