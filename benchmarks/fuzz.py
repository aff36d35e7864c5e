"""The claims' decider under 100,000 filings with faults at every step."""

from __future__ import annotations

import dataclasses

from tests import claims_world

FILINGS = 100_000
TAKE_OVER_RATIO = 0.0001


@dataclasses.dataclass(slots=True)
class Line:
    """What the oracle counted."""

    filings: int
    dispatched: int
    ran_twice: int
    take_overs: int


def measure(seed: int = 7) -> list[Line]:
    """Return one row.

    :param seed: the seed of every choice.
    """
    world = claims_world.ClaimsWorld(seed, TAKE_OVER_RATIO)
    while len(world.attempts) < FILINGS:
        world.step()
    return [
        Line(len(world.attempts), sum(world.runs.values()), len(world.check()), world.take_overs)
    ]
