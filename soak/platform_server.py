"""A backend server in the formats of the firm's platform, which notes each arrival."""

from __future__ import annotations

import dataclasses
import random

import anyio

from sassafraslock import clock, http_messages

HOST_NAME = "desk.example"
MAX_WAITING_PER_SLOT = 2


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request at a server; ``ran`` is whether the server began to work on it."""

    at_ms: int
    request_id: str
    service: str
    ran: bool


class PlatformServer:
    """Runs one request in each slot, queues a few more, and rejects all others as not run.

    A share ``shed_ratio`` of the requests is rejected although there is room.
    """

    def __init__(
        self, server_id: str, service: str, zone: str, address: str, slots: int, seed: int
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.address = address
        self.arrivals: list[Arrival] = []
        self.shed_ratio = 0.0
        self.work_s = (0.02, 0.25)
        self.answer_bytes = (200, 9_000)
        self._slots = slots
        self._free_slots = anyio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._rng = random.Random(seed)

    async def __call__(self, request: http_messages.Request) -> http_messages.Response:
        """Answer a request.

        :param request: a request of an entry.
        """
        request_id = request.header(b"x-request-id")
        target = request.header(b"x-target-instance")
        if target and target != self.server_id:
            return http_messages.Response(421, self._headers(request_id))
        full = self._waiting >= MAX_WAITING_PER_SLOT * self._slots
        if full or self._rng.random() < self.shed_ratio:
            self._note(request_id, False)
            headers = [*self._headers(request_id), (b"x-not-executed", b"1")]
            return http_messages.Response(503, headers)
        self._note(request_id, True)
        return await self._run(request_id)

    async def _run(self, request_id: str) -> http_messages.Response:
        self._waiting += 1
        try:
            await self._free_slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await anyio.sleep(self._rng.uniform(*self.work_s))
        finally:
            self._running -= 1
            self._free_slots.release()
        headers = [*self._headers(request_id), (b"x-response-signature", b"s")]
        body = request_id.encode() * (self._rng.randint(*self.answer_bytes) // 16)
        return http_messages.Response(200, headers, body)

    def _note(self, request_id: str, ran: bool) -> None:
        self.arrivals.append(Arrival(clock.monotonic_ms(), request_id, self.service, ran))

    def _headers(self, request_id: str) -> http_messages.Headers:
        load = f"{self._running},{self._waiting},{self._slots}".encode()
        return [(b"x-request-id", request_id.encode()), (b"x-server-load", load)]
