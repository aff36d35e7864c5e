"""A request that needs a server, its candidate servers, and the choice of the best one."""

from __future__ import annotations

import dataclasses
import enum

from sassafraslock import errors, routing_table, workspaces
from sassafraslock.decisions import (
    backpressure,
    fair_share,
    object_memory,
    registry,
    route_latency,
)

# Another server must be expected to answer within this share of the home's time, less the margin.
LEAVE_HOME_RATIO = 0.75
LEAVE_HOME_MARGIN_MS = 5.0
SPARE_ROOM_RATIO = 0.67  # share of its slots up to which a server has room for new objects
QUEUE_LIMIT_BY_PRIORITY = (2.5, 2.0, 1.4)  # times the target latency, most urgent first
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 1_000
MAX_SPREAD_RETRY_AFTER_MS = 3_000  # of requests with terms, whose returns are spread
NO_SERVER_RETRY_AFTER_MS = 300


class Selection(enum.Enum):
    """Why a server was selected, as the access log shows it."""

    HOME = "home"
    NEXT_IN_RANK = "next in rank"
    SOONER = "sooner than home"
    OTHER_REGION = "other region"
    JOIN_PROBE = "join probe"
    COLD_LIMIT = "cold limit of the home"
    HOLDER = "has the object in memory"


class Cause(enum.Enum):
    """Which limit a request exceeded that was refused for the queue, as the access log shows it."""

    TIME_LEFT = "time left"
    ROUTE_PRIORITY = "route priority"
    WORKSPACE_PRIORITY = "workspace priority"
    FAIR_SHARE = "fair share"


@dataclasses.dataclass(slots=True)
class LeftOut:
    """How many servers a placement left out for what they ask of this entry.

    :param limited: those that name a rate limit of which this entry has used its part.
    :param paused: those that asked for a pause, or have a slow start after it.
    :param leaving: those that said that they leave, of all regions.
    """

    limited: int = 0
    paused: int = 0
    leaving: int = 0

    @property
    def is_held(self) -> bool:
        """Whether any of the servers may take requests again."""
        return self.limited + self.paused > 0

    def add(self, hold: backpressure.Hold) -> None:
        """Count a usable server that was left out.

        :param hold: why it was.
        """
        if hold is backpressure.Hold.RATE_LIMITED:
            self.limited += 1
        elif hold is backpressure.Hold.PAUSED:
            self.paused += 1


@dataclasses.dataclass(slots=True)
class PlacementRequest:
    """A request that needs a server, with the state of its attempts.

    :param key: the affinity key of the object that the request concerns.
    :param remaining_ms: the time left until the request's deadline.
    :param tried: the ids of the servers that earlier attempts went to.
    :param attempts: how many attempts were sent.
    :param retry_granted: whether the retry budget already granted the next attempt.
    :param shed: whether the last server rejected the request because it was full.
    :param own_region_only: whether the links to other regions have no capacity left for it.
    :param entry_count: how many entries share the servers' connections.
    :param left_out: the servers that the latest placement left out for what they ask.
    :param replacement: the server for the next attempt, chosen when the last attempt was abandoned
        because its server did not answer.
    :param workspace: the workspace of the request, none if it needs no key.
    :param terms: for how long a request of a workspace may queue, none until it is placed.
    :param is_served: whether a server was chosen for the first attempt.
    """

    route: routing_table.Route
    service: routing_table.Service
    key: str
    remaining_ms: int
    idempotent: bool
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    retry_granted: bool = False
    shed: bool = False
    own_region_only: bool = False
    entry_count: int = 1
    left_out: LeftOut = dataclasses.field(default_factory=LeftOut)
    replacement: Choice | None = None
    workspace: workspaces.Workspace | None = None
    terms: fair_share.QueueTerms | None = None
    is_served: bool = False

    @property
    def regions(self) -> frozenset[str]:
        """The regions in which the request may run, empty for any."""
        allowed = workspaces.allowed_regions(self.route.regions, self.workspace)
        assert allowed is not None, "requests without a common region are refused before"
        return allowed

    def allows(self, server: registry.Server) -> bool:
        """Return whether the request may run in a server's region.

        :param server: the server.
        """
        regions = self.regions
        return not regions or server.region in regions

    @property
    def is_sticky(self) -> bool:
        """Whether a server answers faster if it has the request's object in memory."""
        return self.route.sticky and bool(self.key)

    @property
    def object_hash(self) -> int:
        """The hash of the object's key, qualified by its service."""
        return object_memory.hash_object(f"{self.service.name}|{self.key}")


