"""Shared settings of all entries: services, servers, limits and shifts, a subtree per team."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from sassafraslock import field_types, settings, settings_check, workspace_settings

SYSTEM_TEAM = "system"
SPLIT_TOLERANCE = 1e-6

Ratio = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Bytes = typing.Annotated[int, msgspec.Meta(ge=1, le=1 << 40)]
Split = dict[str, float]
ServerState = typing.Literal["active", "draining"]


@dataclasses.dataclass(slots=True)
class Server:
    """A backend server and its limits.

    It runs at most ``slots`` requests at once, and accepts at most ``connections`` connections
    from all entries together.
    """

    region: settings.Name
    zone: settings.Name
    host: str
    port: settings.Port
    slots: Count = 3
    connections: Count = 330
    state: ServerState = "active"


@dataclasses.dataclass(slots=True)
class Shift:
    """A gradual move of the traffic that enters one region to another split.

    ``started_ms`` is when the operator ordered it, in milliseconds since 1970.
    """

    to: Split
    started_ms: int


@dataclasses.dataclass(slots=True)
class Service:
    """A service: its servers by id, and the rules for its requests.

    ``idempotent_methods`` and ``idempotent_paths``, as ``METHOD /path*``, name the requests that
    may be retried. ``deadline_ms`` applies to requests without a deadline, and
    ``max_deadline_ms`` caps all deadlines. ``split`` maps an entry's region to the share of each
    region. A shift in ``shifts`` replaces the split of its region, but moves at most
    ``shift_cap_ratio`` of the requests within ``shift_window_ms``. Requests of a ``public``
    service need no key of a workspace.
    """

    servers: dict[str, Server]
    idempotent_methods: list[str] = dataclasses.field(
        default_factory=lambda: ["GET", "HEAD", "OPTIONS"]
    )
    idempotent_paths: list[str] = dataclasses.field(default_factory=list)
    deadline_ms: settings.Milliseconds = 5_000
    max_deadline_ms: settings.Milliseconds = 30_000
    max_body_bytes: Bytes = 1 << 20
    max_response_bytes: Bytes = 8 << 20
    target_latency_ms: settings.Milliseconds = 400
    max_attempts: typing.Annotated[int, msgspec.Meta(ge=1, le=10)] = 3
    shift_cap_ratio: typing.Annotated[float, msgspec.Meta(gt=0.0, le=1.0)] = 0.1
    shift_window_ms: settings.Milliseconds = 60_000
    split: dict[str, Split] = dataclasses.field(default_factory=dict)
    shifts: dict[str, Shift] = dataclasses.field(default_factory=dict)
    public: bool = False


@dataclasses.dataclass(slots=True)
class Region:
    """A region's limit of requests in flight on all its servers, and its largest number of entries.

    Each entry may use all slots of a server, so a server must accept as many connections as its
    slots times ``max_entries``.
    """

    max_in_flight: Count
    max_entries: Count = 4


@dataclasses.dataclass(slots=True)
class Link:
    """A link between two regions, with its capacity in each direction."""

    regions: list[settings.Name]
    bytes_per_s: Bytes


@dataclasses.dataclass(slots=True)
class Claims:
    """The settings of claims, the idempotency records of request keys."""

    retention_ms: settings.Milliseconds = 600_000


@dataclasses.dataclass(slots=True)
class TeamSettings:
    """One team's subtree; only the system team may set what is not a service.

    Where there are workspaces, requests of all teams' services need a key of one of them.
    """

    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    regions: dict[str, Region] = dataclasses.field(default_factory=dict)
    links: list[Link] = dataclasses.field(default_factory=list)
    claims: Claims | None = None
    workspaces: dict[str, workspace_settings.Workspace] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class SharedSettings:
    """The subtrees of all teams, merged; services are named ``team/service``."""

    services: dict[str, Service]
    regions: dict[str, Region]
    links: list[Link]
    claims: Claims
    workspaces: dict[str, workspace_settings.Workspace]

    def split_for(self, service: Service, region: str) -> Split:
        """Return the split that applies to traffic entering a region, without shifts.

        By default, requests stay in their region if it has servers of the service, and are
        spread evenly over the regions with servers if not.

        :param service: the service.
        :param region: the entry's region.
        """
        if region in service.split:
            return service.split[region]
        server_regions = sorted({s.region for s in service.servers.values()})
        if region in server_regions or not server_regions:
            return {region: 1.0}
        return {r: 1.0 / len(server_regions) for r in server_regions}


def merge_teams(teams: dict[str, TeamSettings]) -> SharedSettings:
    """Merge the subtrees of all teams; all but services comes from the system team.

    :param teams: the subtrees by team name.
    """
    system = teams.get(SYSTEM_TEAM, TeamSettings())
    services = {
        f"{team}/{name}": service
        for team, subtree in sorted(teams.items())
        for name, service in subtree.services.items()
    }
    claims = system.claims or Claims()
    return SharedSettings(services, system.regions, system.links, claims, system.workspaces)


def load_team(
    team: str, raw: object, system: TeamSettings
) -> TeamSettings | list[settings_check.Problem]:
    """Convert and check one team's subtree.

    :param team: the team's name.
    :param raw: the subtree as plain data.
    :param system: the system team's subtree in force, which defines the regions.
    :returns: the subtree, or every problem found.
    """
    problems: list[settings_check.Problem] = []
    subtree = settings_check.convert(TeamSettings, raw, "", problems)
    if problems:
        return problems
    if team == SYSTEM_TEAM:
        return _check_system(subtree) or subtree
    if subtree.regions or subtree.links or subtree.claims or subtree.workspaces:
        return [
            settings_check.Problem(
                "workspaces" if subtree.workspaces else "regions",
                "may be set by the system team only, like links and claims",
                f"put them at /{SYSTEM_TEAM}",
            )
        ]
    for name, service in subtree.services.items():
        problems += _check_service(f"services.{name}", service, system)
    return problems or subtree


def _check_system(subtree: TeamSettings) -> list[settings_check.Problem]:
    problems = workspace_settings.check(subtree.workspaces, subtree.regions)
    for index, link in enumerate(subtree.links):
        unknown = [r for r in link.regions if r not in subtree.regions]
        if len(link.regions) != 2 or unknown:
            problems.append(
                settings_check.Problem(
                    f"links[{index}].regions",
                    f"{link.regions} are not two known regions",
                    "give two names from the table regions",
                )
            )
    return problems


def _check_service(
    path: str, service: Service, system: TeamSettings
) -> list[settings_check.Problem]:
    problems = []
    for server_id, server in service.servers.items():
        problems += _check_server(f"{path}.servers.{server_id}", server_id, server, system)
    if service.deadline_ms > service.max_deadline_ms:
        problems.append(
            settings_check.Problem(
                f"{path}.deadline_ms",
                f"{service.deadline_ms} is above max_deadline_ms {service.max_deadline_ms}",
                "lower it or raise max_deadline_ms",
            )
        )
    splits = {f"{path}.split.{r}": s for r, s in service.split.items()}
    splits |= {f"{path}.shifts.{r}.to": s.to for r, s in service.shifts.items()}
    server_regions = {s.region for s in service.servers.values()}
    for split_path, split in splits.items():
        problems += _check_split(split_path, split, server_regions)
    return problems


def _check_server(
    path: str, server_id: str, server: Server, system: TeamSettings
) -> list[settings_check.Problem]:
    problems = []
    if not field_types.is_valid(server_id, field_types.ServerId):
        problems.append(
            settings_check.Problem(
                path,
                "is not an id",
                f"use 1 to {field_types.MAX_NAME_CHARS} visible ASCII characters",
            )
        )
    if not field_types.is_valid(f"{server.host}:{server.port}", field_types.Address):
        problems.append(
            settings_check.Problem(
                f"{path}.host", f"{server.host!r} is not an IP address", "give one such as 10.0.0.7"
            )
        )
    region = system.regions.get(server.region)
    if region is None:
        problems.append(
            settings_check.Problem(
                f"{path}.region",
                f"{server.region!r} is not a region",
                f"use one of {', '.join(system.regions)}",
            )
        )
    elif server.slots * region.max_entries > server.connections:
        problems.append(
            settings_check.Problem(
                f"{path}.connections",
                f"{server.connections} is less than {server.slots} slots times the region's"
                f" max_entries {region.max_entries}",
                f"give {server.slots * region.max_entries} or more",
            )
        )
    return problems


def _check_split(path: str, split: Split, server_regions: set[str]) -> list[settings_check.Problem]:
    problems = []
    if abs(sum(split.values()) - 1.0) > SPLIT_TOLERANCE or min(split.values(), default=0) < 0:
        problems.append(
            settings_check.Problem(
                path,
                f"the shares {split} are negative or do not add up to 1",
                "give shares from 0 to 1 that add up to 1",
            )
        )
    for region in sorted(set(split) - server_regions):
        problems.append(
            settings_check.Problem(
                f"{path}.{region}",
                "has no server of the service",
                "add a server there or leave the region out",
            )
        )
    return problems
