"""The operator's routing intents: routes, services and limits of one version."""

from __future__ import annotations

import dataclasses

DEFAULT_HEADER_BYTES = 16 << 10
DEFAULT_BODY_BYTES = 64 << 20


@dataclasses.dataclass(slots=True, frozen=True)
class Destination:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Where requests of one host and path prefix go, and under which terms.

    An empty ``host`` stands for any. ``idempotent`` holds for all requests of the route;
    ``idempotent_requests`` names some by ``METHOD /path*``. ``priority`` 0 is served first.
    ``regions`` are those in which the requests may run; empty means any. ``sticky`` says that
    servers work faster on objects which they handled before. ``strip_prefix`` leaves the prefix
    out of what servers get, but for its last slash. ``default_timeout_ms`` holds for requests
    that name no time limit, 0 for ``timeout_ms``.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: int
    target_latency_ms: int
    priority: int
    max_attempts: int
    destinations: tuple[Destination, ...]
    sticky: bool = False
    regions: frozenset[str] = frozenset()
    idempotent_requests: tuple[str, ...] = ()
    strip_prefix: bool = False
    default_timeout_ms: int = 0

    def is_idempotent(self, method: str, path: str) -> bool:
        """Tell whether a request may run more than once.

        :param method: the HTTP method.
        :param path: the path without its query.
        """
        if self.idempotent or not self.idempotent_requests:
            return self.idempotent
        return any(_matches(p, method, path) for p in self.idempotent_requests)

    def upstream_target(self, target: str) -> str:
        """Return the path and query that servers get.

        :param target: the path and query as the client sent them.
        """
        return target[len(self.prefix) - 1 :] if self.strip_prefix else target


def _matches(pattern: str, method: str, path: str) -> bool:
    wanted, _, start = pattern.partition(" ")
    if wanted != method:
        return False
    return path.startswith(start[:-1]) if start.endswith("*") else path == start


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """What all servers of one service have in common.

    ``cold_per_s`` is the rate that a cold server tolerates, ``cold_start_ms`` how long a server
    stays cold after its start. ``splits`` gives, by the region of an entry, the share of each
    region that the operator wants; ``shift_cap_ratio`` bounds what moves within
    ``shift_window_ms``. ``max_body_bytes`` 0 leaves the bound to the limits.
    """

    name: str
    max_connections: int
    cold_start_ms: int
    cold_per_s: float
    health_path: str = "/health"
    splits: dict[str, dict[str, float]] = dataclasses.field(default_factory=dict)
    shift_cap_ratio: float = 0.15
    shift_window_ms: int = 2_000
    max_body_bytes: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """What a client may send, and how slowly."""

    max_header_bytes: int = DEFAULT_HEADER_BYTES
    max_body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000


@dataclasses.dataclass(slots=True, frozen=True)
class Link:
    """What the link between two regions carries in each direction."""

    regions: tuple[str, str]
    bytes_per_s: int


@dataclasses.dataclass(slots=True, frozen=True)
class Intents:
    """One version of what the operator wants; versions rise."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = dataclasses.field(default_factory=Limits)
    links: tuple[Link, ...] = ()


class RoutingTable:
    """One version of the intents, indexed by host and path prefix."""

    __slots__ = ("version", "services", "limits", "links", "routes", "_prefixes")

    def __init__(self, intents: Intents) -> None:
        self.version = intents.version
        self.routes = intents.routes
        self.services = {service.name: service for service in intents.services}
        self.limits = intents.limits
        self.links = intents.links
        self._prefixes: dict[str, dict[str, Route]] = {}
        for route in intents.routes:
            self._prefixes.setdefault(route.host, {})[route.prefix] = route

    def link_bytes_per_s(self, region: str) -> dict[str, int]:
        """Return the bytes a second that the links of a region carry, by the region at their end.

        :param region: the region.
        """
        own = [link for link in self.links if region in link.regions]
        return {r: link.bytes_per_s for link in own for r in link.regions if r != region}

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, if there is one.

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
