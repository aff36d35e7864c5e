"""A short seeded soak of real processes, its fault schedule, and regressions of failed seeds."""

import pathlib
import tomllib

import pytest

from soak import faults, limits, run, stage

SEEDS = tomllib.loads((pathlib.Path(__file__).parent.parent / "soak" / "seeds.toml").read_text())
SECONDS = 4.0


def test_schedule_is_reproducible_and_bounded_by_its_length():
    names = ["entry-0", "server-0"], ["server-0", "entry-0-store"]
    first, second = (faults.draw_schedule(7, 30.0, *names) for _ in range(2))
    assert first == second != faults.draw_schedule(8, 30.0, *names)
    assert all(fault.at_s + fault.for_s <= 30.02 for fault in first)
    assert {
        fault.kind for seed in range(9) for fault in faults.draw_schedule(seed, 30.0, *names)
    } == set(faults.Kind)


def test_ports_are_unique():
    ports = [port for _ in range(500) for port in stage._free_ports(2)]
    assert len(set(ports)) == len(ports)


@pytest.mark.parametrize("seed", [SEEDS["short"], *(entry["seed"] for entry in SEEDS["failed"])])
def test_guarantees_hold_while_processes_and_connections_fail(seed):
    verdict = run.run_seed(seed, SECONDS)
    assert verdict.broken == []
    assert verdict.answered > 0


def arrivals(count, gap_ms, entry_id="entry-0", limit=1.0, from_ms=0):
    return [limits.Arrival(from_ms + n * gap_ms, entry_id, limit) for n in range(count)]


def test_the_check_of_rate_limits_finds_an_excess_and_knows_what_excuses_one():
    assert limits.excess("server-0", arrivals(60, 200), [])
    assert not limits.excess("server-0", arrivals(30, 400), [])
    assert not limits.excess("server-0", arrivals(60, 200, limit=None), [])
    assert not limits.excess("server-0", arrivals(19, 200), [])
    told_late = sorted(arrivals(9, 1_000) + arrivals(12, 40, "entry-1", from_ms=7_000),
                       key=lambda a: a.at_ms)  # fmt: skip
    assert not limits.excess("server-0", told_late, [])
    for target in ("entry-0", "server-0"):
        restarts = [faults.Span(target, at_ms, at_ms + 10) for at_ms in range(0, 12_000, 500)]
        assert not limits.excess("server-0", arrivals(60, 200), restarts)
