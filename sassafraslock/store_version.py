"""Versions of the store, which stay in order when it is restored from an older copy.

The store counts its versions up, but gives numbers out again after it was restored; its era rises
then. A version holds both, the era in its upper bits, so that versions of all eras can be compared
as integers. In era 0 it is the store's number itself.
"""

from __future__ import annotations

NUMBER_BITS = 40
MAX_NUMBER = (1 << NUMBER_BITS) - 1
MAX_ERA = (1 << 22) - 1


def join(era: int, number: int) -> int:
    """Return the version for an era and a number; larger ones are taken as the largest.

    :param era: the store's era, 0 if it names none.
    :param number: the store's own number, which rises within an era.
    """
    return min(era, MAX_ERA) << NUMBER_BITS | min(number, MAX_NUMBER)


def era(version: int) -> int:
    """Return the era of a version.

    :param version: the version.
    """
    return version >> NUMBER_BITS


def number(version: int) -> int:
    """Return the store's own number of a version.

    :param version: the version.
    """
    return version & MAX_NUMBER


def describe(version: int) -> str:
    """Return a version as ``ERA/NUMBER``, for people.

    :param version: the version.
    """
    return f"{era(version)}/{number(version)}"
