"""Claims on request keys: the owner's commit loops and the asking side."""

from __future__ import annotations

import dataclasses
import typing

import anyio
import msgspec
import xxhash

from sassafraslock import clock, errors, events, messages, platform, settings, shared_settings
from sassafraslock.decisions import claim_records, claims

RESEND_MS = 400
RETRY_COMMIT_MS = 50
SCAN_LIMIT = 1000
OWNER_CHANGE_MS = 20

ClaimResult = messages.RecordedAnswer | errors.Refusal | None


@dataclasses.dataclass(slots=True)
class _LocalWaiter:
    event: anyio.Event
    verdict: claims.Verdict | None = None


class ClaimService:
    """Owns the claim logs of the partitions that this entry writes."""

    __slots__ = (
        "logs",
        "_settings",
        "_incarnation",
        "_platform",
        "_peers",
        "_config",
        "_steward",
        "_local",
        "_wake",
        "_started_ms",
    )

    def __init__(
        self,
        process: settings.Settings,
        incarnation: int,
        platform_client: typing.Any,
        peers: typing.Any,
        settings_service: typing.Any,
        steward: typing.Any,
    ) -> None:
        self.logs: dict[int, claims.ClaimLog] = {}
        self._settings = process
        self._incarnation = incarnation
        self._platform = platform_client
        self._peers = peers
        self._config = settings_service
        self._steward = steward
        self._local: dict[str, _LocalWaiter] = {}
        self._started_ms = clock.monotonic_ms()
        self._wake: dict[int, anyio.Event] = {}
        peers.handle(messages.ClaimRequest, self._on_request)
        peers.handle(messages.ClaimRelease, self._on_release)
        peers.handle(messages.ClaimDone, self._on_done)

    @property
    def _rules(self) -> shared_settings.Claims:
        return typing.cast("shared_settings.Claims", self._config.shared.claims)

    async def run(self, ready: anyio.Event) -> None:
        """Look for partitions without an owner, and write batches, until cancelled.

        :param ready: set at once.
        """
        ready.set()
        while not self._config.loaded:
            await anyio.sleep(self._settings.poll_ms / 1000)
        async with anyio.create_task_group() as group:
            for partition in range(self._rules.partitions):
                self._wake[partition] = anyio.Event()
                group.start_soon(self._partition_loop, partition)

    async def _partition_loop(self, partition: int) -> None:
        while True:
            await self._try_take_over(partition)
            log = self.logs.get(partition)
            if log is None:
                await anyio.sleep(self._settings.poll_ms / 1000)
                continue
            await self._write_batches(partition, log)

    def _candidates(self, partition: int, live: list[messages.Heartbeat]) -> list[str]:
        """Return the entries in order of preference: near the store first, then by hash."""
        regions = {h.sender: h.region for h in live}
        regions[self._settings.entry_id] = self._settings.region
        near = self._settings.platform.region

        def rank(entry_id: str) -> tuple[bool, int]:
            return regions[entry_id] != near, xxhash.xxh64_intdigest(
                f"{partition}|{entry_id}".encode()
            )

        return sorted(regions, key=rank)

    async def _try_take_over(self, partition: int) -> None:
        live = [h for h in self._peers.table.live(clock.monotonic_ms()) if not h.leaving]
        ids = {h.sender for h in live}
        if not self._steward.leaving:
            ids.add(self._settings.entry_id)
        candidates = self._candidates(partition, live)
        listened_ms = clock.monotonic_ms() - self._started_ms
        me = self._settings.entry_id
        if not claims.may_take_over(None, ids, candidates, me, listened_ms):
            return
        key = claim_records.head_key(partition)
        result = await self._platform.transact(platform.Transaction(reads=[key]))
        if isinstance(result, errors.Refusal):
            return
        row = result.row(key)
        head = msgspec.msgpack.decode(row.value, type=claim_records.Head) if row else None
        if head and head.owner == self._settings.entry_id:
            head = None  # an earlier incarnation, or a take-over whose answer was lost
        if not claims.may_take_over(head, ids, candidates, me, listened_ms):
            return
        epoch = msgspec.msgpack.decode(row.value, type=claim_records.Head).epoch + 1 if row else 1
        await self._take_over(partition, row.version if row else 0, epoch)

    async def _take_over(self, partition: int, version: int, epoch: int) -> None:
        key = claim_records.head_key(partition)
        value = msgspec.msgpack.encode(
            claim_records.Head(epoch, self._settings.entry_id, self._incarnation)
        )
        written = await self._platform.transact(
            platform.Transaction([platform.Condition(key, version)], [platform.Put(key, value)])
        )
        if isinstance(written, errors.Refusal) or not written.committed:
            return
        rows = await self._read_ring(partition, key)
        if rows is None or rows[0].value != value:
            return
        log = claims.ClaimLog(partition, self._rules)
        log.recover(rows[1:], rows[0].version, epoch)
        self.logs[partition] = log
        events.log(
            events.Event.CLAIM_PARTITION_TAKEN,
            "this entry owns a claim partition",
            partition=partition,
            epoch=epoch,
            keys=log.size,
        )
        self._peers.wake()

    async def _read_ring(self, partition: int, head_key: str) -> list[platform.Row] | None:
        """Return the head row and every row of the ring, or none if the store failed."""
        found: list[platform.Row] = []
        after = ""
        while True:
            scan = platform.Scan(claim_records.ring_prefix(partition), after, SCAN_LIMIT)
            reads = [] if found else [head_key]
            result = await self._platform.transact(platform.Transaction(reads=reads, scan=scan))
            if isinstance(result, errors.Refusal) or (not found and not result.rows):
                return None
            scanned = result.rows if found else result.rows[1:]
            found += result.rows
            if len(scanned) < SCAN_LIMIT:
                return found
            after = scanned[-1].key

    async def _write_batches(self, partition: int, log: claims.ClaimLog) -> None:
        while self.logs.get(partition) is log:
            if not log.due(clock.monotonic_ms()):
                await self._wait_for_work(partition, log)
                continue
            batch = log.next_batch(clock.monotonic_ms(), clock.wall_ms())
            outcome = await self._platform.transact(batch.transaction)
            if isinstance(outcome, errors.Refusal):
                await anyio.sleep(RETRY_COMMIT_MS / 1000)
                continue
            verdicts = log.settle(outcome)
            if verdicts is None:
                self._lose(partition, log)
                return
            for verdict in verdicts:
                self._answer(verdict)

    async def _wait_for_work(self, partition: int, log: claims.ClaimLog) -> None:
        wait_ms = log.wait_ms(clock.monotonic_ms()) or self._settings.poll_ms
        self._wake[partition] = anyio.Event()
        with anyio.move_on_after(wait_ms / 1000):
            await self._wake[partition].wait()

    def _lose(self, partition: int, log: claims.ClaimLog) -> None:
        del self.logs[partition]
        for verdict in log.abandon():
            self._answer(verdict)
        events.log(
            events.Event.CLAIM_PARTITION_LOST,
            "another entry owns the claim partition now",
            partition=partition,
        )

    def _answer(self, verdict: claims.Verdict) -> None:
        request = verdict.request
        if request.sender == self._settings.entry_id:
            waiter = self._local.get(request.nonce)
            if waiter:
                waiter.verdict = verdict
                waiter.event.set()
            return
        self._peers.send_to(request.sender, self._reply(verdict))

    def _submit(self, request: messages.ClaimRequest) -> None:
        """Decide a claim at its owner, now or with the next batch."""
        partition = claim_records.partition_of(request.key, self._rules.partitions)
        log = self.logs.get(partition)
        if log is None:
            self._answer(_refused(request, errors.ErrorKind.NOT_READY, "the owner changed"))
            return
        if not self._platform.available:
            self._answer(
                _refused(request, errors.ErrorKind.STORE_UNAVAILABLE, "the table service is down")
            )
            return
        verdict = log.submit(request, clock.wall_ms())
        if verdict:
            self._answer(verdict)
            return
        self._wake[partition].set()

    async def _on_request(self, request: messages.ClaimRequest) -> None:
        self._submit(request)

    async def _on_release(self, message: messages.ClaimRelease) -> None:
        log = self._log_of(message.key)
        if log:
            log.release(message)
            self._wake[log.partition].set()

    async def _on_done(self, message: messages.ClaimDone) -> None:
        log = self._log_of(message.key)
        if log:
            log.done(message)
            self._wake[log.partition].set()

    def _log_of(self, key: str) -> claims.ClaimLog | None:
        return self.logs.get(claim_records.partition_of(key, self._rules.partitions))

    def owner_of(self, key: str, now_ms: int) -> str:
        """Return the entry that owns a key's partition, empty where none is known to live.

        :param key: the request key with its service.
        :param now_ms: the present time.
        """
        partition = claim_records.partition_of(key, self._rules.partitions)
        if partition in self.logs:
            return self._settings.entry_id
        named = [
            (h.claim_epochs[str(partition)], h.sender)
            for h in self._peers.table.live(now_ms)
            if str(partition) in h.claim_epochs
        ]
        return max(named)[1] if named else ""

    async def claim(self, key: str, nonce: str, body_hash: str, left_ms: int) -> ClaimResult:
        """Claim a key for one attempt.

        :param key: the request key with its service.
        :param nonce: the attempt's unique id.
        :param body_hash: the request's digest.
        :param left_ms: the time left to the request's deadline.
        :returns: none where granted, the recorded answer of an earlier attempt, or a refusal;
            after a refusal the caller must never dispatch under this nonce.
        """
        give_up_ms = clock.monotonic_ms() + left_ms
        request = messages.ClaimRequest(
            sender=self._settings.entry_id,
            request_id=0,
            key=key,
            nonce=nonce,
            body_hash=body_hash,
            deadline_ms=clock.wall_ms() + left_ms,
        )
        while clock.monotonic_ms() < give_up_ms:
            answer = await self._ask_owner(request, give_up_ms)
            if answer is None:
                continue
            if answer.refusal_kind is errors.ErrorKind.NOT_READY:
                await anyio.sleep(OWNER_CHANGE_MS / 1000)
                continue
            if answer.refusal_kind:
                self.release(key, nonce)
            return _result(answer)
        self.release(key, nonce)
        reason = "the claim was not confirmed before the deadline"
        return errors.Refusal(errors.ErrorKind.DEADLINE_EXCEEDED, reason)

    async def _ask_owner(
        self, request: messages.ClaimRequest, give_up_ms: int
    ) -> messages.ClaimReply | None:
        """Ask the partition's owner once; none means that no reply came in time."""
        now_ms = clock.monotonic_ms()
        owner = self.owner_of(request.key, now_ms)
        numbered = msgspec.structs.replace(request, request_id=self._peers.next_id())
        if not owner:
            reason = "no live entry owns the key's partition"
            kind = errors.ErrorKind.STORE_UNAVAILABLE
            return self._reply(_refused(numbered, kind, reason))
        if owner == self._settings.entry_id:
            return await self._ask_here(numbered, give_up_ms - now_ms)
        wait_ms = min(RESEND_MS, give_up_ms - now_ms)
        reply = await self._peers.call(owner, numbered, wait_ms)
        return reply if isinstance(reply, messages.ClaimReply) else None

    async def _ask_here(
        self, request: messages.ClaimRequest, wait_ms: int
    ) -> messages.ClaimReply | None:
        waiter = _LocalWaiter(anyio.Event())
        self._local[request.nonce] = waiter
        try:
            self._submit(request)
            with anyio.move_on_after(wait_ms / 1000):
                await waiter.event.wait()
        finally:
            del self._local[request.nonce]
        return self._reply(waiter.verdict) if waiter.verdict else None

    def _reply(self, verdict: claims.Verdict) -> messages.ClaimReply:
        refusal = verdict.refusal
        return messages.ClaimReply(
            sender=self._settings.entry_id,
            request_id=verdict.request.request_id,
            granted=verdict.granted,
            answer=verdict.answer,
            refusal_kind=refusal.kind if refusal else None,
            reason=refusal.reason if refusal else "",
        )

    def release(self, key: str, nonce: str) -> None:
        """Say that an attempt was never dispatched and never will be.

        :param key: the request key with its service.
        :param nonce: the attempt.
        """
        message = messages.ClaimRelease(sender=self._settings.entry_id, key=key, nonce=nonce)
        self._send_to_owner(key, message)

    def done(self, key: str, nonce: str, answer: messages.RecordedAnswer) -> None:
        """Record an attempt's answer for repeats of its key.

        :param key: the request key with its service.
        :param nonce: the attempt.
        :param answer: the answer that the caller got.
        """
        message = messages.ClaimDone(
            sender=self._settings.entry_id, key=key, nonce=nonce, answer=answer
        )
        self._send_to_owner(key, message)

    def _send_to_owner(self, key: str, message: messages.ClaimRelease | messages.ClaimDone) -> None:
        owner = self.owner_of(key, clock.monotonic_ms())
        if owner and owner != self._settings.entry_id:
            self._peers.send_to(owner, message)
            return
        log = self._log_of(key)
        if log is None:
            return
        if isinstance(message, messages.ClaimDone):
            log.done(message)
        else:
            log.release(message)
        self._wake[log.partition].set()

    def epochs(self) -> dict[str, int]:
        """Return the epochs of the partitions that this entry owns, for the heartbeat."""
        return {str(p): log.epoch for p, log in self.logs.items()}

    def dump(self) -> dict[str, object]:
        """Return the partitions owned and their sizes."""
        return {
            str(p): {"epoch": log.epoch, "keys": log.size, "pending": log.pending}
            for p, log in self.logs.items()
        }


def _refused(request: messages.ClaimRequest, kind: errors.ErrorKind, reason: str) -> claims.Verdict:
    refusal = errors.Refusal(kind, reason)
    return claims.Verdict(request, refusal=refusal)


def _result(reply: messages.ClaimReply) -> ClaimResult:
    if reply.granted:
        return None
    kind = reply.refusal_kind or errors.ErrorKind.STORE_UNAVAILABLE
    return reply.answer or errors.Refusal(kind, reply.reason)
