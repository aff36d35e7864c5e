"""The command line."""

from __future__ import annotations

import pathlib
import typing

import anyio
import click

import sassafraslock
from sassafraslock import (
    client,
    clock,
    commands,
    demo,
    entry,
    errors,
    logs,
    output,
    settings,
    settings_check,
)
from sassafraslock.decisions import client_blocks

EXIT_SERVICE_FAILED = 11
FORMATS = click.Choice(["table", "json", "toml"])

_entry_option = click.option(
    "--entry", "address", default="127.0.0.1:7200", show_default=True, envvar="SASSAFRASLOCK_ENTRY",
    help="The operators' address of any entry.",
)  # fmt: skip
_token_option = click.option(
    "--token", envvar="SASSAFRASLOCK_TOKEN", default="", help="The operator token."
)
_format_option = click.option(
    "--format", "form", type=FORMATS, default="table", show_default=True, help="How to print."
)


@click.group(epilog='Shell completion: eval "$(_SASSAFRASLOCK_COMPLETE=bash_source sassafraslock)"')
@click.version_option(sassafraslock.VERSION)
def main() -> None:
    """Steer requests between callers and backend servers across regions."""


def _load(path: pathlib.Path) -> settings.Settings:
    loaded = settings.load(path.read_text())
    if isinstance(loaded, settings.Settings):
        return loaded
    for problem in loaded:
        click.echo(f"{path}: {problem}", err=True)
    raise SystemExit(errors.ANSWERS[errors.ErrorKind.INVALID_SETTINGS].exit_code)


_PATH = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


@main.command()
@click.argument("path", metavar="SETTINGS.toml", type=_PATH)
def run(path: pathlib.Path) -> None:
    """Run an entry until SIGTERM or SIGINT.

    Example: sassafraslock run examples/entry-a.toml
    \f

    :param path: the settings path, or the file.
    """
    process = _load(path)
    logs.configure(process.logging.format, process.logging.level)
    failed = anyio.run(entry.run_process, process)
    if failed:
        click.echo(f"service {failed} kept failing; see its events in the log", err=True)
        raise SystemExit(EXIT_SERVICE_FAILED)


@main.command()
@click.argument("path", metavar="FILE.toml", type=_PATH)
@click.option("--team", default="", help="Check shared settings of this team, not a process's.")
@click.option("--system", type=_PATH, help="The system team's settings, for references.")
def check(path: pathlib.Path, team: str, system: pathlib.Path | None) -> None:
    """Check settings and show every problem at once.

    Example: sassafraslock check examples/entry-a.toml
    \f

    :param path: the settings path, or the file.
    :param team: the team.
    :param system: the system team's file.
    """
    if team:
        problems = commands.check_shared(team, path, system)
        for problem in problems:
            click.echo(f"{path}: {problem}", err=True)
        if problems:
            raise SystemExit(errors.ANSWERS[errors.ErrorKind.INVALID_SETTINGS].exit_code)
    else:
        _load(path)
    click.echo(f"{path}: ok")


@main.command()
@click.argument("service")
@click.option("--address", default="127.0.0.1:7000", show_default=True, help="Any entry's address.")
@click.option("--client", "client_block", default="", help="The client's address or block.")
@_format_option
def entries(service: str, address: str, client_block: str, form: output.OutputFormat) -> None:
    """Show which entries to use, as a caller asks.

    Example: sassafraslock entries kocar/logbook --client 10.1.2.0/24
    \f

    :param service: the service as TEAM/SERVICE.
    :param address: the operators' address of any entry.
    :param client_block: the client's address or block.
    :param form: how to print.
    """
    query = f"/entries?service={service}&client={client_block}"
    output.finish(client.Client(address, "").call("GET", query), form)


@main.group(name="settings")
def settings_group() -> None:
    """Read and change shared settings, a subtree for each team."""


@settings_group.command(name="get")
@click.argument("path")
@_entry_option
@_token_option
@_format_option
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
    output.finish(found, form)


@settings_group.command(name="put")
@click.argument("path")
@click.argument("file", type=_PATH)
@click.option("--revision", type=int, help="Fail unless the subtree is at this revision.")
@_entry_option
@_token_option
@_format_option
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
        output.finish(errors.Refusal(errors.ErrorKind.INVALID_SETTINGS, str(raw)), form)
    operator = client.Client(address, token)
    team, names = client.split_path(path)
    if revision is not None and not names:
        output.finish(operator.put(team, raw, revision), form)
        return
    output.finish(operator.change(path, lambda old: raw), form)


@settings_group.command(name="history")
@click.argument("path")
@_entry_option
@_token_option
@_format_option
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
    output.finish(found, form)


@settings_group.command(name="diff")
@click.argument("path")
@click.argument("file", type=_PATH)
@_entry_option
@_token_option
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
        output.finish(found, "table")
    raw = settings_check.parse_toml(file.read_text())
    click.echo("\n".join(output.difference(found, raw)) or "no difference")


