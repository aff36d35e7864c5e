"""Commands that read and change shared settings."""

from __future__ import annotations

import pathlib
import typing

import click

from sassafraslock import cli_options, client, clock, errors, output, settings_check


@click.group(name="settings")
def settings_group() -> None:
    """Read and change shared settings, a subtree for each team."""


@settings_group.command(name="get")
@click.argument("path")
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def settings_get(path: str, address: str, token: str, form: output.OutputFormat) -> None:
    """Show the settings at a path.

    Example: sassafraslock settings get /kocar/services/logbook --format toml
    \f

    :param path: the settings path, or the file.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: how to print.
    """
    team, names = client.split_path(path)
    found = client.Client(address, token).call("GET", f"/settings/{team}")
    if not isinstance(found, errors.Refusal):
        found = client.value_at(found["document"], names)
    output.print_result_or_exit(found, form)


@settings_group.command(name="put")
@click.argument("path")
@click.argument("file", type=cli_options.FILE)
@click.option("--revision", type=int, help="Fail unless the subtree is at this revision.")
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def settings_put(
    path: str,
    file: pathlib.Path,
    revision: int | None,
    address: str,
    token: str,
    form: output.OutputFormat,
) -> None:
    """Put a TOML file at a path; a change made meanwhile is a conflict.

    Example: sassafraslock settings put /kocar examples/kocar.toml
    \f

    :param path: the settings path, or the file.
    :param file: the file to read.
    :param revision: the revision that the change builds on.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: how to print.
    """
    raw = settings_check.parse_toml(file.read_text())
    if isinstance(raw, settings_check.Problem):
        output.print_result_or_exit(
            errors.Refusal(errors.ErrorKind.INVALID_SETTINGS, str(raw)), form
        )
    operator = client.Client(address, token)
    team, names = client.split_path(path)
    if revision is not None and not names:
        output.print_result_or_exit(operator.put(team, raw, revision), form)
        return
    output.print_result_or_exit(operator.change(path, lambda old: raw), form)


@settings_group.command(name="history")
@click.argument("path")
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def settings_history(path: str, address: str, token: str, form: output.OutputFormat) -> None:
    """Show the accepted changes of a team.

    Example: sassafraslock settings history /kocar
    \f

    :param path: the settings path, or the file.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: how to print.
    """
    team, names = client.split_path(path)
    found = client.Client(address, token).call("GET", f"/history/{team}")
    if not isinstance(found, errors.Refusal):
        found = [{**line, "document": client.value_at(line["document"], names)} for line in found]
    output.print_result_or_exit(found, form)


@settings_group.command(name="diff")
@click.argument("path")
@click.argument("file", type=cli_options.FILE)
@cli_options.ENTRY
@cli_options.TOKEN
def settings_diff(path: str, file: pathlib.Path, address: str, token: str) -> None:
    """Show how a TOML file differs from the settings at a path.

    Example: sassafraslock settings diff /kocar examples/kocar.toml
    \f

    :param path: the settings path, or the file.
    :param file: the file to read.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    """
    team, names = client.split_path(path)
    found = client.Client(address, token).call("GET", f"/settings/{team}")
    if not isinstance(found, errors.Refusal):
        found = client.value_at(found["document"], names)
    if isinstance(found, errors.Refusal):
        output.print_result_or_exit(found, "table")
    raw = settings_check.parse_toml(file.read_text())
    click.echo("\n".join(output.diff(found, raw)) or "no difference")


def _server_path(path: str) -> str:
    """Return the settings path of /TEAM/SERVICE/SERVER."""
    team, names = client.split_path(path)
    if len(names) != 2:
        reason = f"{path!r} is not a server; write /TEAM/SERVICE/SERVER"
        output.print_result_or_exit(errors.Refusal(errors.ErrorKind.BAD_REQUEST, reason), "table")
    return f"/{team}/services/{names[0]}/servers/{names[1]}"


def _set_state(path: str, state: str, address: str, token: str, form: typing.Any) -> None:
    operator = client.Client(address, token)
    found = operator.change(f"{_server_path(path)}/state", lambda old: state)
    if not isinstance(found, errors.Refusal):
        found = {"server": path, "state": state, "revision": found["revision"]}
    output.print_result_or_exit(found, form)


@click.command()
@click.argument("path")
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def drain(path: str, address: str, token: str, form: output.OutputFormat) -> None:
    """Stop new work on a server; what it runs goes on.

    Example: sassafraslock drain /kocar/logbook/logbook-1
    \f

    :param path: the settings path, or the file.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: how to print.
    """
    _set_state(path, "draining", address, token, form)


@click.command()
@click.argument("path")
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def undrain(path: str, address: str, token: str, form: output.OutputFormat) -> None:
    """Let a server take work again.

    Example: sassafraslock undrain /kocar/logbook/logbook-1
    \f

    :param path: the settings path, or the file.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: how to print.
    """
    _set_state(path, "active", address, token, form)


def _parse_split(text: str) -> dict[str, float] | errors.Refusal:
    try:
        pairs = [part.split("=") for part in text.split(",")]
        return {region.strip(): float(share) for region, share in pairs}
    except ValueError:
        reason = f"{text!r} is not a split; write gorenjska=0.5,stajerska=0.5"
        return errors.Refusal(errors.ErrorKind.BAD_REQUEST, reason)


@click.command()
@click.argument("path")
@click.option("--from", "region", required=True, help="The region whose callers' traffic moves.")
@click.option("--to", "split", required=True, help="The split to reach, as a=0.5,b=0.5.")
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def shift(
    path: str, region: str, split: str, address: str, token: str, form: output.OutputFormat
) -> None:
    """Move traffic to another split, never faster than the service's cap.

    Example: sassafraslock shift /kocar/logbook --from gorenjska --to gorenjska=0.5,primorska=0.5
    \f

    :param path: the settings path, or the file.
    :param region: the region whose traffic moves.
    :param split: the split to reach.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: how to print.
    """
    team, names = client.split_path(path)
    parsed = _parse_split(split)
    if isinstance(parsed, errors.Refusal) or len(names) != 1:
        reason = f"{path!r} is not a service; write /TEAM/SERVICE"
        wrong = errors.Refusal(errors.ErrorKind.BAD_REQUEST, reason)
        output.print_result_or_exit(parsed if isinstance(parsed, errors.Refusal) else wrong, form)
        return
    plan = {"to": parsed, "started_ms": clock.wall_ms()}

    def edit(service: typing.Any) -> typing.Any:
        return {**service, "shifts": {**service.get("shifts", {}), region: plan}}

    found = client.Client(address, token).change(f"/{team}/services/{names[0]}", edit)
    if not isinstance(found, errors.Refusal):
        rules = found["document"]["services"][names[0]]
        found = {
            "service": path,
            "revision": found["revision"],
            "cap_ratio": rules["shift_cap_ratio"],
            "window_ms": rules["shift_window_ms"],
        }
    output.print_result_or_exit(found, form)
