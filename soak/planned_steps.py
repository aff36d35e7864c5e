"""Seeded schedules of planned work and faults around it, in series and overlaps."""

from __future__ import annotations

import dataclasses
import enum
import itertools
import random
import signal

import anyio

from soak import fleet, platform_client, platform_server

MEAN_GAP_S = 1.5
INITIAL_DELAY_S = 1.0
MIN_S, MAX_S = 0.5, 5.0
STOP_GAPS_S = (0.0, 0.2, 0.7, 2.0)
MAX_STOPPED_RATIO = 2 / 3  # of the entries, at once
DAMAGE_S = 0.4
BREAK_GAP_S = 0.3
SLOW_WORK_S = (0.5, 3.0)
BIG_ROUTES = (200, 4_000)
BIG_GAP_S = 1.0
CHANGE_GAP_S = 0.5
TIME_LIMITS_S = (0.5, 1.0, 4.0, 15.0)  # of idle connections and of the heads of requests
TARGETS_S = (0.05, 0.3, 1.0)
LEAVE_S = 3.5  # from the word that a server leaves to its end
BURST_RATIO = 0.1  # of the usual pause of a client
REGISTRATIONS = "sassafraslock"  # the store's table of entries


class Kind(enum.StrEnum):
    """Planned work, or a fault beside it."""

    STOP = "stops"
    STOP_AGAIN = "SIGTERMs and SIGINTs all through a stop and a start"
    HANGUPS_IN_STOP = "SIGHUPs all through a stop and a start"
    HANGUPS = "SIGHUPs"
    SETTINGS = "damaged settings"
    BIG = "big configurations"
    KILL = "kill"
    PAUSE = "pause"
    SERVER_PAUSE = "pause of servers"
    SERVER_BREAK = "broken connections"
    SHED = "rejections"
    SLOW = "slow answers"
    STORE_ERRORS = "store answers 503"
    STORE_SILENT = "store is silent"
    STORE_PART = "store withholds entries' registrations"
    APART = "restart without knowing each other"
    BURST = "burst"
    CHANGES = "changes of time limits and target latencies"
    LEAVE = "servers that leave"


# Played only if named, so that earlier seeds keep their schedules.
NAMED_KINDS = (Kind.CHANGES, Kind.LEAVE)

