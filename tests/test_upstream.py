"""Exchanges with servers over real sockets: complete, broken, late and duplicate responses."""

import socket
import struct

import anyio
import pytest

from sassafraslock import clock
from sassafraslock.services import server_connection, upstream
from tests import loopback

HOST, PORT = loopback.HOST, 24_320
ID = b"r-1"
Outcome = server_connection.Outcome


def response(body=b"ok", request_id=ID, status=b"200 OK", head=b""):
    return (
        b"HTTP/1.1 " + status + b"\r\nx-id: " + request_id + b"\r\n" + head
        + b"content-length: %d\r\n\r\n" % len(body) + body
    )  # fmt: skip


CASES = {
    "whole": ([response()], Outcome.ANSWERED),
    "in pieces": ([response()[:20], response()[20:]], Outcome.ANSWERED),
    "chunked": (
        [b"HTTP/1.1 200 OK\r\nx-id: r-1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"],
        Outcome.ANSWERED,
    ),
    "ends with its connection": (
        [b"HTTP/1.1 200 OK\r\nx-id: r-1\r\n\r\nok", None],
        Outcome.ANSWERED,
    ),
    "ends with a reset": ([b"HTTP/1.1 200 OK\r\nx-id: r-1\r\n\r\nok", "reset"], Outcome.BROKEN),
    "truncated": ([response(b"okokok")[:-3], None], Outcome.BROKEN),
    "another request's answer first": ([response(b"no", b"r-0"), response()], Outcome.ANSWERED),
    "another request's answer only": ([response(b"no", b"r-0"), None], Outcome.BROKEN),
    "without an id": ([b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", None], Outcome.BROKEN),
    "interim answer first": ([b"HTTP/1.1 103 Early Hints\r\n\r\n", response()], Outcome.ANSWERED),
    "not http": ([b"hello there\r\n\r\n"], Outcome.MALFORMED),
    "bytes after it": ([response() + b"rubbish"], Outcome.ANSWERED),
    "doubled at once": ([response() + response()], Outcome.ANSWERED),
    "nothing": ([None], Outcome.BROKEN),
    "reset": (["reset"], Outcome.BROKEN),
}


def reset(stream):
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def run_scenario(script, scenario, accepted):
    async def serve(stream):
        accepted.append(stream)
        async with stream:
            while True:
                try:
                    await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                for step in script:
                    if step is None:
                        return
                    if step == "reset":
                        await anyio.sleep(0.02)
                        reset(stream)
                        return
                    await stream.send(step)
                    await anyio.sleep(0.01)

    listener = await anyio.create_tcp_listener(local_host=HOST, local_port=PORT, reuse_port=True)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        await scenario(upstream.Upstream(b"x-id"))
        group.cancel_scope.cancel()


async def ask(connections, request_id=ID):
    with anyio.fail_after(5):
        return await connections.exchange(
            f"{HOST}:{PORT}", lambda: b"GET / HTTP/1.1\r\n\r\n", request_id, False
        )


@pytest.mark.parametrize("name", list(CASES))
def test_only_a_complete_response_with_the_request_id_is_accepted(name):
    script, outcome = CASES[name]

    async def scenario(connections):
        exchange = await ask(connections)
        assert exchange.outcome is outcome
        if outcome is Outcome.ANSWERED:
            assert exchange.response.body == b"ok"

    anyio.run(run_scenario, script, scenario, [])


@pytest.mark.parametrize(
    "name, opened",
    [("whole", 1), ("bytes after it", 2), ("doubled at once", 2), ("ends with its connection", 2)],
)
def test_only_a_connection_without_unexpected_bytes_is_reused(name, opened):
    accepted = []

    async def scenario(connections):
        for _ in range(2):
            assert (await ask(connections)).outcome is Outcome.ANSWERED
            await anyio.sleep(0.05)

    anyio.run(run_scenario, CASES[name][0], scenario, accepted)
    assert len(accepted) == opened


# Guards against HEAD requests that wait for a body until their time limit, and get 504.
@pytest.mark.parametrize("name", ["whole", "interim answer first"])
def test_a_response_to_a_head_request_ends_with_its_head(name):
    script, _ = CASES[name]
    head_only = [step.replace(b"\r\n\r\nok", b"\r\n\r\n") for step in script]
    accepted = []

    async def scenario(connections):
        for _ in range(2):
            with anyio.fail_after(5):
                exchange = await connections.exchange(
                    f"{HOST}:{PORT}", lambda: b"HEAD / HTTP/1.1\r\n\r\n", ID, True
                )
            assert exchange.outcome is Outcome.ANSWERED
            assert exchange.response.status == 200 and not exchange.response.body
        assert len(accepted) == 2

    anyio.run(run_scenario, head_only, scenario, accepted)


def test_a_connection_is_not_reused_after_connection_close():
    accepted = []

    async def scenario(connections):
        await ask(connections)
        await ask(connections)

    anyio.run(run_scenario, [response(head=b"connection: close\r\n")], scenario, accepted)
    assert len(accepted) == 2


def test_a_refused_connection_is_reported_as_not_connected():
    async def scenario():
        exchange = await ask(upstream.Upstream(b"x-id"))
        assert exchange.outcome is Outcome.NOT_CONNECTED

    anyio.run(scenario)


ODD_ADDRESSES = ["10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:" + "9" * 5_000, "10.0.0.1", "",
                 "10.0.0.1\0:80", "10.0.0.1:x", "\ud800:80", "a" * 300 + ":80"]  # fmt: skip


# Guards against an address that cannot be one, whose error left the pool and failed requests.
@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda a: ascii(a)[:24])
def test_an_odd_address_is_reported_as_not_connected(address):
    async def scenario():
        connections = upstream.Upstream(b"x-id")
        assert await connections.probe(address) is upstream.Reachability.UNREACHABLE
        exchange = await connections.exchange(address, lambda: b"", ID, False)
        assert exchange.outcome is Outcome.NOT_CONNECTED
        assert connections.open_connections(address) == 0

    anyio.run(scenario)


IDLE_TIMEOUTS = [
    (b"timeout=5", 4_000),
    (b"max=3, timeout=5 , x=1", 4_000),
    (b"timeout=0", -1_000),
    (b"timeout=" + b"0" * 5_000 + b"5", 4_000),
    (b"timeout=" + b"9" * 5_000, server_connection.MAX_IDLE_MS),
    (b"timeout=", server_connection.MAX_IDLE_MS),
    (b"timeout=-5", server_connection.MAX_IDLE_MS),
    (b"timeout=1.5", server_connection.MAX_IDLE_MS),
    (b"timeout=\xd9\xa1", server_connection.MAX_IDLE_MS),
    (b"\xff" * 90, server_connection.MAX_IDLE_MS),
]


# Guards against an idle timeout of thousands of digits, which failed the answer that it came with.
@pytest.mark.parametrize("value, idle_ms", IDLE_TIMEOUTS, ids=lambda v: str(v)[:24])
def test_the_announced_idle_timeout_never_fails_an_answer(value, idle_ms):
    async def scenario(connections):
        exchange = await ask(connections)
        assert exchange.outcome is Outcome.ANSWERED
        (idle,) = connections._idle[f"{HOST}:{PORT}"]
        assert idle.max_idle_ms == idle_ms

    head = b"keep-alive: " + value + b"\r\n"
    anyio.run(run_scenario, [response(head=head)], scenario, [])


ODD_LENGTHS = [b"-1", b"9" * 5_000, b"18446744073709551616", b"2, 2", b"+2", b"0x2", b"\xd9\xa2",
               b"2\r\ncontent-length: 3", b"nan"]  # fmt: skip


@pytest.mark.parametrize("length", ODD_LENGTHS, ids=lambda v: str(v)[:24])
def test_an_odd_length_of_an_answer_ends_that_exchange_only(length):
    head = b"HTTP/1.1 200 OK\r\nx-id: r-1\r\ncontent-length: " + length + b"\r\n\r\nok"

    async def scenario(connections):
        for _ in range(2):
            exchange = await ask(connections)
            assert exchange.outcome in (Outcome.MALFORMED, Outcome.BROKEN)

    anyio.run(run_scenario, [head, None], scenario, [])


def test_cancellation_closes_the_connection():
    accepted = []

    async def scenario(connections):
        with anyio.move_on_after(0.05):
            await ask(connections)
        await anyio.sleep(0.05)
        with pytest.raises(anyio.ClosedResourceError):
            await accepted[0].receive()
        assert connections.open_connections(f"{HOST}:{PORT}") == 0

    anyio.run(run_scenario, [], scenario, accepted)


# Guards against requests that are given up while the network holds their bytes up, and that reach
# their server afterwards, when it drains or its zone is evacuated.
def test_a_request_that_is_given_up_resets_its_connection():
    accepted = []

    async def scenario(connections):
        with anyio.move_on_after(0.1):
            await ask(connections)
        await anyio.sleep(0.05)
        with pytest.raises(anyio.BrokenResourceError):  # not the end of the stream
            await accepted[0].receive()

    async def main():
        async def serve(stream):
            accepted.append(stream)
            await stream.receive()
            await anyio.sleep_forever()

        listener = await anyio.create_tcp_listener(local_host=HOST, local_port=PORT)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            await scenario(upstream.Upstream(b"x-id"))
            group.cancel_scope.cancel()

    anyio.run(main)


def test_an_answered_request_does_not_reset_its_connection():
    async def scenario(connections):
        assert (await ask(connections)).outcome is Outcome.ANSWERED
        connections.close_idle(clock.monotonic_ms() + 60_000)
        await anyio.sleep(0.05)

    ends = []

    async def main():
        async def serve(stream):
            await stream.receive()
            await stream.send(response())
            try:
                await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError) as error:
                ends.append(type(error))

        listener = await anyio.create_tcp_listener(local_host=HOST, local_port=PORT)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            await scenario(upstream.Upstream(b"x-id"))
            group.cancel_scope.cancel()
        assert ends == [anyio.EndOfStream]

    anyio.run(main)


