"""Interfaces of the platform: table service and object store."""

from __future__ import annotations

import dataclasses
import typing

from sassafraslock import errors


@dataclasses.dataclass(slots=True, frozen=True)
class Condition:
    """Holds if the row has this version; version 0 means that the row is absent."""

    key: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Put:
    """Writes a row's value."""

    key: str
    value: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Scan:
    """Reads rows by prefix in key order, those after ``after``, ``limit`` at most."""

    prefix: str
    after: str = ""
    limit: int = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row as read; its version rises with each write of any row."""

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(slots=True)
class Transaction:
    """All puts and deletes take effect together if every condition holds, or none does.

    Reads and the scan show the state after the transaction.
    """

    conditions: list[Condition] = dataclasses.field(default_factory=list)
    puts: list[Put] = dataclasses.field(default_factory=list)
    deletes: list[str] = dataclasses.field(default_factory=list)
    reads: list[str] = dataclasses.field(default_factory=list)
    scan: Scan | None = None


@dataclasses.dataclass(slots=True)
class TransactionResult:
    """The answer to a transaction: whether it committed, and the rows read."""

    committed: bool
    rows: list[Row] = dataclasses.field(default_factory=list)

    def row(self, key: str) -> Row | None:
        """Return the row with this key, if it was read and exists.

        :param key: the row's key.
        """
        return next((r for r in self.rows if r.key == key), None)

    def version(self, key: str) -> int:
        """Return the version read for this key, 0 where the row is absent.

        :param key: the row's key.
        """
        row = self.row(key)
        return row.version if row else 0


TableResult = TransactionResult | errors.Refusal
ObjectResult = bytes | None | errors.Refusal


class Table(typing.Protocol):
    """The transactional table service."""

    async def transact(self, transaction: Transaction) -> TableResult:
        """Run one transaction.

        A refusal of kind ``STORE_UNAVAILABLE`` leaves open whether it took effect.

        :param transaction: what to check, write and read.
        """


class ObjectStore(typing.Protocol):
    """The object store."""

    async def get_object(self, name: str) -> ObjectResult:
        """Return an object's bytes, or none where it does not exist.

        :param name: the object's name.
        """

    async def put_object(self, name: str, value: bytes) -> ObjectResult:
        """Write an object whole.

        :param name: the object's name.
        :param value: its bytes.
        """
