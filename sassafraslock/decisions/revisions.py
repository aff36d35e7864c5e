"""Revisions of teams' subtrees: taken only upward, from the store or from peers."""

from __future__ import annotations

import dataclasses
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


@dataclasses.dataclass(slots=True)
class Revisions:
    """The revision in force of each team, and the highest one heard of."""

    in_force: dict[str, int] = dataclasses.field(default_factory=dict)
    heard: dict[str, int] = dataclasses.field(default_factory=dict)

    def hear(self, revisions: dict[str, int]) -> None:
        """Note a peer's revisions.

        :param revisions: revisions by team.
        """
        for team, revision in revisions.items():
            if revision > self.heard.get(team, 0):
                self.heard[team] = revision

    def accepts(self, team: str, revision: int) -> bool:
        """Tell whether a revision is newer than the one in force.

        :param team: the team.
        :param revision: the offered revision.
        """
        return revision > self.in_force.get(team, 0)

    def take(self, team: str, revision: int) -> None:
        """Put a revision in force.

        :param team: the team.
        :param revision: its revision, above the one in force.
        """
        if not self.accepts(team, revision):
            raise ValueError(f"revision {revision} of {team} is not above the one in force")
        self.in_force[team] = revision
        self.hear({team: revision})

    def behind(self) -> list[str]:
        """Return the teams of which a higher revision was heard."""
        return [t for t, r in self.heard.items() if r > self.in_force.get(t, 0)]


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
