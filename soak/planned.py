"""Runs one seed of planned work: entries of the firm's platform under a load that counts."""

from __future__ import annotations

import collections
import dataclasses
import pathlib

import anyio

from sassafraslock import clock
from soak import faults, fleet, planned_steps, planned_work, platform_client

READY_TIMEOUT_S = 30.0
RECOVERY_TIMEOUT_S = 15.0
MIN_PAUSE_S = 0.02
LAG_CHECK_S = 0.02
LAG_MS = 50


@dataclasses.dataclass(slots=True)
class Options:
    """The size of a run.

    ``groups`` above 1 start the entries in groups that do not know of each other, since the store
    does not show them and seeds are of the own group. ``deadline_s`` is the time limit of
    clients and routes; ``unsafe_work_s`` replaces the servers' work on unsafe requests, unless it
    is 0.
    """

    seconds: float = 20.0
    clients: int = 40
    entries_per_zone: int = 2
    pause_s: float = 0.3
    groups: int = 1
    deadline_s: float = platform_client.DEADLINE_S
    unsafe_work_s: float = 0.0
    kinds: list[planned_steps.Kind] = dataclasses.field(
        default_factory=lambda: [
            kind for kind in planned_steps.Kind if kind not in planned_steps.NAMED_KINDS
        ]
    )
    code: pathlib.Path = fleet.ROOT


@dataclasses.dataclass(slots=True)
class Verdict:
    """The result of a seed; ``retries`` holds the fullest window of each service.

    ``lag_ms`` is the longest time for which the clients' own process did not run.
    """

    seed: int
    ends: dict[str, int]
    retries: list[str]
    signals: dict[str, int]
    exit_codes: dict[int, int]
    lag_ms: int
    broken: list[str]


