"""Seeded schedules of faults, in series and overlapping."""

from __future__ import annotations

import dataclasses
import enum
import random
import signal

import anyio

from sassafraslock import clock
from soak import flood, proxy, stage

MEAN_GAP_S = 1.2
LONGEST_S = 4.0
QUIET_START_S = 1.0
DRAIN_BOUND_S = 4.0  # "no new work after a few seconds", also for entries cut off from the store
RETRY_PAUSE_S = 0.5
MAX_TRIES = 40


class Kind(enum.StrEnum):
    """What is done to a process or a connection from outside."""

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
    """One fault: when it begins, to whom, and for how long; times in seconds."""

    at_s: float
    kind: Kind
    target: str
    for_s: float


def draw(seed: int, seconds: float, processes: list[str], proxies: list[str]) -> list[Fault]:
    """Return the faults of a seed, in the order of their beginning.

    :param seed: the seed.
    :param seconds: how long faults may last.
    :param processes: the processes that may be hit.
    :param proxies: the connections that may be hit.
    """
    source = random.Random(seed)
    faults, at_s = [], QUIET_START_S
    while at_s < seconds:
        kind = source.choice(list(Kind))
        target = source.choice(_targets(kind, processes, proxies))
        for_s = min(seconds - at_s, source.uniform(0.3, LONGEST_S))
        faults.append(Fault(round(at_s, 2), kind, target, round(for_s, 2)))
        at_s += source.expovariate(1 / MEAN_GAP_S)
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
    """The time from one moment to another of something done to a target."""

    target: str
    from_ms: int
    until_ms: int


class Injector:
    """Carries a schedule out and remembers what was done to whom.

    ``harmed`` are those hit by more than a planned stop, ``hits`` the times in which a process
    did not run, ``drains`` those in which an accepted change kept new work from a server.
    """

    def __init__(self, one: stage.Stage) -> None:
        self._stage = one
        self.harmed: set[str] = set()
        self.hits: list[Span] = []
        self.drains: list[Span] = []
        self._draining: set[str] = set()

    async def run(self, faults: list[Fault]) -> None:
        """Carry out a schedule and leave all whole at its end.

        :param faults: the faults.
        """
        async with anyio.create_task_group() as group:
            for fault in faults:
                group.start_soon(self._strike, fault)
        for process in self._stage.processes.values():
            process.signal(signal.SIGCONT)
            process.start()
        for one in self._stage.proxies.values():
            one.strike(proxy.Mode.PASS)

    async def _strike(self, fault: Fault) -> None:
        await anyio.sleep(fault.at_s)
        if fault.kind in PROXY_MODES:
            hit = self._stage.proxies[fault.target]
            hit.strike(PROXY_MODES[fault.kind])
            await anyio.sleep(fault.for_s)
            hit.strike(proxy.Mode.PASS)
            return
        if fault.kind is Kind.DRAIN:
            await self._drain(fault)
            return
        if fault.kind is Kind.FLOOD:
            await flood.flood(proxy.HOST, self._stage.caller_port(fault.target), fault.for_s)
            return
        began_ms = clock.monotonic_ms()
        await self._hit(fault)
        self.hits.append(Span(fault.target, began_ms, clock.monotonic_ms()))

    async def _drain(self, fault: Fault) -> None:
        """Drain a server, if an entry accepts it, and take it back whatever it takes."""
        if fault.target in self._draining:
            return
        self._draining.add(fault.target)
        if await self._change(fault.target, "draining"):
            await self._keep_drained(fault)
        self._draining.discard(fault.target)

    async def _keep_drained(self, fault: Fault) -> None:
        accepted_ms = clock.monotonic_ms()
        await anyio.sleep(DRAIN_BOUND_S + fault.for_s)
        self.drains.append(Span(fault.target, accepted_ms, clock.monotonic_ms()))
        for _ in range(MAX_TRIES):
            if await self._change(fault.target, "active"):
                return
            await anyio.sleep(RETRY_PAUSE_S)

    async def _change(self, server: str, state: str) -> bool:
        number = random.randrange(stage.ENTRIES)
        return await anyio.to_thread.run_sync(self._stage.set_state, server, state, number)

    async def _hit(self, fault: Fault) -> None:
        process = self._stage.processes[fault.target]
        if fault.kind is Kind.PAUSE:
            self.harmed.add(fault.target)
            process.signal(signal.SIGSTOP)
            await anyio.sleep(fault.for_s)
            process.signal(signal.SIGCONT)
            return
        if fault.kind is Kind.KILL:
            self.harmed.add(fault.target)
        process.signal(signal.SIGKILL if fault.kind is Kind.KILL else signal.SIGTERM)
        while process.running:
            await anyio.sleep(0.05)
        await anyio.sleep(fault.for_s / 4)
        process.start()
