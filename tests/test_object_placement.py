"""Objects in servers' memory from a cold start on, in the model of ``make bench``."""

from __future__ import annotations

import pytest

from benchmarks import object_bound, object_rows, object_world, objects


def measures_of(kind, shape):
    simulation = kind(7, shape)
    simulation.run()
    return object_rows.measures(simulation)


@pytest.mark.parametrize("customer", [object_world.games, object_world.billing])
def test_objects_that_stay_in_memory_are_worth_more_through_trouble(customer):
    """Load: an evacuation, servers that start again and new entries, under waves of demand.

    Without holders, each of these moves objects that other servers still have in memory.
    """
    shape = customer(0.25)
    off = measures_of(object_rows.WithoutHomesByDemand, shape)
    now = measures_of(objects.Simulation, shape)
    bound = measures_of(object_bound.BoundSimulation, shape)
    assert off["value"] + 0.005 < now["value"] < bound["value"]
    assert now["worst_region"] > off["worst_region"]
    assert now["moves_per_minute"] < off["moves_per_minute"]
