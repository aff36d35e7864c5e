"""Work of the command line: run stand-ins, check files and publish client blocks."""

from __future__ import annotations

import pathlib
import signal

import anyio
import msgspec

from sassafraslock import (
    asgi,
    clock,
    errors,
    kernel,
    logs,
    platform,
    settings,
    settings_check,
    shared_settings,
)
from sassafraslock.decisions import client_blocks, revisions
from sassafraslock.services import block_loader, platform_client
from sassafraslock.standin import backend, journaled_platform, platform_api
from sassafraslock.standin import platform as standin_platform

STOP_BOUND_MS = 1_000

Problems = list[settings_check.Problem]


def _load_team(team: str, path: pathlib.Path, system: shared_settings.TeamSettings) -> (
    shared_settings.TeamSettings | Problems
):  # fmt: skip
    raw = settings_check.parse_toml(path.read_text())
    if isinstance(raw, settings_check.Problem):
        return [raw]
    return shared_settings.load_team(team, raw, system)


def check_shared(team: str, path: pathlib.Path, system: pathlib.Path | None) -> Problems:
    """Check a file with the shared settings of a team.

    :param team: the team's name.
    :param path: the team's file.
    :param system: the system team's file, which defines the regions; without it there are none.
    :returns: every problem found; those of the system team's file only, if it has any.
    """
    system_team: shared_settings.TeamSettings | Problems = shared_settings.TeamSettings()
    if system:
        system_team = _load_team(
            shared_settings.SYSTEM_TEAM, system, shared_settings.TeamSettings()
        )
    if isinstance(system_team, list):
        return system_team
    loaded = _load_team(team, path, system_team)
    return loaded if isinstance(loaded, list) else []


def store_initial_settings(
    memory: standin_platform.MemoryPlatform, folder: pathlib.Path
) -> Problems:
    """Store the shared settings of each team, in a file TEAM.toml, as revision 1.

    :param memory: the stand-in of the platform.
    :param folder: the folder with the files.
    :returns: every problem found; if there is any, nothing was stored.
    """
    system_path = folder / f"{shared_settings.SYSTEM_TEAM}.toml"
    teams: dict[str, shared_settings.TeamSettings] = {}
    problems: Problems = []
    for path in sorted(folder.glob("*.toml"), key=lambda p: p != system_path):
        system = teams.get(shared_settings.SYSTEM_TEAM, shared_settings.TeamSettings())
        loaded = _load_team(path.stem, path, system)
        if isinstance(loaded, list):
            problems += loaded
        else:
            teams[path.stem] = loaded
    if not problems:
        memory.apply(
            platform.Transaction(puts=[p for t, s in teams.items() for p in _initial_rows(t, s)])
        )
    return problems


def _initial_rows(team: str, subtree: shared_settings.TeamSettings) -> list[platform.Put]:
    document = msgspec.json.encode(subtree)
    subtree_row = revisions.SubtreeRow(1, f"initial-{team}", document)
    history_row = revisions.HistoryRow(
        1, subtree_row.change_id, clock.wall_ms(), "initial", document
    )
    return [
        platform.Put(revisions.settings_key(team), msgspec.msgpack.encode(subtree_row)),
        platform.Put(revisions.history_key(team, 1), msgspec.msgpack.encode(history_row)),
    ]


async def run_platform(
    host: str, port: int, shared: pathlib.Path | None, journal: pathlib.Path | None
) -> None:
    """Run a stand-in of the platform until SIGTERM or SIGINT.

    :param host: the IP address to listen on.
    :param port: the port to listen on.
    :param shared: the folder of shared settings to store at the first start, none to start empty.
    :param journal: the file that keeps the rows over restarts, none to lose them.
    """
    memory = (
        journaled_platform.JournaledPlatform(journal)
        if journal
        else standin_platform.MemoryPlatform()
    )
    problems = store_initial_settings(memory, shared) if shared and not memory.rows else []
    if problems:
        raise SystemExit("\n".join(map(str, problems)))
    faulty = standin_platform.FaultyPlatform(memory, standin_platform.Faults(), seed=1)
    await _run_until_signal(asgi.HttpServer(platform_api.PlatformApp(faulty), host, port))


async def run_backend(
    server_id: str, host: str, port: int, slots: int, behaviour: backend.Behaviour
) -> None:
    """Run a stand-in of a backend server until SIGTERM or SIGINT.

    :param server_id: the server's id, which it names in its answers.
    :param host: the IP address to listen on.
    :param port: the port to listen on.
    :param slots: the number of requests in flight that the server reports as full load.
    :param behaviour: its work, faults and rate limits.
    """
    server = backend.BackendServer(server_id, slots, host, port, backend.InFlightGauge())
    server.behaviour = behaviour
    await _run_until_signal(server)


async def _run_until_signal(service: kernel.Service) -> None:
    logs.configure("text", "info")
    core = kernel.Kernel()
    core.register("standin", service)
    async with anyio.create_task_group() as group:
        group.start_soon(_watch_signals, core)
        await core.run(STOP_BOUND_MS)
        group.cancel_scope.cancel()


async def _watch_signals(core: kernel.Kernel) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            core.request_stop()


async def publish_blocks(
    process: settings.Settings,
    sites: list[str],
    table: list[client_blocks.Block],
    revision: int,
) -> errors.Refusal | None:
    """Publish a table of client network blocks to the platform's object store.

    :param process: the process settings of any entry, which name the platform.
    :param sites: the sites that blocks refer to by number, as REGION/ZONE.
    :param table: the blocks in order of address.
    :param revision: the revision of the table; entries load it only if it is newer than theirs.
    :returns: a refusal if the table was not published.
    """
    store = platform_client.PlatformClient(process.platform)
    return await block_loader.publish(store, sites, table, revision)
