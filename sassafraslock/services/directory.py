"""Tells clients which entries to use."""

from __future__ import annotations

import dataclasses
import typing

from sassafraslock import clock, edge_settings
from sassafraslock.decisions import roster

VALIDITY_MS = 1_000
MAX_ADDRESSES = 64
MIN_IN_ZONE = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Named:
    """Entries for a client, and for how long the list holds."""

    addresses: list[str]
    validity_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """An entry that takes clients."""

    entry_id: str
    address: str
    zone: str
    region: str


def choose(candidates: list[Candidate], zone: str, region: str) -> list[str]:
    """Return the addresses for a client: those of its zone if they are enough, else its region's.

    :param candidates: the entries that take clients.
    :param zone: the client's availability zone.
    :param region: the client's region.
    """
    in_zone = [c.address for c in candidates if c.zone == zone]
    if len(in_zone) >= MIN_IN_ZONE:
        return in_zone[:MAX_ADDRESSES]
    in_region = [c.address for c in candidates if c.region == region]
    found = in_region or [c.address for c in candidates]
    return found[:MAX_ADDRESSES]


class Directory:
    """Names live, ready entries near a client."""

    __slots__ = ("settings", "_roster", "_own_serves")

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        members: roster.Roster,
        own_serves: typing.Callable[[], bool],
    ) -> None:
        self.settings = settings
        self._roster = members
        self._own_serves = own_serves

    @property
    def validity_ms(self) -> int:
        """How long a client may keep what it is told."""
        return min(VALIDITY_MS, self.settings.bounds.max_validity_ms)

    def candidates(self) -> list[Candidate]:
        """Return the entries that take clients now."""
        settings = self.settings
        found = [
            Candidate(m.record.entry_id, m.record.client_address, m.record.zone, m.record.region)
            for m in self._roster.live(clock.monotonic_ms())
            if m.record.ready and not m.record.leaving
        ]
        if self._own_serves():
            address = settings.client_address
            found.append(Candidate(settings.entry_id, address, settings.zone, settings.region))
        return found

    def resolve(self, zone: str, region: str) -> Named:
        """Return the entries for a client.

        :param zone: the client's availability zone.
        :param region: the client's region.
        """
        return Named(choose(self.candidates(), zone, region), self.validity_ms)
