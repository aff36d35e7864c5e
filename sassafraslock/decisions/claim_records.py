"""Rows and keys of the claims in the table service, and the check of request keys."""

from __future__ import annotations

import math
import uuid

import msgspec
import xxhash

from sassafraslock import errors, messages, shared_settings

MAX_KEY_AGE_SKEW_MS = 60_000
RING_MARGIN = 1.25


class ClaimRecord(msgspec.Struct, frozen=True, tag="c", array_like=True):
    """A key claimed for one attempt."""

    key: str
    nonce: str
    body_hash: str
    at_ms: int
    deadline_ms: int


class ReleaseRecord(msgspec.Struct, frozen=True, tag="r", array_like=True):
    """An attempt that was never dispatched."""

    key: str
    nonce: str


class DoneRecord(msgspec.Struct, frozen=True, tag="d", array_like=True):
    """An attempt that was answered."""

    key: str
    nonce: str
    answer: messages.RecordedAnswer


Record = ClaimRecord | ReleaseRecord | DoneRecord


class BatchRow(msgspec.Struct, frozen=True):
    """The value of one row of the ring."""

    epoch: int
    sequence: int
    at_ms: int
    records: list[Record]


class Head(msgspec.Struct, frozen=True):
    """The value of a partition's head row: who may write its ring."""

    epoch: int
    owner: str
    incarnation: int


def partition_of(key: str, partitions: int) -> int:
    """Return the partition that a request key belongs to.

    :param key: the request key with its service.
    :param partitions: the number of partitions.
    """
    return xxhash.xxh64_intdigest(key.encode()) % partitions


def head_key(partition: int) -> str:
    """Return the key of a partition's head row.

    :param partition: the partition.
    """
    return f"claims/{partition}/head"


def ring_prefix(partition: int) -> str:
    """Return the prefix of a partition's ring rows.

    :param partition: the partition.
    """
    return f"claims/{partition}/ring/"


def ring_rows(settings: shared_settings.Claims) -> int:
    """Return the rows that hold all batches of the retention time at the highest rate.

    :param settings: the claims' settings.
    """
    return math.ceil(settings.retention_ms * settings.commits_per_s / 1000 * RING_MARGIN)


def check_key(key: str, retention_ms: int, wall_ms: int) -> errors.Refusal | None:
    """Refuse a request key that is not a UUIDv7 of the retention time.

    :param key: the key as the caller sent it.
    :param retention_ms: how long claims are kept.
    :param wall_ms: the present time since 1970.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        parsed = uuid.UUID(int=0)
    if parsed.version != 7 or str(parsed) != key:
        reason = "the request key must be a UUID of version 7 in lower case (RFC 9562)"
        return errors.Refusal(errors.ErrorKind.KEY_MALFORMED, reason)
    age_ms = wall_ms - (parsed.int >> 80)
    if age_ms < -MAX_KEY_AGE_SKEW_MS:
        reason = "the request key's time lies ahead; set the caller's clock"
        return errors.Refusal(errors.ErrorKind.KEY_MALFORMED, reason)
    if age_ms > retention_ms - 2 * MAX_KEY_AGE_SKEW_MS:
        reason = f"the request key is {age_ms} ms old and no longer remembered; look up the outcome"
        return errors.Refusal(errors.ErrorKind.KEY_EXPIRED, reason)
    return None
