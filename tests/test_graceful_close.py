"""Answers reach clients that read slowly, or go on sending, whatever ends the connection."""

import socket
import types

import anyio
import pytest

from sassafraslock import clock, edge_settings, http_messages, kernel, routing_table
from sassafraslock.services import client_connection, cut_log, departure, http_server
from tests import loopback

HOST, PORT = loopback.HOST, 24_360
GRACE_MS = 3_000
SERVED_UNTIL_S = 1.7  # of a stop with this grace period
LARGE_BYTES = 16 << 20  # more than the buffers of both kernels hold
FITTING_BYTES = 1 << 20  # the buffers of the kernels hold it
REST_BYTES = 40 << 10  # the event loop keeps some of it if the buffers of the kernels are small
SMALL_BUFFER_BYTES = 4 << 10
STEP_BYTES = 64 << 10  # a slow client pauses after each step


class Handler:
    """Answers with a large body, late, or with the target."""

    def __init__(self):
        self.in_flight = 0
        self.started = []

    async def __call__(self, request):
        self.started.append(request.target)
        self.in_flight += 1
        try:
            if "slow" in request.target:
                await anyio.sleep(0.1)
            if "later" in request.target:
                await anyio.sleep(0.3)
            if "fail" in request.target:
                raise RuntimeError("broken")
        finally:
            self.in_flight -= 1
        if "odd" in request.target:
            return http_messages.Response(200, [(b"x", None)], b"odd")
        sizes = {"/large": LARGE_BYTES, "/fitting": FITTING_BYTES, "/rest": REST_BYTES}
        body = bytes(sizes.get(request.target, 0)) or request.target.encode()
        return http_messages.Response(200, [], body)


class StoppingEntry:
    """An entry whose client server runs alone; ``at_last_check`` is called before it stops."""

    def __init__(self, handler, server, at_last_check):
        bounds = edge_settings.Bounds(grace_ms=GRACE_MS)
        self.settings = types.SimpleNamespace(bounds=bounds, entry_id="e-1")
        self.client_server = server
        self._handler = handler
        self._at_last_check = at_last_check

    @property
    def in_flight(self):
        return self._handler.in_flight

    @property
    def stop_requested_ms(self):
        return clock.monotonic_ms()

    def begin_leaving(self, schedule):
        self.client_server.begin_closing()

    def refuse_new_requests(self):
        """Called right after the last check; what has arrived by then is not processed yet."""
        if self._at_last_check:
            self._at_last_check()
            self._at_last_check = None

    def interrupt_requests(self):
        pass


def connect(port=PORT):
    client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client.connect((HOST, port))
    client.settimeout(5)
    return client


async def send(client, data):
    await anyio.to_thread.run_sync(client.sendall, data)


async def receive_all(client):
    """Return all that arrives until the end of the connection, and whether it was reset."""

    def receive():
        received = bytearray()
        try:
            while data := client.recv(1 << 20):
                received += data
        except ConnectionResetError:
            return bytes(received), True
        return bytes(received), False

    return await anyio.to_thread.run_sync(receive)


def get(path, headers=""):
    return f"GET {path} HTTP/1.1\r\nhost: h\r\n{headers}\r\n".encode()


def run_server(scenario, limits=None):
    """Run a scenario with a server that does not stop before its end."""

    async def main():
        handler = Handler()
        server = http_server.HttpServer(handler, HOST, PORT, lambda r: r.method == "GET")
        server.limits = limits or server.limits
        async with anyio.create_task_group() as group:
            await start(group, server)
            with anyio.fail_after(15):
                await scenario(server, handler)
            group.cancel_scope.cancel()

    anyio.run(main)


async def start(group, server):
    ready = anyio.Event()
    group.start_soon(server.run, ready)
    await ready.wait()


def run_stop(scenario, at_last_check=None):
    """Run a scenario whose start is that of a planned stop; the stop has ended when it returns."""

    async def main():
        handler = Handler()
        server = http_server.HttpServer(handler, HOST, PORT, lambda r: r.method == "GET")
        entry = StoppingEntry(handler, server, at_last_check)
        core = kernel.Kernel()
        core.register("front", departure.Departure(entry))
        with anyio.fail_after(15):
            async with anyio.create_task_group() as group:
                group.start_soon(core.run, int(0.9 * GRACE_MS))
                while not core.all_ready:
                    await anyio.sleep(0.01)
                group.start_soon(scenario, core, handler)

    anyio.run(main)


def count_answers(received):
    return received.count(b"HTTP/1.1 200")


BEHIND = {"nothing": b"", "a request": get("/next"), "a part of a request": b"GET /next HT"}


