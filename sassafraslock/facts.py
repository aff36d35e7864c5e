"""Typed rows of the platform's store, called facts, and the interface that reads them."""

from __future__ import annotations

import dataclasses
import enum
import typing

import xxhash

from sassafraslock import errors, field_types, routing_table
from sassafraslock.decisions import registry

MAX_REASON_CHARS = 300


class Topic(enum.StrEnum):
    """A part of the store that is read and watched separately, with its own version."""

    INTENTS = "intents"
    SERVERS = "servers"
    ENTRIES = "entries"


@dataclasses.dataclass(slots=True, frozen=True)
class Evacuation:
    """An operator's order to send no requests to the servers of a zone."""

    zone: field_types.Name


@dataclasses.dataclass(slots=True, frozen=True)
class Registration:
    """The row in which an entry registers itself.

    Peers send gossip to ``gossip_address``; clients connect to ``client_address``. Both are
    ``IP:PORT``.
    """

    entry_id: field_types.Name
    region: field_types.Name
    zone: field_types.Name
    gossip_address: field_types.Address
    client_address: field_types.Address


@dataclasses.dataclass(slots=True, frozen=True)
class UnreadableRow:
    """A row that could not be decoded, with the reason for the log."""

    reason: field_types.Text


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """The newest state of one row: exactly one of the facts, or none if the row was removed.

    ``version`` comes from the store, which raises it with each change of any row.
    """

    topic: Topic
    key: field_types.Name
    version: field_types.Version
    report: registry.ServerReport | None = None
    intents: routing_table.Intents | None = None
    evacuation: Evacuation | None = None
    registration: Registration | None = None
    unreadable: UnreadableRow | None = None

    @property
    def is_removed(self) -> bool:
        """Whether the row was removed from the store."""
        facts = (self.report, self.intents, self.evacuation, self.registration, self.unreadable)
        return all(fact is None for fact in facts)

    def is_unchanged_from(self, known: Change) -> bool:
        """Return whether only the version differs, as in most periodic reports of servers.

        A report of a cold server always counts as changed, since ``cold_ms`` is the time that
        remains from the report on.

        :param known: the row's earlier state.
        """
        if self.report is not None and self.report.cold_ms:
            return False
        return self == dataclasses.replace(known, version=self.version)


def unreadable_change(topic: Topic, key: str, version: int, reason: str) -> Change:
    """Return the change for a row that cannot be used.

    :param topic: the part of the store that the row belongs to.
    :param key: the row's key, from :func:`safe_key`.
    :param version: the row's version.
    :param reason: what is wrong with the row; its beginning is kept.
    """
    printable = "".join(c if c.isprintable() else "?" for c in reason[:MAX_REASON_CHARS])
    return Change(topic, key, version, unreadable=UnreadableRow(printable))


def safe_key(key: str) -> str:
    """Return a row's key, or a short substitute for one that no row of this system can have.

    :param key: the key as another writer may have chosen it.
    """
    if 0 < len(key) <= field_types.MAX_NAME_CHARS and key.isprintable():
        return key
    return f"unusable key {xxhash.xxh3_64_hexdigest(key.encode(errors='replace'))}"


@dataclasses.dataclass(slots=True, frozen=True)
class Batch:
    """Changes in the order of their versions; ``version`` is where the next read goes on.

    ``store_now_ms`` is the store's steady clock at the moment of which the batch tells, none if the
    store does not tell it.
    """

    changes: tuple[Change, ...]
    version: int
    store_now_ms: int | None = None


BatchResult = Batch | errors.Refusal


class FactSource(typing.Protocol):
    """Reads the platform's store for the replica, and writes this entry's registration.

    ``operator_topics`` are those whose rows the operator writes; others are written by who reports
    itself, and soon again if they are lost.
    """

    operator_topics: frozenset[Topic]

    async def read_all(self, topic: Topic) -> BatchResult:
        """Return all rows of a topic, and the version after which its changes are to be read.

        :param topic: the part of the store to read.
        """

    async def read_changes(self, topic: Topic, after: int, wait_ms: int) -> BatchResult:
        """Return the changes after a version; a long poll that ends at the first change.

        The batch is empty if nothing changed within ``wait_ms``. A refusal of kind
        ``HISTORY_LOST`` means that the store no longer has the changes since that version, so all
        rows must be read again.

        :param topic: the part of the store to watch.
        :param after: the version of the last batch.
        :param wait_ms: the longest time to wait for a change.
        """

    async def register(self, registration: Registration) -> int | errors.Refusal:
        """Write this entry's registration to the store, and return the row's version.

        :param registration: this entry's place and addresses.
        """
