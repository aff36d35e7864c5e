"""Server loads as entries of a zone exchange them."""

import random

import pytest

from benchmarks import cold_restart
from sassafraslock.decisions import load_reports, load_view, registry, server_health


def build():
    servers = registry.Registry()
    for name in ("x", "y"):
        report = registry.ServerReport(
            name, "s", f"h:{name}", "a", "a-1", 3, registry.ServerState.READY
        )
        servers.apply_report(report, 0, False, 0)
    health = {name: server_health.ServerHealth() for name in servers.servers}
    view = load_view.LoadView(servers, lambda server: health[server.server_id])
    return view, servers.servers, health


def load(built, name, now_ms):
    view, servers, health = built
    return view.load(servers[name], health[name], now_ms)


def test_a_load_reported_to_one_entry_reaches_another_with_its_age():
    one, other = build(), build()
    one[0].record(one[1]["x"], 7, 1_000)
    reports = one[0].recent_reports(1_400)
    assert [(r.load, r.age_ms) for r in reports] == [(7, 400)]
    other[0].merge_reports(reports, 5_000)
    assert other[2]["x"].others_load_at_ms == 4_600
    assert load(other, "x", 4_600) == 7


def test_an_older_load_does_not_replace_a_newer_one():
    view, servers, health = built = build()
    start_hash = registry.start_hash(servers["x"])
    view.record(servers["x"], 1, 1_000)
    view.merge_reports([load_reports.LoadReport(start_hash, 9, 500)], 1_100)
    assert load(built, "x", 1_100) < 2
    # A negative age counts as 0, so that no load is from the future.
    view.merge_reports([load_reports.LoadReport(start_hash, 9, -800)], 1_200)
    assert health["x"].others_load_at_ms == 1_200


def test_loads_of_unknown_servers_are_ignored():
    view, _, _ = build()
    view.merge_reports([load_reports.LoadReport(12345, 9, 0)], 100)
    assert view.recent_reports(100) == []


def test_own_requests_are_not_counted_twice():
    view, servers, health = built = build()
    health["x"].in_flight = 2
    view.record(servers["x"], 3, 1_000)
    assert load(built, "x", 1_000) == 3


def test_a_server_without_recent_reports_is_assumed_to_have_the_mean_load():
    built = build()
    for number in range(20):
        built[0].record(built[1]["x"], 9, 10 * number)
    assert load(built, "y", 200) == pytest.approx(9, rel=0.1)
    assert load(built, "y", 60_000) < 0.1


def test_old_loads_are_not_sent_and_a_message_holds_the_newest():
    reports = load_reports.LoadReports()
    for number in range(2 * load_reports.MAX_REPORTS):
        reports.record(number, 1, 1_000 + number)
    sent = reports.recent(1_000 + 2 * load_reports.MAX_REPORTS)
    assert len(sent) == load_reports.MAX_REPORTS
    assert min(r.start_hash for r in sent) == load_reports.MAX_REPORTS
    assert reports.recent(10_000) == []


class GossipSimulation(cold_restart.Simulation):
    """Entries that send their known loads to some others of their zone, twice a second."""

    ZONE_ENTRIES, TARGETS, ROUND_MS = 12, 3, 500

    def __init__(self, seed, shape):
        super().__init__(seed, shape)
        self.next_ms = self.ROUND_MS
        self.chance = random.Random(seed)

    def arrive(self, now_ms):
        while now_ms >= self.next_ms:
            self._exchange_loads(self.next_ms)
            self.next_ms += self.ROUND_MS
        super().arrive(now_ms)

    def _exchange_loads(self, now_ms):
        for number, placer in enumerate(self.placers):
            first = number - number % self.ZONE_ENTRIES
            peers = [*self.placers[first : first + self.ZONE_ENTRIES]]
            peers.remove(placer)
            sent = placer.loads.recent_reports(now_ms)
            for peer in self.chance.sample(peers, self.TARGETS):
                peer.loads.merge_reports(sent, now_ms)


def test_entries_that_seldom_use_a_busy_server_avoid_it_in_time():
    """Pattern: hot servers. Each is home to few objects, so that some have twice the mean load.

    An entry gets an answer from a given server once in seven seconds here, so it knows the load
    from answers to other entries.
    """
    simulation = GossipSimulation(5, cold_restart.FEW_SLOW_OBJECTS)
    simulation.run()
    steady = simulation.rows()[-1]
    assert steady.in_target_ratio > 0.9
    assert steady.failed_ratio < 0.02


# Guards against a new start that gets requests by the load that peers tell of the old one.
def test_the_load_of_a_start_that_may_have_ended_is_forgotten():
    view, servers, _ = built = build()
    view.record(servers["x"], 9, 1_000)
    typical = load(built, "y", 1_100)
    view.forget_start(servers["x"], 1_100)
    assert not view.recent_reports(1_100)
    view.merge_reports([load_reports.LoadReport(registry.start_hash(servers["x"]), 9, 200)], 1_110)
    assert load(built, "x", 1_110) == pytest.approx(typical, rel=0.02)
    view.merge_reports([load_reports.LoadReport(registry.start_hash(servers["x"]), 1, 0)], 1_200)
    assert load(built, "x", 1_200) == 1
