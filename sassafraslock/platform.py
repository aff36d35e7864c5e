"""Interfaces of the product's own platform: a transactional table and an object store."""

from __future__ import annotations

import dataclasses
import typing

from sassafraslock import errors


@dataclasses.dataclass(slots=True, frozen=True)
class Condition:
    """A precondition: the row has this version; 0 means that there is no such row."""

    key: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Put:
    """Writes a row, whether it exists or not."""

    key: str
    value: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Scan:
    """Reads rows whose keys have a prefix, in key order.

    The rows start after the key ``after``, empty for the first; at most ``limit`` are returned.
    """

    prefix: str
    after: str = ""
    limit: int = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row as read; the table raises versions with each write of any row."""

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(slots=True)
class Transaction:
    """Conditional writes of several rows, and reads, in one atomic step.

    All puts and deletes take effect if every condition holds, and none of them if not. Reads and
    the scan return the state after the transaction.
    """

    conditions: list[Condition] = dataclasses.field(default_factory=list)
    puts: list[Put] = dataclasses.field(default_factory=list)
    deletes: list[str] = dataclasses.field(default_factory=list)
    reads: list[str] = dataclasses.field(default_factory=list)
    scan: Scan | None = None


@dataclasses.dataclass(slots=True)
class TransactionResult:
    """Whether a transaction committed, the rows that it read, and the table's era.

    The era rises by one when the table was restored from an older copy: then it has lost what was
    written since, and gives versions out again. ``now_ms`` is the table's steady clock when the
    transaction ran, none if the table does not tell it.
    """

    committed: bool
    rows: list[Row] = dataclasses.field(default_factory=list)
    era: int = 0
    now_ms: int | None = None

    def row(self, key: str) -> Row | None:
        """Return the row with this key, or none if it does not exist or was not read.

        :param key: the row's key.
        """
        return next((r for r in self.rows if r.key == key), None)

    def version(self, key: str) -> int:
        """Return the row's version, or 0 if it does not exist or was not read.

        :param key: the row's key.
        """
        row = self.row(key)
        return row.version if row else 0


TableResult = TransactionResult | errors.Refusal
ObjectResult = bytes | None | errors.Refusal


class Table(typing.Protocol):
    """A key-value table with transactions."""

    async def transact(self, transaction: Transaction) -> TableResult:
        """Run one transaction.

        After a refusal of kind ``STORE_UNAVAILABLE`` the transaction may or may not have taken
        effect.

        :param transaction: the conditions, writes and reads.
        """


class ObjectStore(typing.Protocol):
    """A store of whole objects by name."""

    async def get_object(self, name: str) -> ObjectResult:
        """Return an object's bytes, or none if it does not exist.

        :param name: the object's name.
        """

    async def put_object(self, name: str, value: bytes) -> ObjectResult:
        """Write an object, replacing all of an earlier one.

        :param name: the object's name.
        :param value: the object's bytes.
        """
