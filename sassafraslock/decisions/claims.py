"""Claims on request keys: the owner of a partition decides and writes them in batches.

A batch is one row of a ring in the table service, written on condition that the partition's
head still names this owner and that the row is as it was. So a claim holds once its batch is
committed, and an owner that was replaced while paused cannot commit any more.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import typing

import msgspec

from sassafraslock import errors, messages, platform, shared_settings
from sassafraslock.decisions import claim_records

MAX_RECORDED_BYTES = 4 << 10
MAX_BATCH_RECORDS = 256
OWNER_SILENT_MS = 2_500
OUTCOME_DELAY_MS = 200


@dataclasses.dataclass(slots=True)
class Batch:
    """A transaction to run until its outcome is certain."""

    row_key: str
    value: bytes
    transaction: platform.Transaction


@dataclasses.dataclass(slots=True)
class Verdict:
    """The decision on one claim request."""

    request: messages.ClaimRequest
    granted: bool = False
    answer: messages.RecordedAnswer | None = None
    refusal: errors.Refusal | None = None


@dataclasses.dataclass(slots=True)
class _KeyState:
    nonce: str
    body_hash: str
    at_ms: int
    deadline_ms: int
    committed: bool = False
    answer: messages.RecordedAnswer | None = None


class ClaimLog:
    """One partition's claims in the memory of its owner."""

    __slots__ = (
        "partition",
        "settings",
        "head_version",
        "epoch",
        "_keys",
        "_order",
        "_sequence",
        "_row_versions",
        "_row_times",
        "_pending",
        "_waiting",
        "_batch",
        "_batch_waiting",
        "_next_commit_ms",
    )

    def __init__(self, partition: int, settings: shared_settings.Claims) -> None:
        self.partition = partition
        self.settings = settings
        self.head_version = 0
        self.epoch = 0
        self._keys: dict[str, _KeyState] = {}
        self._order: collections.deque[tuple[int, str, str]] = collections.deque()
        self._sequence = 0
        self._row_versions: dict[str, int] = {}
        self._row_times: dict[str, int] = {}
        self._pending: list[claim_records.Record] = []
        self._waiting: list[messages.ClaimRequest] = []
        self._batch: Batch | None = None
        self._batch_waiting: list[messages.ClaimRequest] = []
        self._next_commit_ms = 0

    @property
    def size(self) -> int:
        """The number of keys remembered."""
        return len(self._keys)

    def recover(self, rows: list[platform.Row], head_version: int, epoch: int) -> None:
        """Rebuild the state from the ring after this owner's head was committed.

        :param rows: every row of the ring, in any order.
        :param head_version: the head row's version as committed.
        :param epoch: the epoch under which this owner writes.
        """
        self.head_version, self.epoch = head_version, epoch
        batches = [
            (row, msgspec.msgpack.decode(row.value, type=claim_records.BatchRow)) for row in rows
        ]
        for row, batch in sorted(batches, key=lambda pair: pair[1].sequence):
            self._row_versions[row.key] = row.version
            self._row_times[row.key] = batch.at_ms
            self._sequence = batch.sequence + 1
            for record in batch.records:
                self._replay(record)

    def _replay(self, record: claim_records.Record) -> None:
        match record:
            case claim_records.ClaimRecord():
                state = _KeyState(record.nonce, record.body_hash, record.at_ms, record.deadline_ms)
                state.committed = True
                self._remember(record.key, state)
            case claim_records.ReleaseRecord():
                self._release(record)
            case claim_records.DoneRecord():
                state_or_none = self._keys.get(record.key)
                if state_or_none and state_or_none.nonce == record.nonce:
                    state_or_none.answer = record.answer

    def _remember(self, key: str, state: _KeyState) -> None:
        self._keys[key] = state
        self._order.append((state.at_ms, key, state.nonce))

    def _release(self, record: claim_records.ReleaseRecord) -> bool:
        state = self._keys.get(record.key)
        if state is None or state.nonce != record.nonce or state.answer:
            return False
        del self._keys[record.key]
        return True

    def submit(self, request: messages.ClaimRequest, wall_ms: int) -> Verdict | None:
        """Decide a claim at once, or queue it for the next batch.

        :param request: the claim.
        :param wall_ms: the present time since 1970.
        :returns: the verdict, or none where the batch decides.
        """
        self._prune(wall_ms)
        state = self._keys.get(request.key)
        if state is None:
            return self._queue(request, wall_ms)
        if state.body_hash != request.body_hash:
            return _refuse(request, errors.ErrorKind.KEY_REUSED, "the key came with another body")
        if state.nonce == request.nonce:
            if state.committed:
                return Verdict(request, granted=True)
            self._wait_again(request)
            return None
        if state.answer:
            return Verdict(request, answer=state.answer)
        if wall_ms < state.deadline_ms:
            return _refuse(request, errors.ErrorKind.IN_PROGRESS, "an earlier attempt is running")
        reason = "an earlier attempt may have run; it will not be run again"
        return _refuse(request, errors.ErrorKind.MAY_HAVE_RUN, reason)

    def _wait_again(self, request: messages.ClaimRequest) -> None:
        """Answer the repeat of a waiting request in place of the first one."""
        for waiting in (self._waiting, self._batch_waiting):
            for index, known in enumerate(waiting):
                if (known.key, known.nonce) == (request.key, request.nonce):
                    waiting[index] = request

    def _queue(self, request: messages.ClaimRequest, wall_ms: int) -> Verdict | None:
        if not self._next_row_free(wall_ms):
            reason = "the claim log is full of keys that must be remembered; raise commits_per_s"
            return _refuse(request, errors.ErrorKind.STORE_UNAVAILABLE, reason)
        state = _KeyState(request.nonce, request.body_hash, wall_ms, request.deadline_ms)
        self._remember(request.key, state)
        record = claim_records.ClaimRecord(
            request.key, request.nonce, request.body_hash, wall_ms, request.deadline_ms
        )
        self._pending.append(record)
        self._waiting.append(request)
        return None

    def release(self, message: messages.ClaimRelease) -> None:
        """Free a key whose attempt was not dispatched.

        :param message: the release.
        """
        record = claim_records.ReleaseRecord(message.key, message.nonce)
        if self._release(record):
            self._pending.append(record)

    def done(self, message: messages.ClaimDone) -> None:
        """claim_records.Record an attempt's answer; a large body is left out.

        :param message: the answer.
        """
        state = self._keys.get(message.key)
        if state is None or state.nonce != message.nonce or state.answer:
            return
        answer = message.answer
        if len(answer.body) > MAX_RECORDED_BYTES:
            answer = messages.RecordedAnswer(answer.status, answer.headers, b"")
        state.answer = answer
        self._pending.append(claim_records.DoneRecord(message.key, message.nonce, answer))

    def due(self, now_ms: int) -> bool:
        """Tell whether a batch should be written now.

        :param now_ms: the present time of the monotonic clock.
        """
        return self._batch is not None or (bool(self._pending) and now_ms >= self._due_ms)

    @property
    def _due_ms(self) -> int:
        """When pending records are written; outcomes alone wait for claims to join them."""
        return self._next_commit_ms + (0 if self._waiting else OUTCOME_DELAY_MS)

    def wait_ms(self, now_ms: int) -> int:
        """Return the time until the next batch may be written, 0 where nothing is pending.

        :param now_ms: the present time of the monotonic clock.
        """
        return max(1, self._due_ms - now_ms) if self._pending else 0

    @property
    def pending(self) -> int:
        """The number of records that wait for a batch."""
        return len(self._pending)

    def next_batch(self, now_ms: int, wall_ms: int) -> Batch:
        """Return the batch in doubt, or a new one of what is pending.

        :param now_ms: the present time of the monotonic clock.
        :param wall_ms: the present time since 1970.
        """
        if self._batch is None:
            self._batch = self._new_batch(now_ms, wall_ms)
        return self._batch

    def _new_batch(self, now_ms: int, wall_ms: int) -> Batch:
        self._next_commit_ms = now_ms + math.ceil(1000 / self.settings.commits_per_s)
        records = self._pending[:MAX_BATCH_RECORDS]
        del self._pending[:MAX_BATCH_RECORDS]
        claimed = {(r.key, r.nonce) for r in records if isinstance(r, claim_records.ClaimRecord)}
        self._batch_waiting = [w for w in self._waiting if (w.key, w.nonce) in claimed]
        self._waiting = [w for w in self._waiting if (w.key, w.nonce) not in claimed]
        row_key = self._row_key(self._sequence)
        value = msgspec.msgpack.encode(
            claim_records.BatchRow(self.epoch, self._sequence, wall_ms, records)
        )
        self._row_times[row_key] = wall_ms
        transaction = platform.Transaction(
            conditions=[
                platform.Condition(claim_records.head_key(self.partition), self.head_version),
                platform.Condition(row_key, self._row_versions.get(row_key, 0)),
            ],
            puts=[platform.Put(row_key, value)],
            reads=[claim_records.head_key(self.partition), row_key],
        )
        return Batch(row_key, value, transaction)

    def settle(self, outcome: platform.Outcome) -> list[Verdict] | None:
        """Take the certain outcome of the batch.

        :param outcome: the answer of the table service.
        :returns: the verdicts, or none where the ownership is lost.
        """
        batch = self._batch
        if batch is None:
            return []
        row = outcome.row(batch.row_key)
        if row is None or row.value != batch.value:
            return None
        self._row_versions[batch.row_key] = row.version
        self._sequence += 1
        self._batch = None
        waiting, self._batch_waiting = self._batch_waiting, []
        return [v for v in map(self._verdict_after_commit, waiting) if v]

    def _verdict_after_commit(self, request: messages.ClaimRequest) -> Verdict | None:
        state = self._keys.get(request.key)
        if state is None or state.nonce != request.nonce:
            return _refuse(request, errors.ErrorKind.DEADLINE_EXCEEDED, "the claim was released")
        state.committed = True
        return Verdict(request, granted=True)

    def abandon(self) -> list[Verdict]:
        """Refuse everything that waits, after the ownership was lost."""
        waiting = [*self._batch_waiting, *self._waiting]
        self._batch, self._batch_waiting, self._waiting, self._pending = None, [], [], []
        reason = "the partition has another owner now"
        return [_refuse(w, errors.ErrorKind.NOT_READY, reason) for w in waiting]

    def _row_key(self, sequence: int) -> str:
        place = sequence % claim_records.ring_rows(self.settings)
        return f"{claim_records.ring_prefix(self.partition)}{place:08d}"

    def _next_row_free(self, wall_ms: int) -> bool:
        ahead = len(self._pending) // MAX_BATCH_RECORDS + (1 if self._batch else 0)
        at_ms = self._row_times.get(self._row_key(self._sequence + ahead))
        return at_ms is None or wall_ms - at_ms >= self.settings.retention_ms

    def _prune(self, wall_ms: int) -> None:
        horizon_ms = wall_ms - self.settings.retention_ms
        while self._order and self._order[0][0] < horizon_ms:
            _, key, nonce = self._order.popleft()
            state = self._keys.get(key)
            if state and state.nonce == nonce:
                del self._keys[key]


def _refuse(request: messages.ClaimRequest, kind: errors.ErrorKind, reason: str) -> Verdict:
    return Verdict(request, refusal=errors.Refusal(kind, reason))


def may_take_over(
    head: claim_records.Head | None,
    live: typing.Collection[str],
    candidates: list[str],
    me: str,
    listened_ms: int,
) -> bool:
    """Tell whether this entry should become a partition's owner.

    Taking over is safe at any time, since the head's version fences the earlier owner; this
    rule only keeps several entries from doing it at once.

    :param head: the head row as read, if it exists.
    :param live: the entries not suspected, this one included.
    :param candidates: the entries in order of preference, this one included.
    :param me: this entry.
    :param listened_ms: how long this process has listened for heartbeats.
    """
    if head is not None and (head.owner in live or listened_ms < OWNER_SILENT_MS):
        return False
    return next((c for c in candidates if c in live), "") == me
