"""A complete entry on loopback with servers that name rate limits."""

import anyio

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
