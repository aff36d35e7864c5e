"""The rows of the store that an entry knows, with the versions that order their states."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import anyio

from sassafraslock import facts, store_version
from sassafraslock.decisions import store_era
from sassafraslock.services import store_export

REMOVALS_KEPT_VERSIONS = 20_000


class ChangeSink(typing.Protocol):
    """Receives each change that the replica stores."""

    def apply(self, change: facts.Change, first_read: bool, now_ms: int) -> None:
        """Apply the newest state of one row.

        :param change: the newest state of a row.
        :param first_read: whether the row comes from the first full read of this process.
        :param now_ms: the current monotonic time.
        """


class StoreRows:
    """Rows by topic and key with their versions; a row is only replaced by a newer version.

    ``changed`` is set, and replaced by another event, with each change.
    """

    __slots__ = (
        "positions",
        "rows",
        "changed",
        "_sink",
        "_era",
        "_operator_topics",
        "_changed_versions",
        "_history_start",
    )

    def __init__(
        self,
        sink: ChangeSink,
        era: store_era.StoreEra,
        operator_topics: collections.abc.Set[facts.Topic],
    ) -> None:
        self.positions: dict[str, int] = {}
        self.rows: dict[store_era.RowName, facts.Change] = {}
        self.changed = anyio.Event()
        self._sink = sink
        self._era = era
        self._operator_topics = operator_topics
        self._changed_versions: dict[store_era.RowName, int] = {}
        self._history_start: dict[facts.Topic, int] = {}

    def changes_after(
        self, positions: dict[str, int]
    ) -> tuple[list[facts.Change], list[facts.Topic]]:
        """Return the rows that changed after the given versions, and topics that are complete.

        For a topic whose removals are not known that far back, all rows are returned.

        :param positions: the version that the receiver has reached, by topic.
        """
        start = self._history_start
        complete_topics = [topic for topic in start if positions.get(topic, 0) < start[topic]]
        changes = [
            change
            for name, change in self.rows.items()
            if change.topic in complete_topics
            or self._changed_versions[name] > positions.get(change.topic, 0)
        ]
        return changes, complete_topics

    def has_changes_after(self, positions: dict[str, int]) -> bool:
        """Return whether any row changed after the given versions.

        :param positions: the version that the receiver has reached, by topic.
        """
        return any(
            version > positions.get(topic, 0)
            for (topic, _), version in self._changed_versions.items()
        )

    def apply_changes(self, topic: facts.Topic, batch: facts.Batch, now_ms: int) -> None:
        """Apply the changes since the last batch.

        :param topic: the topic.
        :param batch: the changes.
        :param now_ms: the current monotonic time.
        """
        for change in batch.changes:
            self._apply(change, False, now_ms)
        self._reach(topic, batch.version)

    def apply_all(self, topic: facts.Topic, batch: facts.Batch, now_ms: int) -> None:
        """Apply all rows of a topic, and remove those that are missing.

        :param topic: the topic.
        :param batch: the rows.
        :param now_ms: the current monotonic time.
        """
        first_read = topic not in self.positions and not self._has_rows(topic)
        self._history_start[topic] = batch.version
        if topic in self._era.unsettled:
            batch = self._era.date_rows(batch, self.rows, self.positions.get(topic, 0))
        self._remove_missing(topic, batch, now_ms)
        for change in batch.changes:
            self._apply(change, first_read, now_ms, batch.version)
        self._reach(topic, batch.version)

    def _has_rows(self, topic: facts.Topic) -> bool:
        """Return whether any row of a topic is known, of whatever era."""
        return any(row_topic is topic for row_topic, _ in self.rows)

    def merge(self, export: store_export.Export, first_read: bool, now_ms: int) -> None:
        """Merge a peer's rows.

        :param export: the rows.
        :param first_read: whether they are the first ones of this process.
        :param now_ms: the current monotonic time.
        """
        for topic in export.complete_topics:
            rows = tuple(c for c in export.changes if c.topic is topic)
            batch = facts.Batch(rows, export.positions.get(topic, 0))
            self._remove_missing(topic, batch, now_ms)
            self._history_start[topic] = max(self._history_start.get(topic, 0), batch.version)
        for change in sorted(export.changes, key=lambda c: c.version):
            self._apply(change, first_read, now_ms)
        for topic_name, version in export.positions.items():
            self.positions[topic_name] = max(self.positions.get(topic_name, 0), version)

    def forget_versions(self) -> None:
        """Take any version as newer from now on, but leave in use what is known."""
        self.rows = {n: dataclasses.replace(row, version=0) for n, row in self.rows.items()}
        self._changed_versions = dict.fromkeys(self._changed_versions, 0)
        self._history_start.clear()
        self.positions.clear()

    def _reach(self, topic: facts.Topic, version: int) -> None:
        self.positions[topic] = max(self.positions.get(topic, 0), version)
        self._drop_old_removals(topic)

    def _drop_old_removals(self, topic: facts.Topic) -> None:
        """Drop removals older than REMOVALS_KEPT_VERSIONS; peers further behind get all rows.

        They are kept while a restored store may bring back the rows.
        """
        if topic in self._era.unsettled:
            return
        number = store_version.number(self.positions[topic])
        oldest = self.positions[topic] - min(number, REMOVALS_KEPT_VERSIONS)
        removed = [k for k, row in self.rows.items() if row.is_removed and row.version < oldest]
        for name in removed:
            if name[0] is topic:
                del self.rows[name]
                del self._changed_versions[name]
                self._history_start[topic] = oldest

    def _remove_missing(self, topic: facts.Topic, batch: facts.Batch, now_ms: int) -> None:
        """Remove the rows that a full read no longer contains.

        What the operator wrote stays until he had time to write it to a restored store again.
        """
        if topic in self._operator_topics and topic in self._era.unsettled:
            return
        present = {change.key for change in batch.changes}
        for (row_topic, key), row in list(self.rows.items()):
            missing = row_topic is topic and key not in present and not row.is_removed
            if missing and row.version < batch.version:
                self._apply(facts.Change(topic, key, batch.version), False, now_ms)

    def _apply(self, change: facts.Change, first_read: bool, now_ms: int, reached: int = 0) -> None:
        """Apply a row, unless a newer state of it is known.

        ``reached`` is the version of the full read that it comes from. Peers that have reached an
        earlier one have to be told of the change, however old the row is.
        """
        previous = self.rows.get((change.topic, change.key))
        if previous is not None and previous.version >= change.version:
            return
        self.rows[(change.topic, change.key)] = change
        if previous is not None and change.is_unchanged_from(previous):
            return
        self._changed_versions[(change.topic, change.key)] = max(change.version, reached)
        self._sink.apply(change, first_read, now_ms)
        self.changed.set()
        self.changed = anyio.Event()
