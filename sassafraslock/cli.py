"""The command line."""

from __future__ import annotations

import pathlib
import typing

import anyio
import click

import sassafraslock
from sassafraslock import (
    cli_changes,
    cli_options,
    client,
    clock,
    commands,
    demo,
    edge,
    entry,
    errors,
    explain,
    logs,
    output,
    settings,
)
from sassafraslock.decisions import client_blocks

EXIT_SERVICE_FAILED = 11


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
    raise SystemExit(errors.ERROR_PROPERTIES[errors.ErrorKind.INVALID_SETTINGS].exit_code)


@main.command()
@click.argument("path", metavar="SETTINGS.toml", type=cli_options.FILE)
def run(path: pathlib.Path) -> None:
    """Run an entry until SIGTERM or SIGINT.

    Example: sassafraslock run examples/entry-a.toml
    \f

    :param path: the settings path, or the file.
    """
    process = _load(path)
    lines = edge.configure_logs(process.logging.format, process.logging.level)
    failed = anyio.run(entry.run_process, process, lines)
    click.echo(lines.pop_text(), nl=False)
    if failed:
        click.echo(f"service {failed} kept failing; see its events in the log", err=True)
        raise SystemExit(EXIT_SERVICE_FAILED)


@main.command()
@click.argument("path", metavar="FILE.toml", type=cli_options.FILE)
@click.option("--team", default="", help="Check shared settings of this team, not a process's.")
@click.option("--system", type=cli_options.FILE, help="The system team's settings, for references.")
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
            raise SystemExit(errors.ERROR_PROPERTIES[errors.ErrorKind.INVALID_SETTINGS].exit_code)
    else:
        _load(path)
    click.echo(f"{path}: ok")


@main.command()
@click.argument("service")
@click.option("--address", default="127.0.0.1:7000", show_default=True, help="Any entry's address.")
@click.option("--client", "client_block", default="", help="The client's address or block.")
@cli_options.FORMAT
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


@main.command()
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
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
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def dump(address: str, token: str, form: output.OutputFormat) -> None:
    """Show the state of each service of one entry.

    Example: sassafraslock dump --format json
    \f

    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: how to print.
    """
    output.finish(client.Client(address, token).call("GET", "/dump"), form)


@main.command(name="explain")
@click.argument("request_id")
@click.option("--log", "source", type=click.File("r"), default="-", help="Log lines of entries.")
def explain_command(request_id: str, source: typing.TextIO) -> None:
    """Tell a request's way from the log lines of entries, from a file or standard input.

    Example: sassafraslock explain 9c41d07be2a35f68 --log entry-a.log
    \f

    :param request_id: the id that the client sent.
    :param source: the log lines.
    """
    told = explain.explain(explain.parse(source), request_id)
    if not told:
        reason = f"no line of a request {request_id}; give the logs of every entry of its region"
        output.finish(errors.Refusal(errors.ErrorKind.NOT_FOUND, reason), "table")
    for line in told:
        click.echo(line)


@main.group()
def blocks() -> None:
    """Publish the table from client blocks to sites."""


@blocks.command(name="publish")
@click.argument("file", type=cli_options.FILE)
@click.option(
    "--settings", "path", type=cli_options.FILE, required=True, help="Settings of any entry."
)
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
@click.option("--journal", default="", help="A file that gets a line for each run under a key.")
def standin_backend(
    server_id: str, host: str, port: int, slots: int, work_ms: int, journal: str
) -> None:
    """Run a backend server's stand-in.

    Example: sassafraslock standin backend logbook-1 --port 7401
    \f

    :param server_id: the server's id.
    :param host: the IP number to listen on.
    :param port: the port.
    :param slots: the slots that it reports.
    :param work_ms: the time that a request takes.
    :param journal: the file of runs.
    """
    anyio.run(commands.run_backend, server_id, host, port, slots, work_ms, journal)


@main.command(name="demo")
@click.option("--json", "as_json", is_flag=True, help="Print the summary as one JSON line.")
@click.option("--log", default="critical", help="The lowest log level shown.")
def demo_command(as_json: bool, log: str) -> None:
    """Run all users' smallest shape in one process, with faults on the way.
    \f

    :param as_json: whether the last line is JSON.
    :param log: the lowest level shown.
    """
    logs.configure("text", log)
    raise SystemExit(demo.main(as_json))


for _command in (
    cli_changes.settings_group,
    cli_changes.drain,
    cli_changes.undrain,
    cli_changes.shift,
):
    main.add_command(_command)