@dataclasses.dataclass(slots=True)
class Choice:
    """A candidate server with the estimates by which candidates are compared.

    :param expected_ms: the expected time to the answer, including ``queue_ms``.
    :param affinity: whether the server is expected to have the object in memory.
    :param load: the requests expected to run or wait at the server.
    :param is_home: whether the server is the object's home.
    :param is_cold: whether the server takes few requests only, for example after its start.
    :param queue_ms: the time that the request is expected to wait for a slot.
    :param selection: why the server was selected, if it was.
    """

    server: registry.Server
    expected_ms: float
    affinity: route_latency.ObjectAffinity
    load: float
    is_home: bool
    is_cold: bool
    queue_ms: float = 0.0
    selection: Selection = Selection.HOME

    @property
    def slots(self) -> int:
        """The concurrency limit of the server, at least 1."""
        return max(1, self.server.report.slots)


@dataclasses.dataclass(slots=True, frozen=True)
class QueueRefusal(errors.Refusal):
    """The refusal of a request that even the best server would answer too late.

    :param choice: the best server.
    :param limit_ms: the expected time up to which the request would have been sent there.
    :param cause: which limit it exceeded.
    :param terms: the terms of a request of a workspace.
    """

    choice: Choice | None = None
    limit_ms: float = 0.0
    cause: Cause = Cause.ROUTE_PRIORITY
    terms: fair_share.QueueTerms | None = None


def best_choice(choices: list[Choice], shed: bool) -> Choice | None:
    """Return the object's home, or a server that should answer sooner.

    A server that has the object in memory needs to be only a little sooner. At any other server
    the request takes several times as long, so that one must have spare room and still be much
    sooner. If no server has spare room, leaving the home costs other requests more time than it
    saves this one, and a busy system would tip into a state in which no object is served at its
    home.

    :param choices: the candidate servers in rendezvous order, so the home first if it is available.
    :param shed: whether a server has just rejected the request because it was full; then only
        servers with spare room are considered.
    :returns: None if no candidate is suitable.
    """
    if not choices:
        return None
    with_room = [c for c in choices if has_room(c)]
    if shed:
        return min(with_room, key=lambda c: c.expected_ms, default=None)
    nearest = _soonest_known(choices)
    other = min(with_room, key=lambda c: c.expected_ms, default=nearest)
    if other.expected_ms < LEAVE_HOME_RATIO * nearest.expected_ms - LEAVE_HOME_MARGIN_MS:
        return other
    return nearest


def _soonest_known(choices: list[Choice]) -> Choice:
    """Return the home, or a server that has the object in memory and should answer sooner."""
    home = choices[0]
    known = [c for c in choices if c.affinity is route_latency.ObjectAffinity.KNOWN]
    soonest = min(known, key=lambda c: c.expected_ms, default=home)
    return soonest if soonest.expected_ms < home.expected_ms - LEAVE_HOME_MARGIN_MS else home


def selection_of(chosen: Choice, first: Choice) -> Selection:
    """Return why a server was chosen among those of its region.

    :param chosen: the chosen server.
    :param first: the first candidate in rendezvous order.
    """
    if chosen is not first:
        return Selection.SOONER
    return Selection.HOME if chosen.is_home else Selection.NEXT_IN_RANK


def has_room(choice: Choice) -> bool:
    """Return whether a server has spare slots for objects that it does not have in memory.

    :param choice: the candidate server.
    """
    return choice.load + 1 <= SPARE_ROOM_RATIO * choice.slots


def is_too_late(choice: Choice, request: PlacementRequest) -> bool:
    """Return whether a request would be answered too late to be queued at a server.

    The limit is the time left, or the route's target latency times a factor that is lower for
    less urgent requests. A request that finds a free slot is never too late: it is sent whatever
    the estimate says, so that its latency corrects a wrong estimate. The terms of a request of a
    workspace put the workspace's priority and its fair share before the route's limit.

    :param choice: the candidate server.
    :param request: the request.
    """
    if _is_held_back(choice, request):
        return True
    if choice.load < choice.server.report.slots:
        return False
    return choice.expected_ms > _latency_limit_ms(request)


def _latency_limit_ms(request: PlacementRequest) -> float:
    factor = request.terms.factor if request.terms is not None else 1.0
    return min(factor * _route_limit_ms(request), request.remaining_ms)


