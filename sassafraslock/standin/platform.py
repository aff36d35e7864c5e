"""An in-memory stand-in for the platform, with fault switches."""

from __future__ import annotations

import bisect
import dataclasses
import random

import anyio

from sassafraslock import clock, errors, platform


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults in force; each ratio is the probability that a call meets the fault.

    ``slow_ms`` delays every call. A lost request has no effect; a lost answer belongs to a call
    that took effect. A call with a late effect gets no answer and is applied after the next call
    that is.
    """

    down: bool = False
    slow_ms: int = 0
    lost_request_ratio: float = 0.0
    lost_answer_ratio: float = 0.0
    late_effect_ratio: float = 0.0


@dataclasses.dataclass(slots=True)
class Usage:
    """Counters of what the platform charges for: write transactions, rows written, reads."""

    write_transactions: int = 0
    rows_written: int = 0
    rows_read: int = 0
    read_calls: int = 0


UNAVAILABLE = errors.Refusal(errors.ErrorKind.STORE_UNAVAILABLE, "the table service is down")
NO_ANSWER = errors.Refusal(errors.ErrorKind.STORE_UNAVAILABLE, "the call was not answered in time")


@dataclasses.dataclass(slots=True, frozen=True)
class TableCopy:
    """The state of the table at one moment."""

    rows: dict[str, platform.Row]
    keys: list[str]
    version: int


class MemoryPlatform:
    """Table service and object store in memory."""

    __slots__ = ("rows", "keys", "objects", "usage", "_version", "_era")

    def __init__(self) -> None:
        self.rows: dict[str, platform.Row] = {}
        self.keys: list[str] = []
        self.objects: dict[str, bytes] = {}
        self.usage = Usage()
        self._version = 0
        self._era = 0

    def copy(self) -> TableCopy:
        """Return a copy of the table, from which it can be restored."""
        return TableCopy(dict(self.rows), list(self.keys), self._version)

    def restore(self, copy: TableCopy) -> None:
        """Lose what was written to the table since a copy, and begin another era.

        :param copy: the copy.
        """
        self.rows, self.keys = dict(copy.rows), list(copy.keys)
        self._version = copy.version
        self._era += 1

    def apply(self, transaction: platform.Transaction) -> platform.TransactionResult:
        """Run a transaction atomically; nothing is written if a condition fails.

        :param transaction: what to check, write and read.
        """
        committed = all(self._is_met(c) for c in transaction.conditions)
        if committed and (transaction.puts or transaction.deletes):
            self._write(transaction)
        rows = [self.rows[k] for k in transaction.reads if k in self.rows]
        if transaction.scan:
            rows += self._scan(transaction.scan)
        if transaction.reads or transaction.scan:
            self.usage.read_calls += 1
            self.usage.rows_read += len(rows)
        return platform.TransactionResult(committed, rows, self._era, clock.monotonic_ms())

    def _is_met(self, condition: platform.Condition) -> bool:
        row = self.rows.get(condition.key)
        return (row.version if row else 0) == condition.version

    def _write(self, transaction: platform.Transaction) -> None:
        self.usage.write_transactions += 1
        self.usage.rows_written += len(transaction.puts) + len(transaction.deletes)
        self._version += 1
        for put in transaction.puts:
            if put.key not in self.rows:
                bisect.insort(self.keys, put.key)
            self.rows[put.key] = platform.Row(put.key, self._version, put.value)
        for key in transaction.deletes:
            if self.rows.pop(key, None):
                self.keys.remove(key)

    def _scan(self, scan: platform.Scan) -> list[platform.Row]:
        start = bisect.bisect_right(self.keys, max(scan.after, scan.prefix[:-1]))
        rows: list[platform.Row] = []
        for key in self.keys[start:]:
            if len(rows) >= scan.limit or not key.startswith(scan.prefix):
                break
            rows.append(self.rows[key])
        return rows


class FaultyPlatform:
    """Injects faults into calls to a :class:`MemoryPlatform`."""

    __slots__ = ("memory", "faults", "_random", "_delayed")

    def __init__(self, memory: MemoryPlatform, faults: Faults, seed: int) -> None:
        self.memory = memory
        self.faults = faults
        self._random = random.Random(seed)
        self._delayed: list[platform.Transaction] = []

    async def transact(self, transaction: platform.Transaction) -> platform.TableResult:
        """Run one transaction, unless a fault drops or delays it or drops its answer.

        :param transaction: what to check, write and read.
        """
        await anyio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            return UNAVAILABLE
        if self._random.random() < self.faults.lost_request_ratio:
            return NO_ANSWER
        if self._random.random() < self.faults.late_effect_ratio:
            self._delayed.append(transaction)
            return NO_ANSWER
        outcome = self.memory.apply(transaction)
        delayed, self._delayed = self._delayed, []
        for delayed_transaction in delayed:
            self.memory.apply(delayed_transaction)
        if self._random.random() < self.faults.lost_answer_ratio:
            return NO_ANSWER
        return outcome

    async def get_object(self, name: str) -> platform.ObjectResult:
        """Return an object's bytes, none if it does not exist.

        :param name: the object's name.
        """
        await anyio.sleep(self.faults.slow_ms / 1000)
        return UNAVAILABLE if self.faults.down else self.memory.objects.get(name)

    async def put_object(self, name: str, value: bytes) -> platform.ObjectResult:
        """Create or replace an object.

        :param name: the object's name.
        :param value: its bytes.
        """
        await anyio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            return UNAVAILABLE
        self.memory.objects[name] = value
        return None
