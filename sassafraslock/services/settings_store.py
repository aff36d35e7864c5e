"""Reads and changes of teams' settings in the table service, with their history."""

from __future__ import annotations

import typing
import uuid

import msgspec

from sassafraslock import errors, platform, settings_check, shared_settings
from sassafraslock.decisions import revisions

MAX_ATTEMPTS = 3
HISTORY_LIMIT = 1_000

PutResult = revisions.SubtreeRow | errors.Refusal | list[settings_check.Problem]


class SettingsStore:
    """Reads and changes one team's subtree at a time, by compare-and-set on its revision."""

    __slots__ = ("_table",)

    def __init__(self, table: platform.Table) -> None:
        self._table = table

    async def get(self, team: str) -> revisions.SubtreeRow | errors.Refusal:
        """Return a team's subtree, an empty one of revision 0 if there is none.

        :param team: the team.
        """
        key = revisions.settings_key(team)
        result = await self._table.transact(platform.Transaction(reads=[key]))
        if isinstance(result, errors.Refusal):
            return result
        return _decode(result.row(key)) or revisions.SubtreeRow(0, "", b"{}")

    async def history(self, team: str) -> list[revisions.HistoryRow] | errors.Refusal:
        """Return at most :data:`HISTORY_LIMIT` accepted changes of a team, the oldest first.

        :param team: the team.
        """
        scan = platform.Scan(f"history/{team}/", limit=HISTORY_LIMIT)
        result = await self._table.transact(platform.Transaction(scan=scan))
        if isinstance(result, errors.Refusal):
            return result
        return [msgspec.msgpack.decode(r.value, type=revisions.HistoryRow) for r in result.rows]

    async def put(
        self, team: str, raw: typing.Any, expected_revision: int, author: str, wall_ms: int
    ) -> PutResult:
        """Check a new subtree and commit it if the stored revision is the expected one.

        :param team: the team.
        :param raw: the whole subtree as plain data.
        :param expected_revision: the revision that the change is based on, 0 for a new subtree.
        :param author: the author of the change, for the history.
        :param wall_ms: the current Unix time.
        :returns: the committed row, a refusal, or every problem found in the settings.
        """
        system = await self.get(shared_settings.SYSTEM_TEAM)
        if isinstance(system, errors.Refusal):
            return system
        system_settings = msgspec.json.decode(system.document, type=shared_settings.TeamSettings)
        checked = shared_settings.load_team(team, raw, system_settings)
        if isinstance(checked, list):
            return checked
        document = msgspec.json.encode(checked)
        row = revisions.SubtreeRow(expected_revision + 1, str(uuid.uuid4()), document)
        return await self._commit(team, row, author, wall_ms)

    async def _commit(
        self, team: str, row: revisions.SubtreeRow, author: str, wall_ms: int
    ) -> PutResult:
        """Write a row by compare-and-set, in up to :data:`MAX_ATTEMPTS` attempts.

        If the answer to a write was lost, the next attempt finds the row by its change id.
        """
        key = revisions.settings_key(team)
        for _ in range(MAX_ATTEMPTS):
            result = await self._table.transact(platform.Transaction(reads=[key]))
            if isinstance(result, errors.Refusal):
                continue
            current = result.row(key)
            stored = _decode(current)
            if stored and stored.change_id == row.change_id:
                return stored
            if (stored.revision if stored else 0) != row.revision - 1:
                return _conflict(team, row, stored)
            version = current.version if current else 0
            await self._table.transact(_change(team, row, version, author, wall_ms))
        reason = "the store did not confirm the change; check the history before a retry"
        return errors.Refusal(errors.ErrorKind.STORE_UNAVAILABLE, reason)


def _decode(row: platform.Row | None) -> revisions.SubtreeRow | None:
    return msgspec.msgpack.decode(row.value, type=revisions.SubtreeRow) if row else None


def _change(
    team: str, row: revisions.SubtreeRow, version: int, author: str, wall_ms: int
) -> platform.Transaction:
    key = revisions.settings_key(team)
    history = revisions.HistoryRow(row.revision, row.change_id, wall_ms, author, row.document)
    return platform.Transaction(
        conditions=[platform.Condition(key, version)],
        puts=[
            platform.Put(key, msgspec.msgpack.encode(row)),
            platform.Put(
                revisions.history_key(team, row.revision), msgspec.msgpack.encode(history)
            ),
        ],
    )


def _conflict(
    team: str, row: revisions.SubtreeRow, stored: revisions.SubtreeRow | None
) -> errors.Refusal:
    theirs = revisions.flatten(msgspec.json.decode(stored.document)) if stored else {}
    ours = revisions.flatten(msgspec.json.decode(row.document))
    paths = sorted(p for p in {*theirs, *ours} if theirs.get(p) != ours.get(p))
    differences = "; ".join(
        f"{p}: stored {theirs.get(p)!r}, yours {ours.get(p)!r}" for p in paths[:20]
    )
    revision = stored.revision if stored else 0
    reason = (
        f"/{team} is at revision {revision}, yours is based on {row.revision - 1}. {differences}"
    )
    return errors.Refusal(errors.ErrorKind.CONFLICT, reason)
