"""Which entries are alive, by counters that gossip spreads."""

from __future__ import annotations

import dataclasses

import msgspec

SILENT_AFTER_MS = 3_000
SILENT_PER_MEMBER_MS = 15
REMOVE_AFTER_MS = 60_000
MAX_MEMBERS = 8_192


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What an entry says of itself; ``boot_ms`` then ``beat`` order two records.

    ``replica_version`` is how far its copy of the store has come. ``demand`` holds, by service,
    the concurrency that its clients asked for lately.
    """

    entry_id: str
    boot_ms: int
    beat: int
    region: str
    zone: str
    gossip_address: str
    client_address: str
    ready: bool = False
    leaving: bool = False
    replica_version: int = 0
    demand: dict[str, float] = {}

    @property
    def order(self) -> tuple[int, int]:
        """The record's place among all of this entry."""
        return self.boot_ms, self.beat


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """An entry's counter without the rest of its record."""

    entry_id: str
    boot_ms: int
    beat: int


@dataclasses.dataclass(slots=True)
class Member:
    """The newest record of an entry, its newest counter, and when that last rose here."""

    record: MemberRecord
    heard_ms: int
    newest: tuple[int, int]

    def heartbeat(self) -> Heartbeat:
        """Return the newest counter."""
        return Heartbeat(self.record.entry_id, *self.newest)


class Roster:
    """Records of all other entries; an entry whose counter stands still counts as dead."""

    __slots__ = ("own_id", "_members")

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        self._members: dict[str, Member] = {}

    def merge_record(self, record: MemberRecord, now_ms: int) -> bool:
        """Take in a record if it is newer than the one known.

        :param record: what an entry said of itself, perhaps passed on by others.
        :param now_ms: the present time.
        :returns: whether it was newer.
        """
        if record.entry_id == self.own_id:
            return False
        known = self._members.get(record.entry_id)
        if known is None:
            return self._add(record, now_ms)
        if record.order <= known.record.order:
            return False
        known.record = record
        self.merge_heartbeat(Heartbeat(record.entry_id, *record.order), now_ms)
        return True

    def _add(self, record: MemberRecord, heard_ms: int) -> bool:
        if len(self._members) >= MAX_MEMBERS:
            return False
        self._members[record.entry_id] = Member(record, heard_ms, record.order)
        return True

    def merge_heartbeat(self, beat: Heartbeat, now_ms: int) -> None:
        """Take in a counter of an entry whose record is known.

        :param beat: the counter.
        :param now_ms: the present time.
        """
        known = self._members.get(beat.entry_id)
        if known is not None and (beat.boot_ms, beat.beat) > known.newest:
            known.newest = (beat.boot_ms, beat.beat)
            known.heard_ms = now_ms

    def apply_registration(self, record: MemberRecord, now_ms: int) -> None:
        """Learn of an entry from the store, which does not tell whether it is alive.

        :param record: the entry's registration.
        :param now_ms: the present time.
        """
        if record.entry_id != self.own_id and record.entry_id not in self._members:
            self._add(record, now_ms - REMOVE_AFTER_MS // 2)

    def live(self, now_ms: int) -> list[Member]:
        """Return the members heard of lately.

        :param now_ms: the present time.
        """
        silent_ms = SILENT_AFTER_MS + SILENT_PER_MEMBER_MS * len(self._members)
        return [m for m in self._members.values() if now_ms - m.heard_ms < silent_ms]

    def known(self) -> list[Member]:
        """Return all members, dead ones included."""
        return list(self._members.values())

    def entry_count(self) -> int:
        """Return the number of entries, this one and those that fell silent lately included.

        Parts of limits go by it: a process that stood still hears nobody for a moment, and must
        not take the whole for its part.
        """
        return len(self._members) + 1

    def remove_dead(self, now_ms: int) -> list[str]:
        """Drop members silent for long and return their ids.

        :param now_ms: the present time.
        """
        dead = [i for i, m in self._members.items() if now_ms - m.heard_ms > REMOVE_AFTER_MS]
        for entry_id in dead:
            del self._members[entry_id]
        return dead
