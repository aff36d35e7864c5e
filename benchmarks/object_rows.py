"""Rows of :mod:`benchmarks.objects`: the bound, the code, and each mechanism switched off."""

from __future__ import annotations

import collections
import dataclasses
import math
import statistics
import typing

from benchmarks import object_bound, object_servers, object_world, objects

SEEDS = (1, 2, 3, 4)
SCALE = 0.5
EXTREMES = 10  # objects that count as the most and the least wanted


class WithoutHomesByDemand(objects.Simulation):
    """The setting ``object_homes_by_demand`` is off: the code before this mechanism."""

    def make_entry(self, entry_id: str, zone: str) -> object_world.Entry:
        """Return an entry that follows plans and rendezvous order alone.

        :param entry_id: its id.
        :param zone: its zone.
        """
        return object_world.Entry(entry_id, zone, self.view, self.shape, by_demand=False)


class WithoutNewcomers(objects.Simulation):
    """Entries that start learn of objects by renewals alone."""

    def make_entry(self, entry_id: str, zone: str) -> object_world.Entry:
        """Return an entry that tells newcomers nothing.

        :param entry_id: its id.
        :param zone: its zone.
        """
        entry = super().make_entry(entry_id, zone)
        entry.newcomers = None
        return entry


CUSTOMERS = {"games": object_world.games, "billing": object_world.billing}
CODES: dict[str, type[objects.Simulation]] = {
    "perfect knowledge": object_bound.BoundSimulation,
    "setting off": WithoutHomesByDemand,
    "all mechanisms": objects.Simulation,
    "without newcomers": WithoutNewcomers,
}


@dataclasses.dataclass(slots=True)
class Row:
    """Means over seeds; ``error`` is the standard error of ``value``.

    ``gain`` is the mean difference in value from the row with the setting off on the same seeds,
    with its standard error. ``largest_shift`` is the largest share of a region's requests that
    changed region from one window to the next, after the first two windows.
    """

    customer: str
    code: str
    value: float
    error: float
    gain: float
    gain_error: float
    warm_runs: float
    busiest_over_mean: float
    most_wanted_on_time: float
    least_wanted_on_time: float
    worst_region: float
    moves_per_minute: float
    largest_shift: float
    second_1: float
    second_2: float
    second_3: float
    second_4: float
    second_5: float
    second_6: float


def measure() -> list[Row]:
    """Return the rows of both customers."""
    rows: list[Row] = []
    for customer, shape in CUSTOMERS.items():
        runs = {code: _runs(kind, shape(SCALE)) for code, kind in CODES.items()}
        base = [run["value"] for run in runs["setting off"]]
        rows += [_row(customer, code, run, base) for code, run in runs.items()]
    return rows


def _runs(kind: type[objects.Simulation], shape: object_world.Shape) -> list[dict[str, float]]:
    found = []
    for seed in SEEDS:
        simulation = kind(seed, shape)
        simulation.run()
        found.append(measures(simulation))
    return found


def _row(customer: str, code: str, runs: list[dict[str, float]], base: list[float]) -> Row:
    gains = [run["value"] - value for run, value in zip(runs, base, strict=True)]
    means = {name: statistics.mean(run[name] for run in runs) for name in runs[0]}
    return Row(
        customer,
        code,
        error=_error([run["value"] for run in runs]),
        gain=statistics.mean(gains),
        gain_error=_error(gains),
        **means,
    )


def _error(values: list[float]) -> float:
    return statistics.stdev(values) / math.sqrt(len(values))


def measures(simulation: objects.Simulation) -> dict[str, float]:
    """Return the measures of one run by the names of :class:`Row`.

    :param simulation: the run, which has ended.
    """
    outcomes = simulation.outcomes
    by_second: dict[int, list[float]] = collections.defaultdict(list)
    by_region: dict[str, list[float]] = collections.defaultdict(list)
    for outcome in outcomes:
        by_second[int(outcome.request.first_ms // 1_000)].append(outcome.value)
        by_region[outcome.request.zone.partition("-")[0]].append(outcome.value)
    most, least = _extremes(outcomes)
    found = {
        "value": statistics.mean(o.value for o in outcomes),
        "warm_runs": simulation.runs[True] / simulation.runs.total(),
        "busiest_over_mean": _busiest(simulation),
        "most_wanted_on_time": most,
        "least_wanted_on_time": least,
        "worst_region": min(statistics.mean(values) for values in by_region.values()),
        "moves_per_minute": simulation.moves * 60 / simulation.shape.seconds,
        "largest_shift": max(shifts(simulation)),
    }
    seconds = {f"second_{n + 1}": statistics.mean(by_second[n]) for n in range(6)}
    return {**found, **seconds}


def _extremes(outcomes: typing.Sequence[object_servers.Outcome]) -> tuple[float, float]:
    """Return the share on time of the most and of the least wanted objects."""
    by_key: dict[str, list[bool]] = collections.defaultdict(list)
    for outcome in outcomes:
        by_key[outcome.request.key].append(outcome.value == 1.0)
    ranked = sorted(by_key.values(), key=len)
    least = [on_time for found in ranked[:EXTREMES] for on_time in found]
    most = [on_time for found in ranked[-EXTREMES:] for on_time in found]
    return statistics.mean(most), statistics.mean(least)


def _busiest(simulation: objects.Simulation) -> float:
    """Return the requests of the busiest server over the mean, at the service where it is most."""
    served: dict[str, list[int]] = collections.defaultdict(list)
    for name, server in simulation.servers.items():
        served[name.rsplit("-", 2)[0]].append(server.served)
    return max(max(counts) / statistics.mean(counts) for counts in served.values())


def shifts(simulation: objects.Simulation) -> list[float]:
    """Return the share of a region's requests that changed region, by region and window.

    :param simulation: the run, which has ended.
    """
    windows = simulation.shape.seconds * 1_000 // objects.SHIFT_WINDOW_MS
    return [
        _shift(counts, window)
        for counts in simulation.regions.values()
        for window in range(2, windows)
    ]


def _shift(counts: collections.Counter[tuple[int, str]], window: int) -> float:
    before, after = (_shares(counts, w) for w in (window - 1, window))
    return sum(max(0.0, after[r] - before[r]) for r in object_world.REGIONS)


def _shares(counts: collections.Counter[tuple[int, str]], window: int) -> dict[str, float]:
    total = sum(counts[window, r] for r in object_world.REGIONS)
    return {r: counts[window, r] / max(1, total) for r in object_world.REGIONS}
