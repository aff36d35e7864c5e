"""Membership and failure detection of entries, by heartbeats that gossip spreads."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from sassafraslock import field_types

SILENT_AFTER_MS = 3_000
SILENT_PER_MEMBER_MS = 15
REMOVE_AFTER_MS = 60_000
# Removals are checked once a gossip round; a longer pause shows that this process was suspended.
MAX_CHECK_PAUSE_MS = 5_000
# The store keeps the registrations of entries that are gone for good.
UNHEARD_AFTER_MS = 600_000
GONE_AFTER_MS = 7_200_000  # longer than regions are cut from each other
MAX_MEMBERS = 8_192
# If the entries fall apart into groups, shares of a limit add up to at most one and a third: one
# group may hear two thirds, and the others forget nobody.
HEARD_RATIO = 2 / 3
MAX_SERVICES = 4_096


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """An entry's description of itself, ordered by ``boot_ms`` and then by the counter ``beat``.

    ``replica_version`` is the version of the store that the entry's replica has reached, 0 before
    its first read. ``demand`` holds the recent concurrency of its clients' requests by service.
    ``link_mbps`` is the bandwidth of its link, 0 if it is not known.
    """

    entry_id: field_types.Name
    boot_ms: field_types.WallMs
    beat: field_types.Beat
    region: field_types.Name
    zone: field_types.Name
    gossip_address: field_types.Address
    client_address: field_types.Address
    ready: bool = False
    leaving: bool = False
    replica_version: field_types.Version = 0
    demand: typing.Annotated[
        dict[field_types.Name, field_types.Quantity], msgspec.Meta(max_length=MAX_SERVICES)
    ] = {}
    link_mbps: field_types.Quantity = 0.0

    @property
    def order(self) -> tuple[int, int]:
        """The key that orders the records of one entry; the newest has the greatest."""
        return self.boot_ms, self.beat


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """An entry's heartbeat counter without the rest of its record."""

    entry_id: field_types.Reference
    boot_ms: field_types.WallMs
    beat: field_types.Beat


@dataclasses.dataclass(slots=True)
class Member:
    """The newest record of another entry, with its newest heartbeat.

    ``heard_ms`` is the monotonic time at which this entry last saw the heartbeat increase.
    ``is_registered_only`` is whether it is known from the store and was never heard.
    """

    record: MemberRecord
    heard_ms: int
    newest_order: tuple[int, int]
    is_registered_only: bool = False

    def forget_counter(self) -> None:
        """Accept any heartbeat from now on, since a false one may have hidden those that came."""
        if any(self.newest_order):
            self.record = msgspec.structs.replace(self.record, boot_ms=0, beat=0)
            self.newest_order = self.record.order

    def heartbeat(self) -> Heartbeat:
        """Return the newest heartbeat, which may be newer than the record."""
        return Heartbeat(self.record.entry_id, *self.newest_order)


