"""Registration of an entry, and its renewal after a restored store has lost it."""

import anyio
import pytest

from sassafraslock import edge_settings, facts
from sassafraslock.services import registrar
from tests import fact_source

SETTINGS = edge_settings.EdgeSettings(
    "e-1", "a-1", "a", "h:1", "", "", "h:2", "", metrics_address=""
)


@pytest.mark.parametrize(
    "topic, keys, written",
    [
        (facts.Topic.ENTRIES, {"e-2"}, 2),
        (facts.Topic.ENTRIES, {"e-1", "e-2"}, 1),
        (facts.Topic.SERVERS, set(), 1),
    ],
)
def test_a_lost_registration_is_written_again(monkeypatch, topic, keys, written):
    monkeypatch.setattr(registrar, "RENEW_SPREAD_S", 0.01)

    async def main():
        source = fact_source.FakeSource()
        service = registrar.Registrar(SETTINGS, source)
        async with anyio.create_task_group() as group:
            group.start_soon(service.run, anyio.Event())
            await anyio.sleep(0.02)
            assert len(source.registered) == 1
            service.check(topic, keys)
            await anyio.sleep(0.05)
            assert len(source.registered) == written
            group.cancel_scope.cancel()

    anyio.run(main)


def test_renewals_are_retried_until_the_store_accepts_them(monkeypatch):
    monkeypatch.setattr(registrar, "RENEW_SPREAD_S", 0.0)
    monkeypatch.setattr(registrar, "REGISTER_RETRY_S", 0.005)

    async def main():
        source = fact_source.FakeSource()
        service = registrar.Registrar(SETTINGS, source)
        async with anyio.create_task_group() as group:
            group.start_soon(service.run, anyio.Event())
            await anyio.sleep(0.02)
            source.is_unavailable = True
            service.check(facts.Topic.ENTRIES, set())
            await anyio.sleep(0.03)
            source.is_unavailable = False
            await anyio.sleep(0.03)
            assert len(source.registered) == 2
            group.cancel_scope.cancel()

    anyio.run(main)
