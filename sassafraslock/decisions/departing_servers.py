"""The servers that said in their answers that they leave, as this entry and its peers know them."""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq

import msgspec

from sassafraslock import field_types
from sassafraslock.decisions import heard_from

MAX_REPORTS = 64  # per gossip message
# How long a server whose start is unknown counts as leaving after it last said so, since it may
# have restarted under the same id.
UNKNOWN_START_MS = 30_000


class DepartureReport(msgspec.Struct, frozen=True, array_like=True):
    """A start of a server that leaves, as entries send it to each other.

    :param start_hash: the hash of the start's id.
    :param age_ms: how long ago the server last said so.
    """

    start_hash: field_types.Hash32
    age_ms: field_types.AgeMs


@dataclasses.dataclass(slots=True)
class Departure:
    """What is known of one start that leaves.

    :param heard_ms: when the server last said so.
    :param source: who told this entry; the server, if it did so itself at any time.
    :param ends: whether it ends after :data:`UNKNOWN_START_MS`.
    :param sent_count: how many gossip messages held it.
    """

    heard_ms: int
    source: heard_from.HeardFrom
    ends: bool = False
    sent_count: int = 0

    def is_over(self, now_ms: int) -> bool:
        """Return whether the server may have restarted since it last said that it leaves.

        :param now_ms: the current monotonic time.
        """
        return self.ends and now_ms - self.heard_ms >= UNKNOWN_START_MS


class DepartingServers:
    """The starts of servers that leave; each is identified by its hash.

    A start that leaves does not come back: only the removal of its row ends the record, or time, if
    starts of the server cannot be told apart. Records are made for registered servers only, which
    bounds them.
    """

    __slots__ = ("_departures",)

    def __init__(self) -> None:
        self._departures: dict[int, Departure] = {}

    def __contains__(self, start_hash: object) -> bool:
        return start_hash in self._departures

    def __len__(self) -> int:
        return len(self._departures)

    def __iter__(self) -> collections.abc.Iterator[int]:
        return iter(self._departures)

    def departure_of(self, start_hash: int) -> Departure | None:
        """Return what is known of a start that leaves, ``None`` if it does not.

        :param start_hash: the hash of the id of the server's start.
        """
        return self._departures.get(start_hash)

    def record(
        self, start_hash: int, source: heard_from.HeardFrom, heard_ms: int, ends: bool = False
    ) -> bool:
        """Record that a start leaves.

        :param start_hash: the hash of the id of the server's start.
        :param source: who told this entry.
        :param heard_ms: when the server said so.
        :param ends: whether the record ends after :data:`UNKNOWN_START_MS`.
        :returns: whether this is new.
        """
        known = self._departures.get(start_hash)
        if known is None:
            self._departures[start_hash] = Departure(heard_ms, source, ends)
            return True
        known.heard_ms = max(known.heard_ms, heard_ms)
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
        return [DepartureReport(h, field_types.age_ms(d.heard_ms, now_ms)) for h, d in chosen]

    def retain(self, start_hashes: collections.abc.Set[int], now_ms: int) -> bool:
        """Discard the records of all servers except the given ones, and those that are over.

        :param start_hashes: the hashes of the ids of the starts to keep.
        :param now_ms: the current monotonic time.
        :returns: whether any was discarded.
        """
        before = len(self._departures)
        self._departures = {
            h: d for h, d in self._departures.items() if h in start_hashes and not d.is_over(now_ms)
        }
        return len(self._departures) < before
