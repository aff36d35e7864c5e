"""Which entries that have just started this entry tells everything it knows of objects."""

from __future__ import annotations

from sassafraslock.decisions import hashing, object_memory, roster

SPONSORS = 2  # entries of the region that tell a newcomer
TOLD_FOR_MS = 5_000  # after this entry first heard of the newcomer
ROUNDS = 6  # messages to a newcomer, each with other objects
MAX_TOLD = 4_096  # newcomers that are remembered, so that none is told twice


class Newcomers:
    """Selects the newcomers of the own region for which this entry is a sponsor.

    An entry is a newcomer to those that started before it. Each sponsor sends it all sightings of
    objects in a few rounds of gossip, since it would otherwise learn of an object's servers only
    when the next renewal is due, and would make objects slow until then.
    """

    __slots__ = ("_told",)

    def __init__(self) -> None:
        self._told: dict[tuple[str, int], tuple[int, int]] = {}

    def reports(
        self,
        own: roster.MemberRecord,
        live: list[roster.MemberRecord],
        memory: object_memory.ObjectMemory,
        now_ms: int,
    ) -> list[tuple[str, list[object_memory.ObjectReport]]]:
        """Return what to send in this round, by gossip address; nothing if no object is known.

        :param own: this entry's record.
        :param live: the records of the live entries without this one.
        :param memory: what this entry knows of objects.
        :param now_ms: the current monotonic time.
        """
        parts = self.due(own, live, now_ms)
        told = [(address, memory.known_reports(part, now_ms)) for address, part in parts]
        return [(address, objects) for address, objects in told if objects]

    def due(
        self, own: roster.MemberRecord, live: list[roster.MemberRecord], now_ms: int
    ) -> list[tuple[str, int]]:
        """Return the gossip addresses of newcomers, each with the number of its round from 0.

        :param own: this entry's record.
        :param live: the records of the live entries without this one.
        :param now_ms: the current monotonic time.
        """
        region = [r for r in live if r.region == own.region]
        found: list[tuple[str, int]] = []
        for record in region:
            start = (record.entry_id, record.boot_ms)
            heard_ms, rounds = self._told.pop(start, (now_ms, 0))
            if rounds == 0 and not _is_sponsor(own, record, region):
                rounds = ROUNDS
            if rounds < ROUNDS and now_ms - heard_ms < TOLD_FOR_MS:
                found.append((record.gossip_address, rounds))
                rounds += 1
            self._told[start] = heard_ms, rounds
        while len(self._told) > MAX_TOLD:
            del self._told[next(iter(self._told))]
        return found


def _is_sponsor(
    own: roster.MemberRecord, newcomer: roster.MemberRecord, region: list[roster.MemberRecord]
) -> bool:
    """Return whether an entry is one of those that tell a newcomer, by rendezvous hash."""
    if own.boot_ms >= newcomer.boot_ms:
        return False
    older = [r.entry_id for r in region if r.boot_ms < newcomer.boot_ms]
    ranked = sorted(
        [own.entry_id, *older],
        key=lambda e: hashing.rendezvous_score(newcomer.entry_id, e, 1.0),
        reverse=True,
    )
    return own.entry_id in ranked[:SPONSORS]