# Guards against an answer that the end of a stop cuts since its client has not read all of it.
@pytest.mark.parametrize("behind", list(BEHIND))
def test_a_stop_does_not_cut_the_answer_to_a_slow_reader(behind):
    async def scenario(core, handler):
        client = connect()
        await send(client, get("/large"))
        await anyio.sleep(0.2)
        await send(client, BEHIND[behind])
        core.request_stop()
        await anyio.sleep(SERVED_UNTIL_S + 0.3)
        received, reset = await receive_all(client)
        assert len(received) > LARGE_BYTES and not reset

    run_stop(scenario)


# Guards against a request that is cut since it arrives at the last check of a stop.
@pytest.mark.parametrize("kept", [True, False])
def test_a_request_that_arrives_in_the_moment_of_the_last_check_is_answered(kept):
    clients = []

    def arrive():
        if not kept:
            clients.append(connect())
        clients[0].sendall(get("/late"))

    async def scenario(core, handler):
        if kept:
            clients.append(connect())
            await anyio.sleep(0.05)
        core.request_stop()
        await anyio.sleep(SERVED_UNTIL_S + 0.3)
        received, _ = await receive_all(clients[0])
        assert count_answers(received) == 1
        assert b"connection: close" in received

    run_stop(scenario, arrive)


# Guards against a request that is cut while it is being received.
def test_a_request_that_is_received_across_the_last_check_is_answered():
    async def scenario(core, handler):
        client = connect()
        core.request_stop()
        await anyio.sleep(SERVED_UNTIL_S - 0.2)
        request = get("/late")
        await send(client, request[:20])
        await anyio.sleep(0.4)
        await send(client, request[20:])
        received, _ = await receive_all(client)
        assert count_answers(received) == 1

    run_stop(scenario)


# Guards against a client that never completes its request and so delays the stop, or gets nothing.
def test_a_request_that_is_never_complete_is_refused_at_the_end_of_a_stop():
    async def scenario(core, handler):
        client = connect()
        await send(client, get("/late")[:20])
        core.request_stop()
        received, _ = await receive_all(client)
        assert received.startswith(b"HTTP/1.1 408") and b"connection: close" in received

    run_stop(scenario)


# Guards against an idle connection that a stop keeps open, and so lasts as long as it may.
def test_idle_connections_do_not_delay_a_stop():
    ended = []

    async def scenario(core, handler):
        clients = [connect(), connect()]
        await send(clients[0], get("/a"))
        await anyio.sleep(0.05)
        core.request_stop()
        while not ended:
            await anyio.sleep(0.01)
        for client in clients:
            client.close()

    async def main():
        handler = Handler()
        server = http_server.HttpServer(handler, HOST, PORT)
        core = kernel.Kernel()
        stop = departure.Departure(StoppingEntry(handler, server, None))
        core.register("front", stop)
        async with anyio.create_task_group() as group:
            group.start_soon(core.run, 10_000)
            while not core.all_ready:
                await anyio.sleep(0.01)
            group.start_soon(scenario, core, handler)
            with anyio.fail_after(SERVED_UNTIL_S + 4):
                while server.connections or not ended:
                    await anyio.sleep(0.01)
                    if not server.connections:
                        ended.append(True)

    anyio.run(main)


# Guards against a last answer that is reset since the client sent more and read slowly.
def test_a_last_answer_reaches_a_client_that_reads_late_and_goes_on_sending():
    async def scenario(server, handler):
        client = connect()
        await send(client, get("/large", "connection: close\r\n"))
        await anyio.sleep(1.5)
        await send(client, get("/more"))
        await anyio.sleep(0.2)
        received, reset = await receive_all(client)
        assert len(received) > LARGE_BYTES and not reset

    run_server(scenario)


# Guards against a large answer that is cut though its client reads all the time, but slowly.
def test_a_client_that_reads_slowly_all_the_time_gets_the_whole_answer():
    async def scenario(server, handler):
        client = connect()
        await send(client, get("/large", "connection: close\r\n"))
        received = 0
        while data := await anyio.to_thread.run_sync(client.recv, STEP_BYTES):
            if (received + len(data)) // STEP_BYTES > received // STEP_BYTES:
                await anyio.sleep(0.008)
            received += len(data)
        assert received > LARGE_BYTES

    run_server(scenario, routing_table.Limits(idle_timeout_ms=500))


# Guards against a connection that is closed as idle while a body arrives on it.
def test_a_body_that_arrives_slowly_after_an_idle_time_is_read_to_its_end():
    async def scenario(server, handler):
        client = connect()
        await anyio.sleep(0.7)
        await send(client, b"POST /p HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\na")
        await anyio.sleep(0.6)
        now_ms = http_server.clock.monotonic_ms()
        next(iter(server.connections)).enforce_timeouts(now_ms)
        await anyio.sleep(0.05)
        await send(client, b"b" + get("/end", "connection: close\r\n"))
        received, _ = await receive_all(client)
        assert count_answers(received) == 2

    run_server(scenario, routing_table.Limits(idle_timeout_ms=100))


