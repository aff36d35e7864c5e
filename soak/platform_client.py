"""A client of the firm's platform that keeps its connections, and notes what became of requests."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import json
import random
import socket

import anyio

from sassafraslock import clock, http_messages
from soak import platform_server

CONNECT_TIMEOUT_S = 1.0
REQUESTS_PER_CONNECTION = 40
DEADLINE_S = 2.5
ANSWER_MARGIN_S = 0.5  # after the deadline
LATE_READ_S = 0.3
LATE_READER_BUFFER_BYTES = 2_048
PIPELINED_RATIO = 0.3
MAX_PIPELINED = 6
MAX_RETRIES = 1
MAX_IMPATIENT_RETRIES = 4
MAX_READ_BYTES = 64 << 10  # received and not yet taken from a connection
MIXED = "mixed"  # the reason of a success that is not the whole answer to its request
NOT_RUN_STATUSES = (408, 421, 429, 503)


class End(enum.StrEnum):
    """How an attempt ended; ``CUT`` is a connection that ended without the whole answer."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    CUT = "cut"
    TIMED_OUT = "timed out"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt: its entry, service and kind, when its last byte was sent, and its end.

    ``position`` is 0 unless it was sent behind another request or behind the announcement of the
    connection's end. ``ended_ms`` is 0 while it lasts.
    """

    request_id: str
    entry_ip: str
    service: str
    kind: str
    sent_ms: int
    position: int
    end: End = End.TIMED_OUT
    ended_ms: int = 0
    status: int = 0
    reason: str = ""


class PlatformClient:
    """Sends requests, sometimes several at once, over one kept connection.

    It may be ``impatient`` and repeat at once, ``reads_late`` from a small buffer, or go on sending
    on a connection until it is gone (``keeps_sending``), whatever the entry has announced.
    """

    def __init__(self, seed: int, place: tuple[str, str], directories: list[str]) -> None:
        self.attempts: list[Attempt] = []
        self.pause_s = (0.02, 0.2)
        self.impatient = False
        self.reads_late = False
        self.keeps_sending = False
        self.deadline_s = DEADLINE_S
        self._zone, self._region = place
        self._directories = directories
        self._rng = random.Random(seed)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._entry_ip = ""
        self._left = 0
        self._behind = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            await self._send_requests()
        finally:
            self._disconnect()

    async def _send_requests(self) -> None:
        while True:
            pipelines = self._rng.random() < PIPELINED_RATIO
            count = self._rng.randint(2, MAX_PIPELINED) if pipelines else 1
            service = self._rng.choice(["desk", "desk", "desk", "ledger"])
            kind = "safe" if count > 1 or self._rng.random() < 0.6 else "unsafe"
            await self._send_until_answered(service, kind, count)
            await anyio.sleep(self._rng.uniform(*self.pause_s))

    async def _send_until_answered(self, service: str, kind: str, count: int) -> None:
        retries = MAX_IMPATIENT_RETRIES if self.impatient else MAX_RETRIES
        for _ in range(1 + retries):
            attempts = await self._send(service, kind, count)
            if not attempts:
                await anyio.sleep(0.2)
                continue
            last = attempts[-1]
            if last.end is End.ANSWERED or (kind == "unsafe" and last.end is not End.REFUSED):
                return
            if not self.keeps_sending:
                self._disconnect()
            await anyio.sleep(0 if self.impatient else 0.2)

    async def _send(self, service: str, kind: str, count: int) -> list[Attempt]:
        if not await self._connect():
            return []
        attempts = []
        data = b""
        for position in range(count):
            request_id = f"{self._rng.getrandbits(64):016x}"
            place = position + self._behind
            attempts.append(Attempt(request_id, self._entry_ip, service, kind, 0, place))
            headers = [
                (b"host", platform_server.HOST_NAME.encode()),
                (b"x-request-id", request_id.encode()),
                (b"x-deadline-ms", str(int(self.deadline_s * 1_000)).encode()),
            ]
            method, body = ("GET", b"") if kind == "safe" else ("POST", b"x" * 300)
            data += http_messages.encode_request(method, f"/{service}/{kind}/1", headers, body)
        assert self._writer is not None
        sent_ms = clock.monotonic_ms()
        self._writer.write(data)
        self._left -= count
        for attempt in attempts:
            attempt.sent_ms = sent_ms
            self.attempts.append(attempt)
        for attempt in attempts:
            if not await self._receive(attempt):
                self._disconnect()
                break
        if self._left <= 0:
            self._disconnect()
        return attempts

    async def _receive(self, attempt: Attempt) -> bool:
        """Receive one answer; return whether the connection may be used further."""
        keep = False
        margin_s = ANSWER_MARGIN_S + (LATE_READ_S * (attempt.position + 1) * self.reads_late)
        passed_s = (clock.monotonic_ms() - attempt.sent_ms) / 1_000
        try:
            with anyio.fail_after(self.deadline_s + margin_s - passed_s):
                keep = await self._read_answer(attempt)
        except TimeoutError:
            attempt.end = End.TIMED_OUT
        except (OSError, asyncio.IncompleteReadError) as error:
            attempt.end, attempt.reason = End.CUT, repr(error)
        attempt.ended_ms = clock.monotonic_ms()
        return keep

    async def _read_answer(self, attempt: Attempt) -> bool:
        assert self._reader is not None
        if self.reads_late:
            await anyio.sleep(self._rng.uniform(0, LATE_READ_S))
        head = await self._reader.readuntil(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        headers = {n.lower(): v for n, _, v in (line.partition(b": ") for line in lines[1:])}
        attempt.status = int(lines[0].split()[1])
        body = await self._reader.readexactly(int(headers.get(b"content-length", b"0")))
        request_id = attempt.request_id.encode()
        if attempt.status == 200:
            own = body == request_id * (len(body) // len(request_id))
            whole = own and headers.get(b"x-response-signature") == b"s"
            attempt.end, attempt.reason = (End.ANSWERED, "") if whole else (End.FAILED, MIXED)
        elif not http_messages.is_final(attempt.status):
            attempt.end, attempt.reason = End.FAILED, MIXED  # no status that an entry may pass on
        elif attempt.status in NOT_RUN_STATUSES:
            attempt.end, attempt.reason = End.REFUSED, body.decode()
        else:
            attempt.end, attempt.reason = End.FAILED, body.decode()
        if headers.get(b"connection") != b"close":
            return True
        self._behind += 1
        return self.keeps_sending

    async def _connect(self) -> bool:
        if self._writer is not None:
            return True
        addresses = await self._resolve()
        if not addresses:
            return False
        host, _, port = self._rng.choice(addresses).rpartition(":")
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw.setblocking(False)
        if self.reads_late:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LATE_READER_BUFFER_BYTES)
        limit_bytes = LATE_READER_BUFFER_BYTES if self.reads_late else MAX_READ_BYTES
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(raw, (host, int(port)))
                self._reader, self._writer = await asyncio.open_connection(
                    sock=raw, limit=limit_bytes
                )
        except (OSError, TimeoutError):
            raw.close()
            return False
        self._entry_ip, self._left, self._behind = host, REQUESTS_PER_CONNECTION, 0
        return True

    async def _resolve(self) -> list[str]:
        query = f"/resolve?name=x&region={self._region}&zone={self._zone}"
        for address in self._rng.sample(self._directories, min(3, len(self._directories))):
            host, _, port = address.rpartition(":")
            try:
                with anyio.fail_after(1):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    request = f"GET {query} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
                    writer.write(request.encode())
                    answer = await reader.read()
                    writer.close()
            except (OSError, TimeoutError):
                continue
            head, _, body = answer.partition(b"\r\n\r\n")
            if head.startswith(b"HTTP/1.1 200"):
                return list(json.loads(body)["addresses"])
        return []

    def _disconnect(self) -> None:
        if self._writer is not None:
            self._writer.close()
            self._writer = self._reader = None
