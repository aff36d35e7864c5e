"""Service discovery for clients: the addresses of entries near them."""

from __future__ import annotations

import dataclasses
import typing

from sassafraslock import clock, edge_settings
from sassafraslock.decisions import entry_capacity, roster

VALIDITY_MS = 1_000
MAX_ADDRESSES = entry_capacity.MAX_NAMED
MIN_IN_ZONE = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Resolution:
    """Entries' addresses for a client, and how long it may use the list."""

    addresses: list[str]
    validity_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """An entry that accepts clients; ``per_s`` is what it can carry, 0 if it is not known."""

    entry_id: str
    address: str
    zone: str
    region: str
    per_s: float = 0.0


def nearest(candidates: list[Candidate], zone: str, region: str) -> list[Candidate]:
    """Return the entries that a client may be told of.

    They are those of its zone, if there are :data:`MIN_IN_ZONE` of them, else those of its region,
    else all.

    :param candidates: the entries that accept clients.
    :param zone: the client's availability zone.
    :param region: the client's region.
    """
    in_zone = [c for c in candidates if c.zone == zone]
    if len(in_zone) >= MIN_IN_ZONE:
        return in_zone
    in_region = [c for c in candidates if c.region == region]
    return in_region or candidates


def choose(
    candidates: list[Candidate], zone: str, region: str, asker: str = "", wall_ms: int = 0
) -> list[str]:
    """Return at most :data:`MAX_ADDRESSES` addresses for a client, by what the entries can carry.

    :param candidates: the entries that accept clients.
    :param zone: the client's availability zone.
    :param region: the client's region.
    :param asker: the address from which the client asks.
    :param wall_ms: the current Unix time.
    """
    entries = nearest(candidates, zone, region)
    weights = {c.address: c.per_s for c in entries}
    return entry_capacity.sample(weights, asker, wall_ms, MIN_IN_ZONE)[:MAX_ADDRESSES]


class Directory:
    """Resolves a client's location to live, ready entries near it."""

    __slots__ = ("settings", "_roster", "_is_ready", "_capacities")

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        members: roster.Roster,
        is_ready: typing.Callable[[], bool],
        capacities: entry_capacity.EntryCapacities | None = None,
    ) -> None:
        self.settings = settings
        self._roster = members
        self._is_ready = is_ready
        self._capacities = capacities

    @property
    def validity_ms(self) -> int:
        """How long a client may use a list of addresses, bounded by the settings."""
        return min(VALIDITY_MS, self.settings.bounds.max_validity_ms)

    def candidates(self) -> list[Candidate]:
        """Return the live entries that are ready and not leaving, this one included."""
        settings = self.settings
        records = [m.record for m in self._roster.live(clock.monotonic_ms())]
        candidates = [
            Candidate(r.entry_id, r.client_address, r.zone, r.region, self._per_s(r))
            for r in records
            if r.ready and not r.leaving
        ]
        if self._is_ready():
            per_s = self._capacities.own_per_s() if self._capacities is not None else 0.0
            own = Candidate(
                settings.entry_id, settings.client_address, settings.zone, settings.region, per_s
            )
            candidates.append(own)
        return candidates

    def _per_s(self, record: roster.MemberRecord) -> float:
        if self._capacities is None:
            return 0.0
        return self._capacities.per_s(record.entry_id, record.link_mbps)

    def resolve(self, zone: str, region: str, asker: str = "") -> Resolution:
        """Return the addresses of the nearest entries, and how long the client may use them.

        :param zone: the client's availability zone.
        :param region: the client's region.
        :param asker: the address from which the client asks.
        """
        addresses = choose(self.candidates(), zone, region, asker, clock.wall_ms())
        return Resolution(addresses, self.validity_ms)
