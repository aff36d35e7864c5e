"""The path of one request: checks, claim, choice of region, attempts, answer."""

from __future__ import annotations

import collections
import hmac
import random
import typing
import uuid

import anyio

from sassafraslock import asgi, clock, errors, messages, settings
from sassafraslock.decisions import cells, claim_records, quarantine, retry, routing
from sassafraslock.services import exchanges, forwarder

EXPECTED_RESPONSE_BYTES = 16 << 10
RESPONSE_WEIGHT = 0.1
PEER_CONNECTIONS = 64
SPILLING_KINDS = (errors.ErrorKind.NO_CAPACITY, errors.ErrorKind.NO_SERVER)
_FORWARDED_KINDS = {kind.value: kind for kind in errors.ErrorKind}

PathResult = forwarder.Attempt | errors.Refusal


class RequestPath:
    """Decides and carries out each request that callers or other entries send."""

    __slots__ = (
        "counts",
        "in_flight",
        "budget",
        "_settings",
        "_peers",
        "_config",
        "_claims",
        "_admission",
        "_forwarder",
        "_response_bytes",
        "_splits",
        "_suspects",
    )

    def __init__(
        self,
        process: settings.Settings,
        peers: typing.Any,
        settings_service: typing.Any,
        claim_service: typing.Any,
        split_service: typing.Any,
        suspects: typing.Any,
        admission_service: typing.Any,
        forwarding: typing.Any,
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.in_flight = 0
        self.budget = retry.RetryBudget()
        self._settings = process
        self._peers = peers
        self._config = settings_service
        self._claims = claim_service
        self._admission = admission_service
        self._forwarder = forwarding
        self._splits = split_service
        self._suspects = suspects
        self._response_bytes: dict[str, float] = {}

    async def run(self, ready: anyio.Event) -> None:
        """Exist until cancelled; the work is done by those that ask.

        :param ready: set at once.
        """
        ready.set()
        await anyio.sleep_forever()

    @property
    def ready(self) -> bool:
        """Whether this entry knows the settings and where its region's traffic is served."""
        return bool(self._config.current and self._splits.known)

    async def handle(
        self, request: asgi.Request, receive: asgi.Receive, peer_address: str
    ) -> PathResult:
        """Run one request from its head to its whole answer.

        :param request: the head.
        :param receive: reads the body.
        :param peer_address: the address that sent the request.
        """
        self.in_flight += 1
        try:
            exchange = await self._admit(request, receive)
            if isinstance(exchange, errors.Refusal):
                return exchange
            return await self._run(exchange, peer_address)
        finally:
            self.in_flight -= 1

    async def _admit(self, request: asgi.Request, receive: asgi.Receive) -> typing.Any:
        """Check a request and build its exchange, or refuse it as not run."""
        if not self.ready:
            reason = "the settings or the region's view are not current yet"
            return errors.Refusal(errors.ErrorKind.NOT_READY, reason)
        service, target = exchanges.split_path(request)
        rules = self._config.shared.services.get(service)
        if rules is None:
            reason = f"no service {service!r}; paths start with /TEAM/SERVICE/"
            return errors.Refusal(errors.ErrorKind.UNKNOWN_SERVICE, reason)
        limit_ms = routing.deadline_of(rules, request.header(exchanges.DEADLINE_HEADER))
        if isinstance(limit_ms, errors.Refusal):
            return limit_ms
        deadline_ms = clock.monotonic_ms() + limit_ms
        body = await asgi.read_body(receive, rules.max_body_bytes)
        if body is None:
            reason = f"the body was cut off or is larger than {rules.max_body_bytes} bytes"
            return errors.Refusal(errors.ErrorKind.BODY_TOO_LARGE, reason)
        idempotent = routing.is_idempotent(rules, request.method, target.partition("?")[0])
        mark = quarantine.fingerprint(service, request.method, target, body)
        exchange = exchanges.Exchange(
            service, rules, request, target, body, idempotent, deadline_ms, mark
        )
        return self._check_hop(exchange) or self._check_key(exchange) or exchange

    def _check_hop(self, exchange: exchanges.Exchange) -> errors.Refusal | None:
        region = exchange.request.header(exchanges.HOP_HEADER)
        if not region:
            return None
        token = exchange.request.header(exchanges.PEER_TOKEN_HEADER)
        if not hmac.compare_digest(token.encode(), self._settings.peer_token.encode()):
            reason = "only entries may set the hop header; check peer_token"
            return errors.Refusal(errors.ErrorKind.UNAUTHORIZED, reason)
        exchange.hop_region = region
        return None

    def _check_key(self, exchange: exchanges.Exchange) -> errors.Refusal | None:
        if exchange.idempotent or exchange.hop_region:
            return None
        key = exchange.request.header(exchanges.KEY_HEADER)
        if not key:
            reason = (
                f"this request must carry {exchanges.KEY_HEADER.decode()} with a UUID of version 7"
            )
            return errors.Refusal(errors.ErrorKind.KEY_MISSING, reason)
        exchange.key = f"{exchange.service}|{key}"
        return claim_records.check_key(
            key, self._config.shared.claims.retention_ms, clock.wall_ms()
        )

    async def _run(self, exchange: exchanges.Exchange, peer_address: str) -> PathResult:
        suspect: errors.Refusal | None = await self._suspects.check(exchange)
        if suspect:
            return suspect
        result = await self._run_checked(exchange, peer_address)
        not_run = isinstance(result, errors.Refusal) and result.answer.not_run
        self._suspects.end_trial(exchange, not_run)
        return result

    async def _run_checked(self, exchange: exchanges.Exchange, peer_address: str) -> PathResult:
        if not exchange.key:
            return await self._dispatch(exchange, peer_address)
        exchange.nonce = uuid.uuid4().hex
        verdict = await self._claims.claim(
            exchange.key, exchange.nonce, exchange.mark, exchange.left_ms(clock.monotonic_ms())
        )
        if isinstance(verdict, errors.Refusal):
            return verdict
        if verdict:
            self.counts["replayed"] += 1
            return forwarder.Attempt(
                retry.AttemptEnd.ANSWERED, verdict.status, verdict.headers, verdict.body
            )
        result = await self._dispatch(exchange, peer_address)
        self._settle_claim(exchange, result)
        return result

    def _settle_claim(self, exchange: exchanges.Exchange, result: PathResult) -> None:
        if isinstance(result, errors.Refusal):
            if result.answer.not_run:
                self._claims.release(exchange.key, exchange.nonce)
            return
        answer = messages.RecordedAnswer(result.status, result.headers, result.body)
        self._claims.done(exchange.key, exchange.nonce, answer)

    async def _dispatch(self, exchange: exchanges.Exchange, peer_address: str) -> PathResult:
        if exchange.hop_region == self._settings.region:
            return await self._run_here(exchange)
        if exchange.hop_region:
            return await self._serve_hop(exchange)
        table = self._splits.table(exchange.service, exchange.rules)
        identity = (
            exchange.request.header(exchanges.CLIENT_HEADER) or peer_address.rpartition(".")[0]
        )
        cell = cells.cell_of(identity, exchange.service)
        wanted = self._splits.wanted_split(exchange.service, exchange.rules)
        region = table.place(cell, wanted, clock.monotonic_ms())
        result = await self._run_in(exchange, region)
        if isinstance(result, errors.Refusal) and result.kind in SPILLING_KINDS:
            return await self._spill(exchange, table, region, result)
        return result

    async def _spill(
        self,
        exchange: exchanges.Exchange,
        table: cells.CellTable,
        region: str,
        refusal: errors.Refusal,
    ) -> PathResult:
        """Serve a request away from its region if the cap on moved traffic allows it."""
        others = [r for r in self._splits.usable_regions(exchange.service) if r != region]
        if not others:
            return refusal
        if not table.may_spill(clock.monotonic_ms()):
            reason = f"{refusal.reason}, and the cap on shifted traffic is reached"
            return errors.Refusal(errors.ErrorKind.SHIFT_CAP, reason)
        table.note_spill(clock.monotonic_ms())
        return await self._run_in(exchange, random.choice(others))

    async def _run_in(self, exchange: exchanges.Exchange, region: str) -> PathResult:
        if region != self._settings.region:
            return await self._run_there(exchange, region)
        if self._admission.has_own(exchange.service):
            return await self._run_here(exchange)
        return await self._run_at_steward(exchange)

    async def _run_at_steward(self, exchange: exchanges.Exchange) -> PathResult:
        """Send a request to a neighbour that hands out slots, for this entry has none.

        The request waits in the steward's own queue, so that a slot never idles while a grant
        travels.
        """
        peer = self._admission.choose_steward(exchange.service)
        if peer is None:
            return await self._run_here(exchange)
        return await self._run_through(exchange, peer)

    async def _serve_hop(self, exchange: exchanges.Exchange) -> PathResult:
        """Serve a request of another region and keep to this side of the link."""
        expected_bytes = int(self._response_bytes.get(exchange.service, EXPECTED_RESPONSE_BYTES))
        filing = not exchange.idempotent
        taken = await self._admission.take_bytes(
            exchange.hop_region, expected_bytes, filing, exchange.deadline_ms, False
        )
        if not taken:
            return errors.Refusal(errors.ErrorKind.LINK_FULL, "the link back is full")
        result = await self._run_here(exchange)
        if isinstance(result, errors.Refusal):
            return result
        size_bytes = exchanges.size_bytes(result.headers, result.body)
        known = self._response_bytes.get(exchange.service, float(EXPECTED_RESPONSE_BYTES))
        self._response_bytes[exchange.service] = known + (size_bytes - known) * RESPONSE_WEIGHT
        if size_bytes <= expected_bytes:
            return result
        sent = await self._admission.take_bytes(
            exchange.hop_region, size_bytes - expected_bytes, filing, exchange.deadline_ms, True
        )
        if sent:
            return result
        return errors.Refusal(errors.ErrorKind.TIMED_OUT, "the link back stayed full")

    async def _run_here(self, exchange: exchanges.Exchange) -> PathResult:
        """Make attempts on this region's servers."""
        avoid: list[str] = []
        self.budget.note_request()
        while True:
            result = await self._attempt(exchange, avoid)
            if isinstance(result, errors.Refusal):
                return result
            if result.end is retry.AttemptEnd.ANSWERED:
                return result
            left_ms = exchange.left_ms(clock.monotonic_ms())
            again = retry.may_retry(result.end, exchange.idempotent, exchange.attempts, left_ms)
            if not again or not self.budget.take():
                return _give_up(result)
            if result.end is retry.AttemptEnd.BROKE_MID_RUN:
                refused = await self._suspects.check(exchange)
                if refused:
                    return _give_up(result)
            self.counts["retries"] += 1

    async def _attempt(self, exchange: exchanges.Exchange, avoid: list[str]) -> PathResult:
        slot = await self._admission.acquire(
            exchange.service, not exchange.idempotent, exchange.deadline_ms, avoid
        )
        if isinstance(slot, errors.Refusal):
            return slot
        failed = False
        try:
            server = exchange.rules.servers.get(slot.server_id)
            left_ms = exchange.left_ms(clock.monotonic_ms())
            if server is None or left_ms <= 0:
                reason = "the deadline passed before the request was sent"
                return errors.Refusal(errors.ErrorKind.DEADLINE_EXCEEDED, reason)
            exchange.attempts += 1
            entries = self._config.shared.regions[self._settings.region].max_entries
            result: forwarder.Attempt = await self._forwarder.attempt(
                f"{server.host}:{server.port}",
                max(1, server.connections // entries),
                self._outgoing(exchange, left_ms, b""),
                left_ms,
                exchange.rules.max_response_bytes,
            )
            failed = result.end in (retry.AttemptEnd.NOT_SENT, retry.AttemptEnd.BROKE_MID_RUN)
        finally:
            self._admission.release(slot, failed)
        if failed:
            avoid.append(slot.server_id)
        await self._suspects.note_end(exchange, result, slot)
        return result

    async def _run_there(self, exchange: exchanges.Exchange, region: str) -> PathResult:
        """Send a request through an entry of another region."""
        peer = self._pick_peer(exchange.service, region)
        if peer is None:
            reason = f"no entry of {region} is heard"
            return errors.Refusal(errors.ErrorKind.NO_SERVER, reason)
        left_ms = exchange.left_ms(clock.monotonic_ms())
        outgoing = self._outgoing(exchange, left_ms, self._settings.region.encode())
        taken = await self._admission.take_bytes(
            region,
            exchanges.size_bytes(outgoing.headers, outgoing.body),
            not exchange.idempotent,
            exchange.deadline_ms,
            False,
        )
        if not taken:
            return errors.Refusal(errors.ErrorKind.LINK_FULL, f"the link to {region} is full")
        return await self._run_through(exchange, peer)

    async def _run_through(
        self, exchange: exchanges.Exchange, peer: messages.Heartbeat
    ) -> PathResult:
        left_ms = exchange.left_ms(clock.monotonic_ms())
        if left_ms <= 0:
            reason = "the deadline passed before the request was sent"
            return errors.Refusal(errors.ErrorKind.DEADLINE_EXCEEDED, reason)
        result = await self._forwarder.attempt(
            peer.caller_address,
            PEER_CONNECTIONS,
            self._outgoing(exchange, left_ms, self._settings.region.encode()),
            left_ms,
            exchange.rules.max_response_bytes,
        )
        if result.end is retry.AttemptEnd.ANSWERED and not result.header(exchanges.ERROR_HEADER):
            return typing.cast(PathResult, result)
        return _refusal_of(result)

    def _pick_peer(self, service: str, region: str) -> messages.Heartbeat | None:
        live = [
            h
            for h in self._peers.table.in_region(region, clock.monotonic_ms())
            if h.ready and not h.leaving
        ]
        if not live:
            return None
        free = [h.services[service].free_slots if service in h.services else 0 for h in live]
        return random.choices(live, [f + 1 for f in free])[0]

    def _outgoing(
        self, exchange: exchanges.Exchange, left_ms: int, hop_region: bytes
    ) -> forwarder.Outgoing:
        headers = [
            (n, v)
            for n, v in forwarder.end_to_end(exchange.request.headers)
            if n not in exchanges.OWN_HEADERS
        ]
        headers.append((exchanges.DEADLINE_HEADER, str(left_ms).encode()))
        headers.append((b"content-length", str(len(exchange.body)).encode()))
        target = exchange.target
        if hop_region:
            headers.append((exchanges.HOP_HEADER, hop_region))
            headers.append((exchanges.PEER_TOKEN_HEADER, self._settings.peer_token.encode()))
            target = f"/{exchange.service}{target}"
        return forwarder.Outgoing(exchange.request.method, target, headers, exchange.body)

    def dump(self) -> dict[str, object]:
        """Return the counters."""
        return {"in_flight": self.in_flight, "counts": dict(self.counts)}


def _give_up(result: forwarder.Attempt) -> errors.Refusal:
    """Return the refusal for a last attempt that was not answered."""
    if result.end in (retry.AttemptEnd.NOT_SENT, retry.AttemptEnd.REFUSED_NOT_RUN):
        reason = f"no server took the request: {result.reason or 'refused'}"
        return errors.Refusal(errors.ErrorKind.NO_SERVER, reason)
    if result.end is retry.AttemptEnd.TIMED_OUT:
        return errors.Refusal(errors.ErrorKind.TIMED_OUT, result.reason)
    return errors.Refusal(errors.ErrorKind.SERVER_FAILED, result.reason)


def _refusal_of(result: forwarder.Attempt) -> errors.Refusal:
    """Return the refusal that an entry of another region gave, or the break on the way."""
    named = _FORWARDED_KINDS.get(result.header(exchanges.ERROR_HEADER).decode("latin-1"))
    if named:
        return errors.Refusal(
            named, f"through another region: {result.body[:200].decode(errors='replace')}"
        )
    return _give_up(result)
