"""Selects the zone reader: the entry that reads the store for its availability zone."""

from __future__ import annotations

from sassafraslock.decisions import hashing, roster

MIN_ENTRIES = 4  # with fewer entries, the saved store calls do not justify a second hop
AVOIDED_MS = 2_000
MAX_AGE_MS = 1_600


class ZoneReaderSelector:
    """Selects the same reader at all entries of a zone that know of each other.

    The reader is the entry with the widest link among those that have read the store and are not
    leaving, and of equals the one with the highest rendezvous hash. It need not be ready for
    clients: a zone has a reader even before the store holds the intents that entries need to be
    ready. After a reader fails, this entry reads the store itself for :data:`AVOIDED_MS`.
    """

    __slots__ = ("_own_id", "_own_link_mbps", "_zone", "_avoided_until_ms")

    def __init__(self, own_id: str, zone: str, own_link_mbps: float = 0.0) -> None:
        self._own_id = own_id
        self._own_link_mbps = own_link_mbps
        self._zone = zone
        self._avoided_until_ms: dict[str, int] = {}

    def choose(self, live: list[roster.MemberRecord], now_ms: int) -> roster.MemberRecord | None:
        """Return the zone reader, or none if this entry reads the store itself.

        :param live: the live entries without this one.
        :param now_ms: the monotonic time.
        """
        peers = [r for r in live if r.zone == self._zone and r.replica_version and not r.leaving]
        if len(peers) + 1 < MIN_ENTRIES:
            return None
        reader = max(peers, key=self._rank)
        if self._rank(reader) < self._rank_of(self._own_id, self._own_link_mbps):
            return None
        return None if now_ms < self._avoided_until_ms.get(reader.entry_id, 0) else reader

    def _rank(self, record: roster.MemberRecord) -> tuple[float, float]:
        return self._rank_of(record.entry_id, record.link_mbps)

    def _rank_of(self, entry_id: str, link_mbps: float) -> tuple[float, float]:
        return link_mbps, hashing.rendezvous_score(self._zone, entry_id, 1.0)

    def record_failure(self, entry_id: str, now_ms: int) -> None:
        """Avoid a reader whose copy of the store did not arrive or was too old.

        :param entry_id: the id of the reader.
        :param now_ms: the monotonic time.
        """
        current = {e: until for e, until in self._avoided_until_ms.items() if until > now_ms}
        self._avoided_until_ms = {**current, entry_id: now_ms + AVOIDED_MS}
