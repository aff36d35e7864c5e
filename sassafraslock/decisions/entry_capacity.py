"""What each entry can carry, and which entries of a zone a client is told of.

An answer holds a part of the entries, so that over all clients each entry is named in proportion
to its capacity. The part is a systematic sample: the entries lie side by side on a line, each as
long as it is due, and a client gets those at steps of one from a start of its own. So its size is
fixed, each entry is in exactly as many answers as it is due, and answers change little when an
entry's capacity does.
"""

from __future__ import annotations

import dataclasses
import math
import typing

import msgspec

from sassafraslock import field_types
from sassafraslock.decisions import hashing

# What one request a second takes of a machine: a mean response and its headers on the link, CPU
# time, sockets of the client and of the server that stay open between requests, and buffers.
REQUEST_MBITS = 0.13
REQUEST_CPU_S = 0.0015
REQUEST_DESCRIPTORS = 10.0
REQUEST_BYTES = 64 << 10
PROCESS_BYTES = 96 << 20
SPARE_DESCRIPTORS = 256

ALIKE_RATIO = 1.1  # capacities within this ratio count as equal
NEAR_LIMIT_RATIO = 0.7  # of the busiest resource, above which an entry is named less
MIN_FACTOR = 0.1  # a busy entry stays in some answers, so that its use can be measured
FACTOR_STEPS = 8  # reported factors are multiples of an eighth, so that they seldom change
USE_HALF_LIFE_MS = 4_000.0
# In this time the start of a client moves by one step. An answer of seven among 15 entries then
# changes by one in 40 s, and a client does not keep the same few entries for ever.
ROTATION_MS = 600_000
SLOT_MS = 5_000  # answers change between slots only
TELL_ON_MS = 30_000  # with nothing to tell any more, so that former reports are replaced
MAX_NAMED = 64  # entries in an answer
MAX_REPORTS = 12  # per gossip message, which adds 2 KB a second to gossip


@dataclasses.dataclass(slots=True, frozen=True)
class Resources:
    """The limits of an entry's machine, 0 for those that are not known."""

    link_mbps: float = 0.0
    cores: float = 0.0
    descriptors: int = 0
    memory_bytes: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Use:
    """The parts in use of an entry's link, cores, descriptors and memory for messages."""

    link_ratio: float = 0.0
    cpu_ratio: float = 0.0
    descriptors_ratio: float = 0.0
    memory_ratio: float = 0.0

    @property
    def highest(self) -> float:
        """The part in use of the resource that ends first."""
        return max(self.link_ratio, self.cpu_ratio, self.descriptors_ratio, self.memory_ratio)


def carried_per_s(resources: Resources) -> float:
    """Return the requests a second that a machine can carry, 0 if no limit of it is known.

    :param resources: the machine's limits.
    """
    bounds = []
    if resources.link_mbps:
        bounds.append(resources.link_mbps / REQUEST_MBITS)
    if resources.cores:
        bounds.append(resources.cores / REQUEST_CPU_S)
    if resources.descriptors:
        spare = max(1, resources.descriptors - SPARE_DESCRIPTORS)
        bounds.append(spare / REQUEST_DESCRIPTORS)
    if bounds and resources.memory_bytes:  # its default alone tells nothing of the machine
        bounds.append(max(1 << 20, resources.memory_bytes - PROCESS_BYTES) / REQUEST_BYTES)
    return min([*bounds, field_types.MAX_COUNT]) if bounds else 0.0


class CapacityReport(msgspec.Struct, frozen=True, array_like=True):
    """What an entry can carry at this moment, ordered by ``boot_ms`` and then by ``beat``."""

    entry_id: field_types.Name
    boot_ms: field_types.WallMs
    beat: field_types.Beat
    per_s: field_types.Quantity

    @property
    def order(self) -> tuple[int, int]:
        """The key that orders the reports of one entry; the newest has the greatest."""
        return self.boot_ms, self.beat


@dataclasses.dataclass(slots=True)
class _Heard:
    report: CapacityReport
    at_ms: int


class LinkLookup(typing.Protocol):
    """Returns the bandwidth of entries' links as their records tell it."""

    def __call__(self) -> dict[str, float]:
        """Return it in Mbit/s by entry id, 0 where it is not known."""


