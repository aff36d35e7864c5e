"""Which servers are likely to have an object in memory, by the answers to entries nearby."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools

import msgspec
import xxhash

from sassafraslock import field_types

MAX_OBJECTS = 8_192  # beyond this, the least recently used object is evicted
RETENTION_MS = 30_000
# A sighting is sent to peers again only if the last one is this old, so that messages stay small.
RENEWAL_MS = 10_000
SHARED_FOR_MS = 2_000  # long enough for several gossip rounds, since datagrams may be lost
MAX_SERVERS_PER_OBJECT = 16  # beyond this, the server that handled it longest ago is forgotten
# The age of a report leaves out the time that its datagrams took.
REPORT_DELAY_MS = 300
MAX_REPORTS = 48  # per gossip message; bounds the bytes that an entry sends
MAX_TOLD = 384  # per message to an entry that has just started
# What was handled longer ago is not passed on, as others know it: only entries that have just
# started are told of it.
PASSED_ON_MS = 5_000


class ObjectReport(msgspec.Struct, frozen=True, array_like=True):
    """A server that handled an object, as entries send it to each other.

    :param object_hash: the hash of the object's name.
    :param start_hash: the hash of the id of the server's start.
    :param age_ms: how long ago the server answered a request for the object.
    """

    object_hash: field_types.Hash32
    start_hash: field_types.Hash32
    age_ms: field_types.AgeMs


@dataclasses.dataclass(slots=True)
class _Sighting:
    """The latest answer of a server for an object.

    ``renewed_ms`` is the time from which on peers are told of it.
    """

    handled_ms: int
    renewed_ms: int


def hash_object(name: str) -> int:
    """Return the 32-bit hash that identifies an object.

    :param name: the object's key, qualified by its service.
    """
    return xxhash.xxh32_intdigest(name.encode())


class ObjectMemory:
    """The latest answer of each server for an object, in least-recently-used order.

    Objects and starts of servers are identified by their hashes.
    """

    __slots__ = ("_objects", "_renewed", "_forgotten_ms")

    def __init__(self) -> None:
        self._objects: collections.OrderedDict[int, dict[int, _Sighting]] = (
            collections.OrderedDict()
        )
        self._renewed: dict[tuple[int, int], _Sighting] = {}
        self._forgotten_ms: dict[int, int] = {}

    def record(self, object_hash: int, start_hash: int, handled_ms: int, now_ms: int) -> None:
        """Record that a server answered a request for an object.

        :param object_hash: the hash of the object's name.
        :param start_hash: the hash of the id of the server's start.
        :param handled_ms: when it answered.
        :param now_ms: the current monotonic time.
        """
        sightings = self._objects.setdefault(object_hash, {})
        self._objects.move_to_end(object_hash)
        if len(self._objects) > MAX_OBJECTS:
            self._objects.popitem(last=False)
        sighting = sightings.get(start_hash)
        if sighting is None:
            if len(sightings) >= MAX_SERVERS_PER_OBJECT:
                del sightings[min(sightings, key=lambda s: sightings[s].handled_ms)]
            sighting = sightings[start_hash] = _Sighting(handled_ms, now_ms)
            if now_ms - handled_ms < PASSED_ON_MS:
                self._renewed[object_hash, start_hash] = sighting
            return
        is_due = now_ms - sighting.renewed_ms > RENEWAL_MS
        is_due = is_due or self._is_forgotten(start_hash, sighting.handled_ms)
        if is_due and handled_ms > sighting.handled_ms:
            sighting.renewed_ms = now_ms
            self._renewed[object_hash, start_hash] = sighting
        sighting.handled_ms = max(sighting.handled_ms, handled_ms)

    def has_handled(self, object_hash: int, start_hash: int, now_ms: int) -> bool:
        """Return whether a server handled an object within :data:`RETENTION_MS`.

        :param object_hash: the hash of the object's name.
        :param start_hash: the hash of the id of the server's start.
        :param now_ms: the current monotonic time.
        """
        sighting = self._objects.get(object_hash, {}).get(start_hash)
        if sighting is None or self._is_forgotten(start_hash, sighting.handled_ms):
            return False
        return now_ms - sighting.handled_ms < RETENTION_MS

    def handlers(self, object_hash: int, now_ms: int) -> list[int]:
        """Return the hashes of the starts that handled an object within :data:`RETENTION_MS`.

        :param object_hash: the hash of the object's name.
        :param now_ms: the current monotonic time.
        """
        oldest_ms = now_ms - RETENTION_MS
        return [
            start_hash
            for start_hash, sighting in self._objects.get(object_hash, {}).items()
            if sighting.handled_ms > oldest_ms
            and not self._is_forgotten(start_hash, sighting.handled_ms)
        ]

    def sizes(self) -> tuple[int, int]:
        """Return how many objects are remembered, and at how many servers in sum."""
        return len(self._objects), sum(len(starts) for starts in self._objects.values())

    def forget_start(self, start_hash: int, now_ms: int) -> None:
        """Forget all objects of a start, since another one may run by now, which has none.

        What peers tell of the time before is ignored from now on.

        :param start_hash: the hash of the id of the server's start.
        :param now_ms: the current monotonic time.
        """
        oldest_ms = now_ms - RETENTION_MS
        self._forgotten_ms = {h: at for h, at in self._forgotten_ms.items() if at > oldest_ms}
        self._forgotten_ms[start_hash] = now_ms

    def _is_forgotten(self, start_hash: int, handled_ms: int) -> bool:
        forgotten_ms = self._forgotten_ms.get(start_hash)
        return forgotten_ms is not None and handled_ms <= forgotten_ms

    def recent_reports(self, now_ms: int) -> list[ObjectReport]:
        """Return what to send to entries nearby: at most :data:`MAX_REPORTS`, the newest first.

        :param now_ms: the current monotonic time.
        """
        oldest_ms = now_ms - SHARED_FOR_MS
        self._renewed = {k: s for k, s in self._renewed.items() if s.renewed_ms > oldest_ms}
        held = [
            i for i in self._renewed.items() if not self._is_forgotten(i[0][1], i[1].handled_ms)
        ]
        newest = heapq.nlargest(MAX_REPORTS, held, key=_renewed_ms)
        return [
            ObjectReport(object_hash, start_hash, max(0, now_ms - sighting.handled_ms))
            for (object_hash, start_hash), sighting in newest
        ]

    def known_reports(self, part: int, now_ms: int) -> list[ObjectReport]:
        """Return one part of all that is known, for an entry that has just started.

        :param part: the number of the part, from 0 for the latest used objects.
        :param now_ms: the current monotonic time.
        """
        sightings = (
            ObjectReport(object_hash, start_hash, now_ms - sighting.handled_ms)
            for object_hash, starts in reversed(self._objects.items())
            for start_hash, sighting in starts.items()
            if now_ms - sighting.handled_ms < RETENTION_MS
            and not self._is_forgotten(start_hash, sighting.handled_ms)
        )
        return list(itertools.islice(sightings, part * MAX_TOLD, (part + 1) * MAX_TOLD))

    def merge_reports(self, reports: list[ObjectReport], now_ms: int) -> None:
        """Merge what another entry knows; reports older than :data:`RETENTION_MS` are ignored.

        :param reports: the reports.
        :param now_ms: the current monotonic time.
        """
        for report in reports:
            age_ms = max(0, report.age_ms)
            if age_ms < RETENTION_MS:
                handled_ms = now_ms - age_ms
                if self._is_forgotten(report.start_hash, handled_ms - REPORT_DELAY_MS):
                    continue
                self.record(report.object_hash, report.start_hash, handled_ms, now_ms)


def _renewed_ms(item: tuple[tuple[int, int], _Sighting]) -> int:
    return item[1].renewed_ms
