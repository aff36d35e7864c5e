"""A complete entry on loopback with servers that ask for a pause when they reject a request."""

import anyio

from tests import edge_world

REQUESTS = 10


# Guards against an entry that asks servers again before the time that they named has passed.
def test_servers_that_ask_for_a_pause_get_nothing_until_it_ends():
    async def scenario(world):
        for backend in world.backends.values():
            backend.mode, backend.retry_after = "shed", (b"1.5",)
        for _ in range(REQUESTS):
            assert (await world.send()).status == 503
            await anyio.sleep(0.05)
        assert [len(backend.seen) for backend in world.backends.values()] == [1, 1]

    edge_world.run_scenario(scenario)
