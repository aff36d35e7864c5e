"""Slot pools against a simple oracle, by a state machine."""

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st

from sassafraslock import errors, shared_settings
from sassafraslock.decisions import slots

SERVERS = ["a", "b", "c"]


class PoolMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Grants, returns, drains, hand-overs and time in any order."""

    def __init__(self):
        super().__init__()
        self.pool = slots.SlotPool(0.25)
        self.now_ms = 0
        self.count = 0
        self.running = {}
        self.limits = {}

    @hypothesis.stateful.rule(server=st.sampled_from(SERVERS), limit=st.integers(1, 4))
    def hold(self, server, limit):
        running = [s for s, _ in self.running.values()].count(server)
        self.limits[server] = max(limit, running)
        self.pool.hold(server, self.limits[server], self.now_ms, True)

    @hypothesis.stateful.rule(server=st.sampled_from(SERVERS))
    def withdraw(self, server):
        self.pool.withdraw(server)

    @hypothesis.stateful.rule(server=st.sampled_from(SERVERS), accepting=st.booleans())
    def drain(self, server, accepting):
        self.pool.set_accepting(server, accepting, self.now_ms)

    @hypothesis.stateful.rule(filing=st.booleans(), life_ms=st.integers(1, 500))
    def acquire(self, filing, life_ms):
        self.count += 1
        grant = self.pool.acquire(str(self.count), filing, self.now_ms + life_ms, [], self.now_ms)
        if not isinstance(grant, errors.Refusal):
            self.note(grant)

    def note(self, grant):
        server = self.pool.servers[grant.server_id]
        assert server.accepting
        assert server.held
        self.running[grant.grant_id] = (grant.server_id, grant.expires_ms)

    @hypothesis.stateful.rule(filing=st.booleans(), wait_ms=st.integers(1, 200))
    def wait(self, filing, wait_ms):
        self.count += 1
        ticket = f"w{self.count}"
        deadline_ms = self.now_ms + 2 * wait_ms
        self.pool.wait(slots.Waiter(ticket, filing, deadline_ms, self.now_ms + wait_ms))

    @hypothesis.stateful.rule()
    def serve(self):
        for waiter, grant in self.pool.grant_waiting(self.now_ms):
            assert waiter.give_up_ms > self.now_ms
            self.note(grant)

    @hypothesis.stateful.rule(data=st.data())
    def release(self, data):
        if self.running:
            grant_id = data.draw(st.sampled_from(sorted(self.running)))
            del self.running[grant_id]
            self.pool.release(grant_id)

    @hypothesis.stateful.rule(step_ms=st.integers(1, 300))
    def pass_time(self, step_ms):
        self.now_ms += step_ms
        over = [g for g, (_, expires_ms) in self.running.items() if expires_ms <= self.now_ms]
        for grant_id in over:
            del self.running[grant_id]

    @hypothesis.stateful.invariant()
    def limits_hold(self):
        for server, limit in self.limits.items():
            running = [s for s, _ in self.running.values()].count(server)
            assert running <= limit


TestPool = PoolMachine.TestCase
TestPool.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)


def test_reads_leave_the_reserve_to_filings():
    pool = slots.SlotPool(0.25)
    pool.hold("a", 4, 0, True)
    for number in range(3):
        assert isinstance(pool.acquire(f"r{number}", False, 1000, [], 0), slots.Grant)
    assert isinstance(pool.acquire("r", False, 1000, [], 0), errors.Refusal)
    assert isinstance(pool.acquire("f", True, 1000, [], 0), slots.Grant)


def test_a_cold_server_ramps_up():
    pool = slots.SlotPool(0.0)
    pool.hold("a", 10, 0, False)
    rooms = [pool.servers["a"].room(at_ms) for at_ms in (0, 2500, slots.SLOW_START_MS)]
    assert rooms == [1, 5, 10]


def test_the_queue_goes_by_deadline():
    pool = slots.SlotPool(0.0)
    pool.hold("a", 1, 0, True)
    pool.acquire("g", False, 9000, [], 0)
    for ticket, deadline_ms in (("late", 900), ("soon", 300), ("gone", 100)):
        give_up_ms = 50 if ticket == "gone" else 800
        pool.wait(slots.Waiter(ticket, False, deadline_ms, give_up_ms))
    pool.release("g")
    assert [w.ticket for w, _ in pool.grant_waiting(60)] == ["soon"]
    assert pool.waiting == 1


def test_effective_limits_keep_within_the_regions_limit():
    servers = {f"s{n}": shared_settings.Server("r", "a", "10.0.0.1", 80, slots=3) for n in range(5)}
    shared = shared_settings.SharedSettings(
        {"t/s": shared_settings.Service(servers)},
        {"r": shared_settings.Region(max_in_flight=11)},
        [],
        shared_settings.Claims(),
    )
    limits = slots.effective_limits(shared, "r")
    assert sum(limits.values()) == 11
    assert set(limits.values()) == {2, 3}
