"""The demonstration: all users' smallest shape in one process, with faults on the way."""

from __future__ import annotations

import dataclasses
import random
import typing

import anyio
import anyio.abc
import click
import msgspec

from sassafraslock import (
    asgi,
    clock,
    entry,
    errors,
    judgement,
    kernel,
    platform,
    settings,
    shared_settings,
)
from sassafraslock.decisions import revisions
from sassafraslock.services import log_writer, platform_client, settings_store
from sassafraslock.standin import backend, caller, free_ports, platform_api
from sassafraslock.standin import platform as standin_platform

HOST = "127.0.0.1"
CALLERS = 32
PAUSE_MS = (150, 300)
FILING_CALLERS_EVERY = 3
SHIFT_CAP_RATIO = 0.5
SHIFT_WINDOW_MS = 3_000
LINK_BYTES_PER_S = 2_000_000
RUN_S = 13.0
READY_WITHIN_S = 20
STOP_BOUND_MS = 6_000
TOKEN = "demo-token"
REGIONS = ("gorenjska", "stajerska")
ENTRIES = (("gorenjska", "a"), ("gorenjska", "b"), ("stajerska", "a"))
SERVICES = {
    "kocar/logbook": 3,
    "kocar/ledger": 3,
    "pryce/notice-desk": 6,
    "ridewell/busboard": 3,
}
SERVERS_PER_REGION = 2
SHIFTED = "pryce/notice-desk"
DRAINED = "kocar/logbook"

Progress = typing.Callable[[str], None]


@dataclasses.dataclass(slots=True)
class Stage:
    """Everything that runs in the demonstration."""

    faulty: standin_platform.FaultyPlatform
    entries: list[entry.Entry]
    servers: dict[str, backend.BackendServer]
    region_of: dict[str, str]
    regions: dict[str, backend.InFlightGauge]
    journal: caller.Journal
    teams: dict[str, shared_settings.TeamSettings]
    lines: log_writer.BufferedLogHandler
    drained_at_ms: int = 0


def _build(ports: typing.Iterator[int]) -> Stage:
    memory = standin_platform.MemoryPlatform()
    faulty = standin_platform.FaultyPlatform(memory, standin_platform.Faults(), seed=1)
    regions = {region: backend.InFlightGauge() for region in REGIONS}
    stage = Stage(
        faulty, [], {}, {}, regions, caller.Journal(), {}, log_writer.BufferedLogHandler()
    )
    for region in REGIONS:
        for service, slots in SERVICES.items():
            _add_servers(stage, region, service, slots, ports)
    total = SERVERS_PER_REGION * sum(SERVICES.values())
    stage.teams[shared_settings.SYSTEM_TEAM] = shared_settings.TeamSettings(
        regions={r: shared_settings.Region(total) for r in REGIONS},
        links=[shared_settings.Link(list(REGIONS), LINK_BYTES_PER_S)],
        claims=shared_settings.Claims(),
    )
    return stage


def _add_servers(
    stage: Stage, region: str, service: str, slots: int, ports: typing.Iterator[int]
) -> None:
    team, _, name = service.partition("/")
    subtree = stage.teams.setdefault(team, shared_settings.TeamSettings())
    rules = subtree.services.setdefault(
        name,
        shared_settings.Service(
            servers={}, shift_cap_ratio=SHIFT_CAP_RATIO, shift_window_ms=SHIFT_WINDOW_MS
        ),
    )
    for number in range(SERVERS_PER_REGION):
        server_id = f"{name}-{region}-{number}"
        port = next(ports)
        rules.servers[server_id] = shared_settings.Server(region, "a", HOST, port, slots)
        stage.servers[server_id] = backend.BackendServer(
            server_id, slots, HOST, port, stage.regions[region]
        )
        stage.region_of[server_id] = region


def _entry_settings(stage: Stage, platform_port: int, ports: typing.Iterator[int]) -> None:
    peers = [settings.Address(HOST, next(ports)) for _ in ENTRIES]
    for (region, zone), peer in zip(ENTRIES, peers, strict=True):
        process = settings.Settings(
            entry_id=f"{region}-{zone}",
            region=region,
            zone=zone,
            caller=settings.Address(HOST, next(ports)),
            peer=peer,
            operator=settings.Operator(HOST, next(ports), TOKEN),
            platform=settings.Platform(HOST, platform_port, REGIONS[0], timeout_ms=500),
            peer_token=TOKEN,
            peers=peers,
            poll_ms=200,
            stop_bound_ms=STOP_BOUND_MS,
        )
        table = platform_client.PlatformClient(process.platform)
        stage.entries.append(entry.Entry(process, table, stage.lines))


