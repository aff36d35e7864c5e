"""Requests that crash the servers which run them, sent by several clients to a whole entry."""

import anyio
import pytest

from tests import edge_world, fact_source

POISON = "/poison"
SERVERS = ("ok",) * 9
SETTLE_S = 0.15  # longer than a broken connection is checked
MAX_CRASHES = 3
ROUTES = [
    fact_source.route(attempts=2),
    fact_source.route("w", "/w/", idempotent=False, attempts=2),
]


def client(number):
    return f"127.0.0.{10 + number}"


def crashed(world):
    return [b for b in world.backends.values() if any(POISON in r.path for r in b.seen)]


# Guards against a request that counts as another one for each client address that sends it, so
# that each of them ends servers anew.
@pytest.mark.parametrize("method, path", [("GET", "/x/poison"), ("POST", "/w/poison")])
def test_a_request_that_crashes_servers_is_stopped_whichever_clients_send_it(method, path):
    async def scenario(world):
        for backend in world.backends.values():
            backend.poison = (POISON,)
        statuses = []
        for number in range(8):
            response = await world.send(method, path, b"b", client=client(number))
            statuses.append(response.status)
            await anyio.sleep(SETTLE_S)
        assert len(crashed(world)) <= MAX_CRASHES
        assert statuses[0] == 502 and statuses[-1] == 503

    edge_world.run_scenario(scenario, SERVERS, ROUTES)
