"""Hashes that all entries agree on."""

from __future__ import annotations

import math

import xxhash

_SCALE = float(1 << 64)


def fraction(text: str) -> float:
    """Return a number from 0 to below 1 that is uniform over texts.

    :param text: what to hash.
    """
    return xxhash.xxh3_64_intdigest(text.encode()) / _SCALE


def rendezvous_score(key: str, member: str, weight: float) -> float:
    """Return a member's score for a key; the highest wins, each in proportion to its weight.

    :param key: the key.
    :param member: the member's id.
    :param weight: the member's share, above 0.
    """
    point = (xxhash.xxh3_64_intdigest(f"{member}|{key}".encode()) + 1) / (_SCALE + 2)
    return -weight / math.log(point)
