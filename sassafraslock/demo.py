"""The demonstration: entries, servers, platform and callers in one process, with faults.

Its services follow the smallest setup of each user.
"""

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
    demo_workspaces,
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
CALLER_PAUSE_MS = (150, 300)
POST_CALLER_EVERY = 3
SHIFT_CAP_RATIO = 0.5
SHIFT_WINDOW_MS = 3_000
LINK_BYTES_PER_S = 2_000_000
RUN_S = 13.0
READY_TIMEOUT_S = 20
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
SHIFTED_SERVICE = "pryce/notice-desk"
DRAINED_SERVICE = "kocar/logbook"

ReportProgress = typing.Callable[[str], None]


@dataclasses.dataclass(slots=True)
class Cluster:
    """Entries, servers and platform of the demonstration, with the statistics of its callers."""

    faulty: standin_platform.FaultyPlatform
    entries: list[entry.Entry]
    servers: dict[str, backend.BackendServer]
    region_of: dict[str, str]
    regions: dict[str, backend.InFlightGauge]
    stats: caller.CallerStats
    teams: dict[str, shared_settings.TeamSettings]
    log_handler: log_writer.BufferedLogHandler
    drained_at_ms: int = 0
    revoked_at_ms: int = 0


def _build_cluster(ports: typing.Iterator[int]) -> Cluster:
    memory = standin_platform.MemoryPlatform()
    faulty = standin_platform.FaultyPlatform(memory, standin_platform.Faults(), seed=1)
    regions = {region: backend.InFlightGauge() for region in REGIONS}
    cluster = Cluster(
        faulty, [], {}, {}, regions, caller.CallerStats(), {}, log_writer.BufferedLogHandler()
    )
    for region in REGIONS:
        for service, slots in SERVICES.items():
            _add_servers(cluster, region, service, slots, ports)
    total = SERVERS_PER_REGION * sum(SERVICES.values())
    cluster.teams[shared_settings.SYSTEM_TEAM] = shared_settings.TeamSettings(
        regions={r: shared_settings.Region(total) for r in REGIONS},
        links=[shared_settings.Link(list(REGIONS), LINK_BYTES_PER_S)],
        claims=shared_settings.Claims(),
        workspaces=demo_workspaces.settings_of_workspaces(),
    )
    return cluster


def _add_servers(
    cluster: Cluster, region: str, service: str, slots: int, ports: typing.Iterator[int]
) -> None:
    team, _, name = service.partition("/")
    team_settings = cluster.teams.setdefault(team, shared_settings.TeamSettings())
    service_settings = team_settings.services.setdefault(
        name,
        shared_settings.Service(
            servers={}, shift_cap_ratio=SHIFT_CAP_RATIO, shift_window_ms=SHIFT_WINDOW_MS
        ),
    )
    for number in range(SERVERS_PER_REGION):
        server_id = f"{name}-{region}-{number}"
        port = next(ports)
        service_settings.servers[server_id] = shared_settings.Server(region, "a", HOST, port, slots)
        cluster.servers[server_id] = backend.BackendServer(
            server_id, slots, HOST, port, cluster.regions[region]
        )
        cluster.region_of[server_id] = region


def _add_entries(cluster: Cluster, platform_port: int, ports: typing.Iterator[int]) -> None:
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
            keys=settings.Keys(demo_workspaces.REVOKE_MS),
            quotas=demo_workspaces.QUOTAS,
        )
        platform_table = platform_client.PlatformClient(process.platform)
        cluster.entries.append(entry.Entry(process, platform_table, cluster.log_handler))


def _write_settings(cluster: Cluster) -> None:
    for team, team_settings in cluster.teams.items():
        row = revisions.SubtreeRow(1, f"initial-{team}", msgspec.json.encode(team_settings))
        put = platform.Put(revisions.settings_key(team), msgspec.msgpack.encode(row))
        cluster.faulty.memory.apply(platform.Transaction(puts=[put]))


