"""Regions of different size under a wave of demand and an evacuation, on virtual time."""

from benchmarks import regions


class WithoutSharing(regions.Simulation):
    """Entries that share server loads, but not which servers have handled which objects."""

    def share_objects(self, entry, now_ms):
        pass


def test_sightings_of_other_entries_help_in_a_partial_outage():
    """Pattern: partial outage, in which objects move to other servers and back.

    An entry that knows only its own sightings takes every second server of an object for one that
    has to load it, and queues at the busy one.
    """
    for seed in (1, 2):
        shared, alone = regions.Simulation(seed), WithoutSharing(seed)
        shared.run()
        alone.run()
        assert shared.credit() > alone.credit()
        assert shared.worst_region() > alone.worst_region()


def test_most_requests_are_in_target_once_servers_know_their_objects():
    simulation = regions.Simulation(3)
    simulation.run()
    steady = [row for row in simulation.rows() if row.from_s == 30]
    assert all(row.in_target_ratio > 0.85 for row in steady)
    assert all(row.refused_ratio < 0.02 for row in steady)
