"""Rows of the store as entries send them to each other."""

from __future__ import annotations

import msgspec

from sassafraslock import facts, field_types
from sassafraslock.decisions import intents_proof


class Export(msgspec.Struct, frozen=True, array_like=True):
    """Rows that one entry sends to another, and how long ago the store last answered the sender.

    For the topics in ``complete_topics`` the export holds all rows, so a row missing from it has
    been removed from the store.
    """

    positions: dict[field_types.Name, field_types.Version]
    changes: list[facts.Change]
    age_ms: field_types.AgeMs = 0
    complete_topics: list[facts.Topic] = []


class ProvenExport(Export, frozen=True, array_like=True):
    """Rows with proofs of how recent the intents among them are.

    ``clock`` tells the store's clock at the time of the answer, so that also a receiver that does
    not call the store itself knows how old the proofs are.
    """

    proofs: list[intents_proof.ProofReport] = []
    clock: intents_proof.ClockRange | None = None
