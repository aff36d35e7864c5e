"""Proof that this entry's copy of the intents was the newest in the store a short time ago."""

from __future__ import annotations

import msgspec

from sassafraslock import field_types


class ProofReport(msgspec.Struct, frozen=True, array_like=True):
    """The version of the newest row of the intents at a time of the store's clock.

    :param version: the version of the row, with the store's era.
    :param store_ms: the time of the store's steady clock at which it was the newest one.
    """

    version: field_types.Version
    store_ms: field_types.AgeMs
