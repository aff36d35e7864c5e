"""A planned stop while requests go on arriving: each one is answered, or was never taken."""

import socket
import time
import types

import anyio
import pytest

from sassafraslock import clock, edge_settings, http_messages
from sassafraslock.services import departure, http_server
from tests import edge_world, fact_source

NAMES = edge_world.NAMES
WORK_S = 0.4
STEP_S = 0.05
ROUTES = [fact_source.route(), fact_source.route("w", "/w/", idempotent=False)]
LONG_ROUTE = fact_source.route("w", "/w/", idempotent=False, timeout_ms=5_000)


def encode(number, limit_ms):
    head = [(b"host", b"h"), (NAMES.request_id, b"q%d" % number), (NAMES.object_key, b"k")]
    head.append((NAMES.deadline_ms, str(limit_ms).encode()))
    return http_messages.encode_request("POST", f"/w/{number}", head, b"b")


async def receive_all(stream):
    received = b""
    try:
        while True:
            received += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return received


async def ask(world, number, delay_s, kept, answers, limit_ms=1_000):
    """Send a request some time after the stop began, on a connection that is kept or new."""
    host, _, port = world.settings.client_address.rpartition(":")
    answers[number] = b""
    try:
        if not kept:
            await anyio.sleep(delay_s)
        async with await anyio.connect_tcp(host, int(port)) as stream:
            if kept:
                await anyio.sleep(delay_s)
            await stream.send(encode(number, limit_ms))
            answers[number] = await receive_all(stream)
    except (OSError, anyio.BrokenResourceError):
        return


# Guards against requests late in the grace period that are passed on and then cut by the stop.
@pytest.mark.parametrize("kept", [True, False])
def test_each_request_in_the_grace_period_is_answered_or_never_taken(kept):
    async def scenario(world):
        answers = {}
        for backend in world.backends.values():
            backend.work_s = WORK_S
        async with anyio.create_task_group() as group:
            for number in range(30):
                group.start_soon(ask, world, number, number * STEP_S, kept, answers)
            await anyio.sleep(0.01)
            world.edge.kernel.request_stop()
        taken = {request_id for b in world.backends.values() for request_id in b.ran}
        served = 0
        for number, answer in answers.items():
            status = int(answer.split()[1]) if answer else 0
            assert status in (0, 200, 503)
            assert (b"q%d" % number in taken) == (status == 200), (number, status)
            served += status == 200
        assert served >= 0.7 / STEP_S  # those of the first half of the grace period

    edge_world.run_scenario(scenario, routes=ROUTES)


# Guards against a connection that is cut at the end of the grace period without any answer.
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_that_outlasts_the_grace_period_gets_an_answer(method):
    async def scenario(world):
        for backend in world.backends.values():
            backend.mode = "silent"
        answered = []

        async def send():
            path = "/x/1" if method == "GET" else "/w/1"
            answered.append(await world.send(method, path, b"", limit_ms=5_000))

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            await anyio.sleep(0.05)
            world.edge.kernel.request_stop()
        assert [response.status for response in answered] == [504]
        assert world.runs == 1

    routes = [fact_source.route(timeout_ms=5_000)]
    routes.append(fact_source.route("w", "/w/", idempotent=False, timeout_ms=5_000))
    edge_world.run_scenario(scenario, routes=routes)