async def _send_requests(cluster: Cluster, number: int) -> None:
    rng = random.Random(number)
    addresses = [str(e.settings.caller) for e in cluster.entries]
    seeds = addresses[number % len(addresses) :] + addresses
    credentials = demo_workspaces.credentials(number)
    client = caller.Caller(f"block-{number}", seeds, cluster.stats, number, credentials)
    service = SHIFTED_SERVICE if number % 2 else list(SERVICES)[number // 2 % len(SERVICES)]
    try:
        while True:
            if number % POST_CALLER_EVERY == 0:
                await client.send_post(service, "/filings", f"filing {rng.random()}".encode())
            else:
                await client.send_get(service, "/entries/7")
            await anyio.sleep(rng.uniform(*CALLER_PAUSE_MS) / 1000)
    finally:
        with anyio.CancelScope(shield=True):
            await client.close()


async def _change_settings(
    cluster: Cluster, team: str, edit: typing.Callable[[typing.Any], None]
) -> None:
    """Change a team's settings through the settings store, as an operator does."""
    store = settings_store.SettingsStore(cluster.faulty)
    row = await store.get(team)
    assert not isinstance(row, errors.Refusal)
    document = msgspec.json.decode(row.document)
    edit(document)
    await store.put(team, document, row.revision, "demo", clock.wall_ms())


async def _inject_faults(cluster: Cluster, report: ReportProgress) -> None:
    """Inject the faults in this order.

    A server drains, traffic shifts, a key is taken away, an entry is killed, the store is down.
    """
    await anyio.sleep(2.5)
    drained_server = f"{DRAINED_SERVICE.partition('/')[2]}-gorenjska-0"
    report(f"draining {drained_server}")
    cluster.drained_at_ms = clock.monotonic_ms()
    await _change_settings(cluster, "kocar", lambda d: _set_draining(d, drained_server))
    await anyio.sleep(0.5)
    report(f"shifting half of {SHIFTED_SERVICE} from gorenjska to stajerska")
    await _change_settings(cluster, "pryce", _set_shift)
    await anyio.sleep(1.0)
    report(f"taking the key of {demo_workspaces.REVOKED} away")
    await _change_settings(cluster, shared_settings.SYSTEM_TEAM, demo_workspaces.take_key_away)
    cluster.revoked_at_ms = clock.monotonic_ms()
    await anyio.sleep(2.5)
    report("killing entry gorenjska-b")
    killed_entry = cluster.entries[1]
    cluster.stats.killed_entries.add(killed_entry.settings.entry_id)
    killed_entry.edge.kernel.kill()
    await anyio.sleep(2.0)
    report("taking the platform's store down")
    cluster.faulty.faults = standin_platform.Faults(down=True)
    await anyio.sleep(2.0)
    report("bringing the store back")
    cluster.faulty.faults = standin_platform.Faults()


def _set_draining(document: typing.Any, server_id: str) -> None:
    name = DRAINED_SERVICE.partition("/")[2]
    document["services"][name]["servers"][server_id]["state"] = "draining"


def _set_shift(document: typing.Any) -> None:
    weights = {"gorenjska": 0.5, "stajerska": 0.5}
    plan = {"to": weights, "started_ms": clock.wall_ms()}
    document["services"][SHIFTED_SERVICE.partition("/")[2]]["shifts"] = {"gorenjska": plan}


async def _show_progress(cluster: Cluster, report: ReportProgress) -> None:
    while True:
        await anyio.sleep(1)
        stats = cluster.stats
        report(
            f"{stats.requests} requests, {stats.answered} answered, "
            f"{stats.refused_not_run} refused as not run, {stats.unknown} unknown"
        )


async def run(report: ReportProgress, run_s: float = RUN_S) -> judgement.Summary:
    """Run the demonstration and return its results.

    :param report: prints one line of progress.
    :param run_s: how long callers send requests, in seconds.
    """

    async def scenario(cluster: Cluster) -> None:
        await _run_callers(cluster, report, run_s)

    return summarize(await run_in_cluster(scenario))


async def run_in_cluster(scenario: typing.Callable[[Cluster], typing.Awaitable[None]]) -> Cluster:
    """Start platform, servers and entries, run a scenario against them and stop them.

    :param scenario: called with the cluster once every entry is ready and knows all others.
    """
    ports = free_ports.free_ports(HOST)
    cluster = _build_cluster(ports)
    platform_port = next(ports)
    _add_entries(cluster, platform_port, ports)
    _write_settings(cluster)
    core = kernel.Kernel()
    app = platform_api.PlatformApp(cluster.faulty)
    core.register("platform", asgi.HttpServer(app, HOST, platform_port))
    for server_id, server in cluster.servers.items():
        core.register(server_id, server)
    async with anyio.create_task_group() as group:
        group.start_soon(core.run, 1_000)
        for instance in cluster.entries:
            group.start_soon(instance.run)
        await _wait_ready(cluster, core)
        await scenario(cluster)
        for instance in cluster.entries:
            instance.edge.kernel.request_stop()
        await anyio.sleep(0.1)
        core.request_stop()
        group.cancel_scope.cancel()
    return cluster


async def _wait_ready(cluster: Cluster, core: kernel.Kernel) -> None:
    with anyio.fail_after(READY_TIMEOUT_S):
        while not core.all_ready:
            await anyio.sleep(0.05)
        for instance in cluster.entries:
            while not instance.edge.is_ready or len(instance.edge.gossip.live_ids()) < len(ENTRIES):
                await anyio.sleep(0.05)


async def _run_callers(cluster: Cluster, report: ReportProgress, run_s: float) -> None:
    with anyio.move_on_after(run_s):
        async with anyio.create_task_group() as group:
            group.start_soon(_inject_faults, cluster, report)
            group.start_soon(_show_progress, cluster, report)
            for number in range(CALLERS):
                group.start_soon(_send_requests, cluster, number)
    cluster.stats.requests = (
        cluster.stats.answered + cluster.stats.refused_not_run + cluster.stats.unknown
    )


def summarize(cluster: Cluster) -> judgement.Summary:
    """Return the results of a run.

    :param cluster: the cluster after the run.
    """
    stats = cluster.stats
    runs = [s.stats.runs_by_key for s in cluster.servers.values()]
    keys = {key for counts in runs for key in counts}
    limits = {frozenset(REGIONS): LINK_BYTES_PER_S}
    region_limit = cluster.teams[shared_settings.SYSTEM_TEAM].regions[REGIONS[0]].max_in_flight
    drained_server = cluster.servers[f"{DRAINED_SERVICE.partition('/')[2]}-gorenjska-0"]
    gates = [instance.edge.pipeline.quotas for instance in cluster.entries]
    seen = demo_workspaces.findings(stats, cluster.servers.values(), gates, cluster.revoked_at_ms)
    return judgement.Summary(
        requests=stats.requests,
        answered=stats.answered,
        refused_not_run=stats.refused_not_run,
        unknown=stats.unknown,
        run_twice=sum(sum(counts[key] for counts in runs) > 1 for key in keys),
        false_not_run=len(stats.refused_keys & keys),
        cut_off=stats.cut_off,
        mixed_up=stats.mixed_up,
        largest_shift_ratio=judgement.largest_shift(
            stats.outcomes, cluster.region_of, SHIFT_WINDOW_MS
        ),
        shift_cap_ratio=SHIFT_CAP_RATIO,
        highest_region_use_ratio=max(u.max_running for u in cluster.regions.values())
        / region_limit,
        highest_server_use_ratio=max(
            s.stats.in_flight.max_running / s.slots for s in cluster.servers.values()
        ),
        highest_link_use_ratio=judgement.highest_link_use(
            stats.outcomes, cluster.region_of, limits
        ),
        drain_ms=max(0, drained_server.stats.last_start_ms - cluster.drained_at_ms),
        p50_ms=stats.latency.get_value_at_percentile(50) / 1000,
        p99_ms=stats.latency.get_value_at_percentile(99) / 1000,
        **dataclasses.asdict(seen),
    )


def main(as_json: bool) -> int:
    """Run the demonstration and print its summary.

    :param as_json: whether the last line is the summary as one JSON object.
    :returns: the exit code, 1 if a guarantee was violated, otherwise 0.
    """
    started_ms = clock.monotonic_ms()

    def report(line: str) -> None:
        click.echo(f"{(clock.monotonic_ms() - started_ms) / 1000:5.1f} s  {line}")

    summary = anyio.run(run, report)
    violations = summary.violated_guarantees()
    for name, value in dataclasses.asdict(summary).items():
        click.echo(f"  {name:26} {value:10.3f}" if isinstance(value, float) else
                   f"  {name:26} {value:10}")  # fmt: skip
    for text in violations:
        click.echo(f"BROKEN: {text}")
    if as_json:
        click.echo(msgspec.json.encode(summary).decode())
    return 1 if violations else 0
