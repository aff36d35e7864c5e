"""One attempt against real sockets: whole answers, broken ones, and servers that are not there."""

import anyio
import pytest

from sassafraslock.decisions import retry
from sassafraslock.services import forwarder

HOST, PORT = "127.0.0.1", 24_100
ANSWERS = {
    "whole": (
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-a: 1\r\n\r\nok",
        retry.AttemptEnd.ANSWERED,
    ),
    "chunked": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        retry.AttemptEnd.ANSWERED,
    ),
    "truncated": (
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
        retry.AttemptEnd.BROKE_MID_RUN,
    ),
    "truncated chunk": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nok",
        retry.AttemptEnd.BROKE_MID_RUN,
    ),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\nok", retry.AttemptEnd.BROKE_MID_RUN),
    "not http": (b"hello there\r\n\r\n", retry.AttemptEnd.BROKE_MID_RUN),
    "nothing": (b"", retry.AttemptEnd.BROKE_MID_RUN),
    "shed": (
        b"HTTP/1.1 503 No\r\ncontent-length: 0\r\nsassafraslock-not-run: true\r\n\r\n",
        retry.AttemptEnd.REFUSED_NOT_RUN,
    ),
    "too large": (
        b"HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n" + b"x" * 5000,
        retry.AttemptEnd.BROKE_MID_RUN,
    ),
}


async def attempt(raw, left_ms=2000):
    async def serve(stream):
        async with stream:
            await stream.receive()
            if raw is None:
                await anyio.sleep_forever()
            if raw:
                await stream.send(raw)

    sending = forwarder.Forwarder()
    listener = await anyio.create_tcp_listener(local_host=HOST, local_port=PORT, reuse_port=True)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        outgoing = forwarder.Outgoing("GET", "/x", [(b"content-length", b"0")], b"")
        result = await sending.attempt(f"{HOST}:{PORT}", 2, outgoing, left_ms, 4096)
        group.cancel_scope.cancel()
    return result


@pytest.mark.parametrize("name", list(ANSWERS))
def test_a_broken_answer_never_looks_whole(name):
    raw, end = ANSWERS[name]
    result = anyio.run(attempt, raw)
    assert result.end is end
    if end is retry.AttemptEnd.ANSWERED:
        assert result.body == b"ok"


def test_silence_ends_at_the_deadline():
    assert anyio.run(attempt, None, 100).end is retry.AttemptEnd.TIMED_OUT


def test_a_refused_connection_was_certainly_not_sent():
    async def main():
        outgoing = forwarder.Outgoing("GET", "/x", [], b"")
        return await forwarder.Forwarder().attempt(f"{HOST}:{PORT + 1}", 1, outgoing, 500, 10)

    assert anyio.run(main).end is retry.AttemptEnd.NOT_SENT


def test_hop_by_hop_headers_stay_behind():
    headers = [(b"connection", b"close, X-Private"), (b"x-private", b"1"), (b"x-a", b"1")]
    assert forwarder.end_to_end([*headers, (b"transfer-encoding", b"chunked")]) == [(b"x-a", b"1")]
