"""A short seeded soak of real processes, the schedule of faults, and seeds that failed once."""

import pathlib
import tomllib

import pytest

from soak import faults, run, stage

SEEDS = tomllib.loads((pathlib.Path(__file__).parent.parent / "soak" / "seeds.toml").read_text())
SECONDS = 4.0


def test_a_seed_draws_the_same_faults_each_time_within_its_time():
    names = ["entry-0", "server-0"], ["server-0", "entry-0-store"]
    one, other = (faults.draw(7, 30.0, *names) for _ in range(2))
    assert one == other != faults.draw(8, 30.0, *names)
    assert all(fault.at_s + fault.for_s <= 30.02 for fault in one)
    assert {fault.kind for seed in range(9) for fault in faults.draw(seed, 30.0, *names)} == set(
        faults.Kind
    )


def test_no_port_is_given_twice():
    ports = [port for _ in range(500) for port in stage._free_ports(2)]
    assert len(set(ports)) == len(ports)


@pytest.mark.parametrize("seed", [SEEDS["short"], *(entry["seed"] for entry in SEEDS["failed"])])
def test_the_promises_hold_while_processes_and_connections_fail(seed):
    verdict = run.play_seed(seed, SECONDS)
    assert verdict.broken == []
    assert verdict.answered > 0
