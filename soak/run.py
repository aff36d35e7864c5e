"""Runs one seed of the soak and checks its guarantees."""

from __future__ import annotations

import collections
import dataclasses
import pathlib
import random
import tempfile

import anyio

from sassafraslock.standin import caller
from soak import faults, limits, proxy, stage

CALLERS = 8
CALLER_PAUSE_S = (0.02, 0.15)
RECOVERY_TIMEOUT_S = 12.0
READY_TIMEOUT_S = 30.0
POST_RATIO = 0.4
MAX_MEMORY_GROWTH_MIB = 60.0  # of an entry's memory, also under unbounded input


@dataclasses.dataclass(slots=True)
class Verdict:
    """The result of a seed; ``broken`` describes the violated guarantees."""

    seed: int
    requests: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    growth_mib: float = 0.0
    broken: list[str] = dataclasses.field(default_factory=list)


async def run_in_folder(seed: int, seconds: float, folder: pathlib.Path) -> Verdict:
    """Run one seed in a folder and check it.

    :param seed: seed of the schedule, the callers and the proxies.
    :param seconds: length of the fault schedule.
    :param folder: an empty folder for settings, logs and the schedule.
    """
    cluster = stage.Cluster(folder, seed)
    stats = caller.CallerStats()
    injector = faults.Injector(cluster)
    targets = [name for name in cluster.processes if name != "platform"] + ["platform"]
    schedule = faults.draw_schedule(seed, seconds, targets, list(cluster.proxies))
    (folder / "schedule.txt").write_text("".join(f"{fault}\n" for fault in schedule))
    recovered = False
    try:
        async with anyio.create_task_group() as group:
            for each_proxy in cluster.proxies.values():
                ready = anyio.Event()
                group.start_soon(each_proxy.run, ready)
                await ready.wait()
            for process in cluster.processes.values():
                process.start()
            await _wait_ready(cluster)
            idle_mib = max(cluster.entry_memory_mib("VmRSS").values())
            async with anyio.create_task_group() as calling:
                for number in range(CALLERS):
                    calling.start_soon(_send_requests, cluster, stats, seed * 1_000 + number)
                await injector.run(schedule)
                recovered = await _wait_recovered(cluster, stats)
                peaks_mib = cluster.entry_memory_mib("VmHWM")
                calling.cancel_scope.cancel()
            group.cancel_scope.cancel()
    finally:
        cluster.kill_all()
    verdict = check_run(seed, cluster, stats, injector, recovered)
    verdict.growth_mib = max(peaks_mib.values()) - idle_mib
    if verdict.growth_mib > MAX_MEMORY_GROWTH_MIB:
        verdict.broken.append(f"an entry's memory grew by {verdict.growth_mib:.0f} MiB")
    return verdict


async def _wait_ready(cluster: stage.Cluster) -> None:
    with anyio.fail_after(READY_TIMEOUT_S):
        for number in range(stage.ENTRIES):
            while not await anyio.to_thread.run_sync(cluster.is_ready, number):
                await anyio.sleep(0.1)


async def _send_requests(cluster: stage.Cluster, stats: caller.CallerStats, seed: int) -> None:
    rng = random.Random(seed)
    addresses = [f"{proxy.HOST}:{port}" for port in cluster.caller_ports]
    rng.shuffle(addresses)
    credentials = caller.Credentials(*rng.choice(list(stage.KEYS.items())))
    client = caller.Caller(f"caller-{seed}", addresses, stats, seed, credentials)
    try:
        while True:
            if rng.random() < POST_RATIO:
                await client.send_post(stage.SERVICE, "/filings", str(rng.random()).encode())
            else:
                await client.send_get(stage.SERVICE, "/entries/7")
            await anyio.sleep(rng.uniform(*CALLER_PAUSE_S))
    finally:
        with anyio.CancelScope(shield=True):
            await client.close()


async def _wait_recovered(cluster: stage.Cluster, stats: caller.CallerStats) -> bool:
    """Return whether all entries are ready and callers are answered soon after the last fault."""
    with anyio.move_on_after(RECOVERY_TIMEOUT_S):
        await _wait_ready(cluster)
        before = stats.answered
        while stats.answered < before + 5 * CALLERS:
            await anyio.sleep(0.1)
        return True
    return False


