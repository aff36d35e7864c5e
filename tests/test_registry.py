"""The registry as server rows are written, expire and are removed."""

import collections
import dataclasses

import hypothesis
import hypothesis.strategies as st
import pytest
from hypothesis import stateful

from sassafraslock.decisions import registry

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b"}
READY, DRAINING = registry.ServerState.READY, registry.ServerState.DRAINING


def report(server_id="i-1", state=READY, zone="a-1", born_ms=1, cold_ms=0, address="h:1"):
    return registry.ServerReport(server_id, "s", address, zone[0], zone, 3, state, cold_ms, born_ms)


def usable(servers):
    return {s.server_id for s in servers.usable_servers("s")}


def test_a_server_that_joins_is_cold_and_one_of_the_first_read_is_not():
    servers = registry.Registry()
    servers.apply_report(report("old"), 0, False, 3000)
    servers.apply_report(report("new"), 0, True, 3000)
    assert not servers.servers["old"].is_cold(0)
    assert servers.servers["new"].is_cold(2999) and not servers.servers["new"].is_cold(3000)


def test_a_new_start_under_the_same_id_is_cold_again():
    servers = registry.Registry()
    servers.apply_report(report(born_ms=1), 0, False, 3000)
    servers.apply_report(report(born_ms=2), 9000, True, 3000)
    assert servers.servers["i-1"].is_cold(9001)


def test_a_new_start_is_cold_for_the_time_that_its_row_tells():
    """Found in virtual time: servers were warm when the store came back, and got no requests."""
    servers = registry.Registry()
    servers.apply_report(report(born_ms=1), 0, False, 3000)
    told = dataclasses.replace(report(born_ms=2, cold_ms=700), tells_cold_time=True)
    servers.apply_report(told, 9000, True, 3000)
    assert servers.servers["i-1"].is_cold(9699) and not servers.servers["i-1"].is_cold(9700)


def test_a_row_of_an_earlier_start_does_not_make_a_server_warm():
    """A store that was restored from an older copy may have such rows."""
    servers = registry.Registry()
    servers.apply_report(report(born_ms=1), 0, False, 3000)
    servers.apply_report(report(born_ms=2), 1000, True, 3000)
    servers.apply_report(dataclasses.replace(report(), tells_cold_time=True), 2000, False, 3000)
    assert servers.servers["i-1"].is_cold(3999)


@pytest.mark.parametrize("joined", [True, False])
def test_a_new_start_in_a_full_read_and_one_at_another_place_are_cold_in_full(joined):
    """Guards against restarts that are taken as warm, or cut short, by how their row is read."""
    servers = registry.Registry()
    servers.apply_report(report(born_ms=1), 0, False, 8000)
    servers.apply_report(report(born_ms=2), 9000, joined, 8000)
    assert servers.servers["i-1"].is_cold(16_999)
    servers.apply_report(report(born_ms=2, address="h:2"), 20_000, joined, 8000)
    assert servers.servers["i-1"].is_cold(27_999)


@pytest.mark.parametrize("order", [("early", "late"), ("late", "early")])
def test_of_two_servers_at_an_address_only_the_later_start_is_used(order):
    """Found on a simulated day: 40 servers returned under new ids and got requests under both."""
    born_ms = {"early": 10, "late": 20}
    servers = registry.Registry()
    for name in order:
        servers.apply_report(report(name, born_ms=born_ms[name]), 0, False, 0)
    assert usable(servers) == {"late"}
    servers.apply_report(report("early", born_ms=10, cold_ms=5), 1, False, 0)
    assert usable(servers) == {"late"}
    servers.apply_report(report("early", born_ms=30), 2, False, 0)
    assert usable(servers) == {"early"}


def test_a_reported_cold_time_starts_when_the_row_is_read():
    servers = registry.Registry()
    servers.apply_report(report(cold_ms=1500), 100, False, 0)
    assert servers.servers["i-1"].is_cold(1599) and not servers.servers["i-1"].is_cold(1600)


