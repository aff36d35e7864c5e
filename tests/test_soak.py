"""A short seeded soak of real processes, its fault schedule, and regressions of failed seeds."""

import pathlib
import tomllib

import pytest

from soak import faults, run, stage

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
