"""What a request key says, and what the row of a claimed key means for a repeat."""

from __future__ import annotations

import uuid

import msgspec

from sassafraslock import errors

MAX_KEY_AGE_SKEW_MS = 60_000
MAX_KEPT_BODY_BYTES = 4_096
PREFIX = "claims/"


class RecordedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An answer as it is kept for repeats of its request."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ClaimRow(msgspec.Struct, frozen=True, array_like=True):
    """A key claimed by one attempt; times since 1970, the answer once there is one."""

    nonce: str
    fingerprint: str
    at_ms: int
    until_ms: int
    answer: RecordedAnswer | None = None


def row_key(service: str, key: str) -> str:
    """Return the table's key for a request key; rows are in the order of their age.

    :param service: the service.
    :param key: the request key, a UUID of version 7.
    """
    return f"{PREFIX}{key}|{service}"


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
    age_ms = wall_ms - key_time_ms(key)
    if age_ms < -MAX_KEY_AGE_SKEW_MS:
        reason = "the request key's time lies ahead; set the caller's clock"
        return errors.Refusal(errors.ErrorKind.KEY_MALFORMED, reason)
    if age_ms > retention_ms - 2 * MAX_KEY_AGE_SKEW_MS:
        reason = f"the request key is {age_ms} ms old and no longer remembered; look up the outcome"
        return errors.Refusal(errors.ErrorKind.KEY_EXPIRED, reason)
    return None


def key_time_ms(key: str) -> int:
    """Return the time since 1970 that a UUID of version 7 bears.

    :param key: the request key.
    """
    return uuid.UUID(key).int >> 80


def repeat_outcome(
    row: ClaimRow, fingerprint: str, wall_ms: int
) -> RecordedAnswer | errors.Refusal:
    """Return what a repeat of a claimed key gets.

    :param row: the row of the key.
    :param fingerprint: the repeat's method, path and body.
    :param wall_ms: the present time since 1970.
    """
    if row.fingerprint != fingerprint:
        reason = "the request key was used for another request; make a new key"
        return errors.Refusal(errors.ErrorKind.KEY_REUSED, reason)
    if row.answer is not None:
        return row.answer
    if wall_ms < row.until_ms:
        reason = "the request is being run; ask again with the same key"
        return errors.Refusal(errors.ErrorKind.IN_PROGRESS, reason)
    reason = "the request was sent and its outcome is not known; look it up"
    return errors.Refusal(errors.ErrorKind.MAY_HAVE_RUN, reason)
