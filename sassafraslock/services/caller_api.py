"""The callers' interface: which entry to use, and requests to services."""

from __future__ import annotations

import dataclasses
import time
import typing

import msgspec

from sassafraslock import asgi, clock, errors, messages, settings
from sassafraslock.decisions import client_blocks
from sassafraslock.services import exchanges, forwarder, request_path

ENTRIES_PATH = "/entries"
CACHE_MS = 100
MAX_CACHED = 4096
MAX_NAMED = 16

Site = tuple[str, str]


class NamedEntry(msgspec.Struct, frozen=True):
    """One entry that a caller may use, with its weight."""

    entry_id: str
    region: str
    zone: str
    address: str
    weight: int


class EntryList(msgspec.Struct, frozen=True):
    """The answer of a look-up, in order of preference."""

    service: str
    valid_ms: int
    entries: list[NamedEntry]


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of every refusal."""

    error: str
    reason: str
    not_run: bool
    retry_after_ms: int


@dataclasses.dataclass(slots=True)
class _Cached:
    answer: EntryList
    until_ms: int


class CallerApi:
    """Answers look-ups and hands requests to the request path."""

    __slots__ = ("_settings", "_peers", "_steward", "_path", "_blocks", "_cache", "observe")

    def __init__(
        self,
        process: settings.Settings,
        peers: typing.Any,
        steward: typing.Any,
        path: request_path.RequestPath,
        blocks: client_blocks.ClientBlocks,
    ) -> None:
        self._settings = process
        self._peers = peers
        self._steward = steward
        self._cache: dict[tuple[str, Site], _Cached] = {}
        self._path = path
        self._blocks = blocks
        self.observe: typing.Callable[[str, str, float], None] | None = None

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Answer one request.

        :param scope: the ASGI scope.
        :param receive: the ASGI receive callable.
        :param send: the ASGI send callable.
        """
        request = asgi.request_of(scope)
        if request.path == ENTRIES_PATH:
            await asgi.send_json(send, 200, self.entries(request))
            return
        if request.path == "/favicon.ico" or request.path.count("/") < 2:
            await send_refusal(send, _no_service(request.path))
            return
        await self._forward(scope, request, receive, send)

    async def _forward(
        self, scope: asgi.Scope, request: asgi.Request, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        started_s = time.perf_counter()
        client = scope.get("client") or ("", 0)
        result = await self._path.handle(request, receive, client[0])
        kind = result.kind.value if isinstance(result, errors.Refusal) else "answered"
        self._path.counts[kind] += 1
        if self.observe:
            service = "/".join(request.path.split("/")[1:3])
            self.observe(service, kind, time.perf_counter() - started_s)
        if isinstance(result, errors.Refusal):
            await send_refusal(send, result)
            return
        headers = forwarder.end_to_end(result.headers)
        if request.method == "HEAD":
            length = result.header(b"content-length")
            head = [*headers, (b"content-length", length)] if length else headers
            await send({"type": "http.response.start", "status": result.status, "headers": head})
            await send({"type": "http.response.body", "body": b""})
            return
        await asgi.send_answer(send, result.status, headers, result.body)

    def entries(self, request: asgi.Request) -> EntryList:
        """Return the entries that a caller should use, best first.

        A leaving entry, and one that is not ready, is not named.

        :param request: the look-up, with the service and the client's address as parameters.
        """
        service = request.parameter("service").strip("/")
        site = self._site(request.parameter("client"))
        now_ms = clock.monotonic_ms()
        known = self._cache.get((service, site))
        if known and now_ms < known.until_ms:
            return known.answer
        if len(self._cache) >= MAX_CACHED:
            self._cache.clear()
        answer = self._list(service, site, now_ms)
        self._cache[(service, site)] = _Cached(answer, now_ms + CACHE_MS)
        return answer

    def _list(self, service: str, site: Site, now_ms: int) -> EntryList:
        region, zone = site
        named = [
            _named(h, service) for h in self._peers.table.live(now_ms) if h.ready and not h.leaving
        ]
        if not self._steward.leaving and self._path.ready:
            named.append(self._own(service, now_ms))
        named.sort(key=lambda e: (e.region != region, e.zone != zone, -e.weight))
        return EntryList(service, self._settings.validity_ms, named[:MAX_NAMED])

    def _own(self, service: str, now_ms: int) -> NamedEntry:
        load = self._steward.loads(now_ms).get(service)
        return NamedEntry(
            self._settings.entry_id,
            self._settings.region,
            self._settings.zone,
            str(self._settings.caller),
            1 + (load.free_slots if load else 0),
        )

    def _site(self, client: str) -> Site:
        """Return the region and zone nearest to a client; sites are named REGION/ZONE."""
        address = client_blocks.parse_address(client)
        site = self._blocks.site_of(address) if address is not None else ""
        region, _, zone = site.partition("/")
        return region or self._settings.region, zone.partition("/")[0] or self._settings.zone


def _named(heartbeat: messages.Heartbeat, service: str) -> NamedEntry:
    load = heartbeat.services.get(service)
    weight = 1 + (load.free_slots if load else 0)
    return NamedEntry(
        heartbeat.sender, heartbeat.region, heartbeat.zone, heartbeat.caller_address, weight
    )


def _no_service(path: str) -> errors.Refusal:
    reason = f"{path!r} names no service; paths start with /TEAM/SERVICE/"
    return errors.Refusal(errors.ErrorKind.UNKNOWN_SERVICE, reason)


async def send_refusal(send: asgi.Send, refusal: errors.Refusal) -> None:
    """Send a refusal with its kind, whether it ran, and when to come back.

    :param send: the ASGI send callable.
    :param refusal: the refusal.
    """
    answer = refusal.answer
    headers: asgi.Headers = [
        (exchanges.ERROR_HEADER, refusal.kind.value.encode()),
        (forwarder.NOT_RUN_HEADER, b"true" if answer.not_run else b"false"),
    ]
    if refusal.wait_ms:
        headers.append((b"retry-after", str(-(-refusal.wait_ms // 1000)).encode()))
    body = ErrorBody(refusal.kind.value, refusal.reason, answer.not_run, refusal.wait_ms)
    await asgi.send_json(send, answer.status, body, headers)
