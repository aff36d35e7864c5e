"""Gossip by the number of entries: age of what is known, bytes, processor time."""

from __future__ import annotations

import dataclasses
import random
import time

from sassafraslock.decisions import load_reports, object_memory, registry, roster
from sassafraslock.services import gossip, poison_watch, upstream

COUNTS = (9, 68, 300, 1_000)
LOSS_RATIO = 0.05
ROUND_MS = 500
START_MS, END_MS = 20_000, 24_000
SEED = 5
ZONES = ("gor-a", "gor-b", "sta-a", "sta-b", "pri-a", "pri-b")


@dataclasses.dataclass(slots=True)
class Row:
    """One number of entries; ages are of the newest counter known of a peer."""

    entries: int
    age_p99_ms: int
    age_max_ms: int
    message_bytes: int
    sent_bytes_per_s: float
    beyond_zone_bytes_per_s: float
    beyond_region_bytes_per_s: float
    cpu_ms_per_s: float


class _ManyLoads:
    """As many loads as a message holds, other ones each time."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance

    def recent_reports(self, now_ms: int) -> list[load_reports.LoadReport]:
        marks = (self._chance.getrandbits(32) for _ in range(load_reports.MAX_REPORTS))
        return [
            load_reports.LoadReport(mark, self._chance.randrange(8), self._chance.randrange(1_500))
            for mark in marks
        ]

    def merge_reports(self, reports: list[load_reports.LoadReport], now_ms: int) -> None:
        pass


class _ManyObjects:
    """As many sightings of objects as a message holds, other ones each time."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance

    def recent_reports(self, now_ms: int) -> list[object_memory.ObjectReport]:
        return [
            object_memory.ObjectReport(
                self._chance.getrandbits(32),
                self._chance.getrandbits(32),
                self._chance.randrange(object_memory.SHARED_FOR_MS),
            )
            for _ in range(object_memory.MAX_REPORTS)
        ]

    def merge_reports(self, reports: list[object_memory.ObjectReport], now_ms: int) -> None:
        pass


def _record(number: int, beat: int) -> roster.MemberRecord:
    zone = ZONES[number % len(ZONES)]
    name = f"front-{zone}-{number}"
    addresses = (f"{name}:7720", f"{name}:8161")
    return roster.MemberRecord(name, 1, beat, zone[:3], zone, *addresses)


def _service(number: int) -> gossip.GossipService:
    own = _record(number, 0)
    poison = poison_watch.PoisonWatch(upstream.Upstream(b""), registry.Registry())
    chance = random.Random(number)
    service = gossip.GossipService(
        own.entry_id,
        own.gossip_address,
        [],
        lambda beat: _record(number, beat),
        poison,
        rng=chance,
    )
    service.loads = _ManyLoads(chance)
    service.objects = _ManyObjects(chance)
    return service


def _measure(count: int) -> Row:
    source = random.Random(SEED)
    records = [_record(n, 0) for n in range(count)]
    entries = {r.gossip_address: _service(n) for n, r in enumerate(records)}
    by_address = {r.gossip_address: r for r in records}
    for one in entries.values():
        for record in records:
            one.roster.apply_registration(record, -roster.REMOVE_AFTER_MS)
    ages: list[int] = []
    size = sent = zone_sent = region_sent = 0
    started_s = time.process_time()
    for now_ms in range(0, END_MS, ROUND_MS):
        for own, one in entries.items():
            for address, raw in one.datagrams(now_ms):
                size = max(size, len(raw))
                sent += len(raw)
                zone_sent += len(raw) * (by_address[address].zone != by_address[own].zone)
                region_sent += len(raw) * (by_address[address].region != by_address[own].region)
                if source.random() > LOSS_RATIO:
                    entries[address].merge_datagram(raw, now_ms)
        if now_ms >= START_MS:
            ages += [now_ms - m.heard_ms for e in entries.values() for m in e.roster.known()]
    cpu_ms = (time.process_time() - started_s) * 1_000
    ages.sort()
    per_entry_s = count * END_MS / 1_000
    return Row(
        count,
        ages[int(len(ages) * 0.99)],
        ages[-1],
        size,
        sent / per_entry_s,
        zone_sent / per_entry_s,
        region_sent / per_entry_s,
        cpu_ms / per_entry_s,
    )


def measure() -> list[Row]:
    """Return each number of entries."""
    return [_measure(count) for count in COUNTS]