# The signals that are repeated, and the time between them.
SIGNALS = {
    Kind.STOP_AGAIN: ((signal.SIGTERM, signal.SIGINT), 0.5),
    Kind.HANGUPS_IN_STOP: ((signal.SIGHUP,), 0.02),
    Kind.HANGUPS: ((signal.SIGHUP,), 0.05),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """One kind of work or fault: its start, length, the number of its targets and a ratio."""

    at_s: float
    kind: Kind
    for_s: float
    count: int
    ratio: float


def draw_schedule(seed: int, seconds: float, kinds: list[Kind], entries: int) -> list[Step]:
    """Return the steps of a seed, in the order of their start.

    :param seed: seed of the schedule.
    :param seconds: length of the schedule; no step starts later.
    :param kinds: the kinds to draw from.
    :param entries: the number of entries.
    """
    rng = random.Random(seed)
    steps, at_s = [], INITIAL_DELAY_S
    while at_s < seconds:
        for_s, ratio = round(rng.uniform(MIN_S, MAX_S), 2), round(rng.uniform(0.3, 1.0), 2)
        count = rng.choice([1, 2, max(1, entries // 2), entries])
        steps.append(Step(round(at_s, 2), rng.choice(kinds), for_s, count, ratio))
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    return steps


class Injector:
    """Carries out the steps of a schedule on a fleet and its clients."""

    def __init__(
        self, stage: fleet.Fleet, clients: list[platform_client.PlatformClient], seed: int
    ) -> None:
        self._fleet = stage
        self._clients = clients
        self._pause_s = clients[0].pause_s
        self._rng = random.Random(seed)

    async def run(self, steps: list[Step]) -> None:
        """Carry out all steps of a schedule, until all faults have ended.

        :param steps: the schedule.
        """
        async with anyio.create_task_group() as group:
            for step in steps:
                group.start_soon(self._carry_out, step)

    async def _carry_out(self, step: Step) -> None:
        await anyio.sleep(step.at_s)
        if step.kind in SIGNALS:
            await self._signal(step)
            return
        action = getattr(self, f"_{step.kind.name.lower()}", self._hold)
        with anyio.CancelScope() as scope:
            if action in (self._settings, self._big, self._server_break, self._changes):
                scope.deadline = anyio.current_time() + step.for_s
            await action(step)

    def _entries(self, step: Step) -> list[fleet.EntryProcess]:
        return self._rng.sample(self._fleet.entries, step.count)

    async def _hold(self, step: Step) -> None:
        """Set an attribute for a time, then set it back; steps may overlap."""
        servers = list(self._fleet.servers.values())
        some = self._rng.sample(servers, min(step.count, len(servers)))
        service = self._rng.choice(list(fleet.SERVICES))
        burst_s = (0.0, BURST_RATIO * self._pause_s[1])
        store = [self._fleet.store.faults]
        targets, name, value, usual = {
            Kind.SHED: ([s for s in servers if s.service == service], "shed_ratio", step.ratio, 0),
            Kind.SLOW: (some, "work_s", SLOW_WORK_S, platform_server.WORK_S),
            Kind.SERVER_PAUSE: (some, "paused", True, False),
            Kind.STORE_ERRORS: (store, "status", 503, 0),
            Kind.STORE_SILENT: (store, "silent", True, False),
            Kind.STORE_PART: (store, "denied_table", REGISTRATIONS, ""),
            Kind.BURST: (self._clients, "pause_s", burst_s, self._pause_s),
        }[step.kind]
        for now in (value, usual):
            for target in targets:
                setattr(target, name, now)
            await anyio.sleep(step.for_s if now == value else 0)

    async def _stop(self, step: Step) -> None:
        gap_s = self._rng.choice(STOP_GAPS_S)
        most = int(MAX_STOPPED_RATIO * len(self._fleet.entries))
        async with anyio.create_task_group() as group:
            for entry in self._entries(step)[: None if gap_s else most]:
                if entry.is_calm:
                    group.start_soon(entry.stop)
                await anyio.sleep(gap_s)

    async def _signal(self, step: Step) -> None:
        """Send a series of signals, to calm entries or all through their stops and starts."""
        planned = step.kind is not Kind.HANGUPS
        entries = self._entries(step)[:2] if planned else self._fleet.entries
        numbers, gap_s = SIGNALS[step.kind]
        async with anyio.create_task_group() as group:
            for entry in entries:
                if planned and entry.takes_signals:
                    group.start_soon(entry.stop)
            with anyio.move_on_after(fleet.GRACE_S if planned else step.for_s):
                for number, entry in itertools.cycle(itertools.product(numbers, entries)):
                    if entry.takes_signals if planned else entry.is_calm:
                        self._fleet.write_settings(entry)
                        entry.signal(number)
                    await anyio.sleep(gap_s)

    async def _settings(self, step: Step) -> None:
        """Damage settings that are in force; the platform writes them anew before a start."""
        while True:
            for entry in self._entries(step):
                if entry.is_calm:
                    await self._damage(entry, self._rng.choice(list(fleet.Writing)))
            await anyio.sleep(DAMAGE_S)

    async def _damage(self, entry: fleet.EntryProcess, how: fleet.Writing) -> None:
        self._fleet.write_settings(entry, how)
        entry.signal(signal.SIGHUP)
        try:
            await anyio.sleep(self._rng.uniform(0, DAMAGE_S))
        finally:
            self._fleet.write_settings(entry)
        entry.signal(signal.SIGHUP)

    async def _big(self, step: Step) -> None:
        while True:
            self._fleet.put_intents(self._rng.randint(*BIG_ROUTES))
            await anyio.sleep(BIG_GAP_S)

    async def _changes(self, step: Step) -> None:
        try:
            while True:
                change = fleet.Change(
                    self._rng.choice(TIME_LIMITS_S),
                    self._rng.choice(TIME_LIMITS_S),
                    self._rng.choice(TARGETS_S),
                )
                self._fleet.put_intents(change=change)
                await anyio.sleep(CHANGE_GAP_S)
        finally:
            self._fleet.put_intents()

    async def _leave(self, step: Step) -> None:
        """Let servers drain, end, and start again under a new id."""
        servers = list(self._fleet.servers.values())
        leaving = self._rng.sample(servers, min(step.count, len(servers) // 2))
        for server in leaving:
            self._fleet.put_server(server, "draining")
        await anyio.sleep(LEAVE_S)
        for server in leaving:
            self._fleet.replace_server(server)

    async def _kill(self, step: Step) -> None:
        for entry in self._entries(step):
            entry.harm(signal.SIGKILL, fleet.START_DELAY_S)

    async def _pause(self, step: Step) -> None:
        entries = [entry for entry in self._entries(step) if entry.running]
        for entry in entries:
            entry.harm(signal.SIGSTOP, step.for_s)
        await anyio.sleep(step.for_s)
        for entry in entries:
            entry.signal(signal.SIGCONT)

    async def _server_break(self, step: Step) -> None:
        while True:
            self._rng.choice(list(self._fleet.servers.values())).break_connections()
            await anyio.sleep(BREAK_GAP_S)

    async def _apart(self, step: Step) -> None:
        """Restart entries whose seeds are gone and which the store does not show each other."""
        self._fleet.store.faults.denied_table = REGISTRATIONS
        self._fleet.groups = len(self._fleet.entries)
        await self._stop(step)
        await anyio.sleep(2 * step.for_s)
        self._fleet.groups = 1
        self._fleet.store.faults.denied_table = ""
