"""Tells the proofs of the intents what the store and peers answered, and which row is in force."""

from __future__ import annotations

import collections.abc
import typing

from sassafraslock import facts, routing_table
from sassafraslock.decisions import intents_proof, store_era
from sassafraslock.services import copy_encoder, store_export

Rows = collections.abc.Mapping[store_era.RowName, facts.Change]


class IntentsRecorder:
    """Records answers for the intents, and the versions of their row that are applied.

    ``find_table`` returns the routing table in force. A row counts as applied if its intents are in
    force, or are no newer than those; one that cannot be used, or was removed, is not applied, and
    its version is proven all the same: then no proof counts until a usable one is written.
    """

    __slots__ = ("proofs", "_find_table", "_key")

    def __init__(
        self,
        proofs: intents_proof.IntentsProofs,
        find_table: typing.Callable[[], routing_table.RoutingTable | None],
    ) -> None:
        self.proofs = proofs
        self._find_table = find_table
        self._key = ""

    @property
    def needs_proofs(self) -> bool:
        """Whether requests with keys need a proof."""
        return self.proofs.revoke_ms is not None

    def record_answer(
        self,
        topic: facts.Topic,
        store_now_ms: int | None,
        rows: Rows,
        era: store_era.StoreEra,
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """Record an answer of the store whose rows are applied.

        While the intents are unsettled after a restore, an answer shows the store's clock only.

        :param topic: the topic that was read.
        :param store_now_ms: the store's clock at the moment of which the answer tells.
        :param rows: all rows as known now.
        :param era: the store's era.
        :param sent_ms: the monotonic time before the call was sent.
        :param now_ms: the current monotonic time.
        """
        version = self._apply_row(rows, era, now_ms)
        if topic is not facts.Topic.INTENTS or topic in era.unsettled:
            version = None
        self.proofs.record_answer(version, store_now_ms, sent_ms, now_ms)

    def merge_export(
        self,
        export: store_export.Export,
        rows: Rows,
        era: store_era.StoreEra,
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """Record a peer's copy whose rows are applied.

        :param export: the peer's answer.
        :param rows: all rows as known now.
        :param era: the store's era.
        :param sent_ms: the monotonic time before the call was sent.
        :param now_ms: the current monotonic time.
        """
        version = self._apply_row(rows, era, now_ms)
        if version is not None:
            self.proofs.record_copy(version, now_ms - export.age_ms)
        if isinstance(export, store_export.ProvenExport) and export.clock is not None:
            self.proofs.merge_exchange(export.proofs, export.clock, sent_ms, now_ms)

    def extend(self, export: store_export.Export, now_ms: int) -> store_export.Export:
        """Return an export with this entry's proofs, or as it is if there are none.

        An export may be sent to another peer that asks within :data:`copy_encoder.SHARED_MS`, so
        the store's clock may be later by then.

        :param export: the rows to send.
        :param now_ms: the current monotonic time.
        """
        reports, told = self.proofs.recent_reports(now_ms), self.proofs.clock_range(now_ms)
        if not reports or told is None:
            return export
        to_ms = told.to_ms + copy_encoder.SHARED_MS
        return store_export.ProvenExport(
            export.positions,
            export.changes,
            export.age_ms,
            export.complete_topics,
            reports,
            intents_proof.ClockRange(told.from_ms, to_ms),
        )

    def _apply_row(self, rows: Rows, era: store_era.StoreEra, now_ms: int) -> int | None:
        """Record the row of the intents if it is in force, and return its version."""
        if era.current is not None:
            self.proofs.enter_era(era.current, now_ms)
        row = self._find_row(rows)
        if row is None:
            return None
        table = self._find_table()
        if table is None or row.intents is None:
            return row.version
        if row.intents.version <= table.version:
            self.proofs.apply_version(row.version)
        return row.version

    def _find_row(self, rows: Rows) -> facts.Change | None:
        """Return the row that holds the intents, or held them before."""
        known = [row for (topic, _), row in rows.items() if topic is facts.Topic.INTENTS]
        holding = [row for row in known if row.intents is not None]
        if holding:
            newest = max(holding, key=lambda row: row.version)
            self._key = newest.key
            return newest
        return rows.get((facts.Topic.INTENTS, self._key))