class LateRequest:
    """A client that sends while the event loop of the entry is held up, on a kept connection."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)))

    async def send(self, after_s, held_s):
        await anyio.sleep(after_s)
        time.sleep(held_s)  # noqa: ASYNC251 - holds the event loop up
        self.socket.send(encode(1, 10_000))

    async def status(self):
        received = await anyio.to_thread.run_sync(self.socket.recv, 65_536)
        self.socket.close()
        return int(received.split()[1])


# Guards against requests that are sent more than 3 s after SIGTERM, just before the stop is looked
# at again, and that are passed on and then interrupted.
@pytest.mark.parametrize(("after_s", "held_s"), [(0.5, 0.3), (0.7, 0.1), (0.74, 0.3)])
def test_a_request_sent_late_in_a_stop_is_refused_though_the_event_loop_was_held_up(
    after_s, held_s
):
    async def scenario(world):
        for backend in world.backends.values():
            backend.work_s = 2.0
        late = LateRequest(world.settings.client_address)
        async with anyio.create_task_group() as group:
            await anyio.sleep(0.05)
            world.edge.kernel.request_stop()
            group.start_soon(late.send, after_s, held_s)
            assert await late.status() == 503
        assert world.runs == 0

    edge_world.run_scenario(scenario, routes=ROUTES[:1] + [LONG_ROUTE])


# Guards against LOST: an event loop that is held up past the end of a stop cut what was in flight.
@pytest.mark.parametrize(("held_from_s", "held_s"), [(1.0, 0.6), (1.2, 0.3), (1.26, 0.8)])
def test_a_request_is_answered_though_the_event_loop_was_held_up_past_the_stop(held_from_s, held_s):
    async def scenario(world):
        for backend in world.backends.values():
            backend.mode = "silent"
        early = LateRequest(world.settings.client_address)
        early.socket.send(encode(1, 10_000))
        await anyio.sleep(0.05)
        world.edge.kernel.request_stop()
        await anyio.sleep(held_from_s)
        time.sleep(held_s)  # noqa: ASYNC251 - holds the event loop up
        assert await early.status() == 504

    edge_world.run_scenario(scenario, routes=ROUTES[:1] + [LONG_ROUTE])


class StopRequest:
    """Passes on that a service is ready, and requests a stop in the same moment."""

    def __init__(self, core, ready):
        self.core, self.ready, self.is_made = core, ready, False

    def set(self):
        self.ready.set()
        self.core.request_stop()
        self.is_made = True


# Guards against a stop that begins between the starts of two services, with clients accepted and
# nothing that answers them: their connections were cut.
def test_a_stop_in_the_moment_in_which_clients_are_accepted_answers_their_requests(monkeypatch):
    run, stops, answers = http_server.HttpServer.run, [], {}

    async def run_and_request_stop(server, ready):
        if worlds and server is worlds[0].edge.client_server:
            while not worlds[0].edge.routing_state.registry.servers:
                await anyio.sleep(0.01)
            ready = StopRequest(worlds[0].edge.kernel, ready)
            stops.append(ready)
        await run(server, ready)

    worlds = []
    monkeypatch.setattr(http_server.HttpServer, "run", run_and_request_stop)

    async def scenario(world):
        for backend in world.backends.values():
            backend.work_s = WORK_S
        await ask(world, 1, 0, False, answers)
        assert answers[1].startswith(b"HTTP/1.1 200") and world.runs == 1

    def is_stopping(world):
        worlds[:] = [world]
        return bool(stops) and stops[0].is_made

    edge_world.run_scenario(scenario, routes=ROUTES, until=is_stopping, settle_s=0)


class StalledEntry:
    """Its event loop stalls past the end of the grace period, while its answers arrive."""

    def __init__(self):
        self.settings = types.SimpleNamespace(
            bounds=edge_settings.Bounds(grace_ms=500), entry_id="e-1"
        )
        self.client_server = self
        self.in_flight = 1
        self.interrupted = False
        self.stop_requested_ms = clock.monotonic_ms()

    def begin_leaving(self, schedule):
        pass

    def refuse_new_requests(self):
        pass

    def interrupt_requests(self):
        self.interrupted = self.in_flight > 0

    async def close_connections(self):
        pass

    async def stall(self):
        await anyio.sleep(0.2)
        time.sleep(0.6)
        for _ in range(5):
            await anyio.sleep(0)
        self.in_flight = 0


# Guards against answers that arrived during a stall and are not passed on when the stop ends.
def test_requests_whose_answers_arrived_during_a_stall_are_not_interrupted():
    async def main():
        entry = StalledEntry()
        async with anyio.create_task_group() as group:
            group.start_soon(entry.stall)
            await departure.Departure(entry).stop()
            assert not entry.interrupted and not entry.in_flight

    anyio.run(main)