# Guards against a connection closed without an answer when a body stops arriving.
def test_a_body_that_stops_arriving_is_answered_as_late():
    async def scenario(server, handler):
        client = connect()
        await send(client, b"POST /p HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\na")
        await anyio.sleep(0.05)
        now_ms = http_server.clock.monotonic_ms()
        next(iter(server.connections)).enforce_timeouts(now_ms + 2_000)
        received, _ = await receive_all(client)
        assert received.startswith(b"HTTP/1.1 408")

    run_server(scenario, routing_table.Limits(idle_timeout_ms=100))


# Guards against a handler's fault that cuts the requests that run behind it on the connection.
def test_a_handler_that_raises_does_not_cut_the_requests_behind_it():
    async def scenario(server, handler):
        client = connect()
        await send(client, get("/slow-fail") + get("/later") + get("/last"))
        received, _ = await receive_all(client)
        assert handler.started == ["/slow-fail", "/later", "/last"]
        assert received.startswith(b"HTTP/1.1 500") and count_answers(received) == 2
        assert received.index(b"connection: close") > received.index(b"/later")

    run_server(scenario)


# Guards against a request that never gets an answer since its response cannot be encoded.
def test_a_response_that_cannot_be_encoded_gives_status_500():
    async def scenario(server, handler):
        client = connect()
        await send(client, get("/odd") + get("/end", "connection: close\r\n"))
        received, _ = await receive_all(client)
        assert received.startswith(b"HTTP/1.1 500")

    run_server(scenario)


# Guards against a request that never gets an answer since the pipelining policy raises.
def test_a_policy_that_raises_does_not_leave_requests_without_answers():
    async def scenario(server, handler):
        def fail(request):
            raise RuntimeError("broken")

        server._policy = fail
        client = connect()
        await send(client, get("/a") + get("/end", "connection: close\r\n"))
        received, _ = await receive_all(client)
        assert count_answers(received) == 2

    run_server(scenario)


# Guards against connections that stay open for ever since their clients do not read to the end.
@pytest.mark.parametrize("headers", ["", "connection: close\r\n"])
@pytest.mark.parametrize(("path", "cut"), [("/large", 1), ("/fitting", 0)])
def test_a_client_that_stops_reading_is_cut_in_the_end(path, cut, headers):
    async def scenario(server, handler):
        client = connect()
        await send(client, get(path, headers))
        await anyio.sleep(0.1)
        while server.connections:
            await anyio.sleep(0.05)
        assert server.cuts.counts[cut_log.CutCause.BLOCKED] == cut
        received, _ = await receive_all(client)
        assert len(received) > FITTING_BYTES

    run_server(scenario, routing_table.Limits(idle_timeout_ms=200))


# Guards against connections that stay open for ever since their clients close their sending side
# and do not read a rest that fits into the buffer of the event loop.
def test_a_client_that_half_closes_and_stops_reading_is_cut_in_the_end():
    async def scenario(server, handler):
        client = connect()
        while not server.connections:
            await anyio.sleep(0.01)
        (connection,) = server.connections
        accepted = connection._transport.get_extra_info("socket")
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        await send(client, get("/rest"))
        await anyio.sleep(0.1)
        client.shutdown(socket.SHUT_WR)
        while server.connections:
            await anyio.sleep(0.05)
        assert server.cuts.counts[cut_log.CutCause.BLOCKED] == 1

    run_server(scenario, routing_table.Limits(idle_timeout_ms=200))


# Guards against a fault in one connection that ends the server, and with it all connections.
def test_a_fault_while_a_connection_is_checked_costs_that_connection_alone(monkeypatch):
    async def scenario(server, handler):
        faulty, other = connect(), connect()
        await send(faulty, get("/a")[:20])
        await anyio.sleep(0.05)
        check = client_connection.Connection.enforce_timeouts

        def enforce_timeouts(connection, now_ms):
            if connection.unfinished.is_receiving:
                raise RuntimeError("broken")
            check(connection, now_ms)

        monkeypatch.setattr(client_connection.Connection, "enforce_timeouts", enforce_timeouts)
        received, _ = await receive_all(faulty)
        assert received == b"" and server.cuts.counts[cut_log.CutCause.FAULT] == 1
        await send(other, get("/b", "connection: close\r\n"))
        received, _ = await receive_all(other)
        assert count_answers(received) == 1

    run_server(scenario)
