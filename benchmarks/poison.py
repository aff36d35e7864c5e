"""Requests that crash their servers, beside other crashes, at several entries, in virtual time."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import random
import typing

from sassafraslock.decisions import quarantine

SERVERS = 24
SLOTS = 3
POISON_WORK_MS = 60
WORK_MS = 300
CONFIRM_MS = 40
RESTART_MS = 3_000
ROUND_MS = 500
GOSSIP_MS = 30
GOSSIP_TARGETS = 5
MAX_ATTEMPTS = 2
STABILITY_MS = 4_000
PATHS = 400
CALLERS = 200


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """What happens: rates are sums over all entries.

    A share ``same_caller_ratio`` of each poison request comes from one caller. All servers of a
    third crash within ``wave_ms`` at ``wave_at_ms``. Entry 0 starts anew at ``restart_at_ms`` and
    hears nobody from ``cut_at_ms`` on for 10 s; negative times are never.
    """

    entries: int = 9
    poisons: int = 1
    poison_per_s: float = 10.0
    crashes_per_s: float = 0.0
    innocents_per_s: float = 120.0
    seconds: int = 30
    same_caller_ratio: float = 0.0
    wave_at_ms: int = -1
    wave_ms: int = 300
    restart_at_ms: int = -1
    cut_at_ms: int = -1
    cut_for_ms: int = 10_000


@dataclasses.dataclass(slots=True)
class Row:
    """What came of a scenario, summed over its draws.

    ``late_most`` is of one poison request, sent later than :data:`STABILITY_MS` after its third
    crash; at most three are allowed. ``quarantined`` counts innocent requests that were refused.
    """

    scenario: str
    draws: int
    crashes_mean: float
    crashes_most: int
    late_most: int
    draws_over_three: int
    servers_ended: float
    innocents: int
    quarantined: int


@dataclasses.dataclass(slots=True)
class _Run:
    entry: int
    identity: quarantine.RequestIdentity
    poison: int | None
    attempts: int


@dataclasses.dataclass(slots=True)
class _Server:
    name: str
    boot: int = 0
    is_up: bool = True
    runs: list[_Run] = dataclasses.field(default_factory=list)

    @property
    def server_id(self) -> str:
        return f"{self.name}-{self.boot}"


class World:
    """Entries with their quarantines, and servers; events happen in the order of their time."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.entries = [quarantine.Quarantine() for _ in range(scenario.entries)]
        self.servers = [_Server(f"s{n}") for n in range(SERVERS)]
        self.crashes: collections.Counter[int] = collections.Counter()
        self.third_ms: dict[int, int] = {}
        self.late: collections.Counter[int] = collections.Counter()
        self.ended = self.innocents = self.quarantined = 0
        self._events: list[tuple[int, int, typing.Callable[[], None]]] = []
        self._count = 0

    def play(self) -> None:
        """Play the whole scenario."""
        scenario = self.scenario
        for poison in range(scenario.poisons):
            self._repeat(scenario.poison_per_s / scenario.poisons, self._send_poison(poison))
        self._repeat(scenario.innocents_per_s, self._send_innocent)
        self._repeat(scenario.crashes_per_s, self._crash_any)
        for number in range(scenario.entries):
            self._after(self.rng.randrange(ROUND_MS), self._gossip_round(number))
        if scenario.wave_at_ms >= 0:
            for server in self.servers[: SERVERS // 3]:
                at_ms = scenario.wave_at_ms + self.rng.randrange(scenario.wave_ms)
                self._after(at_ms, lambda s=server: self._crash(s))  # type: ignore[misc]
        if scenario.restart_at_ms >= 0:
            self._after(scenario.restart_at_ms, self._restart_entry)
        while self._events and self._events[0][0] < scenario.seconds * 1_000:
            self.now_ms, _, happen = heapq.heappop(self._events)
            happen()

    def _after(self, delay_ms: float, happen: typing.Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + int(delay_ms), self._count, happen))

    def _repeat(self, per_s: float, happen: typing.Callable[[], None]) -> None:
        if per_s <= 0:
            return

        def once() -> None:
            happen()
            self._after(self.rng.expovariate(per_s) * 1_000, once)

        self._after(self.rng.expovariate(per_s) * 1_000, once)

    def _restart_entry(self) -> None:
        self.entries[0] = quarantine.Quarantine()

    def _is_cut(self, number: int, margin_ms: int = 0) -> bool:
        since_ms = self.now_ms - self.scenario.cut_at_ms
        until_ms = self.scenario.cut_for_ms + margin_ms
        return number == 0 and self.scenario.cut_at_ms >= 0 and 0 <= since_ms < until_ms

    def _gossip_round(self, number: int) -> typing.Callable[[], None]:
        def send() -> None:
            self._after(ROUND_MS * self.rng.uniform(0.8, 1.2), send)
            reports = self.entries[number].recent_reports(self.now_ms)
            others = [n for n in range(len(self.entries)) if n != number]
            targets = self.rng.sample(others, min(GOSSIP_TARGETS, len(others)))
            if reports and not self._is_cut(number):
                for target in targets:
                    self._after(GOSSIP_MS, lambda t=target: self._hear(t, reports))  # type: ignore

        return send

    def _hear(self, number: int, reports: list[quarantine.SuspectReport]) -> None:
        if self._is_cut(number):
            return
        for report in reports:
            self.entries[number].merge(report, self.now_ms)

    def _send_poison(self, poison: int) -> typing.Callable[[], None]:
        def send() -> None:
            is_same = self.rng.random() < self.scenario.same_caller_ratio
            caller = "same" if is_same else f"c{self.rng.randrange(CALLERS)}"
            identity = quarantine.identify("h", caller, "GET", f"/poison/{poison}", b"")
            self._arrive(_Run(self.rng.randrange(len(self.entries)), identity, poison, 0))

        return send

    def _send_innocent(self) -> None:
        path, caller = f"/{self.rng.randrange(PATHS)}", f"c{self.rng.randrange(CALLERS)}"
        identity = quarantine.identify("h", caller, "GET", path, b"")
        self.innocents += 1
        self._arrive(_Run(self.rng.randrange(len(self.entries)), identity, None, 0))

    def _arrive(self, run: _Run) -> None:
        if self.entries[run.entry].is_quarantined(run.identity, self.now_ms):
            self.quarantined += run.poison is None
            return
        free = [s for s in self.servers if s.is_up and len(s.runs) < SLOTS]
        if not free:
            return
        server = self.rng.choice(free)
        run.attempts += 1
        server.runs.append(run)
        if run.poison is None:
            boot = server.boot
            self._after(WORK_MS, lambda: self._answer(server, boot, run))
            return
        third_ms = self.third_ms.get(run.poison)
        in_touch = not self._is_cut(run.entry, STABILITY_MS) and not self._is_started(run.entry)
        if third_ms is not None and self.now_ms > third_ms + STABILITY_MS and in_touch:
            self.late[run.poison] += 1
        boot = server.boot
        self._after(POISON_WORK_MS, lambda: self._crash_by(server, boot, run.poison))

    def _is_started(self, number: int) -> bool:
        """Return whether an entry started within :data:`STABILITY_MS`."""
        since_ms = self.now_ms - self.scenario.restart_at_ms
        return number == 0 and self.scenario.restart_at_ms >= 0 and 0 <= since_ms < STABILITY_MS

    def _answer(self, server: _Server, boot: int, run: _Run) -> None:
        if server.boot != boot or run not in server.runs:
            return
        server.runs.remove(run)
        if self.entries[run.entry].size:
            self.entries[run.entry].record_answer(run.identity, self.now_ms)

    def _crash_by(self, server: _Server, boot: int, poison: int | None) -> None:
        if server.boot != boot or not server.is_up or poison is None:
            return
        self.crashes[poison] += 1
        if self.crashes[poison] == 3:
            self.third_ms[poison] = self.now_ms
        self._crash(server)

    def _crash_any(self) -> None:
        live = [s for s in self.servers if s.is_up]
        if live:
            self._crash(self.rng.choice(live))

    def _crash(self, server: _Server) -> None:
        if not server.is_up:
            return
        server_id, runs = server.server_id, server.runs
        server.is_up, server.runs = False, []
        server.boot += 1
        self.ended += 1
        self._after(RESTART_MS, lambda: setattr(server, "is_up", True))
        for run in runs:
            self._break(run, server_id)

    def _break(self, run: _Run, server_id: str) -> None:
        entry = self.entries[run.entry]
        is_suspected = entry.is_suspected(run.identity)
        entry.record_break(run.identity, server_id, self.now_ms)
        self._after(CONFIRM_MS, lambda: entry.record_crash(run.identity, server_id, self.now_ms))
        if run.attempts < MAX_ATTEMPTS and not is_suspected:
            self._arrive(run)


