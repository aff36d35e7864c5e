"""Commands that read and change shared settings."""

from __future__ import annotations

import pathlib
import typing

import click

from sassafraslock import cli_options, client, clock, errors, output, settings_check


@click.group(name="settings")
def settings_group() -> None:
    """Read and change the shared settings; each team has a subtree."""


@settings_group.command(name="get")
@click.argument("path")
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def settings_get(path: str, address: str, token: str, form: output.OutputFormat) -> None:
    """Show the settings at a path.

    Example: sassafraslock settings get /kocar/services/logbook --format toml
    \f

    :param path: the settings path, /TEAM or a path below it.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: the output format.
    """
    team, names = client.split_path(path)
    result = client.Client(address, token).call("GET", f"/settings/{team}")
    if not isinstance(result, errors.Refusal):
        result = client.value_at(result["document"], names)
    output.print_result_or_exit(result, form)


@settings_group.command(name="put")
@click.argument("path")
@click.argument("file", type=cli_options.FILE)
@click.option("--revision", type=int, help="Fail if /TEAM is not at this revision.")
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
    """Replace the settings at a path by those in a TOML file.

    The change is refused as a conflict if the team's settings change meanwhile.

    Example: sassafraslock settings put /kocar examples/walk/shared/kocar.toml
    \f

    :param path: the settings path, /TEAM or a path below it.
    :param file: the TOML file with the new settings.
    :param revision: the revision that the file is based on; checked for whole teams only.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: the output format.
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

    :param path: the settings path, /TEAM or a path below it.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: the output format.
    """
    team, names = client.split_path(path)
    result = client.Client(address, token).call("GET", f"/history/{team}")
    if not isinstance(result, errors.Refusal):
        result = [{**row, "document": client.value_at(row["document"], names)} for row in result]
    output.print_result_or_exit(result, form)


@settings_group.command(name="diff")
@click.argument("path")
@click.argument("file", type=cli_options.FILE)
@cli_options.ENTRY
@cli_options.TOKEN
def settings_diff(path: str, file: pathlib.Path, address: str, token: str) -> None:
    """Show how a TOML file differs from the settings at a path.

    Example: sassafraslock settings diff /kocar examples/walk/shared/kocar.toml
    \f

    :param path: the settings path, /TEAM or a path below it.
    :param file: the TOML file to compare with.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    """
    team, names = client.split_path(path)
    current = client.Client(address, token).call("GET", f"/settings/{team}")
    if not isinstance(current, errors.Refusal):
        current = client.value_at(current["document"], names)
    if isinstance(current, errors.Refusal):
        output.print_result_or_exit(current, "table")
    raw = settings_check.parse_toml(file.read_text())
    click.echo("\n".join(output.difference(current, raw)) or "no difference")


def _server_path(path: str) -> str:
    """Return the settings path of a server given as /TEAM/SERVICE/SERVER."""
    team, names = client.split_path(path)
    if len(names) != 2:
        reason = f"{path!r} is not a server; write /TEAM/SERVICE/SERVER"
        output.print_result_or_exit(errors.Refusal(errors.ErrorKind.BAD_REQUEST, reason), "table")
    return f"/{team}/services/{names[0]}/servers/{names[1]}"


def _set_state(path: str, state: str, address: str, token: str, form: typing.Any) -> None:
    operator = client.Client(address, token)
    result = operator.change(f"{_server_path(path)}/state", lambda old: state)
    if not isinstance(result, errors.Refusal):
        result = {"server": path, "state": state, "revision": result["revision"]}
    output.print_result_or_exit(result, form)


@click.command()
@click.argument("path")
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def drain(path: str, address: str, token: str, form: output.OutputFormat) -> None:
    """Send no new requests to a server; those in flight go on.

    Example: sassafraslock drain /kocar/logbook/logbook-1
    \f

    :param path: the server as /TEAM/SERVICE/SERVER.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: the output format.
    """
    _set_state(path, "draining", address, token, form)


@click.command()
@click.argument("path")
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def undrain(path: str, address: str, token: str, form: output.OutputFormat) -> None:
    """Send requests to a drained server again.

    Example: sassafraslock undrain /kocar/logbook/logbook-1
    \f

    :param path: the server as /TEAM/SERVICE/SERVER.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: the output format.
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
@click.option("--from", "region", required=True, help="The region whose callers' traffic is moved.")
@click.option("--to", "split", required=True, help="The target split, as a=0.5,b=0.5.")
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def shift(
    path: str, region: str, split: str, address: str, token: str, form: output.OutputFormat
) -> None:
    """Move the traffic of a region to another split, no faster than the service's cap.

    Example: sassafraslock shift /kocar/logbook --from gorenjska --to gorenjska=0.5,primorska=0.5
    \f

    :param path: the service as /TEAM/SERVICE.
    :param region: the region whose callers' traffic is moved.
    :param split: the target split.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: the output format.
    """
    team, names = client.split_path(path)
    parsed = _parse_split(split)
    if isinstance(parsed, errors.Refusal) or len(names) != 1:
        reason = f"{path!r} is not a service; write /TEAM/SERVICE"
        not_a_service = errors.Refusal(errors.ErrorKind.BAD_REQUEST, reason)
        output.print_result_or_exit(
            parsed if isinstance(parsed, errors.Refusal) else not_a_service, form
        )
        return
    planned_shift = {"to": parsed, "started_ms": clock.wall_ms()}

    def edit(service: typing.Any) -> typing.Any:
        return {**service, "shifts": {**service.get("shifts", {}), region: planned_shift}}

    result = client.Client(address, token).change(f"/{team}/services/{names[0]}", edit)
    if not isinstance(result, errors.Refusal):
        rules = result["document"]["services"][names[0]]
        result = {
            "service": path,
            "revision": result["revision"],
            "cap_ratio": rules["shift_cap_ratio"],
            "window_ms": rules["shift_window_ms"],
        }
    output.print_result_or_exit(result, form)
