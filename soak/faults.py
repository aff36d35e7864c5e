"""Seeded schedules of faults, which may overlap, and their injection."""

from __future__ import annotations

import dataclasses
import enum
import random
import signal

import anyio

from sassafraslock import clock
from soak import flood, proxy, stage

MEAN_GAP_S = 1.2
MAX_DURATION_S = 4.0
INITIAL_DELAY_S = 1.0
DRAIN_BOUND_S = 4.0  # no new request this long after a drain, also from entries without the store
RETRY_DELAY_S = 0.5
MAX_ATTEMPTS = 40


class Kind(enum.StrEnum):
    """A fault of a process or a connection, or a planned change of a server's state."""

    STOP = "stop"
    KILL = "kill"
    PAUSE = "pause"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one way"
    ENDLESS = "endless"
    FLOOD = "flood"
    DRAIN = "drain"


PROXY_MODES = {
    Kind.DELAY: proxy.Mode.DELAY,
    Kind.RESET: proxy.Mode.RESET,
    Kind.SILENCE: proxy.Mode.SILENCE,
    Kind.ONE_WAY: proxy.Mode.ONE_WAY,
    Kind.ENDLESS: proxy.Mode.ENDLESS,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """One fault: its start, kind, target and duration."""

    at_s: float
    kind: Kind
    target: str
    for_s: float


def draw_schedule(
    seed: int, seconds: float, processes: list[str], proxies: list[str]
) -> list[Fault]:
    """Return the faults of a seed, in the order of their start.

    :param seed: seed of the random schedule.
    :param seconds: length of the schedule; no fault starts later.
    :param processes: names of the processes that may be targets.
    :param proxies: names of the proxies whose connections may be targets.
    """
    rng = random.Random(seed)
    faults, at_s = [], INITIAL_DELAY_S
    while at_s < seconds:
        kind = rng.choice(list(Kind))
        target = rng.choice(_targets(kind, processes, proxies))
        for_s = min(seconds - at_s, rng.uniform(0.3, MAX_DURATION_S))
        faults.append(Fault(round(at_s, 2), kind, target, round(for_s, 2)))
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    return faults


def _targets(kind: Kind, processes: list[str], proxies: list[str]) -> list[str]:
    if kind in PROXY_MODES:
        return proxies
    if kind is Kind.DRAIN:
        return [name for name in processes if name.startswith("server")]
    if kind is Kind.FLOOD:
        return [name for name in processes if name.startswith("entry")]
    return processes


@dataclasses.dataclass(slots=True, frozen=True)
class Span:
    """A time interval in which a fault or a drain affected a target."""

    target: str
    from_ms: int
    until_ms: int


class Injector:
    """Injects the faults of a schedule and records their targets and times.

    ``disrupted_targets`` are the processes that were killed or paused, which may break exchanges;
    a planned stop must not. ``outages`` are the intervals in which a process did not run,
    ``link_faults`` those in which a proxy harmed connections, ``drains`` those in which an accepted
    settings change kept new requests from a server.
    """

    def __init__(self, cluster: stage.Cluster) -> None:
        self._cluster = cluster
        self.disrupted_targets: set[str] = set()
        self.outages: list[Span] = []
        self.link_faults: list[Span] = []
        self.drains: list[Span] = []
        self._draining: set[str] = set()

    async def run(self, faults: list[Fault]) -> None:
        """Inject the faults of a schedule, then restart all processes and end all faults.

        :param faults: the schedule.
        """
        async with anyio.create_task_group() as group:
            for fault in faults:
                group.start_soon(self._inject, fault)
        for process in self._cluster.processes.values():
            process.signal(signal.SIGCONT)
            process.start()
        for target_proxy in self._cluster.proxies.values():
            target_proxy.set_mode(proxy.Mode.PASS)

    async def _inject(self, fault: Fault) -> None:
        await anyio.sleep(fault.at_s)
        if fault.kind in PROXY_MODES:
            await self._harm_connections(fault)
            return
        if fault.kind is Kind.DRAIN:
            await self._drain(fault)
            return
        if fault.kind is Kind.FLOOD:
            await flood.flood(proxy.HOST, self._cluster.caller_port(fault.target), fault.for_s)
            return
        started_ms = clock.monotonic_ms()
        await self._interrupt_process(fault)
        self.outages.append(Span(fault.target, started_ms, clock.monotonic_ms()))

    async def _harm_connections(self, fault: Fault) -> None:
        started_ms = clock.monotonic_ms()
        target_proxy = self._cluster.proxies[fault.target]
        target_proxy.set_mode(PROXY_MODES[fault.kind])
        await anyio.sleep(fault.for_s)
        target_proxy.set_mode(proxy.Mode.PASS)
        self.link_faults.append(Span(fault.target, started_ms, clock.monotonic_ms()))

    async def _drain(self, fault: Fault) -> None:
        """Drain a server if an entry accepts the change, and reactivate it with retries."""
        if fault.target in self._draining:
            return
        self._draining.add(fault.target)
        if await self._set_server_state(fault.target, "draining"):
            await self._hold_drain(fault)
        self._draining.discard(fault.target)

    async def _hold_drain(self, fault: Fault) -> None:
        accepted_ms = clock.monotonic_ms()
        await anyio.sleep(DRAIN_BOUND_S + fault.for_s)
        self.drains.append(Span(fault.target, accepted_ms, clock.monotonic_ms()))
        for _ in range(MAX_ATTEMPTS):
            if await self._set_server_state(fault.target, "active"):
                return
            await anyio.sleep(RETRY_DELAY_S)

    async def _set_server_state(self, server: str, state: str) -> bool:
        number = random.randrange(stage.ENTRIES)
        return await anyio.to_thread.run_sync(self._cluster.set_state, server, state, number)

    async def _interrupt_process(self, fault: Fault) -> None:
        process = self._cluster.processes[fault.target]
        if fault.kind is Kind.PAUSE:
            self.disrupted_targets.add(fault.target)
            process.signal(signal.SIGSTOP)
            await anyio.sleep(fault.for_s)
            process.signal(signal.SIGCONT)
            return
        if fault.kind is Kind.KILL:
            self.disrupted_targets.add(fault.target)
        process.signal(signal.SIGKILL if fault.kind is Kind.KILL else signal.SIGTERM)
        while process.running:
            await anyio.sleep(0.05)
        await anyio.sleep(fault.for_s / 4)
        process.start()
