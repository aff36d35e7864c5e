"""Requests that crash the servers which run them, sent by several clients to a whole entry."""

import anyio
import pytest

from sassafraslock import clock
from sassafraslock.decisions import quarantine
from tests import edge_world, fact_source, loopback

HOST = loopback.HOST
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


# Guards against further attempts of a request that is found out after its first one.
def test_a_request_that_is_quarantined_meanwhile_is_not_sent_again():
    async def scenario(world):
        known = world.edge.poison.quarantine

        def find_out(handler):
            async def handle(request):
                identity = quarantine.identify("h", HOST, "GET", "/x/1", b"")
                for number in range(4):
                    known.record_crash(identity, f"s{number}", clock.monotonic_ms())
                return await handler(request)

            return handle

        for backend in world.backends.values():
            backend.mode = "shed"
            backend.server._handler = find_out(backend)
        response = await world.send("GET", "/x/1", client=HOST)
        assert response.status == 503
        assert sum(len(b.seen) for b in world.backends.values()) == 1

    edge_world.run_scenario(scenario, SERVERS, [fact_source.route(attempts=3)])


@pytest.mark.parametrize(
    "method, path, body, sender", [("GET", "/x/other", b"", 0), ("POST", "/w/poison", b"c", 0)]
)
def test_other_requests_of_the_same_client_are_served(method, path, body, sender):
    async def scenario(world):
        for number in range(3):
            await world.send("POST", "/w/poison", b"b", client=client(number))
        for backend in world.backends.values():
            backend.poison = ()
        assert (await world.send(method, path, body, client=client(sender))).status == 200

    edge_world.run_scenario(scenario, SERVERS, ROUTES)
