"""The operator's routing configuration (intents), and its index by host and path prefix."""

from __future__ import annotations

import dataclasses

import msgspec

from sassafraslock import field_types, workspaces

DEFAULT_HEADER_BYTES = 16 << 10
DEFAULT_BODY_BYTES = 64 << 20


@dataclasses.dataclass(slots=True, frozen=True)
class Destination:
    """A service that gets a share of a route's requests, in proportion to its weight."""

    service: field_types.Name
    weight: field_types.Quantity


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """The services for the requests of one host and path prefix, and the rules for these requests.

    An empty ``host`` matches any host. ``idempotent`` marks all requests of the route as
    idempotent; ``idempotent_requests`` marks those that match a pattern ``METHOD /path*``.
    Requests of ``priority`` 0 are served first. The requests may run in ``regions`` only; empty
    means in any. ``sticky`` means that a server answers faster for an object that it has handled
    before. With ``strip_prefix``, servers get the path without the prefix but with its last
    slash. A request may take until its own deadline, but no longer than ``timeout_ms``; without
    a deadline it may take ``default_timeout_ms``, where 0 means ``timeout_ms``. Requests of a
    ``public`` route need no key; it is unset in intents without workspaces.
    """

    name: field_types.Name
    host: field_types.Name
    prefix: field_types.Text
    idempotent: bool
    timeout_ms: field_types.DurationMs
    target_latency_ms: field_types.DurationMs
    priority: field_types.Number
    max_attempts: field_types.Count
    destinations: tuple[Destination, ...]
    sticky: bool = False
    regions: frozenset[field_types.Name] = frozenset()
    idempotent_requests: tuple[str, ...] = ()
    strip_prefix: bool = False
    default_timeout_ms: field_types.DurationMs = 0
    public: bool | msgspec.UnsetType = msgspec.UNSET

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a request may safely run more than once, so that it may be retried.

        :param method: the HTTP method.
        :param path: the path that servers get, without its query.
        """
        if self.idempotent or not self.idempotent_requests:
            return self.idempotent
        return any(_matches(pattern, method, path) for pattern in self.idempotent_requests)

    def upstream_target(self, target: str) -> str:
        """Return the path and query for the server, without the prefix if it is stripped.

        :param target: the path and query as the client sent them.
        """
        return target[len(self.prefix) - 1 :] if self.strip_prefix else target


def _matches(pattern: str, method: str, path: str) -> bool:
    expected_method, _, expected_path = pattern.partition(" ")
    if expected_method != method:
        return False
    return (
        path.startswith(expected_path[:-1])
        if expected_path.endswith("*")
        else path == expected_path
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """The settings that all servers of one service have in common.

    A server takes at most ``max_connections`` connections from all entries together. It is cold
    for ``cold_start_ms`` after its start, and then takes ``cold_per_s`` requests a second.
    ``splits`` maps the region of an entry to the share of its requests that the operator assigns
    to each region; at most ``shift_cap_ratio`` of the requests moves to other regions within
    ``shift_window_ms``. ``max_body_bytes`` 0 means that only the limit of :class:`Limits`
    applies.
    """

    name: field_types.Name
    max_connections: field_types.Count
    cold_start_ms: field_types.DurationMs
    cold_per_s: field_types.Quantity
    health_path: field_types.Path = "/health"
    splits: dict[field_types.Name, dict[field_types.Name, field_types.Quantity]] = (
        dataclasses.field(default_factory=dict)
    )
    shift_cap_ratio: field_types.Quantity = 0.15
    shift_window_ms: field_types.DurationMs = 2_000
    max_body_bytes: field_types.Bytes = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits on the size and the duration of what a client sends.

    ``header_timeout_ms`` is the longest time for the whole header of a request and
    ``idle_timeout_ms`` the longest time without progress on a connection.
    """

    max_header_bytes: field_types.Bytes = DEFAULT_HEADER_BYTES
    max_body_bytes: field_types.Bytes = DEFAULT_BODY_BYTES
    header_timeout_ms: field_types.DurationMs = 10_000
    idle_timeout_ms: field_types.DurationMs = 60_000


@dataclasses.dataclass(slots=True, frozen=True)
class Link:
    """The capacity of the link between two regions, in each direction."""

    regions: tuple[field_types.Name, field_types.Name]
    bytes_per_s: field_types.Bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Intents:
    """One version of the operator's routing configuration; a newer one has a higher number.

    If ``workspaces`` is set, requests need a key of one of them, except on public routes.
    ``faults`` tells of the parts of the configuration that could not be used. Both are left out of
    messages between entries where they are unset.
    """

    version: field_types.Version
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = dataclasses.field(default_factory=Limits)
    links: tuple[Link, ...] = ()
    workspaces: tuple[workspaces.Workspace, ...] | msgspec.UnsetType = msgspec.UNSET
    faults: tuple[field_types.Text, ...] | msgspec.UnsetType = msgspec.UNSET


class RoutingTable:
    """One version of the routing configuration, indexed by host and path prefix.

    ``serves_without_key`` is whether any route needs no key, or there are no routes.
    """

    __slots__ = (
        "version",
        "services",
        "limits",
        "links",
        "routes",
        "workspaces",
        "serves_without_key",
        "_prefixes",
    )

    def __init__(self, intents: Intents) -> None:
        self.version = intents.version
        self.routes = intents.routes
        self.services = {service.name: service for service in intents.services}
        self.limits = intents.limits
        self.links = intents.links
        self.workspaces: workspaces.WorkspaceIndex | None = None
        if intents.workspaces is not msgspec.UNSET:
            self.workspaces = workspaces.WorkspaceIndex(intents.workspaces)
        keyless = (not self.requires_key(route) for route in intents.routes)
        self.serves_without_key = not intents.routes or any(keyless)
        self._prefixes: dict[str, dict[str, Route]] = {}
        for route in intents.routes:
            self._prefixes.setdefault(route.host, {})[route.prefix] = route

    def requires_key(self, route: Route) -> bool:
        """Return whether the requests of a route need the key of a workspace.

        :param route: the route.
        """
        return self.workspaces is not None and route.public is not True

    def allowed_regions(self, route: Route) -> set[frozenset[str]]:
        """Return the sets of regions in which requests of a route may run, by their workspaces.

        :param route: the route.
        """
        known = self.workspaces.workspaces if self.workspaces is not None else ()
        sets = {workspaces.allowed_regions(route.regions, workspace) for workspace in known}
        return {route.regions, *(regions for regions in sets if regions is not None)}

    def link_bytes_per_s(self, region: str) -> dict[str, int]:
        """Return the capacity of each link of a region, in bytes per second.

        :param region: the region at one end of the links.
        :returns: the capacities by the region at the other end.
        """
        links = [link for link in self.links if region in link.regions]
        return {r: link.bytes_per_s for link in links for r in link.regions if r != region}

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or none if no route matches.

        Routes for any host are considered only if no route names the request's host.

        :param host: the request's host, without a port.
        :param path: the request's path, without its query.
        """
        prefixes = self._prefixes.get(host) or self._prefixes.get("")
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
