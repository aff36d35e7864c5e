"""What the platform's store tells, as typed facts, and the interface that reads them."""

from __future__ import annotations

import dataclasses
import enum
import typing

from sassafraslock import errors, routing_table
from sassafraslock.decisions import registry


class Topic(enum.StrEnum):
    """A part of the store that is read and followed on its own."""

    INTENTS = "intents"
    SERVERS = "servers"
    ENTRIES = "entries"


@dataclasses.dataclass(slots=True, frozen=True)
class Evacuation:
    """The operator wants nothing sent to the servers of a zone."""

    zone: str


@dataclasses.dataclass(slots=True, frozen=True)
class Registration:
    """An entry wrote where its peers reach it."""

    entry_id: str
    region: str
    zone: str
    gossip_address: str
    client_address: str


@dataclasses.dataclass(slots=True, frozen=True)
class UnreadableRow:
    """A row that cannot be understood, with the reason."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """The newest state of one row: a fact, or none where the row is gone.

    Versions rise with each change of any row.
    """

    topic: Topic
    key: str
    version: int
    report: registry.ServerReport | None = None
    intents: routing_table.Intents | None = None
    evacuation: Evacuation | None = None
    registration: Registration | None = None
    unreadable: UnreadableRow | None = None

    @property
    def is_removed(self) -> bool:
        """Whether the row is gone."""
        facts = (self.report, self.intents, self.evacuation, self.registration, self.unreadable)
        return all(fact is None for fact in facts)

    def is_unchanged_from(self, known: Change) -> bool:
        """Tell whether the row says what it said before, as most reports of servers do.

        :param known: the row's earlier state.
        """
        if self.report is not None and self.report.cold_ms:
            return False
        return self == dataclasses.replace(known, version=self.version)


@dataclasses.dataclass(slots=True, frozen=True)
class Batch:
    """Changes in the order of their versions, and the version up to which they reach."""

    changes: tuple[Change, ...]
    version: int


BatchResult = Batch | errors.Refusal


class FactSource(typing.Protocol):
    """The platform's store as the replica follows it."""

    async def read_all(self, topic: Topic) -> BatchResult:
        """Return all rows of a topic as of one version.

        :param topic: the topic.
        """

    async def read_changes(self, topic: Topic, after: int, wait_ms: int) -> BatchResult:
        """Return what changed after a version, waiting for the first change.

        A refusal of kind ``HISTORY_LOST`` says that all rows have to be read again.

        :param topic: the topic.
        :param after: the version reached.
        :param wait_ms: the longest time to wait for a change.
        """

    async def register(self, registration: Registration) -> int | errors.Refusal:
        """Write where this entry is reached, and return the row's version.

        :param registration: this entry's addresses.
        """
