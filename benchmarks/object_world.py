"""Customers with many objects in memory of small servers, for :mod:`benchmarks.objects`."""

from __future__ import annotations

import dataclasses

import msgspec

from sassafraslock import edge_settings, routing_table
from sassafraslock.decisions import cold_start, placement, registry, roster
from sassafraslock.decisions.objects import newcomers
from sassafraslock.services import planner, routing_state

REGIONS = ("north", "south", "west")
ZONES = tuple(f"{region}-{letter}" for region in REGIONS for letter in "ab")


@dataclasses.dataclass(slots=True, frozen=True)
class Flow:
    """Requests of one route.

    :param new_ms: the time of work at a server that does not have the object in memory.
    :param objects: the objects of each zone's clients.
    :param rate_per_s: the mean rate of all requests.
    """

    route: routing_table.Route
    new_ms: float
    objects: int
    rate_per_s: float

    @property
    def service(self) -> str:
        """The name of the service that runs the requests."""
        return self.route.destinations[0].service


@dataclasses.dataclass(slots=True, frozen=True)
class Shape:
    """The size of an installation.

    :param servers: the number of servers by service and region.
    :param slots: how many requests a server runs at once, by service.
    :param kept: the objects that a server keeps in memory, by service.
    :param seconds: the time that is played.
    """

    flows: tuple[Flow, ...]
    servers: dict[str, dict[str, int]]
    slots: dict[str, int]
    kept: dict[str, int]
    entries_per_zone: int
    seconds: int = 36

    @property
    def services(self) -> tuple[routing_table.Service, ...]:
        """The services as the intents have them."""
        return tuple(routing_table.Service(name, 390, 3_000, 5.3) for name in self.servers)


def _flow(
    name: str,
    service: str,
    new_ms: float,
    target_ms: int,
    objects: int,
    rate_per_s: float,
    idempotent: bool = True,
) -> Flow:
    destination = routing_table.Destination(service, 1.0)
    route = routing_table.Route(
        name, "h", "/", idempotent, 8 * target_ms, target_ms, 1, 2, (destination,), sticky=True
    )
    return Flow(route, new_ms, objects, rate_per_s)


def games(scale: float = 0.25) -> Shape:
    """Return the turn-based games: short reads and submits share 181 servers.

    :param scale: the part of the entries, servers, objects and requests that is modelled.
    """
    return _scaled(
        scale,
        (
            _flow("read", "turn-engine", 880.0, 609, 137, 274.0),
            _flow("submit", "turn-engine", 1_160.0, 1_612, 52, 104.0, idempotent=False),
            _flow("download", "pack-depot", 771.0, 1_089, 24, 38.8),
        ),
        {
            "turn-engine": {"north": 82, "south": 18, "west": 81},
            "pack-depot": {"north": 7, "south": 2, "west": 6},
        },
        {"turn-engine": 3, "pack-depot": 3},
        {"turn-engine": 12, "pack-depot": 20},
        15,
    )


def billing(scale: float = 0.25) -> Shape:
    """Return the solar billing: four routes at three services of six slots a server.

    :param scale: the part of the entries, servers, objects and requests that is modelled.
    """
    return _scaled(
        scale,
        (
            _flow("read", "statement-svc", 780.0, 810, 137, 560.0),
            _flow("payment", "payment-svc", 990.0, 817, 52, 197.0, idempotent=False),
            _flow("tariff", "tariff-credit", 1_900.0, 1_518, 48, 187.0),
            _flow("allocation", "tariff-credit", 610.0, 610, 24, 55.0, idempotent=False),
        ),
        {
            "statement-svc": {"north": 30, "south": 9, "west": 31},
            "payment-svc": {"north": 14, "south": 4, "west": 14},
            "tariff-credit": {"north": 28, "south": 8, "west": 27},
        },
        {"statement-svc": 6, "payment-svc": 6, "tariff-credit": 6},
        {"statement-svc": 20, "payment-svc": 16, "tariff-credit": 12},
        20,
    )


def _scaled(
    scale: float,
    flows: tuple[Flow, ...],
    servers: dict[str, dict[str, int]],
    slots: dict[str, int],
    kept: dict[str, int],
    entries_per_zone: int,
) -> Shape:
    smaller = tuple(
        dataclasses.replace(
            f, objects=max(1, round(f.objects * scale)), rate_per_s=f.rate_per_s * scale
        )
        for f in flows
    )
    counts = {
        service: {region: max(1, round(count * scale)) for region, count in regions.items()}
        for service, regions in servers.items()
    }
    return Shape(smaller, counts, slots, kept, max(2, round(entries_per_zone * scale)))


class Entries:
    """The view that all entries have of each other."""

    def __init__(self) -> None:
        self.regions: dict[str, str] = {}

    def live_ids(self, region: str = "") -> list[str]:
        """Return the ids of the entries.

        :param region: if given, only entries of this region are returned.
        """
        return [i for i, r in self.regions.items() if not region or r == region]

    def known_ids(self, region: str = "") -> list[str]:
        """Return the ids of the entries.

        :param region: if given, only entries of this region are returned.
        """
        return self.live_ids(region)


class Entry:
    """One entry: the real decisions on servers and plans, with its own registry."""

    def __init__(
        self, entry_id: str, zone: str, entries: Entries, shape: Shape, by_demand: bool = True
    ) -> None:
        self.entry_id, self.zone, self.region = entry_id, zone, zone.partition("-")[0]
        entries.regions[entry_id] = self.region
        self.registry = registry.Registry()
        limiter = cold_start.ColdStartLimiter(entry_id, 1.5, 5.0)
        self.placer = placement.Placer(
            self.region, self.registry, entries, limiter, homes_by_demand=by_demand
        )
        self.members = roster.Roster(entry_id)
        state = routing_state.RoutingState(self.registry, self.members)
        state.table = routing_table.RoutingTable(
            routing_table.Intents(1, tuple(f.route for f in shape.flows), shape.services)
        )
        place = edge_settings.EdgeSettings(entry_id, zone, self.region, "h:1", "", "", "h:2")
        self.planner = planner.Planner(place, state, self.placer, self.members)
        self.newcomers = newcomers.Newcomers() if by_demand else None
        self.beat = 0
        self.boot_ms = 1
        self._told: roster.MemberRecord | None = None
        for report in server_reports(shape):
            self.registry.apply_report(report, 0, False, 0)

    def record(self, now_ms: int) -> roster.MemberRecord:
        """Return what this entry tells of itself.

        :param now_ms: the present time.
        """
        self.beat += 1
        demand = self.planner.demand(now_ms)
        return msgspec.structs.replace(self.told, beat=self.beat, demand=demand)

    @property
    def told(self) -> roster.MemberRecord:
        """What this entry tells of itself apart from its demand; its id stands for its address."""
        if self._told is None or self._told.boot_ms != self.boot_ms:
            self._told = roster.MemberRecord(
                self.entry_id, self.boot_ms, 0, self.region, self.zone, self.entry_id, "h", True
            )
        return self._told


def server_reports(shape: Shape) -> list[registry.ServerReport]:
    """Return the rows of all servers, half of each region's in its zone ``a``.

    :param shape: the installation.
    """
    return [
        registry.ServerReport(
            f"{service}-{region}-{number}",
            service,
            f"{service}-{region}:{number}",
            region,
            f"{region}-{'ab'[number % 2]}",
            shape.slots[service],
            registry.ServerState.READY,
        )
        for service, regions in shape.servers.items()
        for region, count in regions.items()
        for number in range(count)
    ]
