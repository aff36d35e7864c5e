"""A complete entry on loopback with servers of selectable behavior, for end-to-end tests."""

import collections
import dataclasses

import anyio
import msgspec

from sassafraslock import (
    clock,
    edge,
    edge_settings,
    header_names,
    http_messages,
    kernel,
)
from sassafraslock.decisions import server_ranking, stop_schedule
from sassafraslock.services import http_server, log_writer, operator_api
from tests import fact_source, loopback

HOST, FIRST_PORT = loopback.HOST, 24_400
NAMES = header_names.HeaderNames(signature=b"x-signature", request_id_echoed=True)


@dataclasses.dataclass
class Backend:
    """A server whose ``mode`` selects its behavior.

    ``ok``, ``shed`` (503, not run), ``throttle`` (429, not run), ``busy`` (503 after a run),
    ``fail`` (500), ``misdirect`` (421, as another server), ``silent`` (no response) or ``unsigned``
    (200 without a signature). If ``limit`` is not empty, all responses name it as the server's rate
    limit; so with ``leaving``. All responses but 2xx have ``retry_after``, unless it is empty. A
    run takes ``work_s``, and ends the server if its path ends in one of ``poison``.
    """

    server_id: str
    port: int
    mode: str = "ok"
    ran: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    seen: list = dataclasses.field(default_factory=list)
    cancelled: int = 0
    limit: bytes = b""
    leaving: tuple = ()
    retry_after: tuple = ()
    work_s: float = 0.0
    poison: tuple = ()
    server: http_server.HttpServer | None = None

    def end(self):
        """End as a process that crashes: all connections are reset and none is accepted."""
        self.server._acceptor.abort()
        for connection in list(self.server.connections):
            connection.abort()

    async def __call__(self, request):
        self.seen.append(request)
        request_id = request.header(NAMES.request_id).encode()
        headers = [(NAMES.request_id, request_id), (NAMES.load, b"1,0,3")]
        if self.limit:
            headers.append((NAMES.rate_limit, self.limit))
        headers += [(NAMES.leaving, value) for value in self.leaving]
        if self.mode not in ("ok", "unsigned"):
            headers += [(b"retry-after", value) for value in self.retry_after]
        if self.mode == "misdirect" or request.header(NAMES.target_server) != self.server_id:
            return http_messages.Response(421, headers)
        if self.mode in ("shed", "throttle"):
            status = 503 if self.mode == "shed" else 429
            return http_messages.Response(status, [*headers, (NAMES.not_run, b"1")])
        self.ran[request_id] += 1
        await anyio.sleep(self.work_s)
        if self.poison and request.path.endswith(self.poison):
            self.end()
            await anyio.sleep_forever()
        if self.mode == "silent":
            try:
                await anyio.sleep_forever()
            finally:
                self.cancelled += 1
        if self.mode == "unsigned":
            return http_messages.Response(200, headers, b"?")
        status = {"fail": 500, "busy": 503}.get(self.mode, 200)
        signature = (NAMES.signature, self.server_id.encode())
        return http_messages.Response(status, [*headers, signature], request.body or b"read")


class HandlerFactory:
    def client_handler(self, entry):
        return entry.pipeline

    def directory_handler(self, entry):
        async def handle(request):
            entries = entry.directory.resolve(
                request.parameter("zone"), request.parameter("region")
            )
            return http_messages.Response(200, [], msgspec.json.encode(entries))

        return handle

    def readiness_handler(self, entry):
        async def handle(request):
            return http_messages.Response(200 if entry.is_ready else 503)

        return handle

    def operator_handler(self, entry):
        return operator_api.OperatorApi(entry, None, "")


class World:
    """An entry, two servers and a source of facts."""

    def __init__(self, modes):
        self.source = fact_source.FakeSource()
        ports = range(FIRST_PORT, FIRST_PORT + 20)
        self.backends = {
            f"i-{n}": Backend(f"i-{n}", ports[n], mode) for n, mode in enumerate(modes)
        }
        client, directory, ready, peers, operators = (f"{HOST}:{p}" for p in ports[10:15])
        metrics = f"{HOST}:{ports[15]}"
        bounds = edge_settings.Bounds(grace_ms=1_500, retry_slack=100.0, retry_window_ms=100)
        self.settings = edge_settings.EdgeSettings(
            "e-1",
            "a-1",
            "a",
            client,
            directory,
            ready,
            peers,
            operators,
            metrics_address=metrics,
            bounds=bounds,
        )
        self.log = log_writer.BufferedLogHandler()
        self.edge = edge.Edge(self.settings, self.source, HandlerFactory(), NAMES, self.log)

    async def send(
        self, method="GET", path="/x/1", body=b"", limit_ms=1500, address="", client=None
    ):
        """Send a request on a connection of its own, from the address ``client`` if set."""
        address = address or self.settings.client_address
        host, _, port = address.rpartition(":")
        head = [(b"host", b"h"), (NAMES.request_id, f"q{id(object())}-{path}".encode())]
        head += [(NAMES.object_key, b"k"), (NAMES.deadline_ms, str(limit_ms).encode())]
        head.append((b"connection", b"close"))
        raw = http_messages.encode_request(method, path, head, body)
        async with await anyio.connect_tcp(host, int(port), local_host=client) as stream:
            await stream.send(raw)
            received = b""
            while True:
                try:
                    received += await stream.receive()
                except anyio.EndOfStream:
                    break
        head_bytes, _, rest = received.partition(b"\r\n\r\n")
        lines = head_bytes.split(b"\r\n")
        headers = [tuple(line.split(b": ", 1)) for line in lines[1:]]
        return http_messages.Response(int(lines[0].split()[1]), headers, rest)

    def begin_leaving(self):
        """Leave as in the first moment of a stop."""
        grace_ms = self.settings.bounds.grace_ms
        self.edge.begin_leaving(stop_schedule.StopSchedule(clock.monotonic_ms(), grace_ms))

    @property
    def runs(self):
        return sum(sum(b.ran.values()) for b in self.backends.values())

    def servers_by_preference(self):
        """Return the home server of the test object, followed by the other server."""
        placer = self.edge.pipeline.placer
        order = sorted(self.backends, key=lambda i: placer.registry.servers[i].first_seen_ms)
        order.sort(
            key=lambda i: server_ranking.home_score("k", placer.registry.servers[i]), reverse=True
        )
        return [self.backends[i] for i in order]


def is_ready(world):
    return world.edge.is_ready


def run_scenario(scenario, modes=("ok", "ok"), routes=None, until=is_ready, settle_s=0.1):
    """Run a scenario with an entry and its servers, ``settle_s`` after ``until`` holds."""

    async def main():
        world = World(modes)
        core = kernel.Kernel()
        for name, backend in world.backends.items():
            backend.server = http_server.HttpServer(backend, HOST, backend.port)
            core.register(name, backend.server)
            world.source.put_server(name, f"{HOST}:{backend.port}")
        unsafe = fact_source.route("w", "/w/", idempotent=False)
        world.source.put_registration(world.settings)
        world.source.put_intents(1, routes or [fact_source.route(), unsafe])
        async with anyio.create_task_group() as group:
            group.start_soon(core.run, 100)
            group.start_soon(world.edge.kernel.run, 1_300)
            with anyio.fail_after(20):
                while not until(world):
                    await anyio.sleep(0.01)
                await anyio.sleep(settle_s)
                await scenario(world)
            group.cancel_scope.cancel()

    anyio.run(main)
