"""What an entry that stood still finds when it goes on, over real sockets."""

import asyncio
import socket
import struct

import pytest

from sassafraslock.services import server_connection, upstream
from tests import loopback

HEAD = b"HTTP/1.1 200 OK\r\nx-id: r-1\r\ncontent-length: 2\r\n\r\nok"


async def answer(listener):
    """Accept a connection, answer its first request, and return it."""
    loop = asyncio.get_running_loop()
    accepted, _ = await asyncio.wait_for(loop.sock_accept(listener), 2)
    await loop.sock_recv(accepted, 65_536)
    await loop.sock_sendall(accepted, HEAD)
    return accepted


def end(accepted, ending):
    if ending == "reset":
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    accepted.close()


# Guards against requests that are lost, and count against themselves as if they had crashed a
# server, since a connection that ended during the standstill was taken for an open one.
@pytest.mark.parametrize("ending", ["close", "reset"])
def test_a_request_read_beside_the_end_of_a_kept_connection_gets_a_new_one(ending):
    async def main():
        listener = socket.create_server((loopback.HOST, 0))
        listener.setblocking(False)
        host, port = listener.getsockname()
        pool = upstream.Upstream(b"x-id")

        def exchange():
            sent = pool.exchange(f"{host}:{port}", lambda: b"request", b"r-1", False)
            return asyncio.ensure_future(sent)

        first = exchange()
        accepted = await answer(listener)
        assert (await first).connect_ms >= 0
        client, entry = socket.socketpair()
        exchanges = []

        def read():
            entry.recv(1)
            exchanges.append(exchange())

        asyncio.get_running_loop().add_reader(entry, read)
        client.send(b"1")  # from here on to the next await, the loop stands still
        end(accepted, ending)
        answering = asyncio.ensure_future(answer(listener))
        while not exchanges:
            await asyncio.sleep(0)
        result = await exchanges[0]
        answering.cancel()
        asyncio.get_running_loop().remove_reader(entry)
        for one in (client, entry, listener):
            one.close()
        return result

    result = asyncio.run(main())
    assert result.outcome is server_connection.Outcome.ANSWERED and result.connect_ms >= 0
