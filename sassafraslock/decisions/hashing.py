"""Hash functions that give the same result at every entry."""

from __future__ import annotations

import math

import xxhash

_SCALE = float(1 << 64)


def fraction(text: str) -> float:
    """Return a hash that is uniformly distributed from 0 (included) to 1 (excluded).

    :param text: the text to hash.
    """
    return xxhash.xxh3_64_intdigest(text.encode()) / _SCALE


def rendezvous_score(key: str, member: str, weight: float) -> float:
    """Return a member's score for a key in weighted rendezvous hashing.

    The member with the highest score owns the key. Each member owns a share of all keys that is
    proportional to its weight.

    :param key: the key.
    :param member: the member's id.
    :param weight: the member's weight, above 0.
    """
    point = (xxhash.xxh3_64_intdigest(f"{member}|{key}".encode()) + 1) / (_SCALE + 2)
    return -weight / math.log(point)