class Roster:
    """Records of all other entries; an entry whose heartbeat stops increasing counts as dead."""

    __slots__ = ("own_id", "_members", "_checked_ms", "_resumed_ms", "_is_own_registered")

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        self._checked_ms: int | None = None
        self._resumed_ms: int | None = None
        self._is_own_registered = False
        self._members: dict[str, Member] = {}

    def merge_record(self, record: MemberRecord, now_ms: int) -> bool:
        """Store a record if it is newer than the stored one.

        :param record: an entry's record, received from it or relayed by another entry.
        :param now_ms: the monotonic time.
        :returns: whether it was stored; false for this entry's own record, for an older one, and
            for a new entry beyond :data:`MAX_MEMBERS`.
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

    def _add(self, record: MemberRecord, heard_ms: int, is_registered_only: bool = False) -> bool:
        if len(self._members) >= MAX_MEMBERS:
            return False
        member = Member(record, heard_ms, record.order, is_registered_only)
        self._members[record.entry_id] = member
        return True

    def merge_heartbeat(self, beat: Heartbeat, now_ms: int) -> None:
        """Store a heartbeat if it is newer; one of an entry without a record is ignored.

        :param beat: the heartbeat.
        :param now_ms: the monotonic time.
        """
        known = self._members.get(beat.entry_id)
        if known is not None and (beat.boot_ms, beat.beat) > known.newest_order:
            known.newest_order = (beat.boot_ms, beat.beat)
            known.heard_ms = now_ms
            known.is_registered_only = False

    def apply_registration(self, record: MemberRecord, now_ms: int) -> None:
        """Add an entry that is registered in the store and not known from gossip.

        The store does not show whether the entry is alive, so its heartbeat counts as old until
        gossip brings a newer one.

        :param record: the entry's registration as a record.
        :param now_ms: the monotonic time.
        """
        if record.entry_id == self.own_id:
            self._is_own_registered = True
        elif record.entry_id not in self._members:
            self._add(record, now_ms - REMOVE_AFTER_MS // 2, is_registered_only=True)

    def live(self, now_ms: int) -> list[Member]:
        """Return the other entries whose heartbeat increased within the failure timeout.

        The timeout grows with the number of members, since heartbeats take longer to reach all.

        :param now_ms: the monotonic time.
        """
        timeout_ms = SILENT_AFTER_MS + SILENT_PER_MEMBER_MS * len(self._members)
        return [m for m in self._members.values() if now_ms - m.heard_ms < timeout_ms]

    def known(self) -> list[Member]:
        """Return all other entries, dead ones included."""
        return list(self._members.values())

    def entry_count(self) -> int:
        """Return the number of entries, including this one and dead ones not removed yet.

        Entries divide shared limits by this number. A process that was suspended sees all others
        as dead at first, and must not use the whole of a limit.
        """
        return len(self._members) + 1

    def sharing_count(self) -> int | None:
        """Return :meth:`entry_count`, or none if the other entries cannot be known yet.

        They are known once a peer was heard, or once this entry's own registration was read from
        the store, which then holds those of the others.
        """
        heard_any = any(not m.is_registered_only for m in self._members.values())
        return self.entry_count() if heard_any or self._is_own_registered else None

    def remove_dead(self, now_ms: int) -> list[str]:
        """Remove members without a heartbeat for :data:`REMOVE_AFTER_MS` and return their ids.

        The time counts anew after this process was suspended, since it could hear nobody. While
        this entry hears too few others, which may hear each other, it removes only those that were
        silent for :data:`GONE_AFTER_MS`, and nobody while it hears nobody.

        :param now_ms: the monotonic time.
        """
        if self._checked_ms is not None and now_ms - self._checked_ms > MAX_CHECK_PAUSE_MS:
            self._resumed_ms = now_ms
        self._checked_ms = now_ms
        oldest_ms = now_ms - REMOVE_AFTER_MS
        if self._resumed_ms is not None and self._resumed_ms >= oldest_ms:
            return []
        if not self._hears_most(oldest_ms, now_ms - UNHEARD_AFTER_MS):
            for member in self._members.values():
                if member.heard_ms < oldest_ms:
                    member.forget_counter()
            hears_any = any(m.heard_ms >= oldest_ms for m in self._members.values())
            oldest_ms = now_ms - GONE_AFTER_MS
            if not hears_any:
                return []
        dead = [i for i, m in self._members.items() if m.heard_ms < oldest_ms]
        for entry_id in dead:
            del self._members[entry_id]
        return dead

    def _hears_most(self, oldest_ms: int, registered_since_ms: int) -> bool:
        """Return whether most entries that did not leave are still heard.

        This entry counts as one of them, unless it has not heard any other. Those that it knows
        from the store alone count for :data:`UNHEARD_AFTER_MS`.
        """
        members = self._members.values()
        expected = [m for m in members if not m.record.leaving]
        expected = [
            m for m in expected if not m.is_registered_only or m.heard_ms >= registered_since_ms
        ]
        heard = [m for m in members if not m.is_registered_only]
        recent = [m for m in expected if not m.is_registered_only and m.heard_ms >= oldest_ms]
        return bool(heard) and 1 + len(recent) >= HEARD_RATIO * (1 + len(expected))
