"""A complete entry on loopback with servers that name rate limits."""

import anyio
import pytest

from benchmarks import limits
from sassafraslock import clock
from tests import edge_world

WINDOW_MS = 4_000
REQUESTS = 30


def allowed(per_s):
    return 1.5 * WINDOW_MS / 1000 * per_s + 5


# Guards against an entry that passes a server's rate limit on to its callers without obeying it.
def test_a_server_gets_no_more_than_the_rate_limit_that_it_named():
    async def scenario(world):
        limited = world.servers_by_preference()[0]
        limited.limit = b"1"
        assert (await world.send()).status == 200
        times_ms = []
        for _ in range(REQUESTS):
            before = len(limited.seen)
            assert (await world.send()).status == 200
            times_ms += [clock.monotonic_ms()] * (len(limited.seen) - before)
            await anyio.sleep(0.02)
        assert limits.most_in_window(times_ms, WINDOW_MS) <= allowed(1)

    edge_world.run_scenario(scenario)


@pytest.mark.parametrize("value", [b"", b"-1", b"nan", b"1e400", b"1, 2", b"9" * 1_000])
def test_an_answer_with_an_invalid_limit_is_delivered_whole(value):
    async def scenario(world):
        home = world.servers_by_preference()[0]
        home.limit = value
        for number in range(3):
            response = await world.send("POST", f"/w/{number}", b"body")
            assert (response.status, response.body) == (200, b"body")
        assert len(home.seen) == 3 and not world.edge.backpressure.limits.in_force()

    edge_world.run_scenario(scenario)


@pytest.mark.parametrize("mode", ["ok", "shed", "fail", "silent"])
def test_an_entry_hears_a_limit_whatever_the_answer(mode):
    """A silent server names nothing; every answer does, whatever its status."""

    async def scenario(world):
        for backend in world.backends.values():
            backend.mode, backend.limit = mode, b"5"
        await world.send("POST", "/w/1", b"x", limit_ms=200)
        assert bool(world.edge.backpressure.limits.in_force()) == (mode != "silent")
        metrics = await world.send(path="/metrics", address=world.settings.metrics_address)
        assert b"sassafraslock_servers_limited" in metrics.body

    edge_world.run_scenario(scenario)
