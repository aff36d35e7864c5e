"""Authentication of the messages between entries, by a keyed digest before the data."""

from __future__ import annotations

import hashlib
import hmac

DIGEST_BYTES = 16


def sign(token: str, data: bytes) -> bytes:
    """Return data with its digest as a prefix, or the data alone if the token is empty.

    :param token: the secret that all entries share; its first 64 bytes are the key.
    :param data: the message without a digest.
    """
    return _digest(token, data) + data if token else data


def verify(token: str, signed: bytes) -> bytes | None:
    """Return the data of a signed message, or none if its digest does not match.

    :param token: the secret that all entries share; if it is empty, nothing is checked.
    :param signed: the message as :func:`sign` returned it.
    """
    if not token:
        return signed
    data = signed[DIGEST_BYTES:]
    return data if hmac.compare_digest(signed[:DIGEST_BYTES], _digest(token, data)) else None


def _digest(token: str, data: bytes) -> bytes:
    return hashlib.blake2b(data, key=token.encode()[:64], digest_size=DIGEST_BYTES).digest()