class EntryCapacities:
    """This entry's capacity and those that other entries reported.

    An entry whose link ends first reports nothing, since its record tells the bandwidth of the
    link. So do all, until links or reports differ or an entry is near its limit.
    """

    __slots__ = (
        "own_id",
        "resources",
        "boot_ms",
        "_beat",
        "_use",
        "_use_at_ms",
        "_links",
        "_known",
        "_tell_until_ms",
    )

    def __init__(self, own_id: str, resources: Resources, boot_ms: int, links: LinkLookup) -> None:
        self.own_id = own_id
        self.resources = resources
        self.boot_ms = boot_ms
        self._beat = 0
        self._use = 0.0
        self._use_at_ms = 0
        self._links = links
        self._known: dict[str, _Heard] = {}
        self._tell_until_ms = 0

    def record_use(self, use: Use, now_ms: int) -> None:
        """Record how much of its limits this entry uses.

        :param use: the parts in use.
        :param now_ms: the current monotonic time.
        """
        weight = 1.0 - 0.5 ** (max(0, now_ms - self._use_at_ms) / USE_HALF_LIFE_MS)
        self._use += weight * (use.highest - self._use)
        self._use_at_ms = now_ms

    @property
    def use_ratio(self) -> float:
        """The moving mean of the part in use of the resource that ends first."""
        return self._use

    @property
    def own_factor(self) -> float:
        """By how much less this entry is named since it is near its limit, 1 if it is not."""
        left = (1.0 - self._use) / (1.0 - NEAR_LIMIT_RATIO)
        return max(MIN_FACTOR, min(1.0, math.ceil(left * FACTOR_STEPS) / FACTOR_STEPS))

    def own_per_s(self) -> float:
        """Return what this entry can carry now, 0 if its limits are not known."""
        return carried_per_s(self.resources) * self.own_factor

    def _tells(self) -> bool:
        if not self.own_per_s():
            return False
        links = [mbps for mbps in self._links().values() if mbps]
        links += [h.report.per_s * REQUEST_MBITS for h in self._known.values()]
        differ = bool(links) and max(links) > ALIKE_RATIO * min(links)
        by_link = self.resources.link_mbps / REQUEST_MBITS
        is_told = by_link > 0 and self.own_per_s() > by_link / ALIKE_RATIO
        return self.own_factor < 1.0 or (differ and not is_told)

    def recent_reports(self, now_ms: int) -> list[CapacityReport]:
        """Return the capacities to send to entries of the region, this entry's first if told.

        :param now_ms: the current monotonic time.
        """
        live = self._links()
        oldest_ms = now_ms - TELL_ON_MS
        self._known = {i: h for i, h in self._known.items() if i in live and h.at_ms > oldest_ms}
        others = [heard.report for heard in self._known.values()]
        others.sort(key=lambda r: hashing.fraction(f"{r.entry_id}|{now_ms}"))
        reports = others[: MAX_REPORTS - 1]
        if self._tells():
            self._tell_until_ms = now_ms + TELL_ON_MS
        if now_ms < self._tell_until_ms:
            self._beat += 1
            own = CapacityReport(self.own_id, self.boot_ms, self._beat, self.own_per_s())
            reports.insert(0, own)
        return reports

    def merge_reports(self, reports: list[CapacityReport], now_ms: int) -> None:
        """Merge what other entries reported; older reports are ignored.

        :param reports: the reports.
        :param now_ms: the current monotonic time.
        """
        for report in reports:
            known = self._known.get(report.entry_id)
            is_newer = known is None or report.order > known.report.order
            if report.entry_id != self.own_id and is_newer:
                self._known[report.entry_id] = _Heard(report, now_ms)

    def per_s(self, entry_id: str, link_mbps: float) -> float:
        """Return what an entry can carry, 0 if it is not known.

        :param entry_id: this entry or another one.
        :param link_mbps: the bandwidth of its link by its record.
        """
        if entry_id == self.own_id:
            return self.own_per_s()
        known = self._known.get(entry_id)
        return known.report.per_s if known else link_mbps / REQUEST_MBITS


def sample(weights: dict[str, float], asker: str, wall_ms: int, at_least: int) -> list[str]:
    """Return the entries that a client is told of, in the order of the weights.

    The more their capacities differ, the fewer an answer holds: the largest one is in all answers.

    :param weights: the capacity of each entry, 0 where it is not known; those count as the mean.
    :param asker: what tells clients apart, such as their address.
    :param wall_ms: the current Unix time.
    :param at_least: how many entries are in an answer, if there are so many.
    """
    known = [w for w in weights.values() if w > 0]
    if len(weights) <= at_least or not known or max(known) <= ALIKE_RATIO * min(known):
        return list(weights)
    mean = sum(known) / len(known)
    filled = {i: w or mean for i, w in weights.items()}
    size = int(sum(filled.values()) / max(filled.values()))
    size = min(MAX_NAMED, max(at_least, size))
    slot_ms = wall_ms - wall_ms % SLOT_MS
    start = (hashing.fraction(asker) + slot_ms / ROTATION_MS) % 1.0
    chosen = _at_steps(_inclusion(filled, size), start, size)
    return [i for i in weights if i in chosen]


def _at_steps(due: dict[str, float], start: float, size: int) -> set[str]:
    """Return the entries at which a step from the start ends, in an order that is fixed by hash."""
    chosen: set[str] = set()
    end = 0.0
    for entry_id in sorted(due, key=hashing.fraction):
        end += due[entry_id]
        if start + len(chosen) < end:
            chosen.add(entry_id)
    for entry_id in due:  # rounding may leave out the last one
        if len(chosen) < size:
            chosen.add(entry_id)
    return chosen


def _inclusion(weights: dict[str, float], size: int) -> dict[str, float]:
    """Return the part of the samples in which each entry is due; what exceeds 1 goes to others."""
    due: dict[str, float] = {}
    left = dict(weights)
    while left:
        scale = (size - len(due)) / sum(left.values())
        certain = [i for i, w in left.items() if w * scale >= 1.0]
        if not certain:
            break
        for entry_id in certain:
            due[entry_id] = 1.0
            del left[entry_id]
    due.update({i: w * scale for i, w in left.items()})
    return due
