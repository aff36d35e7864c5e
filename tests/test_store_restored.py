"""The store comes back from an older copy: versions go back and are given out again."""

import anyio
import pytest

from sassafraslock import facts
from tests import fact_source, test_replica

quick = test_replica.quick
until, with_replica, server_ids = (
    test_replica.until,
    test_replica.with_replica,
    test_replica.server_ids,
)
INTENTS, SERVERS = facts.Topic.INTENTS, facts.Topic.SERVERS
ROUTES = [fact_source.route()]


async def restore(source, copy, outage_s=0.05):
    source.is_unavailable = True
    await anyio.sleep(outage_s)
    source.restore(copy)
    source.is_unavailable = False


# Guards against changes after a restore that are taken for old ones, since their versions are.
def test_a_change_after_the_store_was_restored_is_in_force():
    async def scenario(source, copy, state):
        source.put_intents(5, ROUTES)
        source.put_server("x")
        older = source.copy()
        for version in (8, 10):
            source.put_intents(version, ROUTES)
        await until(lambda: state.table is not None and state.table.version == 10)
        await restore(source, older)
        source.put_intents(10, ROUTES)
        source.put_intents(12, ROUTES)
        await until(lambda: state.table.version == 12)

    with_replica(scenario)


# Guards against reads that are refused one after the other, without a pause, after a restore.
def test_the_store_gets_few_calls_after_it_was_restored(monkeypatch):
    calls = []

    class CountingSource(fact_source.FakeSource):
        async def read_all(self, topic):
            calls.append(topic)
            return await super().read_all(topic)

    monkeypatch.setattr(fact_source, "FakeSource", CountingSource)

    async def scenario(source, copy, state):
        source.put_intents(5, ROUTES)
        older = source.copy()
        source.put_intents(8, ROUTES)
        await until(lambda: state.table is not None and state.table.version == 8)
        before = len(calls)
        await restore(source, older)
        await anyio.sleep(0.5)
        assert len(calls) - before <= 2 * len(facts.Topic)

    with_replica(scenario)


@pytest.mark.parametrize("state_after", ["evacuated", "taken back"])
def test_an_evacuation_does_not_come_back_older(state_after):
    async def scenario(source, copy, state):
        source.put_intents(5, ROUTES)
        if state_after == "taken back":
            source.put(INTENTS, "a-1", evacuation=facts.Evacuation("a-1"))
        older = source.copy()
        evacuation = facts.Evacuation("a-1") if state_after == "evacuated" else None
        source.put(INTENTS, "a-1", evacuation=evacuation)
        expected = {"a-1"} if evacuation else set()
        await until(lambda: state.table is not None)
        await anyio.sleep(0.1)
        assert state.registry.evacuated_zones == expected
        await restore(source, older)
        for _ in range(20):
            await anyio.sleep(0.02)
            assert state.registry.evacuated_zones == expected

    with_replica(scenario)


def test_a_draining_server_does_not_come_back_ready():
    async def scenario(source, copy, state):
        source.put_server("x")
        older = source.copy()
        source.put_server("x", state="draining")
        await until(lambda: server_ids(state) and state.registry.servers["x"].draining)
        await restore(source, older)
        for _ in range(20):
            await anyio.sleep(0.02)
            assert state.registry.servers["x"].draining
        source.put_server("x", born_ms=9)
        await until(lambda: not state.registry.servers["x"].draining)

    with_replica(scenario)
