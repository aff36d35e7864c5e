"""Rows of teams' subtrees and of their history in the table service."""

from __future__ import annotations

import typing

import msgspec

SETTINGS_PREFIX = "settings/"


class SubtreeRow(msgspec.Struct, frozen=True):
    """A team's subtree as the table service keeps it."""

    revision: int
    change_id: str
    document: bytes


class HistoryRow(msgspec.Struct, frozen=True):
    """One accepted change of a subtree."""

    revision: int
    change_id: str
    wall_ms: int
    author: str
    document: bytes


def settings_key(team: str) -> str:
    """Return the key of a team's subtree in the table service.

    :param team: the team.
    """
    return SETTINGS_PREFIX + team


def history_key(team: str, revision: int) -> str:
    """Return the key of a subtree's earlier revision in the table service.

    :param team: the team.
    :param revision: the revision.
    """
    return f"history/{team}/{revision:012d}"


def flatten(document: typing.Any, path: str = "") -> dict[str, object]:
    """Return the leaves of a document by their paths.

    :param document: plain data.
    :param path: the path of ``document``.
    """
    if not isinstance(document, dict):
        return {path: document}
    leaves: dict[str, object] = {}
    for name, value in document.items():
        leaves |= flatten(value, f"{path}/{name}")
    return leaves