def _server_path(path: str) -> str:
    """Return the settings path of /TEAM/SERVICE/SERVER."""
    team, names = client.split_path(path)
    if len(names) != 2:
        reason = f"{path!r} is not a server; write /TEAM/SERVICE/SERVER"
        output.finish(errors.Refusal(errors.ErrorKind.BAD_REQUEST, reason), "table")
    return f"/{team}/services/{names[0]}/servers/{names[1]}"


def _set_state(path: str, state: str, address: str, token: str, form: typing.Any) -> None:
    operator = client.Client(address, token)
    found = operator.change(f"{_server_path(path)}/state", lambda old: state)
    if not isinstance(found, errors.Refusal):
        found = {"server": path, "state": state, "revision": found["revision"]}
    output.finish(found, form)


@main.command()
@click.argument("path")
@_entry_option
@_token_option
@_format_option
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


@main.command()
@click.argument("path")
@_entry_option
@_token_option
@_format_option
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


@main.command()
@click.argument("path")
@click.option("--from", "region", required=True, help="The region whose callers' traffic moves.")
@click.option("--to", "split", required=True, help="The split to reach, as a=0.5,b=0.5.")
@_entry_option
@_token_option
@_format_option
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
        output.finish(parsed if isinstance(parsed, errors.Refusal) else wrong, form)
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
    output.finish(found, form)


@main.command()
@_entry_option
@_token_option
@_format_option
def status(address: str, token: str, form: output.OutputFormat) -> None:
    """Show a summary of one entry, with the progress of shifts.

    Example: sassafraslock status --entry 127.0.0.1:7200 --token example-token
    \f

    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: how to print.
    """
    output.finish(client.Client(address, token).call("GET", "/status"), form)


@main.command()
@_entry_option
@_token_option
@_format_option
def dump(address: str, token: str, form: output.OutputFormat) -> None:
    """Show the state of each service of one entry.

    Example: sassafraslock dump --format json
    \f

    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: how to print.
    """
    output.finish(client.Client(address, token).call("GET", "/dump"), form)


@main.group()
def blocks() -> None:
    """Publish the table from client blocks to sites."""


@blocks.command(name="publish")
@click.argument("file", type=_PATH)
@click.option("--settings", "path", type=_PATH, required=True, help="Settings of any entry.")
def blocks_publish(file: pathlib.Path, path: pathlib.Path) -> None:
    """Publish lines of 10.0.3.0/24,REGION/ZONE to the platform's object store.

    Example: sassafraslock blocks publish blocks.csv --settings examples/walk/entry-a.toml
    \f

    :param file: the file to read.
    :param path: the settings path, or the file.
    """
    try:
        sites, table = client_blocks.parse_table(file.read_text().splitlines())
    except ValueError as error:
        output.finish(errors.Refusal(errors.ErrorKind.BAD_REQUEST, f"{file}: {error}"), "table")
        return
    revision = clock.wall_ms()
    refused = anyio.run(commands.publish_blocks, _load(path), sites, table, revision)
    output.finish(refused or {"revision": revision, "blocks": len(table)}, "table")


@main.group()
def standin() -> None:
    """Run small stand-ins, to try real processes on loopback."""


@standin.command(name="platform")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=7300, show_default=True)
@click.option("--shared", type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
              help="A folder with one TEAM.toml for each team, accepted at start.")  # fmt: skip
def standin_platform(host: str, port: int, shared: pathlib.Path | None) -> None:
    """Run the platform's stand-in: table service, object store and VM list.

    Example: sassafraslock standin platform --shared examples/shared
    \f

    :param host: the IP number to listen on.
    :param port: the port.
    :param shared: the folder of shared settings.
    """
    anyio.run(commands.run_platform, host, port, shared)


@standin.command(name="backend")
@click.argument("server_id")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=7400, show_default=True)
@click.option("--slots", default=3, show_default=True)
@click.option("--work-ms", default=20, show_default=True)
def standin_backend(server_id: str, host: str, port: int, slots: int, work_ms: int) -> None:
    """Run a backend server's stand-in.

    Example: sassafraslock standin backend logbook-1 --port 7401
    \f

    :param server_id: the server's id.
    :param host: the IP number to listen on.
    :param port: the port.
    :param slots: the slots that it reports.
    :param work_ms: the time that a request takes.
    """
    anyio.run(commands.run_backend, server_id, host, port, slots, work_ms)


@main.command(name="demo")
@click.option("--json", "as_json", is_flag=True, help="Print the summary as one JSON line.")
@click.option("--log", default="critical", help="The lowest log level shown.")
def demo_command(as_json: bool, log: str) -> None:
    """Run both firms' smallest shape in one process, with faults on the way.
    \f

    :param as_json: whether the last line is JSON.
    :param log: the lowest level shown.
    """
    logs.configure("text", log)
    raise SystemExit(demo.main(as_json))
