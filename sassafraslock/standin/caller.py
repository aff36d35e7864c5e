"""A stand-in for callers: looks up entries, sends requests and checks the responses."""

from __future__ import annotations

import collections
import dataclasses
import random

import anyio
import hdrh.histogram
import httpcore
import msgspec
import uuid6

from sassafraslock import clock, header_names, http_messages
from sassafraslock.path import answer
from sassafraslock.services import caller_api

LATENCY_MIN_US = 1
LATENCY_MAX_US = 60_000_000
LATENCY_DIGITS = 3
MAX_ATTEMPTS = 8
REQUEST_TIMEOUT_S = 10.0
RETRY_DELAY_MS = 100
NAMES = header_names.HeaderNames()


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """The outcome of one request at its caller; ``server`` is empty if it was not answered."""

    at_ms: int
    service: str
    client: str
    entry_region: str
    server: str
    size_bytes: int


@dataclasses.dataclass(slots=True, frozen=True)
class Credentials:
    """The workspace of a caller and its key, both empty for none."""

    workspace: str = ""
    key: str = ""

    def headers(self) -> dict[bytes | str, bytes | str]:
        """Return the headers of a request: the key, and a workspace that entries must not trust.

        Servers compare the name that the entry tells them with ``x-expected-workspace``.
        """
        if not self.key:
            return {}
        return {
            NAMES.credential: self.key,
            NAMES.workspace: "forged",
            "x-expected-workspace": self.workspace,
        }


@dataclasses.dataclass(slots=True)
class CallerStats:
    """Counts and outcomes of all callers.

    ``cut_off`` counts exchanges that broke or timed out after the connection was made, at entries
    that were not killed; ``mixed_up`` counts responses that belong to another request, or have an
    invalid status. ``answered_starts_ms`` holds by workspace when requests were first sent that
    were answered. ``keys_at_servers`` and ``wrong_workspaces`` count answers of servers that were
    told a key, or another workspace than the caller's.
    """

    requests: int = 0
    answered: int = 0
    refused_not_run: int = 0
    unknown: int = 0
    cut_off: int = 0
    mixed_up: int = 0
    outcomes: list[Outcome] = dataclasses.field(default_factory=list)
    error_kinds: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    refused_keys: set[str] = dataclasses.field(default_factory=set)
    killed_entries: set[str] = dataclasses.field(default_factory=set)
    keys_at_servers: int = 0
    wrong_workspaces: int = 0
    answered_starts_ms: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    latency: hdrh.histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: hdrh.histogram.HdrHistogram(
            LATENCY_MIN_US, LATENCY_MAX_US, LATENCY_DIGITS
        )
    )


@dataclasses.dataclass(slots=True)
class Request:
    """One request; ``key`` is its idempotency key, empty for an idempotent request."""

    service: str
    method: str
    path: str
    body: bytes
    key: str