def test_connections_are_closed_after_the_idle_limit():
    accepted = []

    async def scenario(connections):
        await ask(connections)
        connections.close_idle(upstream.clock.monotonic_ms() + server_connection.MAX_IDLE_MS)
        await ask(connections)

    anyio.run(run_scenario, [response()], scenario, accepted)
    assert len(accepted) == 2


def test_a_keep_alive_header_shortens_the_idle_limit():
    accepted = []

    async def scenario(connections):
        await ask(connections)
        connections.close_idle(upstream.clock.monotonic_ms() + 1_100)
        await ask(connections)

    anyio.run(run_scenario, [response(head=b"keep-alive: timeout=2\r\n")], scenario, accepted)
    assert len(accepted) == 2


def test_idle_connections_dropped_by_servers_shorten_the_idle_limit(monkeypatch):
    monkeypatch.setattr(upstream, "MIN_IDLE_MS", 10)
    accepted = []

    async def serve_once(stream):
        accepted.append(stream)
        async with stream:
            await stream.receive()
            await stream.send(response())
            try:
                await stream.receive()
            except anyio.EndOfStream:
                return
            reset(stream)

    async def main():
        listener = await anyio.create_tcp_listener(local_host=HOST, local_port=PORT)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve_once)
            connections = upstream.Upstream(b"x-id")
            for outcome in (Outcome.ANSWERED, Outcome.BROKEN, Outcome.ANSWERED, Outcome.ANSWERED):
                assert (await ask(connections)).outcome is outcome
                await anyio.sleep(0.06)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert len(accepted) == 3