def test_a_zone_is_cold_after_its_evacuation():
    servers = registry.Registry()
    servers.apply_report(report("x", zone="a-1"), 0, False, 0)
    servers.apply_report(report("y", zone="a-2"), 0, False, 0)
    servers.apply_evacuation("a-1", True, 0)
    assert usable(servers) == {"y"}
    servers.apply_evacuation("a-1", False, 1000)
    assert usable(servers) == {"x", "y"}
    assert servers.servers["x"].is_cold(1001) and not servers.servers["y"].is_cold(1001)


def test_a_row_that_expired_with_the_store_is_held_for_two_seconds_only():
    servers = registry.Registry()
    servers.apply_report(report(), 0, False, 0)
    servers.apply_removal("i-1", 100, hold_until_ms=2_300)
    assert servers.remove_expired(2_299) == [] and usable(servers) == {"i-1"}
    assert servers.remove_expired(2_300) == ["i-1"] and usable(servers) == set()


def test_a_removal_seen_after_the_stores_return_is_held_no_longer():
    """Found on a simulated day: a row removed 2.2 s after the return was held for 2.3 s more."""
    servers = registry.Registry()
    servers.apply_report(report("x"), 0, False, 0)
    servers.apply_report(report("y"), 0, False, 0)
    servers.apply_removal("x", 2_250, hold_until_ms=2_300)
    servers.apply_removal("y", 2_350, hold_until_ms=2_300)
    assert usable(servers) == {"x"}
    assert servers.remove_expired(2_300) == ["x"]


def test_a_held_row_that_is_written_again_stays():
    servers = registry.Registry()
    servers.apply_report(report(), 0, False, 0)
    servers.apply_removal("i-1", 100, hold_until_ms=2_300)
    servers.apply_report(report(), 1500, True, 3000)
    assert servers.remove_expired(9000) == [] and not servers.servers["i-1"].is_cold(1501)


class RegistryMachine(stateful.RuleBasedStateMachine):
    """Compares the registry with the last row of each server and the evacuated zones.

    Of the servers at one address, only those with the latest start are usable.
    """

    def __init__(self):
        super().__init__()
        self.servers, self.rows, self.zones, self.now_ms = registry.Registry(), {}, set(), 0

    @stateful.rule(
        server_id=st.sampled_from("xyz"),
        state=st.sampled_from([READY, DRAINING]),
        zone=st.sampled_from(sorted(REGIONS)),
        born_ms=st.integers(1, 3),
        address=st.sampled_from(["h:1", "h:2"]),
    )
    def write_row(self, server_id, state, zone, born_ms, address):
        self.now_ms += 10
        written = report(server_id, state, zone, born_ms, 0, address)
        self.rows[server_id] = written
        self.servers.apply_report(written, self.now_ms, True, 1000)

    @stateful.rule(server_id=st.sampled_from("xyz"))
    def remove(self, server_id):
        self.servers.apply_removal(server_id, self.now_ms, 0)
        self.rows.pop(server_id, None)

    @stateful.rule(zone=st.sampled_from(sorted(REGIONS)), evacuated=st.booleans())
    def set_evacuated(self, zone, evacuated):
        self.servers.apply_evacuation(zone, evacuated, self.now_ms)
        self.zones = self.zones | {zone} if evacuated else self.zones - {zone}

    @stateful.invariant()
    def only_ready_servers_of_kept_zones_are_usable(self):
        last = collections.defaultdict(int)
        for row in self.rows.values():
            last[row.address] = max(last[row.address], row.born_ms)
        expected = {
            i
            for i, r in self.rows.items()
            if r.state is READY and r.zone not in self.zones and r.born_ms == last[r.address]
        }
        assert usable(self.servers) == expected


TestRegistryMachine = hypothesis.settings(max_examples=60)(RegistryMachine).TestCase
