"""Statuses that no client may get: every path of a whole entry that reads a server's status."""

import contextlib
import time

import anyio
import httpcore
import pytest

from sassafraslock import bounded_call
from tests import edge_world

NAMES = edge_world.NAMES
PORTS = (edge_world.FIRST_PORT + 17, edge_world.FIRST_PORT + 18)
WHOLE = b"HTTP/1.1 200 OK\r\n%b: %b\r\nx-signature: s\r\ncontent-length: 4\r\n\r\ndone"
LINES = [b"HTTP/1.1 " + s for s in (b"000 ?", b"099 ?", b"600 ?", b"999 ?", b"099", b"999")]
LINES += [b"HTTP/1.1 busy", b"HTTP/2.0 200 OK", b"backend is busy", b"HTTP/1.1 101 Switching"]
AT_ONCE_S = 0.4  # before the soft timeout of 480 ms and the deadline of 1500 ms


def bad(line, mark=b""):
    return line + b"\r\n%b: %b\r\nx-signature: s\r\n" + mark + b"content-length: 3\r\n\r\nbad"


class ScriptedServer:
    """Sends one script for each request, over all connections, then valid responses."""

    def __init__(self, *scripts):
        self.scripts, self.connections, self.requests = list(scripts), 0, 0

    async def handle(self, stream):
        self.connections += 1
        async with stream:
            while True:
                try:
                    received = await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                self.requests += 1
                request_id = received.partition(NAMES.request_id + b": ")[2].partition(b"\r\n")[0]
                script = self.scripts.pop(0) if self.scripts else WHOLE
                own_id = (NAMES.request_id, request_id)
                await stream.send(script % (own_id * (script.count(b"%b") // 2)))


def run(check, *servers):
    """Run a check with scripted servers in the place of the first servers by preference."""

    async def scenario(world):
        async with contextlib.AsyncExitStack() as stack, anyio.create_task_group() as group:
            registry = world.edge.routing_state.registry.servers
            backends = world.servers_by_preference()[: len(servers)]
            for port, server, backend in zip(PORTS, servers, backends, strict=False):
                address = f"{edge_world.HOST}:{port}"
                world.source.put_server(backend.server_id, address, tells_cold_time=True)
                while registry[backend.server_id].report.address != address:
                    await anyio.sleep(0.01)
                listener = await anyio.create_tcp_listener(
                    local_host=edge_world.HOST, local_port=port
                )
                await stack.enter_async_context(listener)
                group.start_soon(listener.serve, server.handle)
            await check(world)
            group.cancel_scope.cancel()

    edge_world.run_scenario(scenario)


async def send(world, method):
    path, body = ("/x/1", b"") if method == "GET" else ("/w/1", b"b")
    started_s = time.monotonic()
    response = await world.send(method, path, body)
    assert time.monotonic() - started_s < AT_ONCE_S
    assert b"bad" not in response.body
    return response


# Guards against an entry that waits on after 000 and 099, or passes 600 to 999 on.
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("line", LINES)
def test_on_the_first_attempt_only_a_repeatable_request_goes_elsewhere(line, kept, method):
    server = ScriptedServer(*([WHOLE] if kept else []), bad(line))

    async def check(world):
        if kept:
            assert (await send(world, "GET")).body == b"done"
        response = await send(world, method)
        assert response.status == (200 if method == "GET" else 502)
        assert world.runs == (1 if method == "GET" else 0)
        assert server.connections == 1 and server.requests == 1 + kept
        await send(world, "GET")
        if server.requests > 1 + kept:
            assert server.connections == 2  # the faulty one is not used again

    run(check, server)


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("line", LINES)
def test_on_the_last_attempt_the_client_gets_502(line, kept, method):
    servers = [ScriptedServer(bad(line), bad(line)) for _ in range(2)]
    if kept:
        servers[0].scripts.insert(0, WHOLE)

    async def check(world):
        if kept:
            assert (await send(world, "GET")).body == b"done"
        assert (await send(world, method)).status == 502
        assert sum(s.requests for s in servers) == kept + (2 if method == "GET" else 1)

    run(check, *servers)


# Guards against a wait for the rest of a head whose status line shows it to be invalid.
@pytest.mark.parametrize("line", LINES[:4])
def test_a_status_line_without_the_rest_of_its_head_ends_the_wait(line):
    async def check(world):
        assert (await send(world, "POST")).status == 502

    run(check, ScriptedServer(line + b"\r\n"))


STATUSES = [b"000", b"099", b"600", b"999"]


# Guards against a late or doubled response that is skipped, or observed as that of the server.
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("status", STATUSES)
def test_an_invalid_response_to_an_earlier_request_ends_the_exchange(status, method):
    earlier = bad(b"HTTP/1.1 " + status + b" ?").replace(b"%b: %b", NAMES.request_id + b": r-0")
    server = ScriptedServer(WHOLE, earlier + WHOLE)

    async def check(world):
        await send(world, "GET")
        response = await send(world, method)
        assert response.status == (200 if method == "GET" else 502)
        assert response.body != b"done"

    run(check, server)


# Guards against an invalid response behind a whole one that spoils the one after it.
@pytest.mark.parametrize("pause", [False, True])
@pytest.mark.parametrize("status", STATUSES)
def test_an_invalid_response_after_the_whole_one_costs_the_connection_alone(status, pause):
    server = ScriptedServer(WHOLE + bad(b"HTTP/1.1 " + status + b" ?"))

    async def check(world):
        assert (await send(world, "POST")).body == b"done"
        if pause:
            await anyio.sleep(0.05)
        assert (await send(world, "POST")).body == b"done"
        assert server.connections == 2

    run(check, server)


# Guards against a peer or a store whose faulty responses are read as responses.
@pytest.mark.parametrize("line", LINES)
def test_calls_to_peers_and_the_store_fail_on_an_invalid_status(line):
    async def handle(stream):
        async with stream:
            await stream.receive()
            await stream.send(line + b"\r\ncontent-length: 3\r\n\r\nbad")

    async def main():
        listener = await anyio.create_tcp_listener(local_host=edge_world.HOST, local_port=PORTS[0])
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, handle)
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{edge_world.HOST}:{PORTS[0]}/"
                with pytest.raises(httpcore.RemoteProtocolError), anyio.fail_after(2):
                    await bounded_call.request(pool, "GET", url, 1_000)
            group.cancel_scope.cancel()

    anyio.run(main)
