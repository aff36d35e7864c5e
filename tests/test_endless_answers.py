"""Servers that send bytes without end cost their own request alone, in a whole entry."""

import itertools
import tracemalloc

import anyio
import pytest

from tests import edge_world

PORT = edge_world.FIRST_PORT + 18
NAMES = edge_world.NAMES
MEMORY_BYTES = 16 << 20
PEAK_BYTES = 2 * (MEMORY_BYTES // 8) + (8 << 20)  # all messages, copied once, and the entry itself
OTHERS = 10
SLOW_CLIENTS = 20
STATUS = b"HTTP/1.1 %b OK\r\n" + NAMES.request_id + b": %b\r\nx-signature: s\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
BODY_CHUNK = b"80000\r\n" + b"b" * 0x80000 + b"\r\n"
# The method and status, what follows the first header lines, and what is repeated.
SCRIPTS = {
    "no answer at all": ("POST", b"", b"\0\1\2\3", b"\0\1\2\3"),
    "header lines": ("POST", b"200", b"", b"x-filler: a\r\n"),
    "one header": ("POST", b"200", b"x-filler: ", b"a" * 1_000),
    "interim heads": ("POST", b"", b"", b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"),
    "body without a length": ("POST", b"200", b"\r\n", b"a" * 1_000),
    "body with a length": ("POST", b"200", b"content-length: 99999999999\r\n\r\n", b"a" * 1_000),
    "chunks": ("POST", b"200", CHUNKED, b"3e8\r\n" + b"a" * 1_000 + b"\r\n"),
    "chunk extension": ("POST", b"200", CHUNKED + BODY_CHUNK + b"1;", b"a" * 1_000),
    "trailer": ("POST", b"200", CHUNKED + BODY_CHUNK + b"0\r\nx: ", b"a" * 1_000),
    "body after the head for HEAD": ("HEAD", b"200", b"\r\n", b"a" * 1_000),
}
BODILESS = [b"204", b"304"]


class EndlessServer:
    """Answers the first request of each connection with bytes until the entry closes it."""

    def __init__(self, script):
        _, self.status, self.start, self.repeated = SCRIPTS[script]
        self.opened = self.closed = 0

    async def handle(self, stream):
        async with stream:
            received = await stream.receive()
            self.opened += 1
            request_id = received.partition(NAMES.request_id + b": ")[2].partition(b"\r\n")[0]
            head = STATUS % (self.status, request_id) if self.status else b""
            piece = self.repeated * (20_000 // len(self.repeated))
            try:
                await stream.send(head + self.start)
                while True:
                    await stream.send(piece)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                self.closed += 1


async def replace_home(world):
    """Put the address of the faulty server in place of the home's one."""
    home = world.servers_by_preference()[0]
    address = f"{edge_world.HOST}:{PORT}"
    world.source.put_server(home.server_id, address, tells_cold_time=True)
    servers = world.edge.routing_state.registry.servers
    while servers[home.server_id].report.address != address:
        await anyio.sleep(0.02)
    return await anyio.create_tcp_listener(local_host=edge_world.HOST, local_port=PORT)


# Guards against a server whose endless answer takes the memory of the entry, and so ends it.
@pytest.mark.parametrize("script", list(SCRIPTS))
def test_an_endless_answer_costs_its_own_request_alone(script):
    method = SCRIPTS[script][0]
    faulty, answers = EndlessServer(script), []

    async def read_in_turn(world):
        for number in range(OTHERS):
            answers.append((await world.send("GET", f"/x/{number}")).status)

    async def scenario(world):
        world.edge.quota.resize(MEMORY_BYTES)
        listener = await replace_home(world)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, faulty.handle)
            tracemalloc.start()
            async with anyio.create_task_group() as clients:
                clients.start_soon(read_in_turn, world)
                response = await world.send(method, "/w/1", b"b" if method == "POST" else b"")
            peak_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            with anyio.fail_after(5):
                while faulty.closed < faulty.opened:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        assert response.status == (200 if method == "HEAD" else 502)  # the head is all of it
        assert answers == [200] * OTHERS
        assert faulty.opened and peak_bytes < PEAK_BYTES
        assert world.edge.quota.held_bytes == 0

    edge_world.run_scenario(scenario)


# Guards against bytes behind an answer that has no body, which belong to no request.
@pytest.mark.parametrize("status", BODILESS)
def test_bytes_behind_an_answer_without_a_body_are_dropped_with_the_connection(status, monkeypatch):
    monkeypatch.setitem(SCRIPTS, "bodiless", ("GET", status, b"\r\n", b"a" * 1_000))
    faulty = EndlessServer("bodiless")

    async def scenario(world):
        listener = await replace_home(world)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, faulty.handle)
            responses = [await world.send("GET", "/x/1") for _ in range(3)]
            with anyio.fail_after(5):
                while faulty.closed < faulty.opened:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        assert [r.status for r in responses] == [int(status)] * 3
        assert not any(r.body for r in responses)

    edge_world.run_scenario(scenario)


# Guards against large answers that are kept for clients that do not read them.
def test_clients_that_do_not_read_large_answers_share_one_limit():
    async def scenario(world):
        world.edge.quota.resize(MEMORY_BYTES)
        host, _, port = world.settings.client_address.rpartition(":")
        streams = [await anyio.connect_tcp(host, int(port)) for _ in range(SLOW_CLIENTS)]
        body = b"r" * (MEMORY_BYTES // 20)  # the servers return it
        for number, stream in zip(itertools.count(), streams):
            head = [(b"host", b"h"), (NAMES.request_id, b"q%d" % number), (NAMES.object_key, b"k")]
            head.append((NAMES.deadline_ms, b"1500"))
            data = edge_world.http_messages.encode_request("GET", "/x/1", head, body)
            await stream.send(data)
        tracemalloc.start()
        for _ in range(20):
            await anyio.sleep(0.05)
            assert world.edge.quota.held_bytes <= world.edge.quota.limit_bytes
        assert (await world.send("GET", "/x/2")).status == 200
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert peak_bytes < PEAK_BYTES + 4 * len(body)
        for stream in streams:
            await stream.aclose()

    edge_world.run_scenario(scenario)