def _route_limit_ms(request: PlacementRequest) -> float:
    index = min(request.route.priority, len(QUEUE_LIMIT_BY_PRIORITY) - 1)
    return QUEUE_LIMIT_BY_PRIORITY[index] * request.route.target_latency_ms


def _spread_wait_ms(chosen: Choice, terms: fair_share.QueueTerms) -> int:
    """Return when a request of a workspace may return: after the queue, in a place of its own.

    The queue is that of the chosen server or the mean of its region, for which the request may have
    been refused although the chosen server is idle.
    """
    run_ms = max(0.0, chosen.expected_ms - chosen.queue_ms)
    mean_queue_ms = terms.queue_ratio(chosen.server.region, chosen.slots) * run_ms
    queue_ms = max(MIN_RETRY_AFTER_MS, chosen.queue_ms, mean_queue_ms)
    return int(min(MAX_SPREAD_RETRY_AFTER_MS, (1.0 + terms.spread) * queue_ms))


def _refusal_cause(choice: Choice, request: PlacementRequest) -> Cause:
    if choice.expected_ms > request.remaining_ms:
        return Cause.TIME_LEFT
    if choice.expected_ms > _route_limit_ms(request):
        return Cause.ROUTE_PRIORITY
    is_held_back = _is_held_back(choice, request)
    if is_held_back and request.terms is not None and request.terms.is_outranked:
        return Cause.WORKSPACE_PRIORITY
    return Cause.FAIR_SHARE


def _is_held_back(choice: Choice, request: PlacementRequest) -> bool:
    """Return whether the queues of a server's region are too long for the workspace's terms."""
    terms = request.terms
    return terms is not None and not terms.allows_region(choice.server.region, choice.slots)


def held_refusal(request: PlacementRequest, waits_ms: list[int]) -> errors.Refusal:
    """Return the refusal of a request since servers want none now, and no other is available.

    Its retry-after time is that until the first server may get a request, however long.

    :param request: the request.
    :param waits_ms: for each server, the time until this entry may send to it.
    """
    wait_ms = max(MIN_RETRY_AFTER_MS, min(waits_ms, default=MAX_RETRY_AFTER_MS))
    limited, paused = request.left_out.limited, request.left_out.paused
    causes = [f"{paused} asked for a pause"] if paused else []
    causes += [f"{limited} name a rate limit that leaves no room"] if limited else []
    reason = (
        f"of the servers of {request.service.name}, {' and '.join(causes)}, and no other one is"
        " available; retry later"
    )
    kind = errors.ErrorKind.SERVER_PAUSED if paused else errors.ErrorKind.SERVER_RATE_LIMIT
    return errors.Refusal(kind, reason, wait_ms)


def no_server_refusal(request: PlacementRequest, usable: int) -> errors.Refusal:
    """Return the refusal of a request for which no server is available.

    :param request: the request.
    :param usable: how many servers of the service may get requests at all.
    """
    service = request.service.name
    reason = f"none of the {usable} servers of {service} is available for the request"
    if request.left_out.leaving:
        reason += f"; {request.left_out.leaving} others leave"
    return errors.Refusal(errors.ErrorKind.NO_SERVER, reason, NO_SERVER_RETRY_AFTER_MS)


def too_late_refusal(chosen: Choice, request: PlacementRequest) -> QueueRefusal:
    """Return the refusal of a request that even the best server would answer too late.

    Its retry-after time, within bounds, is the time that the current queue takes. A client that
    comes back sooner is only refused again, and many clients retry only once. Requests of
    workspaces return spread over as much time again, since those that are refused at one moment
    would otherwise meet in the next queue.

    :param chosen: the best candidate server.
    :param request: the request.
    """
    terms = request.terms
    wait_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, int(chosen.queue_ms)))
    if terms is not None:
        wait_ms = _spread_wait_ms(chosen, terms)
    reason = (
        f"the best server is expected to answer in {chosen.expected_ms:.0f} ms;"
        f" the request has {request.remaining_ms} ms left"
    )
    if terms is not None and _is_held_back(chosen, request):
        first = "more urgent workspaces go" if terms.is_outranked else "others' fair shares go"
        reason = f"servers are full, and {first} first; retry later"
    limit_ms, cause = _latency_limit_ms(request), _refusal_cause(chosen, request)
    kind = errors.ErrorKind.NO_CAPACITY
    return QueueRefusal(kind, reason, wait_ms, chosen, limit_ms, cause, terms)
