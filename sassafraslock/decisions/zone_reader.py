"""Which entry of an availability zone reads the store for the others of the zone."""

from __future__ import annotations

from sassafraslock.decisions import hashing, roster

MIN_ENTRIES = 4  # in smaller zones the calls saved are not worth a second hop
AVOIDED_MS = 2_000
MAX_AGE_MS = 1_600


class ZoneReaderSelector:
    """Picks the same reader at all entries of a zone that know of each other.

    Every zone has one reader, the first by rendezvous hash of those that have read the store, also
    before there are intents that make them ready for clients. A reader that failed this entry is
    left out for a moment; meanwhile this entry reads the store itself.
    """

    __slots__ = ("_own_id", "_zone", "_avoided_until_ms")

    def __init__(self, own_id: str, zone: str) -> None:
        self._own_id = own_id
        self._zone = zone
        self._avoided_until_ms: dict[str, int] = {}

    def choose(self, live: list[roster.MemberRecord], now_ms: int) -> roster.MemberRecord | None:
        """Return the entry that reads for this one, or none where this one reads itself.

        :param live: the live entries, this one left out.
        :param now_ms: the present time.
        """
        peers = [r for r in live if r.zone == self._zone and r.replica_version and not r.leaving]
        if len(peers) + 1 < MIN_ENTRIES:
            return None
        first = max(peers, key=lambda r: self._rank(r.entry_id))
        if self._rank(first.entry_id) < self._rank(self._own_id):
            return None
        return None if now_ms < self._avoided_until_ms.get(first.entry_id, 0) else first

    def _rank(self, entry_id: str) -> float:
        return hashing.rendezvous_score(self._zone, entry_id, 1.0)

    def record_failure(self, entry_id: str, now_ms: int) -> None:
        """Leave out a reader whose copy did not come or was too old.

        :param entry_id: the reader.
        :param now_ms: the present time.
        """
        kept = {e: until for e, until in self._avoided_until_ms.items() if until > now_ms}
        self._avoided_until_ms = {**kept, entry_id: now_ms + AVOIDED_MS}
