"""Seeded schedules of faults, in series and overlapping."""

from __future__ import annotations

import dataclasses
import enum
import random
import signal

import anyio

from soak import proxy, stage

MEAN_GAP_S = 1.2
LONGEST_S = 4.0
QUIET_START_S = 1.0


class Kind(enum.StrEnum):
    """What is done to a process or a connection from outside."""

    STOP = "stop"
    KILL = "kill"
    PAUSE = "pause"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one way"


PROXY_MODES = {
    Kind.DELAY: proxy.Mode.DELAY,
    Kind.RESET: proxy.Mode.RESET,
    Kind.SILENCE: proxy.Mode.SILENCE,
    Kind.ONE_WAY: proxy.Mode.ONE_WAY,
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
        target = source.choice(proxies if kind in PROXY_MODES else processes)
        for_s = min(seconds - at_s, source.uniform(0.3, LONGEST_S))
        faults.append(Fault(round(at_s, 2), kind, target, round(for_s, 2)))
        at_s += source.expovariate(1 / MEAN_GAP_S)
    return faults


class Injector:
    """Carries a schedule out and remembers which entries were hit by more than a planned stop."""

    def __init__(self, one: stage.Stage) -> None:
        self._stage = one
        self.harmed: set[str] = set()

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