class Caller:
    """One caller with its own connection pool, client id and cached list of entries."""

    __slots__ = ("client", "stats", "credentials", "_seeds", "_entries", "_valid_until_ms",
                 "_pool", "_random")  # fmt: skip

    def __init__(
        self,
        client: str,
        seeds: list[str],
        stats: CallerStats,
        seed: int,
        credentials: Credentials | None = None,
    ) -> None:
        self.client = client
        self.credentials = credentials or Credentials()
        self.stats = stats
        self._seeds = seeds
        self._entries: list[caller_api.EntryEndpoint] = []
        self._valid_until_ms = 0
        self._pool = httpcore.AsyncConnectionPool(keepalive_expiry=5)
        self._random = random.Random(seed)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def entries(self, service: str) -> list[caller_api.EntryEndpoint]:
        """Return the entries to use, from the cache until it expires.

        If no entry answers the look-up, the expired list is returned.

        :param service: the service in the form ``TEAM/NAME``.
        """
        if clock.monotonic_ms() < self._valid_until_ms:
            return self._entries
        addresses = [e.address for e in self._entries] + self._seeds
        for address in dict.fromkeys(addresses):
            url = f"http://{address}{caller_api.ENTRIES_PATH}?service={service}"
            try:
                with anyio.fail_after(1):
                    response = await self._pool.request("GET", url)
            except (TimeoutError, OSError, httpcore.NetworkError, httpcore.ProtocolError):
                continue
            entry_list = msgspec.json.decode(response.content, type=caller_api.EntryList)
            if entry_list.entries:
                self._entries = entry_list.entries
                self._valid_until_ms = clock.monotonic_ms() + entry_list.valid_ms
                return self._entries
        return self._entries

    async def send_get(self, service: str, path: str) -> None:
        """Send one idempotent GET request.

        :param service: the service in the form ``TEAM/NAME``.
        :param path: the path within the service.
        """
        await self.send(Request(service, "GET", path, b"", ""))

    async def send_post(self, service: str, path: str, body: bytes) -> None:
        """Send one POST request with an idempotency key, which must not run twice.

        :param service: the service in the form ``TEAM/NAME``.
        :param path: the path within the service.
        :param body: the request body.
        """
        await self.send(Request(service, "POST", path, body, str(uuid6.uuid7())))

    async def send(self, request: Request) -> None:
        """Send a request, with up to ``MAX_ATTEMPTS`` attempts, until it is answered.

        A refusal without ``retry_after_ms`` ends the attempts. A request without an answer counts
        as refused if every attempt was refused as not run, and as unknown otherwise.

        :param request: the request.
        """
        self.stats.requests += 1
        started_ms = clock.monotonic_ms()
        refusal: answer.ErrorBody | None = None
        is_not_run = True
        entry: caller_api.EntryEndpoint | None = None
        for attempt in range(MAX_ATTEMPTS):
            entries = await self.entries(request.service)
            if not entries:
                await anyio.sleep(RETRY_DELAY_MS / 1000)
                continue
            entry = entries[attempt % len(entries)] if attempt else self._choose_entry(entries)
            result = await self._send_once(request, entry)
            if isinstance(result, Outcome):
                self._record_answer(result, started_ms)
                return
            refusal = result
            is_not_run = is_not_run and refusal is not None and refusal.not_run
            if refusal is not None and refusal.retry_after_ms == 0:
                break
            wait_ms = refusal.retry_after_ms if refusal else RETRY_DELAY_MS
            await anyio.sleep(wait_ms * self._random.uniform(0.8, 1.2) / 1000)
        self._record_failure(request, entry.region if entry else "", is_not_run)

    def _choose_entry(self, entries: list[caller_api.EntryEndpoint]) -> caller_api.EntryEndpoint:
        """Choose by weight among the entries in the region that is listed first, the nearest."""
        nearest = [e for e in entries if e.region == entries[0].region]
        return self._random.choices(nearest, [e.weight for e in nearest])[0]

    def _record_answer(self, answer: Outcome, started_ms: int) -> None:
        self.stats.answered += 1
        starts_ms = self.stats.answered_starts_ms.setdefault(self.credentials.workspace, [])
        starts_ms.append(started_ms)
        self.stats.outcomes.append(answer)
        self.stats.latency.record_value(max(1, (answer.at_ms - started_ms) * 1000))

    def _record_failure(self, request: Request, entry_region: str, is_not_run: bool) -> None:
        outcome = Outcome(clock.monotonic_ms(), request.service, self.client, entry_region, "", 0)
        self.stats.outcomes.append(outcome)
        if not is_not_run:
            self.stats.unknown += 1
            return
        self.stats.refused_not_run += 1
        if request.key:
            self.stats.refused_keys.add(request.key)

    async def _send_once(
        self, request: Request, entry: caller_api.EntryEndpoint
    ) -> Outcome | answer.ErrorBody | None:
        """Send one attempt; return None if the connection broke or timed out."""
        nonce = str(self._random.getrandbits(64))
        headers: dict[bytes | str, bytes | str] = {
            "x-echo": nonce,
            "sassafraslock-client": self.client,
            **self.credentials.headers(),
        }
        if request.key:
            headers["sassafraslock-key"] = request.key
        url = f"http://{entry.address}/{request.service}{request.path}"
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                response = await self._pool.request(
                    request.method, url, headers=headers, content=request.body
                )
        except (TimeoutError, OSError, httpcore.NetworkError, httpcore.ProtocolError) as error:
            self._valid_until_ms = 0
            if entry.entry_id not in self.stats.killed_entries and not isinstance(
                error, httpcore.ConnectError
            ):
                self.stats.cut_off += 1
            return None
        response_headers = {n.lower().decode(): v.decode() for n, v in response.headers}
        if "sassafraslock-error" in response_headers:
            refusal = msgspec.json.decode(response.content, type=answer.ErrorBody)
            self.stats.error_kinds[refusal.error] += 1
            return refusal
        is_replay = bool(request.key) and response_headers.get("x-echo") != nonce
        seen = response_headers.get("x-seen-workspace", "")
        self.stats.wrong_workspaces += seen != self.credentials.workspace
        self.stats.keys_at_servers += "x-seen-key" in response_headers
        is_wrong = not response.content.startswith(request.body)
        is_wrong = is_wrong or not http_messages.is_final(response.status)
        if is_wrong or (response_headers.get("x-echo") != nonce and not is_replay):
            self.stats.mixed_up += 1
        return Outcome(
            clock.monotonic_ms(),
            request.service,
            self.client,
            entry.region,
            response_headers.get("x-server", ""),
            len(response.content) + len(request.body),
        )
