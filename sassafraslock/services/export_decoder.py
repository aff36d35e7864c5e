"""Decodes peers' copies of the store, in which one odd row costs that row alone."""

from __future__ import annotations

import typing

import msgspec

from sassafraslock import facts, field_types
from sassafraslock.decisions import intents_proof
from sassafraslock.services import store_export

UNNAMED_ROW = "a row without a valid topic, key and version"


class _RawExport(msgspec.Struct, array_like=True):
    """An export whose rows are not decoded yet."""

    positions: dict[field_types.Name, field_types.Version]
    changes: list[msgspec.Raw]
    age_ms: field_types.AgeMs = 0
    complete_topics: list[facts.Topic] = []
    proofs: list[intents_proof.ProofReport] = []
    clock: intents_proof.ClockRange | None = None


class _RowName(msgspec.Struct):
    """What identifies a row, whatever else it holds."""

    topic: facts.Topic
    key: field_types.Name
    version: field_types.Version


class ExportDecoder:
    """Decodes exports; a row that cannot be used takes the place of what it replaces, unusable."""

    __slots__ = ("_whole", "_raw", "_change", "_name")

    def __init__(self) -> None:
        self._whole = msgspec.msgpack.Decoder(store_export.ProvenExport)
        self._raw = msgspec.msgpack.Decoder(_RawExport)
        self._change = msgspec.msgpack.Decoder(facts.Change)
        self._name = msgspec.msgpack.Decoder(_RowName)

    def decode(self, data: bytes) -> tuple[store_export.ProvenExport, list[str]]:
        """Return an export, and why rows were left out that cannot even be named.

        :param data: the encoded export.
        :raises msgspec.DecodeError: if it is not an export, or is nested deeply.
        """
        try:
            return self._decode(data)
        except RecursionError as error:
            raise msgspec.DecodeError(field_types.describe(error)) from error

    def _decode(self, data: bytes) -> tuple[store_export.ProvenExport, list[str]]:
        try:
            export = self._whole.decode(data)
        except msgspec.ValidationError:
            return self._decode_rows(data)
        if all(_is_consistent(change) for change in export.changes):
            return export, []
        return self._decode_rows(data)

    def _decode_rows(self, data: bytes) -> tuple[store_export.ProvenExport, list[str]]:
        raw = self._raw.decode(data)
        decoded = [self._decode_row(raw_row) for raw_row in raw.changes]
        changes = [row for row in decoded if isinstance(row, facts.Change)]
        export = store_export.ProvenExport(
            raw.positions, changes, raw.age_ms, raw.complete_topics, raw.proofs, raw.clock
        )
        return export, [row for row in decoded if isinstance(row, str)]

    def _decode_row(self, raw: msgspec.Raw) -> facts.Change | str:
        try:
            change = self._change.decode(raw)
        except (msgspec.DecodeError, RecursionError) as error:
            return self._unreadable(raw, field_types.describe(error))
        if not _is_consistent(change):
            return self._unreadable(raw, "the row's key is not that of what it holds")
        return change

    def _unreadable(self, raw: msgspec.Raw, reason: str) -> facts.Change | str:
        try:
            name: typing.Any = self._name.decode(raw)
        except (msgspec.DecodeError, RecursionError):
            return UNNAMED_ROW
        return facts.unreadable_change(name.topic, name.key, name.version, f"from a peer: {reason}")


def _is_consistent(change: facts.Change) -> bool:
    """Return whether a row holds what its topic and key name, or nothing."""
    if change.report is not None:
        return change.topic is facts.Topic.SERVERS and change.report.server_id == change.key
    if change.registration is not None:
        is_entry = change.topic is facts.Topic.ENTRIES
        return is_entry and change.registration.entry_id == change.key
    if change.evacuation is not None:
        return change.topic is facts.Topic.INTENTS and change.evacuation.zone == change.key
    return change.intents is None or change.topic is facts.Topic.INTENTS
