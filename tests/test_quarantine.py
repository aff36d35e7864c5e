"""Quarantine of requests under which servers crashed."""

import logging

import anyio
import pytest

from sassafraslock import events
from sassafraslock.decisions import quarantine
from sassafraslock.services import poison_watch, upstream
from tests import loopback

HOST, PORT = loopback.HOST, 24_380


@pytest.fixture(autouse=True)
def all_levels(caplog):
    caplog.set_level(logging.INFO, "sassafraslock")


def test_crashes_of_two_servers_quarantine_and_a_mass_failure_does_not():
    quarantine_ = quarantine.Quarantine()
    assert quarantine_.record_crash("m", "s1", 0)
    assert not quarantine_.is_quarantined("m", 0)
    assert quarantine_.record_crash("m", "s2", 5000)
    assert quarantine_.is_quarantined("m", 5000)
    assert not quarantine_.is_quarantined("m", 5000 + quarantine.QUARANTINE_MS)
    mass_failure = quarantine.Quarantine()
    for number in range(2):
        mass_failure.record_crash(f"other-{number}", f"s{number}", 0)
    assert not mass_failure.record_crash("m", "s9", 100)


def run_watch(scenario, listening):
    async def serve(stream):
        await stream.aclose()

    async def main():
        watch = poison_watch.PoisonWatch(upstream.Upstream(b"x-id"))
        async with anyio.create_task_group() as group:
            group.start_soon(watch.run, anyio.Event())
            if listening:
                listener = await anyio.create_tcp_listener(local_host=HOST, local_port=PORT)
                group.start_soon(listener.serve, serve)
            await scenario(watch)
            group.cancel_scope.cancel()
        if listening:
            await listener.aclose()

    anyio.run(main)


def broken_connection(fingerprint, server):
    return poison_watch.BrokenConnection(fingerprint, server, f"{HOST}:{PORT}")


def test_a_broken_connection_counts_if_the_server_is_down_afterwards():
    async def scenario(watch):
        watch.record_broken_connection(broken_connection("m", "s1"))
        watch.record_broken_connection(broken_connection("m", "s2"))
        await anyio.sleep(0.2)
        now_ms = poison_watch.clock.monotonic_ms()
        assert watch.quarantine.is_quarantined("m", now_ms)
        assert [s.fingerprint for s in watch.recent_suspects(now_ms)] == ["m"]
        assert watch.recent_suspects(now_ms + poison_watch.SUSPECT_GOSSIP_MS) == []

    run_watch(scenario, listening=False)


def test_a_broken_connection_does_not_count_if_the_server_is_reachable():
    async def scenario(watch):
        watch.record_broken_connection(broken_connection("m", "s1"))
        watch.record_broken_connection(broken_connection("m", "s2"))
        await anyio.sleep(0.2)
        assert watch.quarantine.size == 0

    run_watch(scenario, listening=True)


def findings(caplog):
    lines = [r.fields for r in caplog.records if r.event is events.Event.CRASH_SUSPECTED]
    return [(line["fingerprint"], line["server"], line["finding"].value) for line in lines]


def test_each_broken_connection_is_logged_with_what_it_was_found_to_be(caplog):
    async def scenario(watch):
        for number in range(3):
            watch.record_broken_connection(broken_connection(f"m{number}", f"s{number}"))
            await anyio.sleep(0.1)

    run_watch(scenario, listening=False)
    crash = poison_watch.Finding.CRASH.value
    assert findings(caplog)[:2] == [("m0", "s0", crash), ("m1", "s1", crash)]
    assert len(findings(caplog)) == 3
    caplog.clear()
    run_watch(scenario, listening=True)
    assert {f[2] for f in findings(caplog)} == {poison_watch.Finding.REACHABLE.value}
