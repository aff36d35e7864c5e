"""Routes, servers and entries of three regions of different size, for :mod:`benchmarks.regions`."""

from __future__ import annotations

import dataclasses

from sassafraslock import edge_settings, routing_table
from sassafraslock.decisions import cold_start, placement, registry, roster
from sassafraslock.services import planner, routing_state

SLOTS, QUEUE = 3, 9
REGIONS = ("north", "south", "west")


@dataclasses.dataclass(slots=True, frozen=True)
class Flow:
    """Requests of one route from the clients of one region.

    :param objects: the objects of each region's clients.
    :param rate_per_s: the mean rate of a region's requests.
    :param credit: what an answer within the target is worth; a fifth of it where it is late.
    """

    route: routing_table.Route
    new_ms: float
    objects: int
    rate_per_s: float
    credit: float


def _route(
    name: str, service: str, target_ms: int, timeout_ms: int, priority: int
) -> routing_table.Route:
    return routing_table.Route(
        name,
        "h",
        "/",
        True,
        timeout_ms,
        target_ms,
        priority,
        2,
        (routing_table.Destination(service, 1.0),),
        sticky=True,
    )


KNOWN_RATIO = 0.3
_FLOWS = (
    Flow(_route("look-up", "finder", 250, 800, 2), 360.0, 39, 57.0, 1.0),
    Flow(_route("poll", "board", 600, 1_500, 2), 880.0, 24, 20.0, 1.0),
    Flow(_route("manifest", "board", 150, 800, 1), 144.0, 24, 12.0, 2.0),
)
_SERVICES = (
    routing_table.Service("finder", 390, 3_000, 5.3),
    routing_table.Service("board", 390, 3_000, 5.3),
)
_SERVERS = {
    "finder": {"north": 8, "south": 2, "west": 6},
    "board": {"north": 6, "south": 2, "west": 6},
}


@dataclasses.dataclass(slots=True, frozen=True)
class Shape:
    """The size of an installation, and how the demand of its regions changes.

    :param servers: the number of servers by service and region.
    :param kept: the objects that a server keeps in memory, by service.
    :param phases: the start of each region's wave of demand, as a part of its period.
    :param evacuated_s: from when until when the evacuated zone is.
    """

    flows: tuple[Flow, ...]
    services: tuple[routing_table.Service, ...]
    servers: dict[str, dict[str, int]]
    kept: dict[str, int]
    entries_per_region: int
    phases: dict[str, float]
    seconds: int
    evacuated_s: tuple[int, int]


USUAL = Shape(
    _FLOWS,
    _SERVICES,
    _SERVERS,
    {"finder": 32, "board": 43},
    4,
    {"north": 0.3, "south": 0.63, "west": 0.97},
    50,
    (8, 18),
)


class _Entries:
    def __init__(self, ids: dict[str, str]) -> None:
        self._ids = ids

    def live_ids(self, region: str = "") -> list[str]:
        return [i for i, r in self._ids.items() if not region or r == region]

    def known_ids(self, region: str = "") -> list[str]:
        return self.live_ids(region)


class Entry:
    """One entry: the real decisions on servers and plans, with its own registry."""

    def __init__(self, entry_id: str, region: str, ids: dict[str, str], shape: Shape) -> None:
        self.entry_id, self.region = entry_id, region
        self.registry = registry.Registry()
        limiter = cold_start.ColdStartLimiter(entry_id, 1.5, 5.0)
        self.placer = placement.Placer(region, self.registry, _Entries(ids), limiter)
        self.members = roster.Roster(entry_id)
        state = routing_state.RoutingState(self.registry, self.members)
        state.table = routing_table.RoutingTable(
            routing_table.Intents(1, tuple(f.route for f in shape.flows), shape.services)
        )
        place = edge_settings.EdgeSettings(entry_id, f"{region}-a", region, "h:1", "", "", "h:2")
        self.planner = planner.Planner(place, state, self.placer, self.members)
        self.beat = 0
        for report in server_reports(shape):
            self.registry.apply_report(report, 0, False, 0)

    def record(self, now_ms: int) -> roster.MemberRecord:
        """Return what this entry tells of itself.

        :param now_ms: the present time.
        """
        self.beat += 1
        return roster.MemberRecord(
            self.entry_id, 1, self.beat, self.region, f"{self.region}-a", "h", "h", True,
            demand=self.planner.demand(now_ms),
        )  # fmt: skip


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
            SLOTS,
            registry.ServerState.READY,
        )
        for service, regions in shape.servers.items()
        for region, count in regions.items()
        for number in range(count)
    ]
