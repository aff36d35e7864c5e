"""HTTP server for clients: order, concurrency, limits, time-outs, closing, disconnects."""

import anyio
import pytest

from sassafraslock import http_messages, routing_table
from sassafraslock.services import http_server
from tests import loopback

HOST, PORT = loopback.HOST, 24_340


class Handler:
    """Responds with the target and the body; words in the target delay it or make it fail."""

    def __init__(self):
        self.started, self.cancelled = [], []

    async def __call__(self, request):
        self.started.append(request.target)
        try:
            if "slow" in request.target:
                await anyio.sleep(0.15)
            if "forever" in request.target:
                await anyio.sleep_forever()
        except BaseException:
            self.cancelled.append(request.target)
            raise
        if "fail" in request.target:
            raise RuntimeError("broken")
        return http_messages.Response(200, [], request.target.encode() + request.body)


def run_scenario(scenario, limits=None):
    async def main():
        handler = Handler()
        server = http_server.HttpServer(handler, HOST, PORT, lambda r: r.method == "GET")
        server.limits = limits or server.limits
        async with anyio.create_task_group() as group:
            ready = anyio.Event()
            group.start_soon(server.run, ready)
            await ready.wait()
            with anyio.fail_after(5):
                async with await anyio.connect_tcp(HOST, PORT) as stream:
                    await scenario(stream, handler, server)
            group.cancel_scope.cancel()

    anyio.run(main)


async def read_until(stream, text):
    received = b""
    while text not in received:
        received += await stream.receive()
    return received


async def read_to_end(stream):
    received = b""
    while True:
        try:
            received += await stream.receive()
        except anyio.EndOfStream:
            return received


def get(path):
    return f"GET {path} HTTP/1.1\r\nhost: h\r\n\r\n".encode()


def post(path, body=b""):
    head = f"POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def test_pipelined_reads_run_concurrently_and_are_answered_in_order():
    async def scenario(stream, handler, server):
        await stream.send(get("/slow1") + get("/quick") + get("/last"))
        await anyio.sleep(0.05)
        assert handler.started == ["/slow1", "/quick", "/last"]
        received = await read_until(stream, b"/last")
        assert received.index(b"/slow1") < received.index(b"/quick") < received.index(b"/last")

    run_scenario(scenario)


def test_a_write_runs_after_earlier_requests_and_before_later_ones():
    async def scenario(stream, handler, server):
        await stream.send(get("/slow1") + post("/slow-filing") + get("/last"))
        await anyio.sleep(0.05)
        assert handler.started == ["/slow1"]
        await read_until(stream, b"/slow1")
        await anyio.sleep(0.05)
        assert handler.started == ["/slow1", "/slow-filing"]
        await read_until(stream, b"/last")

    run_scenario(scenario)


def test_a_disconnect_cancels_the_requests_of_the_client():
    async def scenario(stream, handler, server):
        await stream.send(get("/forever1") + get("/forever2"))
        await anyio.sleep(0.05)
        await stream.aclose()
        await anyio.sleep(0.05)
        assert sorted(handler.cancelled) == ["/forever1", "/forever2"]
        assert not server.is_busy

    run_scenario(scenario)


def test_bodies_have_a_length_or_chunks():
    async def scenario(stream, handler, server):
        await stream.send(post("/a", b"body"))
        await read_until(stream, b"/abody")
        head = b"POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        await stream.send(head + b"3\r\nbod\r\n")
        await stream.send(b"1\r\ny\r\n0\r\n\r\n")
        await read_until(stream, b"/bbody")

    run_scenario(scenario)


def test_closing_announces_the_close_with_the_last_response():
    async def scenario(stream, handler, server):
        await stream.send(get("/slow1") + get("/slow2"))
        await anyio.sleep(0.02)
        server.begin_closing()
        received = await read_to_end(stream)
        assert received.count(b"connection: close") == 1
        assert (
            received.index(b"/slow1")
            < received.index(b"connection: close")
            < received.index(b"/slow2")
        )

    run_scenario(scenario)


