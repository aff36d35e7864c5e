"""Service discovery for clients: the addresses of entries near them."""

from __future__ import annotations

import dataclasses
import typing

from sassafraslock import clock, edge_settings
from sassafraslock.decisions import roster

VALIDITY_MS = 1_000
MAX_ADDRESSES = 64
MIN_IN_ZONE = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Resolution:
    """Entries' addresses for a client, and how long it may use the list."""

    addresses: list[str]
    validity_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """An entry that accepts clients."""

    entry_id: str
    address: str
    zone: str
    region: str


def choose(candidates: list[Candidate], zone: str, region: str) -> list[str]:
    """Return at most :data:`MAX_ADDRESSES` addresses for a client.

    They are those of its zone, if there are :data:`MIN_IN_ZONE` of them, else those of its region,
    else all.

    :param candidates: the entries that accept clients.
    :param zone: the client's availability zone.
    :param region: the client's region.
    """
    in_zone = [c.address for c in candidates if c.zone == zone]
    if len(in_zone) >= MIN_IN_ZONE:
        return in_zone[:MAX_ADDRESSES]
    in_region = [c.address for c in candidates if c.region == region]
    nearest = in_region or [c.address for c in candidates]
    return nearest[:MAX_ADDRESSES]


class Directory:
    """Resolves a client's location to live, ready entries near it."""

    __slots__ = ("settings", "_roster", "_is_ready")

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        members: roster.Roster,
        is_ready: typing.Callable[[], bool],
    ) -> None:
        self.settings = settings
        self._roster = members
        self._is_ready = is_ready

    @property
    def validity_ms(self) -> int:
        """How long a client may use a list of addresses, bounded by the settings."""
        return min(VALIDITY_MS, self.settings.bounds.max_validity_ms)

    def candidates(self) -> list[Candidate]:
        """Return the live entries that are ready and not leaving, this one included."""
        settings = self.settings
        candidates = [
            Candidate(m.record.entry_id, m.record.client_address, m.record.zone, m.record.region)
            for m in self._roster.live(clock.monotonic_ms())
            if m.record.ready and not m.record.leaving
        ]
        if self._is_ready():
            address = settings.client_address
            candidates.append(Candidate(settings.entry_id, address, settings.zone, settings.region))
        return candidates

    def resolve(self, zone: str, region: str) -> Resolution:
        """Return the addresses of the nearest entries, and how long the client may use them.

        :param zone: the client's availability zone.
        :param region: the client's region.
        """
        return Resolution(choose(self.candidates(), zone, region), self.validity_ms)
