"""Servers' loads as entries of a region tell them to each other."""

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
        servers.note_report(report, 0, False, 0)
    health = {name: server_health.ServerHealth() for name in servers.servers}
    view = load_view.LoadView(servers, lambda server: health[server.server_id])
    return view, servers.servers, health


def load(built, name, now_ms):
    view, servers, health = built
    return view.load(servers[name], health[name], now_ms)


def test_a_load_told_to_one_entry_is_known_to_another_with_its_age():
    one, other = build(), build()
    one[0].note(one[1]["x"], server_health.ReportedLoad(3, 4, 3), 1_000)
    reports = one[0].reported_loads(1_400)
    assert [(r.load, r.age_ms) for r in reports] == [(7, 400)]
    other[0].merge_loads(reports, 5_000)
    assert other[2]["x"].others_at_ms == 4_600
    assert load(other, "x", 4_600) == 7


def test_an_older_load_does_not_replace_a_newer_one():
    view, servers, health = built = build()
    mark = load_reports.mark_of(registry.start_name(servers["x"]))
    view.note(servers["x"], server_health.ReportedLoad(1, 0, 3), 1_000)
    view.merge_loads([load_reports.LoadReport(mark, 9, 500)], 1_100)
    assert load(built, "x", 1_100) < 2
    view.merge_loads([load_reports.LoadReport(mark, 9, -800)], 1_200)  # not from the future
    assert health["x"].others_at_ms == 1_200


def test_loads_of_servers_that_are_not_known_are_left_out():
    view, _, _ = build()
    view.merge_loads([load_reports.LoadReport(12345, 9, 0)], 100)
    assert view.reported_loads(100) == []


def test_the_own_requests_are_not_counted_twice():
    view, servers, health = built = build()
    health["x"].in_flight = 2
    view.note(servers["x"], server_health.ReportedLoad(3, 0, 3), 1_000)
    assert load(built, "x", 1_000) == 3


def test_a_server_not_heard_of_lately_is_taken_for_as_busy_as_the_others():
    built = build()
    for number in range(20):
        built[0].note(built[1]["x"], server_health.ReportedLoad(3, 6, 3), 10 * number)
    assert load(built, "y", 200) == pytest.approx(9, rel=0.1)
    assert load(built, "y", 60_000) < 0.1


def test_old_loads_are_not_told_and_a_message_holds_the_newest():
    reports = load_reports.LoadReports()
    for number in range(2 * load_reports.MAX_TOLD):
        reports.note(number, 1, 1_000 + number)
    told = reports.told(1_000 + 2 * load_reports.MAX_TOLD)
    assert len(told) == load_reports.MAX_TOLD
    assert min(r.mark for r in told) == load_reports.MAX_TOLD
    assert reports.told(10_000) == []


class Gossiping(cold_restart.Simulation):
    """Entries that tell some others of their zone what they heard of loads, twice a second."""

    ZONE_ENTRIES, TARGETS, ROUND_MS = 12, 3, 500

    def __init__(self, seed, shape):
        super().__init__(seed, shape)
        self.next_ms = self.ROUND_MS
        self.chance = random.Random(seed)

    def arrive(self, now_ms):
        while now_ms >= self.next_ms:
            self._tell(self.next_ms)
            self.next_ms += self.ROUND_MS
        super().arrive(now_ms)

    def _tell(self, now_ms):
        for number, placer in enumerate(self.placers):
            first = number - number % self.ZONE_ENTRIES
            peers = [*self.placers[first : first + self.ZONE_ENTRIES]]
            peers.remove(placer)
            told = placer.loads.reported_loads(now_ms)
            for peer in self.chance.sample(peers, self.TARGETS):
                peer.loads.merge_loads(told, now_ms)


def test_entries_that_seldom_meet_a_busy_server_leave_it_in_time():
    """Pattern: hot servers. Few objects live at each, so that some servers have twice the mean.

    An entry meets a server once in seven seconds here; by the others' answers it knows the load.
    """
    played = Gossiping(5, cold_restart.FEW_SLOW_OBJECTS)
    played.run()
    steady = played.rows()[-1]
    assert steady.in_target_ratio > 0.9
    assert steady.failed_ratio < 0.02
