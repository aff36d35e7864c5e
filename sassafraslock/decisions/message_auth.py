"""Keyed digest before what entries send each other."""

from __future__ import annotations

import hashlib
import hmac

DIGEST_BYTES = 16


def sign(token: str, data: bytes) -> bytes:
    """Return data with its digest before it, or as it is where there is no token.

    :param token: the secret that all entries share.
    :param data: what is sent.
    """
    return _digest(token, data) + data if token else data


def verify(token: str, sealed: bytes) -> bytes | None:
    """Return the data of a message, or none where its digest is another one.

    :param token: the secret that all entries share.
    :param sealed: what was received.
    """
    if not token:
        return sealed
    data = sealed[DIGEST_BYTES:]
    return data if hmac.compare_digest(sealed[:DIGEST_BYTES], _digest(token, data)) else None


def _digest(token: str, data: bytes) -> bytes:
    return hashlib.blake2b(data, key=token.encode()[:64], digest_size=DIGEST_BYTES).digest()
