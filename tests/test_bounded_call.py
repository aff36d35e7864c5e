"""Endless responses from peers and the store: they fail in time and in limited memory."""

import functools
import tracemalloc

import anyio
import httpcore
import msgspec
import pytest
import store

from sassafraslock import bounded_call, errors, facts, platform, settings
from sassafraslock.services import peer_copies, platform_client, store_calls

HOST = "127.0.0.1"
CHUNK = b"a" * 65_536
MAX_BYTES = 1 << 20

ENDLESS_RESPONSES = {
    "body to the end": (b"HTTP/1.1 200 OK\r\n\r\n", CHUNK),
    "body with a length": (b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", CHUNK),
    "chunks": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"400\r\n" + b"a" * 1024 + b"\r\n",
    ),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"x-filler: a\r\n" * 1_000),
    "one header": (b"HTTP/1.1 200 OK\r\nx-filler: ", CHUNK),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1_000),
}


def peak_memory_against(prefix, repeated, scenario):
    """Run a scenario against a server that sends until the connection closes.

    Returns the peak of the memory that Python allocated, in bytes.
    """

    async def serve(stream):
        async with stream:
            try:
                await stream.receive()
                if prefix:
                    await stream.send(prefix)
                while True:
                    await stream.send(repeated)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
                return

    async def main():
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            with anyio.fail_after(20):
                await scenario(port)
            group.cancel_scope.cancel()

    tracemalloc.start()
    try:
        anyio.run(main)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("name", ["body to the end", "body with a length", "chunks"])
def test_a_body_larger_than_the_limit_raises(name):
    async def scenario(port):
        async with httpcore.AsyncConnectionPool() as pool:
            with pytest.raises(httpcore.RemoteProtocolError, match="larger than"):
                await bounded_call.request(pool, "GET", f"http://{HOST}:{port}/", MAX_BYTES)

    assert peak_memory_against(*ENDLESS_RESPONSES[name], scenario) < 4 * MAX_BYTES


@pytest.mark.parametrize("name", ENDLESS_RESPONSES)
def test_an_endless_copy_from_a_peer_gives_none(monkeypatch, name):
    monkeypatch.setattr(peer_copies, "MAX_COPY_BYTES", MAX_BYTES)

    async def scenario(port):
        client = peer_copies.CopyClient("")
        copy_request = peer_copies.CopyRequest({})
        assert await client.fetch(f"{HOST}:{port}", copy_request, 1.0) is None

    assert peak_memory_against(*ENDLESS_RESPONSES[name], scenario) < 8 * MAX_BYTES


@pytest.mark.parametrize("name", ENDLESS_RESPONSES)
def test_an_endless_response_of_the_platforms_store_gives_a_refusal(monkeypatch, name):
    monkeypatch.setattr(store_calls, "MAX_ANSWER_BYTES", MAX_BYTES)
    monkeypatch.setattr(store_calls, "WHOLE_ANSWER_TIMEOUT_S", 1.0)

    async def scenario(port):
        platform_store = store.Store(f"{HOST}:{port}", {})
        result = await platform_store.read_all(facts.Topic.SERVERS)
        assert result.kind is errors.ErrorKind.STORE_UNAVAILABLE

    assert peak_memory_against(*ENDLESS_RESPONSES[name], scenario) < 8 * MAX_BYTES


@pytest.mark.parametrize("name", ENDLESS_RESPONSES)
def test_an_endless_response_of_the_products_store_gives_a_refusal(monkeypatch, name):
    monkeypatch.setattr(platform_client, "MAX_ANSWER_BYTES", MAX_BYTES)

    async def scenario(port):
        address = settings.Platform(HOST, port, "a", timeout_ms=800)
        client = platform_client.PlatformClient(address)
        result = await client.transact(platform.Transaction())
        assert result.kind is errors.ErrorKind.STORE_UNAVAILABLE

    assert peak_memory_against(*ENDLESS_RESPONSES[name], scenario) < 8 * MAX_BYTES


def test_endless_pages_give_a_refusal(monkeypatch):
    monkeypatch.setattr(store, "MAX_ROWS", 500)
    page = [
        {"table": "servers", "part": "", "key": f"k{n}", "ver": n, "value": "", "tombstone": True}
        for n in range(100)
    ]

    async def endless(self, path, query, wait_s):
        return msgspec.convert({"rows": page, "ver": 1, "hasMore": True}, store.RowsAnswer)

    monkeypatch.setattr(store.Store, "_get_rows", endless)
    read = functools.partial(store.Store("127.0.0.1:1", {}).read_all, facts.Topic.SERVERS)
    result = anyio.run(read)
    assert (
        result.kind is errors.ErrorKind.STORE_UNAVAILABLE and "more than 500 rows" in result.reason
    )