class Run:
    """One seed: its fleet, its clients and what is noted while they run."""

    def __init__(self, seed: int, options: Options, folder: pathlib.Path) -> None:
        self._seed = seed
        self._options = options
        self._folder = folder
        self._fleet = fleet.Fleet(folder, seed, options.entries_per_zone, options.code)
        self._fleet.groups = options.groups
        self._fleet.timeout_s = options.deadline_s
        for server in self._fleet.servers.values():
            server.unsafe_work_s = options.unsafe_work_s
        if options.groups > 1:
            self._fleet.store.faults.denied_table = planned_steps.REGISTRATIONS
        self._clients = [self._client(number) for number in range(options.clients)]
        self._lags: list[faults.Span] = []

    def _client(self, number: int) -> platform_client.PlatformClient:
        zone = list(fleet.ZONES)[number % len(fleet.ZONES)]
        directories = [f"{entry.ip}:{fleet.DIRECTORY}" for entry in self._fleet.entries]
        place = (zone, fleet.ZONES[zone])
        client = platform_client.PlatformClient(self._seed * 1_000 + number, place, directories)
        client.pause_s = (min(MIN_PAUSE_S, self._options.pause_s), self._options.pause_s)
        client.impatient, client.keeps_sending = number % 3 == 0, number % 5 == 0
        client.reads_late = number % 7 == 0
        client.deadline_s = self._options.deadline_s
        return client

    async def run(self) -> Verdict:
        """Start everything, carry out the schedule and check what was seen."""
        options, entries = self._options, self._fleet.entries
        steps = planned_steps.draw_schedule(
            self._seed, options.seconds, options.kinds, len(entries)
        )
        (self._folder / "schedule.txt").write_text("".join(f"{step}\n" for step in steps))
        started_ms = clock.monotonic_ms()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._note_lags)
                await self._fleet.run_store_and_servers(group)
                for entry in entries:
                    group.start_soon(self._fleet.run_entry, entry)
                if not await self._become_ready(READY_TIMEOUT_S):
                    raise TimeoutError(f"no readiness within {READY_TIMEOUT_S} s")
                started_ms = clock.monotonic_ms()
                for client in self._clients:
                    group.start_soon(client.run)
                await planned_steps.Injector(self._fleet, self._clients, self._seed).run(steps)
                recovered = await self._recover()
                group.cancel_scope.cancel()
        finally:
            self._fleet.kill_all()
        return self._check(started_ms, recovered)

    async def _note_lags(self) -> None:
        while True:
            before_ms = clock.monotonic_ms()
            await anyio.sleep(LAG_CHECK_S)
            now_ms = clock.monotonic_ms()
            if now_ms - before_ms > LAG_MS:
                self._lags.append(faults.Span("clients", before_ms, now_ms))

    async def _become_ready(self, timeout_s: float) -> bool:
        with anyio.move_on_after(timeout_s):
            for entry in self._fleet.entries:
                while await entry.readiness() != 200:
                    await anyio.sleep(0.1)
            return True
        return False

    async def _recover(self) -> bool:
        """Return whether all entries are ready and requests are answered soon after the end."""
        if not await self._become_ready(RECOVERY_TIMEOUT_S):
            return False
        before = self._answered()
        with anyio.move_on_after(RECOVERY_TIMEOUT_S):
            while self._answered() < before + 5 * len(self._clients):
                await anyio.sleep(0.1)
            return True
        return False

    def _answered(self) -> int:
        attempts = [a for client in self._clients for a in client.attempts]
        return sum(a.end is platform_client.End.ANSWERED for a in attempts)

    def _check(self, started_ms: int, recovered: bool) -> Verdict:
        entries = self._fleet.entries
        evidence = planned_work.Evidence(
            [a for client in self._clients for a in client.attempts],
            [a for server in self._fleet.servers.values() for a in server.arrivals],
            [span for entry in entries for span in entry.harmed],
            [s for entry in entries for s in entry.signals],
            [e for entry in entries for e in entry.exits],
            self._lags,
            [s for entry in entries for s in entry.overran],
            recovered,
            int(1_000 * self._options.deadline_s),
        )
        self._write_findings(evidence, started_ms)
        windows = [
            planned_work.fullest_window(s, evidence.arrivals, evidence.attempts)
            for s in fleet.SERVICES
        ]
        return Verdict(
            self._seed,
            dict(collections.Counter(str(a.end) for a in evidence.attempts if a.ended_ms)),
            [
                f"{w.service}: {w.retries} of {w.allowed:.0f} = {w.used_ratio:.2f}"
                f" at {(w.until_ms - started_ms) / 1_000:.1f} s"
                for w in windows
                if w.retries
            ],
            dict(collections.Counter(s.number.name for s in evidence.signals)),
            dict(collections.Counter(e.code for e in evidence.exits)),
            max((lag.until_ms - lag.from_ms for lag in self._lags), default=0),
            evidence.broken(),
        )

    def _write_findings(self, evidence: planned_work.Evidence, started_ms: int) -> None:
        """Write each lost or overdue request, its arrivals and the signals of its entry."""
        lines = []
        for attempt in [*evidence.lost(), *evidence.overdue()]:
            near = [
                f"{s.number.name} {attempt.ended_ms - s.at_ms} ms before"
                for s in evidence.signals
                if s.entry_ip == attempt.entry_ip and 0 <= attempt.ended_ms - s.at_ms < 8_000
            ]
            arrivals = evidence.arrivals_by_id.get(attempt.request_id, [])
            lines.append(f"{attempt.sent_ms - started_ms} ms: {attempt} {arrivals} {near[-4:]}\n")
        for exited in evidence.exits:
            if not exited.is_expected:
                lines.append(f"{exited.at_ms - started_ms} ms: {exited}\n")
        lines += [f"{stop.at_ms - started_ms} ms: overran: {stop}\n" for stop in evidence.overran]
        (self._folder / "findings.txt").write_text("".join(lines))


def run_seed(seed: int, options: Options, keep: pathlib.Path) -> Verdict:
    """Run one seed in a new folder, which keeps logs, schedule and findings.

    :param seed: the seed of the schedule, the clients and the servers.
    :param options: the size of the run.
    :param keep: the parent of the folder.
    """
    folder = keep.resolve() / f"planned-{seed}"
    folder.mkdir(parents=True)
    return anyio.run(Run(seed, options, folder).run)