def check_run(
    seed: int,
    cluster: stage.Cluster,
    stats: caller.CallerStats,
    injector: faults.Injector,
    recovered: bool,
) -> Verdict:
    """Check the outcomes at callers against the runs at servers.

    :param seed: the seed, for the verdict.
    :param cluster: the cluster, its processes ended.
    :param stats: the statistics of the callers.
    :param injector: the injected faults.
    :param recovered: whether callers were answered after the last fault.
    """
    runs_by_server = {name: _read_runs(cluster.journal(name)) for name in cluster.processes}
    runs = collections.Counter(
        key for server_runs in runs_by_server.values() for _, key in server_runs
    )
    verdict = Verdict(seed, stats.requests, stats.answered, stats.refused_not_run, stats.unknown)
    run_twice = [key for key, count in runs.items() if count > 1]
    false_not_run = [key for key in stats.refused_keys if runs[key]]
    drained = [
        (d.target, at)
        for d in injector.drains
        for at in _late_starts(d, runs_by_server, injector.outages)
    ]
    excess = [
        text
        for name in cluster.processes
        for text in limits.excess(
            name,
            limits.read(cluster.limit_journal(name)),
            injector.outages + injector.link_faults,
        )
    ]
    unknown_keys = stats.error_kinds["key-unknown"]
    checks = {
        f"more than a server's rate limit: {excess[:3]}": bool(excess),
        f"work at servers that drain: {drained[:3]}": bool(drained),
        f"requests that ran twice: {run_twice[:3]}": bool(run_twice),
        f"requests refused as not run that had run: {false_not_run[:3]}": bool(false_not_run),
        f"answers that were another request's: {stats.mixed_up}": stats.mixed_up > 0,
        f"keys of workspaces at servers: {stats.keys_at_servers}": stats.keys_at_servers > 0,
        f"answers under another workspace: {stats.wrong_workspaces}": stats.wrong_workspaces > 0,
        f"keys that were not known: {unknown_keys}": unknown_keys > 0,
        f"requests cut off without harm to an entry: {stats.cut_off}": stats.cut_off > 0
        and not any(name.startswith("entry") for name in injector.disrupted_targets),
        "no recovery after the last fault": not recovered,
        "nothing was answered": stats.answered == 0,
    }
    verdict.broken = [text for text, broken in checks.items() if broken]
    return verdict


def _read_runs(path: pathlib.Path) -> list[tuple[int, str]]:
    """Return the times and keys of a server's runs, without a line truncated by a kill."""
    text = path.read_text() if path.exists() else ""
    rows = (line.split() for line in text.splitlines())
    return [(int(fields[0]), fields[1]) for fields in rows if len(fields) == 2]


def _late_starts(
    drain: faults.Span, runs_by_server: dict[str, list[tuple[int, str]]], outages: list[faults.Span]
) -> list[int]:
    """Return the times at which a draining server started a request after the drain bound.

    Requests during an outage of the platform or an entry, or within the bound after it, are
    ignored: the entry may not have the change yet, or it sent the request before the change.
    """
    bound_ms = int(1_000 * faults.DRAIN_BOUND_S)
    control_outages = [h for h in outages if not h.target.startswith("server")]
    times = [
        at
        for at, _ in runs_by_server[drain.target]
        if drain.from_ms + bound_ms < at < drain.until_ms
    ]
    return [
        at
        for at in times
        if not any(h.from_ms <= at < h.until_ms + bound_ms for h in control_outages)
    ]


def run_seed(seed: int, seconds: float, keep: pathlib.Path | None = None) -> Verdict:
    """Run one seed in a new folder, which is temporary unless ``keep`` is given.

    :param seed: the seed.
    :param seconds: length of the fault schedule.
    :param keep: the parent of the folder, none for a temporary one.
    """
    if keep is not None:
        folder = keep / f"seed-{seed}"
        folder.mkdir(parents=True)
        return anyio.run(run_in_folder, seed, seconds, folder)
    with tempfile.TemporaryDirectory() as name:
        return anyio.run(run_in_folder, seed, seconds, pathlib.Path(name))
