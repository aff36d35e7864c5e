"""The servers that said in their answers that they leave, as this entry and its peers know them."""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq

import msgspec

from sassafraslock.decisions import heard_from

MAX_REPORTS = 64  # per gossip message
# A row may be lost and written again for the same start, which still leaves.
ABSENT_RETENTION_MS = 60_000


class DepartureReport(msgspec.Struct, frozen=True, array_like=True):
    """A start of a server that leaves, as entries send it to each other.

    :param start_hash: the hash of the start's id.
    :param age_ms: how long ago the server first said so.
    """

    start_hash: int
    age_ms: int


@dataclasses.dataclass(slots=True)
class Departure:
    """What is known of one start that leaves.

    :param heard_ms: when the server first said so.
    :param source: who told this entry; the server, if it did so itself at any time.
    :param sent_count: how many gossip messages held it.
    :param absent_since_ms: since when the server has no row; None while it has one.
    """

    heard_ms: int
    source: heard_from.HeardFrom
    sent_count: int = 0
    absent_since_ms: int | None = None


class DepartingServers:
    """The starts of servers that leave; each is identified by its hash.

    A start that leaves does not come back: only the removal of its row ends the record, after
    :data:`ABSENT_RETENTION_MS`. Records are made for registered servers only, which bounds them.
    """

    __slots__ = ("_departures",)

    def __init__(self) -> None:
        self._departures: dict[int, Departure] = {}

    def __contains__(self, start_hash: object) -> bool:
        return start_hash in self._departures

    def __len__(self) -> int:
        return len(self._departures)

    def departure_of(self, start_hash: int) -> Departure | None:
        """Return what is known of a start that leaves, ``None`` if it does not.

        :param start_hash: the hash of the id of the server's start.
        """
        return self._departures.get(start_hash)

    def record(self, start_hash: int, source: heard_from.HeardFrom, heard_ms: int) -> bool:
        """Record that a start leaves.

        :param start_hash: the hash of the id of the server's start.
        :param source: who told this entry.
        :param heard_ms: when the server said so.
        :returns: whether this is new.
        """
        known = self._departures.get(start_hash)
        if known is None:
            self._departures[start_hash] = Departure(heard_ms, source)
            return True
        known.heard_ms = min(known.heard_ms, heard_ms)
        if source is heard_from.HeardFrom.SERVER:
            known.source = source
        return False

    def recent_reports(self, now_ms: int) -> list[DepartureReport]:
        """Return at most :data:`MAX_REPORTS` records to send, those sent least often first.

        :param now_ms: the current monotonic time.
        """
        chosen = heapq.nsmallest(
            MAX_REPORTS, self._departures.items(), key=lambda item: item[1].sent_count
        )
        for _, departure in chosen:
            departure.sent_count += 1
        return [DepartureReport(h, max(0, now_ms - d.heard_ms)) for h, d in chosen]

    def retain(self, start_hashes: collections.abc.Set[int], now_ms: int) -> None:
        """Discard the records of servers that have had no row for a while.

        :param start_hashes: the hashes of the ids of all registered starts.
        :param now_ms: the current monotonic time.
        """
        for start_hash, departure in list(self._departures.items()):
            if start_hash in start_hashes:
                departure.absent_since_ms = None
            elif departure.absent_since_ms is None:
                departure.absent_since_ms = now_ms
            elif now_ms - departure.absent_since_ms >= ABSENT_RETENTION_MS:
                del self._departures[start_hash]
