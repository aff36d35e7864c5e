"""A stand-in for a backend server, with fault switches and statistics of what it ran."""

from __future__ import annotations

import collections
import dataclasses

import anyio

from sassafraslock import asgi, clock, header_names
from sassafraslock.standin import limit_schedule

MAX_BODY_BYTES = 64 << 20
NAMES = header_names.HeaderNames()
MAX_WAITING_PER_SLOT = 3


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Work per request and injected faults.

    ``poison`` is a text whose presence in a request's path or body crashes the server, empty for
    none. ``journal_path`` is the file that gets a line for each run with a key, empty for none.
    ``limit_per_s`` is the rate limit that all answers name, unless there are ``limits`` by turns.
    All answers from the monotonic time ``leaves_at_ms`` on say that the server leaves. Rejections
    ask for a pause of ``retry_after_s``.
    """

    work_ms: int = 20
    response_bytes: int = 200
    draining: bool = False
    reported_load: float | None = None
    refuse_all: bool = False
    poison: str = ""
    restart_ms: int = 500
    journal_path: str = ""
    limit_per_s: float | None = None
    limits: limit_schedule.LimitSchedule | None = None
    leaves_at_ms: int | None = None
    retry_after_s: float | None = None


@dataclasses.dataclass(slots=True)
class InFlightGauge:
    """Counts the requests that run now, at one server or over the servers of a region."""

    running: int = 0
    max_running: int = 0

    def add_running(self, count: int) -> None:
        """Add requests that started or subtract those that ended.

        :param count: positive for started requests, negative for ended ones.
        """
        self.running += count
        self.max_running = max(self.max_running, self.running)


@dataclasses.dataclass(slots=True)
class SeenWorkspaces:
    """What a server saw of workspaces.

    ``keys`` counts requests with the key of a workspace, which entries must not pass on, and
    ``wrong_names`` those under another name than the caller's. ``starts_ms`` holds by workspace
    when requests started to run.
    """

    keys: int = 0
    wrong_names: int = 0
    starts_ms: dict[str, list[int]] = dataclasses.field(default_factory=dict)

    def record(self, request: asgi.Request, now_ms: int) -> None:
        """Record a request that starts to run.

        :param request: the request.
        :param now_ms: the current monotonic time.
        """
        name = request.header(NAMES.workspace)
        self.keys += bool(request.header(NAMES.credential))
        self.wrong_names += name != request.header(b"x-expected-workspace")
        if name:
            self.starts_ms.setdefault(name, []).append(now_ms)


@dataclasses.dataclass(slots=True)
class ServerStats:
    """Statistics of one server, against which a run is checked.

    ``shed`` counts requests that were refused as not run.
    """

    runs_by_key: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    in_flight: InFlightGauge = dataclasses.field(default_factory=InFlightGauge)
    runs: int = 0
    waiting: int = 0
    shed: int = 0
    crashes: int = 0
    last_start_ms: int = 0
    workspaces: SeenWorkspaces = dataclasses.field(default_factory=SeenWorkspaces)


class BackendServer:
    """A kernel service that serves HTTP and echoes the request body.

    It runs one request per slot, queues up to ``MAX_WAITING_PER_SLOT`` more per slot, and refuses
    all others with status 503 as not run.
    """

    __slots__ = ("server_id", "slots", "behaviour", "stats", "region_in_flight", "_host", "_port",
                 "_crash", "_free_slots")  # fmt: skip

    def __init__(
        self, server_id: str, slots: int, host: str, port: int, region_in_flight: InFlightGauge
    ) -> None:
        self.server_id = server_id
        self.slots = slots
        self.behaviour = Behaviour()
        self.stats = ServerStats()
        self.region_in_flight = region_in_flight
        self._host = host
        self._port = port
        self._crash = anyio.Event()
        self._free_slots = anyio.Semaphore(slots)

    async def run(self, ready: anyio.Event) -> None:
        """Serve until cancelled; after a crash, listen again when ``restart_ms`` have passed.

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

    def _append_to_journal(self, key: str) -> None:
        """Append a run's time and key to a file, which outlives a kill of the process."""
        if self.behaviour.journal_path:
            with open(self.behaviour.journal_path, "a") as journal:
                journal.write(f"{clock.monotonic_ms()} {key}\n")

    def _load_header(self) -> bytes:
        return f"{self.stats.in_flight.running},{self.stats.waiting},{self.slots}".encode()

    def _limit_headers(self, request: asgi.Request) -> list[tuple[bytes, bytes]]:
        """Return the header that names the server's rate limit, if it has one."""
        limit = self.behaviour.limit_per_s
        if self.behaviour.limits is not None:
            entry_id = request.header(NAMES.entry)
            limit = self.behaviour.limits.record(entry_id, clock.monotonic_ms())
        return [] if limit is None else [(NAMES.rate_limit, f"{limit:g}".encode())]

    def _asked_headers(self, request: asgi.Request) -> list[tuple[bytes, bytes]]:
        """Return the headers by which the server asks for less, or for nothing more."""
        leaves_at_ms = self.behaviour.leaves_at_ms
        leaves = leaves_at_ms is not None and clock.monotonic_ms() >= leaves_at_ms
        return self._limit_headers(request) + ([(NAMES.leaving, b"1")] if leaves else [])

    def _pause_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the header by which a rejection asks for a pause, if the server wants one."""
        pause_s = self.behaviour.retry_after_s
        return [] if pause_s is None else [(b"retry-after", f"{pause_s:g}".encode())]

    def crash(self) -> None:
        """Close the listener and all connections for ``restart_ms``."""
        self.stats.crashes += 1
        self._crash.set()

    async def handle(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Answer one request.

        :param scope: the ASGI scope.
        :param receive: the ASGI receive callable.
        :param send: the ASGI send callable.
        """
        request = asgi.request_from_scope(scope)
        if request.path == "/healthz":
            await self._send_health(send)
            return
        asked_headers = self._asked_headers(request)
        body = await asgi.read_body(receive, MAX_BODY_BYTES)
        if body is None:
            return
        if self.behaviour.refuse_all or self.stats.waiting >= MAX_WAITING_PER_SLOT * self.slots:
            self.stats.shed += 1
            headers = [
                _echoed_id(request),
                (NAMES.not_run, b"true"),
                (NAMES.load, self._load_header()),
                *asked_headers,
                *self._pause_headers(),
            ]
            await asgi.send_response(send, 503, headers, b"shedding")
            return
        poison = self.behaviour.poison.encode()
        if poison and poison in request.path.encode() + b"\n" + body:
            self.crash()
            await anyio.sleep_forever()
        await self._queue_and_respond(request, body, asked_headers, send)

    async def _send_health(self, send: asgi.Send) -> None:
        load = self.behaviour.reported_load
        if load is None:
            load = self.stats.in_flight.running / self.slots
        await asgi.send_json(send, 200, {"load": load, "draining": self.behaviour.draining})

    async def _queue_and_respond(
        self,
        request: asgi.Request,
        body: bytes,
        asked_headers: list[tuple[bytes, bytes]],
        send: asgi.Send,
    ) -> None:
        self.stats.waiting += 1
        try:
            await self._free_slots.acquire()
        finally:
            self.stats.waiting -= 1
        try:
            load = await self._run_request(request)
        finally:
            self._free_slots.release()
        headers = [
            _echoed_id(request),
            (b"x-server", self.server_id.encode()),
            (b"x-echo", request.header(b"x-echo").encode()),
            (NAMES.load, load),
            *_seen_headers(request),
            *asked_headers,
        ]
        filler = b"." * max(0, self.behaviour.response_bytes - len(body))
        await asgi.send_response(send, 200, headers, body + filler)

    async def _run_request(self, request: asgi.Request) -> bytes:
        """Run a request and return the load at its end, which counts the request itself."""
        stats = self.stats
        stats.runs += 1
        stats.last_start_ms = clock.monotonic_ms()
        stats.workspaces.record(request, stats.last_start_ms)
        key = request.header(NAMES.idempotency_key)
        if key:
            stats.runs_by_key[key] += 1
            self._append_to_journal(key)
        stats.in_flight.add_running(1)
        self.region_in_flight.add_running(1)
        try:
            await anyio.sleep(self.behaviour.work_ms / 1000)
            return self._load_header()
        finally:
            stats.in_flight.add_running(-1)
            self.region_in_flight.add_running(-1)


def _seen_headers(request: asgi.Request) -> list[tuple[bytes, bytes]]:
    """Return what the request told of its workspace, for the caller to check."""
    name, key = request.header(NAMES.workspace), request.header(NAMES.credential)
    headers = [(b"x-seen-workspace", name.encode("latin-1"))] if name else []
    return headers + ([(b"x-seen-key", b"1")] if key else [])


def _echoed_id(request: asgi.Request) -> tuple[bytes, bytes]:
    return NAMES.request_id, request.header(NAMES.request_id).encode("latin-1")
