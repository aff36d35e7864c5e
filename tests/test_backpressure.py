"""What servers ask for, against a simple model, and every way to a server that has to ask."""

import hypothesis
import pytest
from hypothesis import stateful, strategies

from sassafraslock import errors
from sassafraslock.decisions import (
    backpressure,
    candidates,
    departing_servers,
    heard_from,
    registry,
)
from tests import test_placement, test_rate_limited_placement

IDS = ("i-0", "i-1")
LONG_PAUSE_MS = 600_000
SERVER, PEER = heard_from.HeardFrom.SERVER, heard_from.HeardFrom.PEER


def report(server_id, born_ms=1, state="ready", **more):
    return registry.ServerReport(
        server_id,
        "s",
        f"h:{server_id}",
        "a",
        "a-1",
        3,
        registry.ServerState(state),
        born_ms=born_ms,
        **more,
    )


class Requests(stateful.RuleBasedStateMachine):
    """Servers leave, ask for pauses, restart and lose rows in any order; the model is a dictionary.

    ``left`` has the starts that said that they leave, ``pauses`` the ends of pauses as they were
    asked for, without what the entry adds.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 1_000
        self.placer = test_rate_limited_placement.build({})
        for server_id in IDS:
            self.placer.registry.apply_report(report(server_id), 0, False, 0)
        self.born = dict.fromkeys(IDS, 1)
        self.left, self.pauses, self.sent = set(), {}, []

    def start_hash(self, server_id):
        return registry.start_hash(registry.Server(report(server_id, self.born[server_id]), 0))

    def is_registered(self, server_id):
        return server_id in self.placer.registry.servers

    @stateful.rule(
        server_id=strategies.sampled_from(IDS), source=strategies.sampled_from((SERVER, PEER))
    )
    def leave(self, server_id, source):
        if self.is_registered(server_id):
            server = self.placer.registry.servers[server_id]
            asked = self.placer.backpressure
            asked.record_departure(server, source, self.now_ms, self.now_ms)
            self.left.add((server_id, self.born[server_id]))

    @stateful.rule(server_id=strategies.sampled_from(IDS), pause_ms=strategies.integers(0, 20_000))
    def ask_for_pause(self, server_id, pause_ms):
        if self.is_registered(server_id):
            pauses = self.placer.backpressure.pauses
            pauses.record(self.start_hash(server_id), pause_ms, self.now_ms)
            start = (server_id, self.born[server_id])
            self.pauses[start] = max(self.pauses.get(start, 0), self.now_ms + pause_ms)

    @stateful.rule(
        server_id=strategies.sampled_from(IDS), per_s=strategies.sampled_from((None, 2.0))
    )
    def name_limit(self, server_id, per_s):
        limits = self.placer.backpressure.limits
        if per_s is None:
            limits.record_unnamed(self.start_hash(server_id), self.now_ms, self.now_ms)
        elif self.is_registered(server_id):
            limits.record_named(self.start_hash(server_id), per_s, self.now_ms)

    @stateful.rule(
        server_id=strategies.sampled_from(IDS),
        state=strategies.sampled_from(("ready", "draining")),
        restarts=strategies.booleans(),
    )
    def write_row(self, server_id, state, restarts):
        self.born[server_id] += restarts
        row = report(server_id, self.born[server_id], state)
        self.placer.registry.apply_report(row, self.now_ms, True, 0)

    @stateful.rule(
        server_id=strategies.sampled_from(IDS), hold_ms=strategies.sampled_from((0, 5_000))
    )
    def lose_row(self, server_id, hold_ms):
        self.placer.registry.apply_removal(server_id, self.now_ms, self.now_ms + hold_ms)

    @stateful.rule(passed_ms=strategies.integers(1, 3_000))
    def pass_time(self, passed_ms):
        self.now_ms += passed_ms
        self.placer.registry.remove_expired(self.now_ms)
        self.placer.discard_removed(self.now_ms)

    @stateful.rule(
        key=strategies.sampled_from("abcdef"), tried=strategies.sets(strategies.sampled_from(IDS))
    )
    def send(self, key, tried):
        request = test_placement.request_for(key)
        request.tried, request.attempts = tried, len(tried)
        choice = self.placer.place(request, self.now_ms)
        if isinstance(choice, errors.Refusal):
            assert choice.properties.not_run and choice.effective_retry_after_ms > 0
            return
        start = (choice.server.server_id, choice.server.report.born_ms)
        assert start not in self.left
        assert self.now_ms >= self.pauses.get(start, 0)
        assert not self.placer.backpressure.is_closed(choice.server, self.now_ms)
        self.sent.append((choice.server, self.now_ms))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule()
    def answer(self):
        server, sent_ms = self.sent.pop(0)
        pauses = self.placer.backpressure.pauses
        pauses.record_answer(registry.start_hash(server), sent_ms)

    @stateful.invariant()
    def servers_that_ask_for_nothing_are_not_held(self):
        for server in self.placer.registry.usable_servers("s"):
            start = (server.server_id, server.report.born_ms)
            asked = self.placer.backpressure
            limited = asked.limits.limit_of(registry.start_hash(server)) is not None
            if start not in self.pauses and start not in self.left and not limited:
                assert asked.hold(server, self.now_ms) is None


Requests.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=60, deadline=None, derandomize=True
)
TestRequests = Requests.TestCase


def ask(placer, server_id, hold, now_ms=0):
    server = placer.registry.servers[server_id]
    if hold is backpressure.Hold.LEAVING:
        placer.backpressure.record_departure(server, SERVER, now_ms, now_ms)
    else:
        start_hash = registry.start_hash(server)
        placer.backpressure.pauses.record(start_hash, LONG_PAUSE_MS, now_ms)


HOLDS = [backpressure.Hold.LEAVING, backpressure.Hold.PAUSED]


@pytest.mark.parametrize("hold", HOLDS)
@pytest.mark.parametrize("path", ["retry", "after a rejection", "known object", "cold rest"])
def test_no_way_leads_to_a_server_that_wants_nothing(path, hold):
    """First tries, retries, replacements and substitutes of cold servers are placed alike."""
    placer = test_placement.build({"i-1": "a-1", "i-2": "a-1"})
    ask(placer, "i-1", hold)
    request = test_placement.request_for("k")
    if path in ("retry", "after a rejection"):
        request.tried.add("i-2")
        request.attempts = 1
    request.shed = path == "after a rejection"
    if path == "known object":
        start_hash = registry.start_hash(placer.registry.servers["i-1"])
        placer.objects.record(request.object_hash, start_hash, 0, 0)
    for now_ms in range(0, 4_000, 50):
        if path == "cold rest":
            placer.registry.servers["i-2"].cold_until_ms = 100_000
        choice = placer.place(request, now_ms)
        assert isinstance(choice, errors.Refusal) or choice.server.server_id == "i-2"


@pytest.mark.parametrize("hold", HOLDS)
def test_a_join_probe_does_not_go_to_a_server_that_wants_nothing(hold):
    placer = test_placement.build({"i-2": "a-1"})
    placer.place(test_placement.request_for(), 0)
    placer.registry.apply_report(report("i-1", 5), 100, True, 0)
    placer.record_join("i-1", 100)
    ask(placer, "i-1", hold, 100)
    placed = test_rate_limited_placement.place_many(placer, 20, 200)
    assert placed["i-1"] == 0 and placed["i-2"] == 20


@pytest.mark.parametrize("hold", HOLDS)
def test_its_objects_have_the_same_home_at_every_entry(hold):
    home = test_placement.home_of(test_placement.build(test_placement.SERVERS)).server_id
    placers = [test_placement.build(test_placement.SERVERS, own_id=f"e-{n}") for n in range(2)]
    for placer in placers:
        ask(placer, home, hold)
    first, second = (placer.place(test_placement.request_for(), 0) for placer in placers)
    assert first.server.server_id == second.server.server_id != home
    assert first.is_home and first.selection is candidates.Selection.HOME


# Guards against a service of which more servers leave than a ranking holds.
def test_the_last_server_that_does_not_leave_gets_the_requests():
    servers = {f"i-{n}": "a-1" for n in range(30)}
    placer = test_placement.build(servers)
    for server_id in servers:
        if server_id != "i-17":
            ask(placer, server_id, backpressure.Hold.LEAVING)
    assert test_placement.home_of(placer).server_id == "i-17"


def test_a_pause_and_a_rate_limit_are_both_kept():
    placer = test_rate_limited_placement.build({"i-1": "a-1"}, {"i-1": 0.5})
    placer.backpressure.pauses.record(
        registry.start_hash(placer.registry.servers["i-1"]), 10_000, 0
    )
    refusal = placer.place(test_placement.request_for(), 5_000)
    assert refusal.kind is errors.ErrorKind.SERVER_PAUSED
    assert 5_000 <= refusal.effective_retry_after_ms <= 6_000
    placed = [test_rate_limited_placement.place_many(placer, 1, t) for t in range(0, 14_000, 100)]
    # Without an answer, one in each second of the slow start.
    assert 1 <= sum(p["i-1"] for p in placed) <= 4
    assert not any(p["i-1"] for p in placed[:100])


def test_a_region_in_pauses_does_not_flood_the_others():
    """The cap on shifts holds, as for regions at their rate limits."""
    servers = test_placement.SERVERS | {f"j-{n}": "b-1" for n in range(6)}
    placer = test_placement.build(servers)
    for server_id in test_placement.SERVERS:
        ask(placer, server_id, backpressure.Hold.PAUSED)
    placed = test_rate_limited_placement.place_many(placer, 200, 0)
    spilled = sum(count for server, count in placed.items() if server.startswith("j-"))
    assert spilled <= 0.06 * 200 + 1
    assert placed[errors.ErrorKind.SERVER_PAUSED] == 200 - spilled


@pytest.mark.parametrize("absent_ms, is_held", [(50_000, True), (70_000, False)])
@pytest.mark.parametrize("hold", HOLDS)
def test_what_a_server_asks_for_outlives_a_row_that_is_lost_for_a_while(hold, absent_ms, is_held):
    placer = test_placement.build({"i-1": "a-1"})
    ask(placer, "i-1", hold)
    placer.discard_removed(0)
    placer.registry.apply_removal("i-1", 0, 0)
    for now_ms in range(1_000, absent_ms, 1_000):
        placer.discard_removed(now_ms)
    row = report("i-1")
    placer.registry.apply_report(row, absent_ms, True, 0)
    choice = placer.place(test_placement.request_for(), absent_ms)
    assert isinstance(choice, errors.Refusal) == is_held


@pytest.mark.parametrize("hold", HOLDS)
def test_a_server_that_leaves_is_not_held_when_its_row_goes(hold):
    placer = test_placement.build({"i-1": "a-1"})
    ask(placer, "i-1", hold)
    placer.registry.apply_removal("i-1", 0, 5_000)
    is_kept = "i-1" in placer.registry.servers
    assert is_kept == (hold is backpressure.Hold.PAUSED)


# Guards against a server that is left out for good, as its platform does not tell starts apart.
def test_a_server_whose_start_is_unknown_is_asked_again_after_a_while():
    placer = test_placement.build({})
    placer.registry.apply_report(report("i-1", born_ms=0), 0, False, 0)
    ask(placer, "i-1", backpressure.Hold.LEAVING)
    for now_ms in range(0, departing_servers.UNKNOWN_START_MS, 500):
        placer.discard_removed(now_ms)
        assert isinstance(placer.place(test_placement.request_for(), now_ms), errors.Refusal)
    ask(placer, "i-1", backpressure.Hold.LEAVING, 20_000)
    placer.discard_removed(departing_servers.UNKNOWN_START_MS)
    assert len(placer.backpressure.departures) == 1
    end_ms = 20_000 + departing_servers.UNKNOWN_START_MS
    placer.discard_removed(end_ms)
    assert test_placement.home_of(placer).server_id == "i-1"
    server = placer.registry.servers["i-1"]
    assert not placer.backpressure.record_departure(server, PEER, 20_000, end_ms)
    assert placer.backpressure.hold(server, end_ms) is None
