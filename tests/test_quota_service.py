"""The service of summed limits over real sockets: two entries of a region share one quota."""

import random

import anyio

from sassafraslock import clock, errors, events, workspaces
from sassafraslock.decisions import registry, roster
from sassafraslock.path import access_log
from sassafraslock.quotas import asks, collector_choice, limits, service, share_size
from sassafraslock.services import gossip, poison_watch, upstream
from tests import loopback

FIRST_PORT = 24_900
TERMS = limits.Terms(5_000, 0.1, 20.0)
QUOTA = workspaces.Workspace("x", (), rate_per_s=40.0, burst=2.0)


class Table:
    """Intents with one workspace."""

    def __init__(self, *known):
        self.workspaces = workspaces.WorkspaceIndex(known)


def build(number):
    addresses = [f"{loopback.HOST}:{FIRST_PORT + n}" for n in range(2)]
    entry_id = f"e-{number}"

    def record(beat):
        link_mbps = 100.0 - number
        return roster.MemberRecord(
            entry_id, 1, beat, "a", "a-1", addresses[number], addresses[number], True,
            link_mbps=link_mbps,
        )  # fmt: skip

    poison = poison_watch.PoisonWatch(upstream.Upstream(b"x-id"), registry.Registry())
    seeds = [a for a in addresses if a != addresses[number]]
    peers = gossip.GossipService(entry_id, addresses[number], seeds, record, poison, "token")
    backdated_ms = clock.monotonic_ms() - 60_000
    own = service.QuotaService(peers, record, TERMS, backdated_ms, random.Random(number))
    return peers, own


def be_settled_soon(monkeypatch):
    """Count and choose entries soon after their start, so that the test is short."""
    monkeypatch.setattr(share_size, "KNOWN_AFTER_MS", 500)
    monkeypatch.setattr(collector_choice, "SETTLED_AFTER_MS", 0)


def wait_for_answers(monkeypatch):
    """Give up no ask, however long a busy machine holds this process up."""
    for name in ("NEXT_AFTER_MS", "ABROAD_AFTER_MS", "GIVE_UP_MS", "PENDING_GIVE_UP_MS"):
        monkeypatch.setattr(asks, name, 10_000)


def play(scenario):
    """Run a scenario with two entries, once the first one holds both shares."""

    async def main():
        built = [build(number) for number in range(2)]
        async with anyio.create_task_group() as group:
            for peers, own in built:
                group.start_soon(peers.run, anyio.Event())
                group.start_soon(own.run, anyio.Event())
                own.apply_table(Table(QUOTA))
            with anyio.fail_after(15):
                while built[0][1].node.collector.book.share < 0.99:
                    await anyio.sleep(0.05)
                await scenario(*(own for _, own in built))
            group.cancel_scope.cancel()

    anyio.run(main)


def test_two_entries_use_one_quota_and_refuse_what_is_over_it(monkeypatch):
    be_settled_soon(monkeypatch)
    wait_for_answers(monkeypatch)
    outcomes = []

    async def request(own):
        outcomes.append(await own.acquire(QUOTA, clock.monotonic_ms()))

    async def scenario(first, second):
        assert not second.node.collector.is_active
        await anyio.sleep(1.0)
        async with anyio.create_task_group() as group:
            for number in range(200):
                group.start_soon(request, (first, second)[number % 2])
        granted = outcomes.count(None)
        assert 10 <= granted <= (40 * 5 + 2) * 1.1 + 20
        refused = next(o for o in outcomes if o is not None)
        assert refused.kind is errors.ErrorKind.QUOTA_USED_UP
        assert refused.collector == "e-0"
        fields = access_log._quota_fields(refused, clock.monotonic_ms())
        assert fields["collector"] == "e-0" and fields["decision_age_ms"] >= 0
        assert first.token_counts()["refused"] == len(outcomes) - granted
        assert first.dump()["limited"] == ["workspace/x"]

    play(scenario)


# Guards against tokens that are lost with requests that found no room, or whose client left.
def test_tokens_of_requests_that_did_not_run_come_back(monkeypatch):
    be_settled_soon(monkeypatch)
    wait_for_answers(monkeypatch)

    async def rejected(own):
        if await own.acquire(QUOTA, clock.monotonic_ms()) is None:
            own.give_back(QUOTA, clock.monotonic_ms())
            own.give_back(QUOTA, clock.monotonic_ms())  # a second time returns nothing more

    async def scenario(first, second):
        await anyio.sleep(0.5)
        async with anyio.create_task_group() as group:
            for _ in range(5):
                group.start_soon(rejected, second)
        await anyio.sleep(0.1)
        assert first.token_counts()["granted"] == 5
        assert first.token_counts()["returned"] == 5
        with anyio.move_on_after(0):
            await second.acquire(QUOTA, clock.monotonic_ms())
        await anyio.sleep(0.1)
        assert first.token_counts()["returned"] == 6

    play(scenario)


def test_changes_are_logged_once(monkeypatch, caplog):
    be_settled_soon(monkeypatch)
    wait_for_answers(monkeypatch)
    caplog.set_level("INFO", "sassafraslock")

    async def scenario(first, second):
        for _ in range(120):
            await second.acquire(QUOTA, clock.monotonic_ms())
        await anyio.sleep(0.3)

    play(scenario)
    logged = [getattr(r, "event", None) for r in caplog.records]
    assert logged.count(events.Event.QUOTA_USED_UP) <= 1
    assert 1 <= logged.count(events.Event.QUOTA_COLLECTOR_CHANGED) <= 3
