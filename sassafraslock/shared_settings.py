"""Shared settings: services, servers, limits and shifts, one subtree for each team."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from sassafraslock import settings, settings_check

SYSTEM_TEAM = "system"
SPLIT_TOLERANCE = 1e-6

Ratio = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Bytes = typing.Annotated[int, msgspec.Meta(ge=1, le=1 << 40)]
Split = dict[str, float]
ServerState = typing.Literal["active", "draining"]


@dataclasses.dataclass(slots=True)
class Server:
    """A backend server and the limits that hold for it."""

    region: settings.Name
    zone: settings.Name
    host: str
    port: settings.Port
    slots: Count = 3
    connections: Count = 330
    state: ServerState = "active"


@dataclasses.dataclass(slots=True)
class Shift:
    """A planned move of the traffic that enters one region to another split."""

    to: Split
    started_ms: int


@dataclasses.dataclass(slots=True)
class Service:
    """A service, the rules for its requests and its servers by id."""

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


@dataclasses.dataclass(slots=True)
class Region:
    """A region's total limit and the most entries that may share it."""

    max_in_flight: Count
    max_entries: Count = 4


@dataclasses.dataclass(slots=True)
class Link:
    """A link between two regions; the limit holds in each direction."""

    regions: list[settings.Name]
    bytes_per_s: Bytes


@dataclasses.dataclass(slots=True)
class Claims:
    """How request keys are claimed."""

    retention_ms: settings.Milliseconds = 600_000


@dataclasses.dataclass(slots=True)
class TeamSettings:
    """One team's subtree; only the system team may set regions, links and claims."""

    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    regions: dict[str, Region] = dataclasses.field(default_factory=dict)
    links: list[Link] = dataclasses.field(default_factory=list)
    claims: Claims | None = None


@dataclasses.dataclass(slots=True)
class SharedSettings:
    """All teams' subtrees merged; services are named ``team/service``."""

    services: dict[str, Service]
    regions: dict[str, Region]
    links: list[Link]
    claims: Claims

    def split_for(self, service: Service, region: str) -> Split:
        """Return the accepted split for traffic that enters a region, shifts left out.

        :param service: the service.
        :param region: the entry's region.
        """
        if region in service.split:
            return service.split[region]
        served = sorted({s.region for s in service.servers.values()})
        if region in served or not served:
            return {region: 1.0}
        return {r: 1.0 / len(served) for r in served}


def merge_teams(teams: dict[str, TeamSettings]) -> SharedSettings:
    """Merge the teams' subtrees.

    :param teams: the subtrees by team name.
    """
    system = teams.get(SYSTEM_TEAM, TeamSettings())
    services = {
        f"{team}/{name}": service
        for team, subtree in sorted(teams.items())
        for name, service in subtree.services.items()
    }
    return SharedSettings(services, system.regions, system.links, system.claims or Claims())


def load_team(
    team: str, raw: object, system: TeamSettings
) -> TeamSettings | list[settings_check.Problem]:
    """Check one team's subtree as a whole.

    :param team: the team's name.
    :param raw: the subtree as plain data.
    :param system: the system team's accepted subtree, for references to regions.
    :returns: the subtree, or every problem found.
    """
    problems: list[settings_check.Problem] = []
    subtree = settings_check.convert(TeamSettings, raw, "", problems)
    if problems:
        return problems
    if team == SYSTEM_TEAM:
        return _check_system(subtree) or subtree
    if subtree.regions or subtree.links or subtree.claims:
        return [
            settings_check.Problem(
                "regions", "belong to the system team", f"put /{SYSTEM_TEAM} instead"
            )
        ]
    for name, service in subtree.services.items():
        problems += _check_service(f"services.{name}", service, system)
    return problems or subtree


def _check_system(subtree: TeamSettings) -> list[settings_check.Problem]:
    problems = []
    for index, link in enumerate(subtree.links):
        unknown = [r for r in link.regions if r not in subtree.regions]
        if len(link.regions) != 2 or unknown:
            problems.append(
                settings_check.Problem(
                    f"links[{index}].regions", "does not name two known regions", "name two regions"
                )
            )
    return problems


def _check_service(
    path: str, service: Service, system: TeamSettings
) -> list[settings_check.Problem]:
    problems = []
    for server_id, server in service.servers.items():
        where = f"{path}.servers.{server_id}"
        region = system.regions.get(server.region)
        if region is None:
            problems.append(
                settings_check.Problem(
                    f"{where}.region",
                    f"{server.region!r} is not a region",
                    f"use one of {', '.join(system.regions)}",
                )
            )
        elif server.slots * region.max_entries > server.connections:
            problems.append(
                settings_check.Problem(
                    f"{where}.connections",
                    "is less than slots times the region's max_entries",
                    f"give {server.slots * region.max_entries} or more",
                )
            )
    if service.deadline_ms > service.max_deadline_ms:
        problems.append(
            settings_check.Problem(
                f"{path}.deadline_ms", "is above max_deadline_ms", "lower it or raise the maximum"
            )
        )
    splits = {f"{path}.split.{r}": s for r, s in service.split.items()}
    splits |= {f"{path}.shifts.{r}.to": s.to for r, s in service.shifts.items()}
    served = {s.region for s in service.servers.values()}
    for where, split in splits.items():
        problems += _check_split(where, split, served)
    return problems


def _check_split(path: str, split: Split, served: set[str]) -> list[settings_check.Problem]:
    problems = []
    if abs(sum(split.values()) - 1.0) > SPLIT_TOLERANCE or min(split.values(), default=0) < 0:
        problems.append(
            settings_check.Problem(path, "does not add up to 1", "give shares from 0 to 1, sum 1")
        )
    for region in sorted(set(split) - served):
        problems.append(
            settings_check.Problem(
                f"{path}.{region}", "has no server of the service", "add a server or drop it"
            )
        )
    return problems