# Guards against a second answer, status 400, to a request that offers another protocol.
@pytest.mark.parametrize("header", [b"connection: close", b"connection: upgrade\r\nupgrade: h2c"])
def test_a_request_with_connection_close_or_upgrade_closes_the_connection(header):
    async def scenario(stream, handler, server):
        await stream.send(b"GET /x HTTP/1.1\r\nhost: h\r\n" + header + b"\r\n\r\n" + get("/y"))
        received = await read_to_end(stream)
        assert b"/x" in received and received.count(b"HTTP/1.1") == 1
        assert handler.started == ["/x"]

    run_scenario(scenario)


LIMITS = routing_table.Limits(max_header_bytes=200, max_body_bytes=10)
REJECTED = {
    "not http": (b"hello\r\n\r\n", b"400"),
    "two lengths": (
        b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        b"400",
    ),
    "length and chunks": (
        b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n",
        b"400",
    ),
    "large head": (b"GET / HTTP/1.1\r\nhost: h\r\nx: " + b"y" * 300 + b"\r\n\r\n", b"431"),
    "large body": (post("/", b"x" * 11), b"413"),
}


@pytest.mark.parametrize("name", list(REJECTED))
def test_invalid_or_too_large_messages_are_rejected_and_close_the_connection(name):
    raw, status = REJECTED[name]

    async def scenario(stream, handler, server):
        await stream.send(raw)
        received = await read_to_end(stream)
        assert received.startswith(b"HTTP/1.1 " + status)
        assert handler.started == []

    run_scenario(scenario, LIMITS)


def test_a_rejection_is_sent_after_earlier_responses():
    async def scenario(stream, handler, server):
        await stream.send(get("/slow1") + b"rubbish\r\n\r\n")
        received = await read_to_end(stream)
        assert received.startswith(b"HTTP/1.1 200") and b"HTTP/1.1 400" in received

    run_scenario(scenario)


def test_a_pipelined_request_with_a_too_large_body_is_not_run():
    async def scenario(stream, handler, server):
        await stream.send(get("/slow1") + post("/w", b"x" * 11) + get("/after"))
        received = await read_to_end(stream)
        assert b"/slow1" in received and b"HTTP/1.1 413" in received
        assert handler.started == ["/slow1"]

    run_scenario(scenario, LIMITS)


def test_a_head_that_takes_too_long_is_rejected():
    async def scenario(stream, handler, server):
        connection = next(iter(server.connections))
        now_ms = http_server.clock.monotonic_ms()
        await stream.send(b"GET / HT")
        await anyio.sleep(0.02)
        connection.enforce_timeouts(now_ms + LIMITS.header_timeout_ms)
        assert server.connections
        connection.enforce_timeouts(now_ms + LIMITS.header_timeout_ms + 2_000)
        assert b"408" in await read_to_end(stream)

    run_scenario(scenario, LIMITS)


def test_an_idle_connection_is_closed_after_the_limit():
    async def scenario(stream, handler, server):
        await stream.send(get("/a"))
        await read_until(stream, b"/a")
        connection = next(iter(server.connections))
        now_ms = http_server.clock.monotonic_ms()
        connection.enforce_timeouts(now_ms + LIMITS.idle_timeout_ms)
        connection.enforce_timeouts(now_ms + LIMITS.idle_timeout_ms + 2_000)
        assert await read_to_end(stream) == b""

    run_scenario(scenario, LIMITS)


def test_a_handler_that_raises_gives_status_500():
    async def scenario(stream, handler, server):
        await stream.send(get("/fail"))
        assert b"HTTP/1.1 500" in await read_to_end(stream)

    run_scenario(scenario)


def test_a_response_to_head_has_a_length_but_no_body():
    async def scenario(stream, handler, server):
        await stream.send(b"HEAD /abc HTTP/1.1\r\nhost: h\r\n\r\n" + get("/b"))
        received = await read_until(stream, b"/b")
        assert b"content-length: 4\r\n\r\nHTTP/1.1" in received

    run_scenario(scenario)
