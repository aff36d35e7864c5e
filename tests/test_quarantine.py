"""Which requests are refused because servers crashed under them."""

import anyio

from sassafraslock.decisions import quarantine
from sassafraslock.services import poison_watch, upstream

HOST, PORT = "127.0.0.1", 24_380


def test_two_servers_quarantine_and_a_mass_failure_does_not():
    kept = quarantine.Quarantine()
    assert kept.record_crash("m", "s1", 0)
    assert not kept.is_quarantined("m", 0)
    assert kept.record_crash("m", "s2", 5000)
    assert kept.is_quarantined("m", 5000)
    assert not kept.is_quarantined("m", 5000 + quarantine.QUARANTINE_MS)
    failed = quarantine.Quarantine()
    for number in range(2):
        failed.record_crash(f"other-{number}", f"s{number}", 0)
    assert not failed.record_crash("m", "s9", 100)


def watching(scenario, listening):
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

    anyio.run(main)


def found(mark, server):
    return poison_watch.BrokenConnection(mark, server, f"{HOST}:{PORT}")


def test_a_broken_connection_counts_where_the_server_is_down_after_it():
    async def scenario(watch):
        watch.record_broken_connection(found("m", "s1"))
        watch.record_broken_connection(found("m", "s2"))
        await anyio.sleep(0.2)
        now_ms = poison_watch.clock.monotonic_ms()
        assert watch.quarantine.is_quarantined("m", now_ms)
        assert [s.fingerprint for s in watch.recent_suspects(now_ms)] == ["m"]
        assert watch.recent_suspects(now_ms + poison_watch.SUSPECT_GOSSIP_MS) == []

    watching(scenario, listening=False)


def test_a_broken_connection_to_a_server_that_lives_does_not_count():
    async def scenario(watch):
        watch.record_broken_connection(found("m", "s1"))
        watch.record_broken_connection(found("m", "s2"))
        await anyio.sleep(0.2)
        assert watch.quarantine.size == 0

    watching(scenario, listening=True)