def _accept_settings(stage: Stage) -> None:
    for team, subtree in stage.teams.items():
        row = revisions.SubtreeRow(1, f"initial-{team}", msgspec.json.encode(subtree))
        put = platform.Put(revisions.settings_key(team), msgspec.msgpack.encode(row))
        stage.faulty.memory.apply(platform.Transaction(puts=[put]))


async def _call_forever(stage: Stage, number: int) -> None:
    source = random.Random(number)
    addresses = [str(e.settings.caller) for e in stage.entries]
    seeds = addresses[number % len(addresses) :] + addresses
    one = caller.Caller(f"block-{number}", seeds, stage.journal, number)
    service = SHIFTED if number % 2 else list(SERVICES)[number // 2 % len(SERVICES)]
    try:
        while True:
            if number % FILING_CALLERS_EVERY == 0:
                await one.file(service, "/filings", f"filing {source.random()}".encode())
            else:
                await one.read(service, "/entries/7")
            await anyio.sleep(source.uniform(*PAUSE_MS) / 1000)
    finally:
        with anyio.CancelScope(shield=True):
            await one.close()


async def _change(stage: Stage, team: str, edit: typing.Callable[[typing.Any], None]) -> None:
    """Change a team's settings as an operator would."""
    store = settings_store.SettingsStore(stage.faulty)
    row = await store.get(team)
    assert not isinstance(row, errors.Refusal)
    document = msgspec.json.decode(row.document)
    edit(document)
    await store.put(team, document, row.revision, "demo", clock.wall_ms())


async def _story(stage: Stage, say: Progress) -> None:
    """Drain, shift, kill and cut the store, one after another."""
    await anyio.sleep(2.5)
    drained = f"{DRAINED.partition('/')[2]}-gorenjska-0"
    say(f"draining {drained}")
    stage.drained_at_ms = clock.monotonic_ms()
    await _change(stage, "kocar", lambda d: _drain(d, drained))
    await anyio.sleep(0.5)
    say(f"shifting half of {SHIFTED} from gorenjska to stajerska")
    await _change(stage, "pryce", _shift)
    await anyio.sleep(3.5)
    say("killing entry gorenjska-b")
    killed = stage.entries[1]
    stage.journal.killed.add(killed.settings.entry_id)
    killed.edge.kernel.kill()
    await anyio.sleep(2.0)
    say("taking the platform's store down")
    stage.faulty.faults = standin_platform.Faults(down=True)
    await anyio.sleep(2.0)
    say("bringing the store back")
    stage.faulty.faults = standin_platform.Faults()


def _drain(document: typing.Any, server_id: str) -> None:
    name = DRAINED.partition("/")[2]
    document["services"][name]["servers"][server_id]["state"] = "draining"


def _shift(document: typing.Any) -> None:
    to = {"gorenjska": 0.5, "stajerska": 0.5}
    plan = {"to": to, "started_ms": clock.wall_ms()}
    document["services"][SHIFTED.partition("/")[2]]["shifts"] = {"gorenjska": plan}


async def _show_progress(stage: Stage, say: Progress) -> None:
    while True:
        await anyio.sleep(1)
        journal = stage.journal
        say(
            f"{journal.requests} requests, {journal.answered} answered, "
            f"{journal.refused_not_run} refused as not run, {journal.unknown} unknown"
        )


async def run(say: Progress, run_s: float = RUN_S) -> judgement.Summary:
    """Run the demonstration and judge it.

    :param say: shows one line of progress.
    :param run_s: how long callers send requests.
    """

    async def scenario(stage: Stage) -> None:
        await _run_callers(stage, say, run_s)

    return judge(await staged(scenario))


async def staged(scenario: typing.Callable[[Stage], typing.Awaitable[None]]) -> Stage:
    """Start platform, servers and entries, run a scenario among them and stop them.

    :param scenario: gets the stage once all serve.
    """
    ports = free_ports.free_ports(HOST)
    stage = _build(ports)
    platform_port = next(ports)
    _entry_settings(stage, platform_port, ports)
    _accept_settings(stage)
    core = kernel.Kernel()
    app = platform_api.PlatformApp(stage.faulty)
    core.register("platform", asgi.HttpServer(app, HOST, platform_port))
    for server_id, server in stage.servers.items():
        core.register(server_id, server)
    async with anyio.create_task_group() as group:
        group.start_soon(core.run, 1_000)
        for one in stage.entries:
            group.start_soon(one.run)
        await _wait_ready(stage, core)
        await scenario(stage)
        for one in stage.entries:
            one.edge.kernel.request_stop()
        await anyio.sleep(0.1)
        core.request_stop()
        group.cancel_scope.cancel()
    return stage


async def _wait_ready(stage: Stage, core: kernel.Kernel) -> None:
    with anyio.fail_after(READY_WITHIN_S):
        while not core.all_ready:
            await anyio.sleep(0.05)
        for one in stage.entries:
            while not one.edge.is_ready or len(one.edge.gossip.live_ids()) < len(ENTRIES):
                await anyio.sleep(0.05)


async def _run_callers(stage: Stage, say: Progress, run_s: float) -> None:
    with anyio.move_on_after(run_s):
        async with anyio.create_task_group() as group:
            group.start_soon(_story, stage, say)
            group.start_soon(_show_progress, stage, say)
            for number in range(CALLERS):
                group.start_soon(_call_forever, stage, number)
    stage.journal.requests = (
        stage.journal.answered + stage.journal.refused_not_run + stage.journal.unknown
    )


def judge(stage: Stage) -> judgement.Summary:
    """Return the figures of a run.

    :param stage: what ran.
    """
    journal = stage.journal
    runs = [s.record.runs_by_key for s in stage.servers.values()]
    keys = {key for found in runs for key in found}
    limits = {frozenset(REGIONS): LINK_BYTES_PER_S}
    region_limit = stage.teams[shared_settings.SYSTEM_TEAM].regions[REGIONS[0]].max_in_flight
    drained = stage.servers[f"{DRAINED.partition('/')[2]}-gorenjska-0"]
    return judgement.Summary(
        requests=journal.requests,
        answered=journal.answered,
        refused_not_run=journal.refused_not_run,
        unknown=journal.unknown,
        run_twice=sum(sum(found[key] for found in runs) > 1 for key in keys),
        false_not_run=len(journal.refused_keys & keys),
        cut_off=journal.cut_off,
        mixed_up=journal.mixed_up,
        largest_shift_ratio=judgement.largest_shift(
            journal.answers, stage.region_of, SHIFT_WINDOW_MS
        ),
        shift_cap_ratio=SHIFT_CAP_RATIO,
        highest_region_use_ratio=max(u.most_running for u in stage.regions.values()) / region_limit,
        highest_server_use_ratio=max(
            s.record.own.most_running / s.slots for s in stage.servers.values()
        ),
        highest_link_use_ratio=judgement.highest_link_use(journal.answers, stage.region_of, limits),
        drain_ms=max(0, drained.record.last_start_ms - stage.drained_at_ms),
        p50_ms=journal.latency.get_value_at_percentile(50) / 1000,
        p99_ms=journal.latency.get_value_at_percentile(99) / 1000,
    )


def main(as_json: bool) -> int:
    """Run the demonstration and show its summary.

    :param as_json: whether the last line is one JSON object.
    :returns: the exit code, not 0 where a promise broke.
    """
    started_ms = clock.monotonic_ms()

    def say(line: str) -> None:
        click.echo(f"{(clock.monotonic_ms() - started_ms) / 1000:5.1f} s  {line}")

    summary = anyio.run(run, say)
    broken = summary.broken_promises()
    for name, value in dataclasses.asdict(summary).items():
        click.echo(f"  {name:26} {value:10.3f}" if isinstance(value, float) else
                   f"  {name:26} {value:10}")  # fmt: skip
    for text in broken:
        click.echo(f"BROKEN: {text}")
    if as_json:
        click.echo(msgspec.json.encode(summary).decode())
    return 1 if broken else 0
