"""The accepting of connections: errors of the system, and the connections queued at the end."""

import errno
import socket
import time

import anyio
import pytest

from sassafraslock import listening
from sassafraslock.services import http_server
from tests import loopback, test_graceful_close

HOST, PORT = loopback.HOST, 24_380


class FailingSocket(socket.socket):
    """A listening socket that has connections to accept but fails while ``failing`` is set."""

    def accept(self):
        if self.failing:
            self.calls += 1
            raise OSError(self.failing, "no connection")
        return super().accept()


def failing_listen(monkeypatch, number):
    sockets = []
    listen = listening.listen

    def replaced(host, port):
        plain = listen(host, port)
        listener = FailingSocket(plain.family, plain.type, plain.proto, plain.detach())
        listener.failing, listener.calls = number, 0
        sockets.append(listener)
        return listener

    monkeypatch.setattr(listening, "listen", replaced)
    return sockets


# Guards against a process that spins, logs without end, or no longer accepts after such an error.
@pytest.mark.parametrize("name", ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO"])
def test_an_error_of_accept_neither_spins_nor_ends_the_listening(monkeypatch, caplog, name):
    sockets = failing_listen(monkeypatch, getattr(errno, name))

    async def main():
        handler = test_graceful_close.Handler()
        server = http_server.HttpServer(handler, HOST, PORT)
        async with anyio.create_task_group() as group:
            await test_graceful_close.start(group, server)
            client = await anyio.connect_tcp(HOST, PORT)
            await client.send(test_graceful_close.get("/a"))
            await anyio.sleep(0.3)
            assert 1 <= sockets[0].calls <= 20
            assert len(caplog.records) <= 3
            sockets[0].failing = 0
            with anyio.fail_after(5):
                assert (await client.receive()).startswith(b"HTTP/1.1 200")
            await client.aclose()
            group.cancel_scope.cancel()

    anyio.run(main)


# Guards against LOST: at a stop without a free descriptor, queued clients were reset unread.
def test_clients_that_are_queued_without_a_free_descriptor_are_answered_at_a_stop(monkeypatch):
    sockets = failing_listen(monkeypatch, errno.EMFILE)

    async def main():
        handler = test_graceful_close.Handler()
        server = http_server.HttpServer(handler, HOST, PORT)
        async with anyio.create_task_group() as group:
            await test_graceful_close.start(group, server)
            client = await anyio.connect_tcp(HOST, PORT)
            await client.send(test_graceful_close.get("/a"))
            await anyio.sleep(0.05)
            group.start_soon(server.close_connections)
            await anyio.sleep(0.3)
            sockets[0].failing = 0
            with anyio.fail_after(5):
                assert (await client.receive()).startswith(b"HTTP/1.1 200")
            await client.aclose()
            with anyio.fail_after(5):
                while sockets[0].fileno() >= 0:
                    await anyio.sleep(0.05)
            group.cancel_scope.cancel()

    anyio.run(main)


# Rules out that a stall of the event loop lets a time limit pass before the socket is read.
def test_a_request_that_arrived_during_a_stall_is_read_before_time_limits_apply():
    async def main():
        handler = test_graceful_close.Handler()
        server = http_server.HttpServer(handler, HOST, PORT)
        server.limits = http_server.routing_table.Limits(idle_timeout_ms=100, header_timeout_ms=100)
        async with anyio.create_task_group() as group:
            await test_graceful_close.start(group, server)
            kept, begun = (test_graceful_close.connect(PORT) for _ in range(2))
            begun.send(test_graceful_close.get("/begun")[:20])
            await anyio.sleep(0.2)
            kept.send(test_graceful_close.get("/kept", "connection: close\r\n"))
            begun.send(test_graceful_close.get("/begun", "connection: close\r\n")[20:])
            time.sleep(2.5)
            for client in (kept, begun):
                received, _ = await test_graceful_close.receive_all(client)
                assert received.startswith(b"HTTP/1.1 200")
            group.cancel_scope.cancel()

    anyio.run(main)
