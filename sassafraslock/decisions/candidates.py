"""A request that needs a server, the servers that it may go to, and which of them is best."""

from __future__ import annotations

import dataclasses

from sassafraslock import errors, routing_table
from sassafraslock.decisions import registry, route_latency

LEAVE_HOME_RATIO = 0.75
LEAVE_HOME_MS = 5.0
FREE_RATIO = 0.67
QUEUE_LIMIT_BY_PRIORITY = (2.5, 2.0, 1.4)
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(slots=True)
class PlacementRequest:
    """A request that needs a server.

    ``retry_granted`` says that the retry budget allowed its next attempt, ``shed`` that a server was full,
    ``own_region_only`` that the links carry no more. ``entry_count`` share the servers' connections.
    ``replacement`` is the server for which a silent one was given up.
    """

    route: routing_table.Route
    service: routing_table.Service
    key: str
    left_ms: int
    idempotent: bool
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    retry_granted: bool = False
    shed: bool = False
    own_region_only: bool = False
    entry_count: int = 1
    replacement: Choice | None = None

    @property
    def object_name(self) -> str:
        """The object with its service, as servers keep it."""
        return f"{self.service.name}|{self.key}"


@dataclasses.dataclass(slots=True)
class Choice:
    """The server for a request and what spoke for it.

    ``queue_ms`` is the part of ``expected_ms`` for which the request would wait.
    """

    server: registry.Server
    expected_ms: float
    affinity: route_latency.ObjectAffinity
    load: float
    is_home: bool
    is_cold: bool
    queue_ms: float = 0.0


def best_choice(choices: list[Choice], shed: bool) -> Choice | None:
    """Return the object's home, or a server with room that is expected to be clearly earlier.

    Work at another server than the home takes several times as long. Where no server has room
    to spare, leaving the home would cost the others more than it saves here, and a busy system
    would tip into one in which nothing is at home.

    :param choices: the servers that may get the request, its home first.
    :param shed: whether a server has just turned the request away.
    """
    if not choices:
        return None
    roomy = [c for c in choices if has_room(c)]
    if shed:
        return min(roomy, key=lambda c: c.expected_ms, default=None)
    first = choices[0]
    other = min(roomy, key=lambda c: c.expected_ms, default=first)
    if other.expected_ms < LEAVE_HOME_RATIO * first.expected_ms - LEAVE_HOME_MS:
        return other
    return first


def has_room(choice: Choice) -> bool:
    """Tell whether a server has slots to spare for work that is new to it.

    :param choice: the server.
    """
    return choice.load + 1 <= FREE_RATIO * max(1, choice.server.report.slots)


def is_too_late(choice: Choice, wanted: PlacementRequest) -> bool:
    """Tell whether a request would wait for its answer too long to be worth a place in a queue.

    Without a queue it is tried whatever is expected, so that a wrong guess corrects itself.

    :param choice: the server.
    :param wanted: the request.
    """
    if choice.load < choice.server.report.slots:
        return False
    place = min(wanted.route.priority, len(QUEUE_LIMIT_BY_PRIORITY) - 1)
    limit_ms = QUEUE_LIMIT_BY_PRIORITY[place] * wanted.route.target_latency_ms
    return choice.expected_ms > min(limit_ms, wanted.left_ms)


def too_late_refusal(chosen: Choice, wanted: PlacementRequest) -> errors.Refusal:
    """Return the refusal of a request for which even the best server is too late.

    The client should come back when the present queue is done: sooner it would only be refused
    again, and many clients do not come back twice.

    :param chosen: the best server.
    :param wanted: the request.
    """
    wait_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, int(chosen.queue_ms)))
    reason = (
        f"the best server would answer in {chosen.expected_ms:.0f} ms,"
        f" {wanted.left_ms} ms are left"
    )
    return errors.Refusal(errors.ErrorKind.NO_CAPACITY, reason, wait_ms)
