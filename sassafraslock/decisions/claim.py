"""Validates request (idempotency) keys, and decides how a repeat of a claimed key is answered."""

from __future__ import annotations

import typing
import uuid

import msgspec

from sassafraslock import errors, field_types

MAX_KEY_AGE_SKEW_MS = 60_000
MAX_KEPT_BODY_BYTES = 4_096
PREFIX = "claims/"

Status = typing.Annotated[int, msgspec.Meta(ge=200, le=599)]


class RecordedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An answer that is stored for repeats of its request."""

    status: Status
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ClaimRow(msgspec.Struct, frozen=True, array_like=True):
    """The claim of a key by one request, identified by ``nonce``.

    ``at_ms`` is the Unix time of the claim and ``until_ms`` the latest end of the request, both in
    milliseconds. ``answer`` is none until the request is answered.
    """

    nonce: field_types.Name
    fingerprint: field_types.Name
    at_ms: field_types.WallMs
    until_ms: field_types.WallMs
    answer: RecordedAnswer | None = None


def decode_row(value: bytes) -> ClaimRow | errors.Refusal:
    """Return the claim that a row holds.

    One that cannot be read may belong to a request that ran.

    :param value: the row's value.
    """
    try:
        return msgspec.msgpack.decode(value, type=ClaimRow)
    except (msgspec.DecodeError, RecursionError):
        reason = "the stored claim of this request key cannot be read; look up the outcome"
        return errors.Refusal(errors.ErrorKind.MAY_HAVE_RUN, reason)


def row_time_ms(stored_key: str) -> int:
    """Return the Unix time of a claim by its row's key, 0 for a key that no claim can have.

    :param stored_key: the row's key.
    """
    try:
        return key_time_ms(stored_key.removeprefix(PREFIX).partition("|")[0])
    except ValueError:
        return 0


def row_key(service: str, key: str) -> str:
    """Return the row key of a claim; UUIDv7 keys sort by age, and so do the rows.

    :param service: the name of the service.
    :param key: the request key, a UUIDv7.
    """
    return f"{PREFIX}{key}|{service}"


def check_key(key: str, retention_ms: int, wall_ms: int) -> errors.Refusal | None:
    """Return a refusal unless the key is a UUIDv7 whose claim would still be stored.

    A key may be at most one :data:`MAX_KEY_AGE_SKEW_MS` ahead of this entry's clock, and is
    refused two of them before its claim is removed, which allows for clock skew.

    :param key: the key as the caller sent it.
    :param retention_ms: the time for which claims are stored.
    :param wall_ms: the Unix time in milliseconds.
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
        reason = (
            f"the time in the request key is {-age_ms} ms ahead, and at most {MAX_KEY_AGE_SKEW_MS}"
            " ms are allowed; synchronize the caller's clock"
        )
        return errors.Refusal(errors.ErrorKind.KEY_MALFORMED, reason)
    if age_ms > retention_ms - 2 * MAX_KEY_AGE_SKEW_MS:
        reason = (
            f"the request key is {age_ms} ms old, and repeats are recognized for"
            f" {retention_ms - 2 * MAX_KEY_AGE_SKEW_MS} ms; look up the outcome of the request"
        )
        return errors.Refusal(errors.ErrorKind.KEY_EXPIRED, reason)
    return None


def key_time_ms(key: str) -> int:
    """Return the Unix time in milliseconds that a UUIDv7 contains.

    :param key: the request key, already validated.
    """
    return uuid.UUID(key).int >> 80


def repeat_outcome(
    row: ClaimRow, fingerprint: str, wall_ms: int
) -> RecordedAnswer | errors.Refusal:
    """Return the stored answer for a repeat of a claimed key, or the reason why there is none.

    :param row: the claim of the key.
    :param fingerprint: the fingerprint of the repeat, which covers method, path and body.
    :param wall_ms: the Unix time in milliseconds.
    """
    if row.fingerprint != fingerprint:
        reason = "the request key was already used for a different request; use a new key"
        return errors.Refusal(errors.ErrorKind.KEY_REUSED, reason)
    if row.answer is not None:
        return row.answer
    if wall_ms < row.until_ms:
        reason = "the request with this key is still running; retry with the same key"
        return errors.Refusal(errors.ErrorKind.IN_PROGRESS, reason)
    reason = "the request with this key was sent and its outcome is unknown; look up the outcome"
    return errors.Refusal(errors.ErrorKind.MAY_HAVE_RUN, reason)
