"""A backend server in the formats of the firm's platform, which notes each arrival."""

from __future__ import annotations

import dataclasses
import random

import anyio

from sassafraslock import clock, http_messages
from sassafraslock.services import http_server

HOST_NAME = "desk.example"
HEALTH_PATH = "/health"
MAX_WAITING_PER_SLOT = 2
WORK_S = (0.02, 0.25)
LARGE_ANSWER_RATIO = 0.05
LARGE_ANSWER_BYTES = 200_000


@dataclasses.dataclass(slots=True, eq=False)
class Arrival:
    """A request at a server.

    ``ran`` is false only if the server rejected it, ``until_ms`` the end of its work, 0 before it.
    ``answered`` is false if the connection ended first; ``broken`` if the server ended it.
    """

    at_ms: int
    request_id: str
    service: str
    ran: bool = True
    until_ms: int = 0
    answered: bool = False
    broken: bool = False


class PlatformServer:
    """Runs one request in each slot, queues a few more, and rejects all others as not run.

    A share ``shed_ratio`` of the requests is rejected although there is room. ``unsafe_work_s`` is
    the work on unsafe requests, 0 if it is as for others.
    """

    def __init__(
        self, server_id: str, service: str, zone: str, address: str, slots: int, seed: int
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.address = address
        host, _, port = address.rpartition(":")
        self.listener = http_server.HttpServer(self, host, int(port))
        self.arrivals: list[Arrival] = []
        self.shed_ratio = 0.0
        self.work_s = WORK_S
        self.unsafe_work_s = 0.0
        self._slots = slots
        self._free_slots = anyio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._open: set[Arrival] = set()
        self._held: list[Arrival] = []
        self._resumed: anyio.Event | None = None
        self._rng = random.Random(seed)

    @property
    def paused(self) -> bool:
        """Whether the server reads nothing, as a process that is suspended.

        Then it reads at once all that has come meanwhile, also from connections that have ended.
        """
        return self._resumed is not None

    @paused.setter
    def paused(self, paused: bool) -> None:
        """Stop reading, or read on.

        :param paused: whether to stop.
        """
        if paused == self.paused:
            return
        if self._resumed is None:
            self._resumed = anyio.Event()
            return
        for arrival in self._held:
            arrival.at_ms = clock.monotonic_ms()
        self.arrivals += self._held
        self._held = []
        self._resumed.set()
        self._resumed = None

    def break_connections(self) -> None:
        """Reset all connections, as a crash does."""
        for arrival in self._open:
            arrival.broken = True
        for connection in list(self.listener.connections):
            connection.abort()

    async def __call__(self, request: http_messages.Request) -> http_messages.Response:
        """Answer a request, or a health check, which is no arrival.

        :param request: a request of an entry.
        """
        if request.path == HEALTH_PATH:
            return http_messages.Response(200, [(b"x-instance-id", self.server_id.encode())])
        request_id = request.header(b"x-request-id")
        arrival = Arrival(clock.monotonic_ms(), request_id, self.service)
        self._open.add(arrival)
        try:
            if self._resumed is not None:
                self._held.append(arrival)
                await self._resumed.wait()
            else:
                self.arrivals.append(arrival)
            response = await self._answer(arrival, request)
            arrival.answered = True
            return response
        finally:
            arrival.until_ms = clock.monotonic_ms()
            self._open.discard(arrival)

    async def _answer(
        self, arrival: Arrival, request: http_messages.Request
    ) -> http_messages.Response:
        request_id, target = arrival.request_id, request.header(b"x-target-instance")
        if target and target != self.server_id:
            arrival.ran = False
            return http_messages.Response(421, self._headers(request_id))
        full = self._waiting >= MAX_WAITING_PER_SLOT * self._slots
        if full or self._rng.random() < self.shed_ratio:
            arrival.ran = False
            headers = [*self._headers(request_id), (b"x-not-executed", b"1")]
            return http_messages.Response(503, headers)
        await self._work(self.unsafe_work_s if request.method == "POST" else 0.0)
        headers = [*self._headers(request_id), (b"x-response-signature", b"s")]
        large = self._rng.random() < LARGE_ANSWER_RATIO
        size_bytes = LARGE_ANSWER_BYTES if large else self._rng.randint(200, 9_000)
        return http_messages.Response(200, headers, request_id.encode() * (size_bytes // 16))

    async def _work(self, work_s: float) -> None:
        self._waiting += 1
        try:
            await self._free_slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await anyio.sleep(work_s or self._rng.uniform(*self.work_s))
        finally:
            self._running -= 1
            self._free_slots.release()

    def _headers(self, request_id: str) -> http_messages.Headers:
        load = f"{self._running},{self._waiting},{self._slots}".encode()
        return [(b"x-request-id", request_id.encode()), (b"x-server-load", load)]