SCENARIOS = {
    "1 poison, 10 a second": Scenario(),
    "1 poison, 10 a second, of one caller": Scenario(same_caller_ratio=1.0),
    "4 poison, 10 a second": Scenario(poisons=4),
    "4 poison, 10 a second, 8 other crashes": Scenario(poisons=4, crashes_per_s=8.0),
    "4 poison, 20 a second, 8 other crashes": Scenario(
        poisons=4, poison_per_s=20.0, crashes_per_s=8.0
    ),
    "8 poison, 40 a second": Scenario(poisons=8, poison_per_s=40.0),
    "4 poison, 2 a second, 8 other crashes": Scenario(
        poisons=4, poison_per_s=2.0, crashes_per_s=8.0
    ),
    "2 poison, 10 a second, 1 entry": Scenario(poisons=2, entries=1),
    "2 poison, 10 a second, 60 entries": Scenario(poisons=2, entries=60),
    "1 poison, an entry starts 27 s later": Scenario(seconds=40, restart_at_ms=28_000),
    "1 poison, an entry is cut off for 10 s": Scenario(cut_at_ms=200),
    "no poison, a third of the servers crashes": Scenario(poisons=0, wave_at_ms=5_000),
    "no poison, 8 other crashes": Scenario(poisons=0, crashes_per_s=8.0),
    "1 poison as a third of the servers crashes": Scenario(wave_at_ms=500),
}
SEEDS = 20


def play(name: str, scenario: Scenario, seeds: int = SEEDS) -> Row:
    """Return what came of a scenario.

    :param name: its name.
    :param scenario: what happens.
    :param seeds: the number of draws.
    """
    worlds = [World(scenario, seed) for seed in range(seeds)]
    for world in worlds:
        world.play()
    poisons = [(w.crashes[p], w.late[p]) for w in worlds for p in range(scenario.poisons)]
    crashes = [c for c, _ in poisons] or [0]
    late = [n for _, n in poisons] or [0]
    return Row(
        name,
        seeds,
        sum(crashes) / len(crashes),
        max(crashes),
        max(late),
        sum(any(n > 3 for n in w.late.values()) for w in worlds),
        sum(w.ended for w in worlds) / seeds,
        sum(w.innocents for w in worlds),
        sum(w.quarantined for w in worlds),
    )


def measure() -> list[Row]:
    """Return each scenario."""
    return [play(name, scenario) for name, scenario in SCENARIOS.items()]
