"""A complete entry on loopback with servers that say in their answers that they leave."""

import anyio

from tests import edge_world

REQUESTS = 10


# Guards against an entry that passes on that a server leaves, and goes on sending to it.
def test_a_server_that_says_it_leaves_gets_no_further_requests():
    async def scenario(world):
        home, other = world.servers_by_preference()
        home.leaving = (b"1",)
        assert (await world.send()).status == 200
        for _ in range(REQUESTS):
            assert (await world.send()).status == 200
            await anyio.sleep(0.01)
        assert (len(home.seen), len(other.seen)) == (1, REQUESTS)

    edge_world.run_scenario(scenario)
