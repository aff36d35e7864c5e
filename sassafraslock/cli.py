"""The command line: commands that run entries and stand-ins, or show the state of entries."""

from __future__ import annotations

import functools
import pathlib
import typing

import anyio
import click

import sassafraslock
from sassafraslock import (
    cli_changes,
    cli_keys,
    cli_options,
    cli_report,
    client,
    clock,
    commands,
    demo,
    entry,
    errors,
    explain,
    logs,
    output,
    settings,
    settings_file,
    signals,
)
from sassafraslock.decisions import client_blocks
from sassafraslock.services import log_writer
from sassafraslock.standin import backend, limit_schedule

EXIT_SERVICE_FAILED = 11


@click.group(epilog='Shell completion: eval "$(_SASSAFRASLOCK_COMPLETE=bash_source sassafraslock)"')
@click.version_option(sassafraslock.VERSION)
def main() -> None:
    """Steer requests between callers and backend servers across regions."""


def _load_settings(path: pathlib.Path) -> settings.Settings:
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

    Example: sassafraslock run examples/walk/entry-a.toml
    \f

    :param path: the file of process settings.
    """
    signals.PROCESS.install()
    parse = functools.partial(entry.parse_settings, str(path))
    watched = settings_file.SettingsFile(str(path), parse)
    process = _load_settings(path)
    log_lines = log_writer.configure_logs(process.logging.format, process.logging.level)
    failed_service = anyio.run(
        entry.run_process, process, log_lines, watched.reload, signals.PROCESS
    )
    signals.PROCESS.ignore()
    log_lines.write_rest()
    if failed_service:
        click.echo(
            f"service {failed_service} failed repeatedly; see its events in the log", err=True
        )
        raise SystemExit(EXIT_SERVICE_FAILED)


@main.command()
@click.argument("path", metavar="FILE.toml", type=cli_options.FILE)
@click.option(
    "--team", default="", help="Check shared settings of this team instead of process settings."
)
@click.option(
    "--system", type=cli_options.FILE, help="The system team's file, which defines the regions."
)
def check(path: pathlib.Path, team: str, system: pathlib.Path | None) -> None:
    """Check a settings file and show all of its problems.

    Example: sassafraslock check examples/walk/entry-a.toml
    \f

    :param path: the file of settings.
    :param team: the team whose shared settings the file holds, empty for process settings.
    :param system: the system team's file, which defines the regions.
    """
    if team:
        problems = commands.check_shared(team, path, system)
        for problem in problems:
            click.echo(f"{path}: {problem}", err=True)
        if problems:
            raise SystemExit(errors.ERROR_PROPERTIES[errors.ErrorKind.INVALID_SETTINGS].exit_code)
    else:
        _load_settings(path)
    click.echo(f"{path}: ok")


@main.command()
@click.argument("service")
@click.option(
    "--address",
    default="127.0.0.1:7000",
    show_default=True,
    help="The callers' address of any entry.",
)
@click.option(
    "--client", "client_block", default="", help="The client's IP address or network block."
)
@cli_options.FORMAT
def entries(service: str, address: str, client_block: str, form: output.OutputFormat) -> None:
    """Show the entries that a caller of a service should use.

    Example: sassafraslock entries kocar/logbook --client 10.1.2.0/24
    \f

    :param service: the service as TEAM/SERVICE.
    :param address: the callers' address of any entry.
    :param client_block: the client's IP address or network block.
    :param form: the output format.
    """
    query = f"/entries?service={service}&client={client_block}"
    output.print_result_or_exit(client.Client(address, "").call("GET", query), form)


@main.command()
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def status(address: str, token: str, form: output.OutputFormat) -> None:
    """Show a summary of one entry and the progress of shifts.

    Example: sassafraslock status --entry 127.0.0.1:7200 --token example-token
    \f

    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: the output format.
    """
    output.print_result_or_exit(client.Client(address, token).call("GET", "/status"), form)


@main.command()
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def dump(address: str, token: str, form: output.OutputFormat) -> None:
    """Show the internal state of one entry, service by service.

    Example: sassafraslock dump --format json
    \f

    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: the output format.
    """
    output.print_result_or_exit(client.Client(address, token).call("GET", "/dump"), form)


@main.command(name="explain")
@click.argument("request_id")
@click.option(
    "--log",
    "source",
    type=click.File("r"),
    default="-",
    help="A file with log lines of entries, - for standard input.",
)
def explain_command(request_id: str, source: typing.TextIO) -> None:
    """Explain the result of a request from the log lines of entries.

    Example: sassafraslock explain 9c41d07be2a35f68 --log entry-a.log
    \f

    :param request_id: the id that the client sent.
    :param source: the file with the log lines.
    """
    report = explain.explain(explain.parse(source), request_id)
    if not report:
        reason = f"no log line of request {request_id}; give the logs of every entry of its region"
        output.print_result_or_exit(errors.Refusal(errors.ErrorKind.NOT_FOUND, reason), "table")
    for line in report:
        click.echo(line)


@main.group()
def blocks() -> None:
    """Manage the table that maps client network blocks to zones."""


@blocks.command(name="publish")
@click.argument("file", type=cli_options.FILE)
@click.option(
    "--settings",
    "path",
    type=cli_options.FILE,
    required=True,
    help="Process settings of any entry, which name the platform.",
)
def blocks_publish(file: pathlib.Path, path: pathlib.Path) -> None:
    """Publish a file of client blocks with lines such as 10.0.3.0/24,REGION/ZONE.

    Example: sassafraslock blocks publish blocks.csv --settings examples/walk/entry-a.toml
    \f

    :param file: the file of client blocks.
    :param path: the file of process settings, which names the platform.
    """
    try:
        sites, table = client_blocks.parse_table(file.read_text().splitlines())
    except ValueError as error:
        output.print_result_or_exit(
            errors.Refusal(errors.ErrorKind.BAD_REQUEST, f"{file}: {error}"), "table"
        )
        return
    revision = clock.wall_ms()
    refusal = anyio.run(commands.publish_blocks, _load_settings(path), sites, table, revision)
    output.print_result_or_exit(refusal or {"revision": revision, "blocks": len(table)}, "table")


@main.group()
def standin() -> None:
    """Run stand-ins of the platform and of backend servers, to try entries on one machine."""


@standin.command(name="platform")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=7300, show_default=True)
@click.option("--shared", type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
              help="A folder with one TEAM.toml for each team, stored at the start.")  # fmt: skip
@click.option("--journal", type=click.Path(dir_okay=False, path_type=pathlib.Path),
              help="A file that keeps the rows over restarts.")  # fmt: skip
def standin_platform(
    host: str, port: int, shared: pathlib.Path | None, journal: pathlib.Path | None
) -> None:
    """Run a stand-in of the platform: table service, object store and VM list.

    Example: sassafraslock standin platform --shared examples/walk/shared
    \f

    :param host: the IP address to listen on.
    :param port: the port to listen on.
    :param shared: the folder of shared settings.
    :param journal: the file that keeps the rows.
    """
    anyio.run(commands.run_platform, host, port, shared, journal)


@standin.command(name="backend")
@click.argument("server_id")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=7400, show_default=True)
@click.option("--slots", default=3, show_default=True)
@click.option("--work-ms", default=20, show_default=True)
@click.option(
    "--journal", default="", help="A file that gets a line for each run of a request with a key."
)
@click.option(
    "--limit", type=click.FloatRange(0), help="The rate limit that it names, in requests a second."
)
@click.option(
    "--limit-seed", default=0, help="The seed of limits that change by turns, 0 for none."
)
@click.option(
    "--limit-journal", default="limits", help="A file that gets a line a request with --limit-seed."
)
@click.option(
    "--leave-after", type=click.FloatRange(0), help="Seconds after which it says that it leaves."
)
@click.option(
    "--retry-after", type=click.FloatRange(0), help="Seconds of the pause that rejections ask for."
)
def standin_backend(
    server_id: str,
    host: str,
    port: int,
    slots: int,
    work_ms: int,
    journal: str,
    limit: float | None,
    limit_seed: int,
    limit_journal: str,
    leave_after: float | None,
    retry_after: float | None,
) -> None:
    """Run a stand-in of a backend server.

    Example: sassafraslock standin backend logbook-1 --port 7401
    \f

    :param server_id: the server's id.
    :param host: the IP address to listen on.
    :param port: the port to listen on.
    :param slots: the number of slots that the server reports.
    :param work_ms: the time that the server takes for a request.
    :param journal: a file that gets a line for each run of a request with a key.
    :param limit: the rate limit that answers name, none for no limit.
    :param limit_seed: the seed of limits that change by turns, 0 for none.
    :param limit_journal: the file that gets a line for each request with such limits.
    :param leave_after: the seconds after which answers say that the server leaves, none for never.
    :param retry_after: the seconds of the pause that rejections ask for, none for no pause.
    """
    behaviour = backend.Behaviour(work_ms=work_ms, journal_path=journal, limit_per_s=limit)
    behaviour.retry_after_s = retry_after
    if leave_after is not None:
        behaviour.leaves_at_ms = clock.monotonic_ms() + int(1_000 * leave_after)
    if limit_seed:
        behaviour.limits = limit_schedule.LimitSchedule(
            limit_seed, limit_journal, clock.monotonic_ms()
        )
    anyio.run(commands.run_backend, server_id, host, port, slots, behaviour)


@main.command(name="demo")
@click.option("--json", "as_json", is_flag=True, help="Print the summary as one JSON line.")
@click.option("--log", default="critical", help="The lowest log level shown.")
@click.option(
    "--log-format", type=click.Choice(["text", "json"]), default="text", show_default=True,
    help="The format of the log on standard error; report and explain read json.",
)  # fmt: skip
def demo_command(as_json: bool, log: str, log_format: logs.LogFormat) -> None:
    """Run a small deployment in one process, with faults injected.
    \f

    :param as_json: whether the summary is printed as JSON.
    :param log: the lowest log level shown.
    :param log_format: the format of the log.
    """
    logs.configure(log_format, log)
    raise SystemExit(demo.main(as_json))


for _command in (
    cli_changes.settings_group,
    cli_changes.drain,
    cli_changes.undrain,
    cli_changes.shift,
    cli_report.report_command,
    cli_keys.key_group,
):
    main.add_command(_command)
