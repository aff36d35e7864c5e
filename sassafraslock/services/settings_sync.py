"""Keeps the shared settings in force: from the store, from peers, and only upward."""

from __future__ import annotations

import logging
import random
import typing
import uuid

import anyio
import msgspec

from sassafraslock import (
    clock,
    errors,
    events,
    messages,
    platform,
    settings,
    settings_check,
    shared_settings,
)
from sassafraslock.decisions import revisions

SLOW_POLL_FACTOR = 40
MAX_ATTEMPTS = 3
SCAN_LIMIT = 1000

PutResult = revisions.SubtreeRow | errors.Refusal | list[settings_check.Problem]
Changed = typing.Callable[[shared_settings.SharedSettings], None]


class SettingsService:
    """Owns the teams' subtrees of this process.

    Few entries of a region read the store at each poll; the others learn of a new revision
    from heartbeats and fetch it from the peer that named it.
    """

    __slots__ = (
        "shared",
        "revisions",
        "loaded",
        "_settings",
        "_platform",
        "_peers",
        "_teams",
        "_documents",
        "_listeners",
        "_in_force_at_ms",
        "_row_versions",
    )

    def __init__(
        self, process: settings.Settings, platform_client: typing.Any, peers: typing.Any
    ) -> None:
        self.shared = shared_settings.EMPTY
        self.revisions = revisions.Revisions()
        self.loaded = False
        self._settings = process
        self._platform = platform_client
        self._peers = peers
        self._teams: dict[str, shared_settings.TeamSettings] = {}
        self._documents: dict[str, bytes] = {}
        self._listeners: list[Changed] = []
        self._in_force_at_ms: dict[str, int] = {}
        self._row_versions: dict[str, int] = {}
        peers.handle(messages.SettingsRequest, self._on_request)
        peers.handle(messages.SettingsPush, self._on_push)
        peers.observe_heartbeats(self._on_heartbeat)

    def on_change(self, listener: Changed) -> None:
        """Call a function with the merged settings after each change.

        :param listener: the function.
        """
        self._listeners.append(listener)

    @property
    def current(self) -> bool:
        """Whether this entry knows a revision that no peer it hears exceeds."""
        return self.loaded and not self.revisions.behind()

    async def run(self, ready: anyio.Event) -> None:
        """Poll the store until cancelled.

        :param ready: set after the first poll, whatever its result.
        """
        await self._poll()
        ready.set()
        while True:
            factor = 1 if self._is_reader(clock.monotonic_ms()) else SLOW_POLL_FACTOR
            wait_ms = self._settings.poll_ms * factor * random.uniform(0.8, 1.2)
            with anyio.move_on_after(wait_ms / 1000):
                await self._wait_until_behind()
            await self._poll()

    async def _wait_until_behind(self) -> None:
        while not self.revisions.behind() and self.loaded:
            await anyio.sleep(self._settings.poll_ms / 1000)
        await anyio.sleep(self._settings.poll_ms / 1000)

    def _is_reader(self, now_ms: int) -> bool:
        mine = self._settings
        return bool(self._peers.table.is_reader(mine.entry_id, mine.region, now_ms))

    async def _poll(self) -> None:
        scan = platform.Scan(revisions.SETTINGS_PREFIX, limit=SCAN_LIMIT)
        result = await self._platform.transact(platform.Transaction(scan=scan))
        if isinstance(result, errors.Refusal):
            return
        changed = [r for r in result.rows if self._row_versions.get(r.key) != r.version]
        for row in changed:
            self._row_versions[row.key] = row.version
            subtree = msgspec.msgpack.decode(row.value, type=revisions.SubtreeRow)
            team = row.key.removeprefix(revisions.SETTINGS_PREFIX)
            self._offer(team, subtree.revision, subtree.document)
        self.loaded = True

    def _offer(self, team: str, revision: int, document: bytes) -> None:
        """Put a revision in force if it is newer than the one in force."""
        if not self.revisions.accepts(team, revision):
            return
        subtree = msgspec.json.decode(document, type=shared_settings.TeamSettings)
        self.revisions.take(team, revision)
        self._teams[team] = subtree
        self._documents[team] = document
        self._in_force_at_ms[team] = clock.monotonic_ms()
        self.shared = shared_settings.merge(self._teams)
        for listener in self._listeners:
            listener(self.shared)
        self._peers.wake()
        events.log(events.Event.SETTINGS_IN_FORCE, "settings in force", team=team, rev=revision)

    async def _on_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        self.revisions.hear(heartbeat.revisions)
        for team, revision in heartbeat.revisions.items():
            if self.revisions.accepts(team, revision):
                request = messages.SettingsRequest(sender=self._settings.entry_id, team=team)
                self._peers.send_to(heartbeat.sender, request)

    async def _on_request(self, request: messages.SettingsRequest) -> None:
        document = self._documents.get(request.team)
        if document is None:
            return
        push = messages.SettingsPush(
            sender=self._settings.entry_id,
            team=request.team,
            revision=self.revisions.in_force[request.team],
            document=document,
        )
        self._peers.send_to(request.sender, push)

    async def _on_push(self, push: messages.SettingsPush) -> None:
        try:
            self._offer(push.team, push.revision, push.document)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            events.log(
                events.Event.SETTINGS_REJECTED, str(error), logging.ERROR, sender=push.sender
            )
            return
        if shared_settings.SYSTEM_TEAM in self._teams:
            self.loaded = True

    def document(self, team: str) -> typing.Any:
        """Return a team's subtree in force as plain data, empty where there is none.

        :param team: the team.
        """
        raw = self._documents.get(team)
        return msgspec.json.decode(raw) if raw else {}

    async def put(
        self, team: str, raw: typing.Any, expected_revision: int, author: str, wall_ms: int
    ) -> PutResult:
        """Accept a new subtree by compare-and-set on its revision.

        :param team: the team.
        :param raw: the whole subtree as plain data.
        :param expected_revision: the revision that the operator saw, 0 for a new subtree.
        :param author: who asks, for the history.
        :param wall_ms: the present time since 1970.
        :returns: the accepted row, a refusal, or every problem found.
        """
        system = self._teams.get(shared_settings.SYSTEM_TEAM, shared_settings.TeamSettings())
        checked = shared_settings.load_team(team, raw, system)
        if isinstance(checked, list):
            return checked
        problem = self._check_partitions(team, checked)
        if problem:
            return [problem]
        row = revisions.SubtreeRow(
            expected_revision + 1, str(uuid.uuid4()), msgspec.json.encode(checked)
        )
        return await self._commit(team, row, author, wall_ms)

    def _check_partitions(
        self, team: str, subtree: shared_settings.TeamSettings
    ) -> settings_check.Problem | None:
        before = self._teams.get(team)
        if before is None or before.claims is None:
            return None
        now = subtree.claims.partitions if subtree.claims else before.claims.partitions + 1
        if now == before.claims.partitions:
            return None
        return settings_check.Problem(
            "claims.partitions", "cannot change", f"keep {before.claims.partitions}"
        )

    async def _commit(
        self, team: str, row: revisions.SubtreeRow, author: str, wall_ms: int
    ) -> PutResult:
        key = revisions.settings_key(team)
        for _ in range(MAX_ATTEMPTS):
            seen = await self._platform.transact(platform.Transaction(reads=[key]))
            if isinstance(seen, errors.Refusal):
                continue
            current = seen.row(key)
            stored = _decode(current)
            if stored and stored.change_id == row.change_id:
                self._offer(team, stored.revision, stored.document)
                return stored
            if (stored.revision if stored else 0) != row.revision - 1:
                return _conflict(team, row, stored)
            await self._platform.transact(
                _change(team, row, current.version if current else 0, author, wall_ms)
            )
        reason = "the store did not confirm the change; look at the history before a retry"
        return errors.Refusal(errors.ErrorKind.STORE_UNAVAILABLE, reason)

    def dump(self) -> dict[str, object]:
        """Return the revisions in force and heard of."""
        return {
            "in_force": self.revisions.in_force,
            "heard": self.revisions.heard,
            "in_force_at_ms": self._in_force_at_ms,
            "loaded": self.loaded,
        }


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
    shown = "; ".join(f"{p}: stored {theirs.get(p)!r}, yours {ours.get(p)!r}" for p in paths[:20])
    found = stored.revision if stored else 0
    reason = f"/{team} is at revision {found}, yours builds on {row.revision - 1}. {shown}"
    return errors.Refusal(errors.ErrorKind.CONFLICT, reason)
