"""A stand-in for a backend server, with fault switches and its own record of what it ran."""

from __future__ import annotations

import collections
import dataclasses

import anyio

from sassafraslock import asgi, clock, header_names

MAX_BODY_BYTES = 64 << 20
NAMES = header_names.HeaderNames()
QUEUE_PER_SLOT = 3


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How the server works and what goes wrong with it."""

    work_ms: int = 20
    response_bytes: int = 200
    draining: bool = False
    reported_load: float | None = None
    refuse_all: bool = False
    poison: str = ""
    restart_ms: int = 500
    journal_path: str = ""


@dataclasses.dataclass(slots=True)
class InFlightGauge:
    """Requests running at once in a region, over several servers."""

    running: int = 0
    most_running: int = 0

    def change(self, count: int) -> None:
        """Note that requests started or ended.

        :param count: how many started, negative where they ended.
        """
        self.running += count
        self.most_running = max(self.most_running, self.running)


@dataclasses.dataclass(slots=True)
class Record:
    """What the server saw, for the judgement of the system."""

    runs_by_key: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    own: InFlightGauge = dataclasses.field(default_factory=InFlightGauge)
    runs: int = 0
    waiting: int = 0
    shed: int = 0
    crashes: int = 0
    last_start_ms: int = 0


class BackendServer:
    """Serves requests over HTTP and answers with what it was asked, as a kernel service.

    It runs as many as it has slots, lets some wait, and turns the others away as not run.
    """

    __slots__ = ("server_id", "slots", "behaviour", "record", "region_usage", "_host", "_port",
                 "_crash", "_free_slots")  # fmt: skip

    def __init__(
        self, server_id: str, slots: int, host: str, port: int, region_usage: InFlightGauge
    ) -> None:
        self.server_id = server_id
        self.slots = slots
        self.behaviour = Behaviour()
        self.record = Record()
        self.region_usage = region_usage
        self._host = host
        self._port = port
        self._crash = anyio.Event()
        self._free_slots = anyio.Semaphore(slots)

    async def run(self, ready: anyio.Event) -> None:
        """Serve until cancelled; after a crash, serve again from a new socket.

        :param ready: set once the address accepts connections.
        """
        while True:
            self._crash = anyio.Event()
            async with anyio.create_task_group() as group:
                server = asgi.HttpServer(self.handle, self._host, self._port)
                group.start_soon(server.run, ready)
                await self._crash.wait()
                group.cancel_scope.cancel()
            await anyio.sleep(self.behaviour.restart_ms / 1000)

    def _write_down(self, key: str) -> None:
        """Keep a run's key and time where a kill does not lose them."""
        if self.behaviour.journal_path:
            with open(self.behaviour.journal_path, "a") as journal:
                journal.write(f"{clock.monotonic_ms()} {key}\n")

    def _load(self) -> bytes:
        return f"{self.record.own.running},{self.record.waiting},{self.slots}".encode()

    def crash(self) -> None:
        """Break every connection and stay away for a while."""
        self.record.crashes += 1
        self._crash.set()

    async def handle(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Answer one request.

        :param scope: the ASGI scope.
        :param receive: the ASGI receive callable.
        :param send: the ASGI send callable.
        """
        request = asgi.request_from_scope(scope)
        if request.path == "/healthz":
            await self._report(send)
            return
        body = await asgi.read_body(receive, MAX_BODY_BYTES)
        if body is None:
            return
        if self.behaviour.refuse_all or self.record.waiting >= QUEUE_PER_SLOT * self.slots:
            self.record.shed += 1
            headers = [(NAMES.not_run, b"true"), (NAMES.load, self._load())]
            await asgi.send_response(send, 503, headers, b"shedding")
            return
        poison = self.behaviour.poison.encode()
        if poison and poison in request.path.encode() + b"\n" + body:
            self.crash()
            await anyio.sleep_forever()
        await self._work(request, body, send)

    async def _report(self, send: asgi.Send) -> None:
        load = self.behaviour.reported_load
        if load is None:
            load = self.record.own.running / self.slots
        await asgi.send_json(send, 200, {"load": load, "draining": self.behaviour.draining})

    async def _work(self, request: asgi.Request, body: bytes, send: asgi.Send) -> None:
        self.record.waiting += 1
        try:
            await self._free_slots.acquire()
        finally:
            self.record.waiting -= 1
        try:
            await self._run_request(request)
        finally:
            self._free_slots.release()
        headers = [
            (b"x-server", self.server_id.encode()),
            (b"x-echo", request.header(b"x-echo").encode()),
            (NAMES.load, self._load()),
        ]
        filler = b"." * max(0, self.behaviour.response_bytes - len(body))
        await asgi.send_response(send, 200, headers, body + filler)

    async def _run_request(self, request: asgi.Request) -> None:
        record = self.record
        record.runs += 1
        record.last_start_ms = clock.monotonic_ms()
        key = request.header(NAMES.idempotency_key)
        if key:
            record.runs_by_key[key] += 1
            self._write_down(key)
        record.own.change(1)
        self.region_usage.change(1)
        try:
            await anyio.sleep(self.behaviour.work_ms / 1000)
        finally:
            record.own.change(-1)
            self.region_usage.change(-1)
