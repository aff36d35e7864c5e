"""Idempotency records in the table service: requests with the same key run at most once.

A caller that repeats a request under the same key gets the answer of the first attempt, or a
refusal that says why there is none. Clients that use a new id for each repeat don't need request
keys.
"""

from __future__ import annotations

import dataclasses
import typing
import uuid

import anyio
import anyio.streams.memory
import msgspec

from sassafraslock import clock, errors, header_names, http_messages, platform
from sassafraslock.decisions import claim, quarantine
from sassafraslock.path import route

QUEUE_SIZE = 4_096
INSERT_ATTEMPTS = 3
SETTLE_ATTEMPTS = 5
SETTLE_PAUSE_S = 0.3
PURGE_INTERVAL_S = 5.0
PURGE_ROWS = 100
DEFAULT_RETENTION_MS = 600_000
DEADLINE_SLACK_MS = 1_000


@dataclasses.dataclass(slots=True)
class HeldClaim:
    """A key claimed by this entry for one attempt, with the row and its version."""

    key: str
    version: int
    row: claim.ClaimRow


@dataclasses.dataclass(slots=True)
class _Settlement:
    held: HeldClaim
    answer: claim.RecordedAnswer | None


class Claims:
    """Claims keys before requests are sent, and stores their answers afterwards.

    ``may_purge`` says whether this entry deletes expired rows, so that one entry can do it for all.
    """

    __slots__ = ("retention_ms", "may_purge", "_table", "_names", "_send", "_receive")

    def __init__(self, table: platform.Table, names: header_names.HeaderNames) -> None:
        self.retention_ms = DEFAULT_RETENTION_MS
        self.may_purge: typing.Callable[[], bool] = lambda: True
        self._table = table
        self._names = names
        self._send, self._receive = anyio.create_memory_object_stream[_Settlement](QUEUE_SIZE)

    async def run(self, ready: anyio.Event) -> None:
        """Write settlements and purge expired claims until cancelled.

        :param ready: set at once.
        """
        ready.set()
        async with anyio.create_task_group() as group:
            group.start_soon(self._purge_forever)
            async for settlement in self._receive:
                group.start_soon(self._settle, settlement)

    async def acquire(
        self, routed: route.RoutedRequest
    ) -> HeldClaim | http_messages.Response | errors.Refusal:
        """Claim a request's key, or return the response or refusal for the client.

        A repeat that arrives before the first answer is refused. Until :data:`DEADLINE_SLACK_MS`
        after the first request's deadline, the reason is that this one is in progress; later, that
        it may have run.

        :param routed: a request that must not run twice.
        """
        name = self._names.idempotency_key
        key = routed.incoming.request.header(name)
        if not key:
            reason = f"this request needs a {name.decode()} header with a UUID of version 7"
            return errors.Refusal(errors.ErrorKind.KEY_MISSING, reason)
        wall_ms = clock.wall_ms()
        refused = claim.check_key(key, self.retention_ms, wall_ms)
        if refused:
            return refused
        until_ms = wall_ms + routed.remaining_ms(clock.monotonic_ms()) + DEADLINE_SLACK_MS
        row = claim.ClaimRow(uuid.uuid4().hex, _fingerprint(routed), wall_ms, until_ms)
        claimed = await self._insert(claim.row_key(routed.service.name, key), row)
        if isinstance(claimed, (HeldClaim, errors.Refusal)):
            return claimed
        verdict = claim.repeat_outcome(claimed, row.fingerprint, wall_ms)
        if isinstance(verdict, errors.Refusal):
            return verdict
        return http_messages.Response(verdict.status, verdict.headers, verdict.body)

    async def _insert(
        self, key: str, row: claim.ClaimRow
    ) -> HeldClaim | claim.ClaimRow | errors.Refusal:
        """Insert a row if the key has none, and return the claim, or else the row that is there.

        If the answer to an insert was lost, the retry finds the row and recognizes it by its nonce.
        """
        value = msgspec.msgpack.encode(row)
        result: platform.TableResult = errors.Refusal(errors.ErrorKind.STORE_UNAVAILABLE, "")
        for _ in range(INSERT_ATTEMPTS):
            absent = platform.Condition(key, 0)
            transaction = platform.Transaction([absent], [platform.Put(key, value)], reads=[key])
            result = await self._table.transact(transaction)
            if isinstance(result, errors.Refusal):
                continue
            stored = result.row(key)
            if stored is None:
                continue
            existing = claim.decode_row(stored.value)
            is_own = isinstance(existing, claim.ClaimRow) and existing.nonce == row.nonce
            return HeldClaim(key, stored.version, row) if is_own else existing
        if isinstance(result, errors.Refusal):
            return result
        return errors.Refusal(
            errors.ErrorKind.STORE_UNAVAILABLE, "the store did not confirm the request key's claim"
        )

    def settle(self, held: HeldClaim, outcome: http_messages.Response | errors.Refusal) -> None:
        """Store an attempt's answer, or delete the claim of an attempt that did not run.

        A body above ``claim.MAX_KEPT_BODY_BYTES`` is not stored. If the outcome is unknown, or the
        queue is full, the claim stays without an answer.

        :param held: the claimed key.
        :param outcome: the response or refusal for the client.
        """
        if isinstance(outcome, errors.Refusal):
            if not outcome.properties.not_run:
                return
            answer = None
        else:
            body = outcome.body if len(outcome.body) <= claim.MAX_KEPT_BODY_BYTES else b""
            headers = http_messages.end_to_end_headers(outcome.headers)
            answer = claim.RecordedAnswer(outcome.status, headers, body)
        try:
            self._send.send_nowait(_Settlement(held, answer))
        except anyio.WouldBlock:
            return

    async def _settle(self, settlement: _Settlement) -> None:
        held = settlement.held
        condition = platform.Condition(held.key, held.version)
        transaction = platform.Transaction([condition], deletes=[held.key])
        if settlement.answer is not None:
            row = msgspec.structs.replace(held.row, answer=settlement.answer)
            value = msgspec.msgpack.encode(row)
            transaction = platform.Transaction([condition], [platform.Put(held.key, value)])
        for _ in range(SETTLE_ATTEMPTS):
            if not isinstance(await self._table.transact(transaction), errors.Refusal):
                return
            await anyio.sleep(SETTLE_PAUSE_S)

    async def _purge_forever(self) -> None:
        while True:
            await anyio.sleep(PURGE_INTERVAL_S)
            if self.may_purge():
                await self.purge(clock.wall_ms())

    async def purge(self, wall_ms: int) -> int:
        """Delete rows older than the retention time, at most :data:`PURGE_ROWS`.

        Rows whose keys no claim can have count as old, since they would be in the way for ever.

        :param wall_ms: the current Unix time.
        :returns: the number of expired rows found.
        """
        scan = platform.Scan(claim.PREFIX, limit=PURGE_ROWS)
        result = await self._table.transact(platform.Transaction(scan=scan))
        if isinstance(result, errors.Refusal):
            return 0
        old = [r.key for r in result.rows if wall_ms - claim.row_time_ms(r.key) > self.retention_ms]
        if old:
            await self._table.transact(platform.Transaction(deletes=old))
        return len(old)

    def dump(self) -> dict[str, object]:
        """Return the number of settlements in the queue."""
        return {"waiting": self._send.statistics().current_buffer_used}


def _fingerprint(routed: route.RoutedRequest) -> str:
    request = routed.incoming.request
    name = routed.service.name
    if routed.workspace is not None:  # so that no workspace gets another one's recorded response
        name = f"{name}|{routed.workspace.name}"
    return quarantine.fingerprint(name, request.method, routed.target, request.body)
