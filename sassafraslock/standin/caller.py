"""A stand-in for callers: asks which entry to use, sends requests and judges the answers."""

from __future__ import annotations

import collections
import dataclasses
import random

import anyio
import hdrh.histogram
import httpcore
import msgspec
import uuid6

from sassafraslock import clock
from sassafraslock.path import answer
from sassafraslock.services import caller_api

LOWEST_US = 1
HIGHEST_US = 60_000_000
PRECISION = 3
MAX_TRIES = 8
TIMEOUT_S = 10.0
RETRY_MS = 100


@dataclasses.dataclass(slots=True, frozen=True)
class Answered:
    """One answer as its caller saw it."""

    at_ms: int
    service: str
    client: str
    entry_region: str
    server: str
    size_bytes: int


@dataclasses.dataclass(slots=True)
class Journal:
    """What all callers saw."""

    requests: int = 0
    answered: int = 0
    refused_not_run: int = 0
    unknown: int = 0
    cut_off: int = 0
    mixed_up: int = 0
    answers: list[Answered] = dataclasses.field(default_factory=list)
    kinds: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    refused_keys: set[str] = dataclasses.field(default_factory=set)
    killed: set[str] = dataclasses.field(default_factory=set)
    latency: hdrh.histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: hdrh.histogram.HdrHistogram(LOWEST_US, HIGHEST_US, PRECISION)
    )


@dataclasses.dataclass(slots=True)
class Request:
    """One request to send, and to send again until its outcome is known."""

    service: str
    method: str
    path: str
    body: bytes
    key: str


class Caller:
    """One caller with its own connections, its cached list of entries and its identity."""

    __slots__ = ("client", "journal", "_seeds", "_entries", "_valid_until_ms", "_pool", "_random")

    def __init__(self, client: str, seeds: list[str], journal: Journal, seed: int) -> None:
        self.client = client
        self.journal = journal
        self._seeds = seeds
        self._entries: list[caller_api.EntryEndpoint] = []
        self._valid_until_ms = 0
        self._pool = httpcore.AsyncConnectionPool(keepalive_expiry=5)
        self._random = random.Random(seed)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def entries(self, service: str) -> list[caller_api.EntryEndpoint]:
        """Return the entries to use, from the cache while it is valid.

        :param service: the service.
        """
        if clock.monotonic_ms() < self._valid_until_ms:
            return self._entries
        known = [e.address for e in self._entries] + self._seeds
        for address in dict.fromkeys(known):
            url = f"http://{address}{caller_api.ENTRIES_PATH}?service={service}"
            try:
                with anyio.fail_after(1):
                    response = await self._pool.request("GET", url)
            except (TimeoutError, OSError, httpcore.NetworkError, httpcore.ProtocolError):
                continue
            found = msgspec.json.decode(response.content, type=caller_api.EntryList)
            if found.entries:
                self._entries = found.entries
                self._valid_until_ms = clock.monotonic_ms() + found.valid_ms
                return self._entries
        return self._entries

    async def read(self, service: str, path: str) -> None:
        """Send one idempotent request.

        :param service: the service.
        :param path: the path within the service.
        """
        await self.send(Request(service, "GET", path, b"", ""))

    async def file(self, service: str, path: str, body: bytes) -> None:
        """Send one request that must not run twice.

        :param service: the service.
        :param path: the path within the service.
        :param body: the body.
        """
        await self.send(Request(service, "POST", path, body, str(uuid6.uuid7())))

    async def send(self, request: Request) -> None:
        """Send a request, again after a refusal as not run, until its outcome is known.

        :param request: the request.
        """
        self.journal.requests += 1
        started_ms = clock.monotonic_ms()
        refusal: answer.ErrorBody | None = None
        certain = True
        entry: caller_api.EntryEndpoint | None = None
        for number in range(MAX_TRIES):
            entries = await self.entries(request.service)
            if not entries:
                await anyio.sleep(RETRY_MS / 1000)
                continue
            entry = entries[number % len(entries)] if number else self._choose(entries)
            result = await self._try(request, entry)
            if isinstance(result, Answered):
                self._note_answer(result, started_ms)
                return
            refusal = result
            certain = certain and refusal is not None and refusal.not_run
            if refusal is not None and refusal.retry_after_ms == 0:
                break
            wait_ms = refusal.retry_after_ms if refusal else RETRY_MS
            await anyio.sleep(wait_ms * self._random.uniform(0.8, 1.2) / 1000)
        self._note_failure(request, entry.region if entry else "", certain)

    def _choose(self, entries: list[caller_api.EntryEndpoint]) -> caller_api.EntryEndpoint:
        """Choose by weight among the entries nearest to the caller."""
        near = [e for e in entries if e.region == entries[0].region]
        return self._random.choices(near, [e.weight for e in near])[0]

    def _note_answer(self, answer: Answered, started_ms: int) -> None:
        self.journal.answered += 1
        self.journal.answers.append(answer)
        self.journal.latency.record_value(max(1, (answer.at_ms - started_ms) * 1000))

    def _note_failure(self, request: Request, entry_region: str, certain: bool) -> None:
        refused = Answered(clock.monotonic_ms(), request.service, self.client, entry_region, "", 0)
        self.journal.answers.append(refused)
        if not certain:
            self.journal.unknown += 1
            return
        self.journal.refused_not_run += 1
        if request.key:
            self.journal.refused_keys.add(request.key)

    async def _try(
        self, request: Request, entry: caller_api.EntryEndpoint
    ) -> Answered | answer.ErrorBody | None:
        """Send once; none means that the connection broke."""
        nonce = str(self._random.getrandbits(64))
        headers: dict[bytes | str, bytes | str] = {
            "x-echo": nonce,
            "sassafraslock-client": self.client,
        }
        if request.key:
            headers["sassafraslock-key"] = request.key
        url = f"http://{entry.address}/{request.service}{request.path}"
        try:
            with anyio.fail_after(TIMEOUT_S):
                response = await self._pool.request(
                    request.method, url, headers=headers, content=request.body
                )
        except (TimeoutError, OSError, httpcore.NetworkError, httpcore.ProtocolError) as error:
            self._valid_until_ms = 0
            if entry.entry_id not in self.journal.killed and not isinstance(
                error, httpcore.ConnectError
            ):
                self.journal.cut_off += 1
            return None
        named = {n.lower().decode(): v.decode() for n, v in response.headers}
        if "sassafraslock-error" in named:
            refusal = msgspec.json.decode(response.content, type=answer.ErrorBody)
            self.journal.kinds[refusal.error] += 1
            return refusal
        replayed = bool(request.key) and named.get("x-echo") != nonce
        wrong_body = not response.content.startswith(request.body)
        if wrong_body or (named.get("x-echo") != nonce and not replayed):
            self.journal.mixed_up += 1
        return Answered(
            clock.monotonic_ms(),
            request.service,
            self.client,
            entry.region,
            named.get("x-server", ""),
            len(response.content) + len(request.body),
        )
