"""What the command line runs: stand-ins as processes, checks of files, published tables."""

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
from sassafraslock.standin import backend, platform_api
from sassafraslock.standin import platform as standin_platform

STOP_BOUND_MS = 1_000

Problems = list[settings_check.Problem]


def _load(team: str, path: pathlib.Path, system: shared_settings.TeamSettings) -> (
    shared_settings.TeamSettings | Problems
):  # fmt: skip
    raw = settings_check.parse_toml(path.read_text())
    if isinstance(raw, settings_check.Problem):
        return [raw]
    return shared_settings.load_team(team, raw, system)


def check_shared(team: str, path: pathlib.Path, system: pathlib.Path | None) -> Problems:
    """Return every problem of a team's settings in a file.

    :param team: the team.
    :param path: the file.
    :param system: the file of the system team, which names the regions.
    """
    known: shared_settings.TeamSettings | Problems = shared_settings.TeamSettings()
    if system:
        known = _load(shared_settings.SYSTEM_TEAM, system, shared_settings.TeamSettings())
    if isinstance(known, list):
        return known
    loaded = _load(team, path, known)
    return loaded if isinstance(loaded, list) else []


def accept_folder(memory: standin_platform.MemoryPlatform, folder: pathlib.Path) -> Problems:
    """Accept one TEAM.toml for each team as revision 1.

    :param memory: the platform.
    :param folder: the folder.
    :returns: every problem found; then nothing was accepted.
    """
    system_path = folder / f"{shared_settings.SYSTEM_TEAM}.toml"
    found: dict[str, shared_settings.TeamSettings] = {}
    problems: Problems = []
    for path in sorted(folder.glob("*.toml"), key=lambda p: p != system_path):
        system = found.get(shared_settings.SYSTEM_TEAM, shared_settings.TeamSettings())
        loaded = _load(path.stem, path, system)
        if isinstance(loaded, list):
            problems += loaded
        else:
            found[path.stem] = loaded
    if not problems:
        memory.apply(platform.Transaction(puts=[p for t, s in found.items() for p in _puts(t, s)]))
    return problems


def _puts(team: str, subtree: shared_settings.TeamSettings) -> list[platform.Put]:
    document = msgspec.json.encode(subtree)
    row = revisions.SubtreeRow(1, f"initial-{team}", document)
    line = revisions.HistoryRow(1, row.change_id, clock.wall_ms(), "initial", document)
    return [
        platform.Put(revisions.settings_key(team), msgspec.msgpack.encode(row)),
        platform.Put(revisions.history_key(team, 1), msgspec.msgpack.encode(line)),
    ]


async def run_platform(host: str, port: int, shared: pathlib.Path | None) -> None:
    """Run the platform's stand-in until SIGTERM or SIGINT.

    :param host: the IP number to listen on.
    :param port: the port.
    :param shared: the folder of settings to accept at start.
    """
    memory = standin_platform.MemoryPlatform()
    problems = accept_folder(memory, shared) if shared else []
    if problems:
        raise SystemExit("\n".join(map(str, problems)))
    faulty = standin_platform.FaultyPlatform(memory, standin_platform.Faults(), seed=1)
    await _run_alone(asgi.HttpServer(platform_api.PlatformApp(faulty), host, port))


async def run_backend(
    server_id: str, host: str, port: int, slots: int, work_ms: int, journal: str
) -> None:
    """Run a backend server's stand-in until SIGTERM or SIGINT.

    :param server_id: the server's id, which its answers carry.
    :param host: the IP number to listen on.
    :param port: the port.
    :param slots: the requests that it reports as full load.
    :param work_ms: the time that a request takes.
    :param journal: a file that gets a line for each run of a request with a key.
    """
    server = backend.BackendServer(server_id, slots, host, port, backend.InFlightGauge())
    server.behaviour.work_ms = work_ms
    server.behaviour.journal_path = journal
    await _run_alone(server)


async def _run_alone(service: kernel.Service) -> None:
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
    """Publish a table of client blocks through the platform of an entry's settings.

    :param process: the settings of any entry.
    :param sites: the sites by number.
    :param table: the blocks in order of address.
    :param revision: the table's revision.
    """
    store = platform_client.PlatformClient(process.platform)
    return await block_loader.publish(store, sites, table, revision)
