"""What callers see of a server that writes parts of other answers, or cuts its own one."""

import anyio
import pytest

from tests import edge_world

PORT = edge_world.FIRST_PORT + 18
NAMES = edge_world.NAMES
REFUSAL = b"HTTP/1.1 503 Busy\r\n" + NAMES.not_run + b": 1\r\ncontent-length: 0\r\n\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\n%b: %b\r\nx-signature: s\r\ncontent-length: 4\r\n\r\ndone"
CHUNKS = b"HTTP/1.1 200 OK\r\n%b: %b\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndo"
# The bytes before the answer, the answer and how much of it, and the status for an unsafe request.
SCRIPTS = {
    "earlier refusal, whole": (REFUSAL, WHOLE, None, 200),
    "earlier refusal, cut in its reason": (REFUSAL[:15], WHOLE, None, 502),
    "earlier refusal, cut in its mark": (REFUSAL[:43], WHOLE, None, 502),
    "cut in the status line": (b"", WHOLE, 12, 502),
    "cut in a header": (b"", WHOLE, 40, 502),
    "cut before the empty line": (b"", WHOLE, -8, 502),
    "cut after the head": (b"", WHOLE, -4, 502),
    "cut within the length": (b"", WHOLE, -1, 502),
    "cut within a chunk": (b"", CHUNKS, None, 502),
}


async def serve(script, ran, listener):
    before, answer, size, _ = SCRIPTS[script]

    async def handle(stream):
        async with stream:
            received = await stream.receive()
            request_id = received.partition(NAMES.request_id + b": ")[2].partition(b"\r\n")[0]
            ran.append(received.split(b" ")[0])
            await stream.send(before + (answer % (NAMES.request_id, request_id))[:size])

    await listener.serve(handle)


# Guards against "not run" for a request that ran, and against a cut answer passed on as whole.
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("script", list(SCRIPTS))
def test_callers_get_their_own_whole_answer_or_none(script, method):
    ran = []

    async def scenario(world):
        home = world.servers_by_preference()[0]
        world.source.put_server(home.server_id, f"{edge_world.HOST}:{PORT}", tells_cold_time=True)
        servers = world.edge.routing_state.registry.servers
        while servers[home.server_id].report.address != f"{edge_world.HOST}:{PORT}":
            await anyio.sleep(0.02)
        listener = await anyio.create_tcp_listener(local_host=edge_world.HOST, local_port=PORT)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(serve, script, ran, listener)
            path, body = ("/x/1", b"") if method == "GET" else ("/w/1", b"b")
            response = await world.send(method, path, body)
            group.cancel_scope.cancel()
        whole = SCRIPTS[script][3] == 200
        assert response.status == (200 if whole or method == "GET" else 502)
        if response.status == 200:
            assert response.body == (b"done" if whole else b"read")
        assert len(ran) == 1 and world.runs == (0 if whole or method == "POST" else 1)

    edge_world.run_scenario(scenario)
