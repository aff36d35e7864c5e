"""Rows of the teams' settings subtrees and of their history in the table service."""

from __future__ import annotations

import typing

import msgspec

SETTINGS_PREFIX = "settings/"


class SubtreeRow(msgspec.Struct, frozen=True):
    """The current settings subtree of a team, encoded in ``document``."""

    revision: int
    change_id: str
    document: bytes


class HistoryRow(msgspec.Struct, frozen=True):
    """One accepted change of a subtree; ``wall_ms`` is its Unix time in milliseconds."""

    revision: int
    change_id: str
    wall_ms: int
    author: str
    document: bytes


def settings_key(team: str) -> str:
    """Return the row key of a team's current subtree.

    :param team: the name of the team.
    """
    return SETTINGS_PREFIX + team


def history_key(team: str, revision: int) -> str:
    """Return the row key of one revision of a team's subtree.

    Revisions are padded with zeros, so that keys sort in their order.

    :param team: the name of the team.
    :param revision: the number of the revision.
    """
    return f"history/{team}/{revision:012d}"


def flatten(document: typing.Any, path: str = "") -> dict[str, object]:
    """Return the leaves of nested mappings by their path, such as ``/services/NAME/drain``.

    Lists count as leaves, and empty mappings are left out.

    :param document: the value to flatten, as decoded from JSON.
    :param path: the path of ``document`` itself, a prefix of all returned paths.
    """
    if not isinstance(document, dict):
        return {path: document}
    leaves: dict[str, object] = {}
    for name, value in document.items():
        leaves |= flatten(value, f"{path}/{name}")
    return leaves
