"""Checks of planned work: no request is cut off, and retries keep to their budget."""

from __future__ import annotations

import collections
import dataclasses
import math

from soak import fleet, platform_client, platform_server

LOSS_SLACK_MS = 200


@dataclasses.dataclass(slots=True)
class Window:
    """The window of a service in which its retries exceeded the budget most, or used it most."""

    service: str
    until_ms: int
    retries: int
    allowed: float


def fullest_window(
    service: str,
    arrivals: list[platform_server.Arrival],
    attempts: list[platform_client.Attempt],
) -> Window:
    """Return the window in which a service got most retries beyond, or closest to, the budget.

    :param service: the service.
    :param arrivals: all arrivals at its servers.
    :param attempts: all attempts of clients.
    """
    window_ms = int(1_000 * fleet.RETRY_WINDOW_S)
    seen: set[str] = set()
    retries_ms: list[int] = []
    for arrival in sorted(arrivals, key=lambda a: a.at_ms):
        if arrival.request_id in seen:
            retries_ms.append(arrival.at_ms)
        seen.add(arrival.request_id)
    sent_ms = sorted(a.sent_ms for a in attempts if a.service == service)
    fullest = Window(service, 0, 0, math.inf)
    recent: collections.deque[int] = collections.deque()
    for at_ms in retries_ms:
        recent.append(at_ms)
        while recent[0] <= at_ms - window_ms:
            recent.popleft()
        starts_ms = (at_ms - window_ms, at_ms - 2 * window_ms, at_ms - window_ms * 3 // 2)
        requests = max(sum(s < t <= s + window_ms for t in sent_ms) for s in starts_ms)
        allowed = fleet.RETRY_RATIO * requests + fleet.RETRY_SLACK
        if len(recent) - allowed > fullest.retries - fullest.allowed:
            fullest = Window(service, at_ms, len(recent), allowed)
    return fullest


def cut_attempts(
    arrivals: list[platform_server.Arrival], attempts: list[platform_client.Attempt]
) -> list[platform_client.Attempt]:
    """Return the attempts whose connection ended without a whole answer, read by an entry.

    An attempt counts if a server got it, or if its connection ended more than
    :data:`LOSS_SLACK_MS` after its last byte was sent. One that was sent behind another on its
    connection counts only if a server got it.

    :param arrivals: all arrivals at servers.
    :param attempts: all attempts of clients.
    """
    arrived = {a.request_id for a in arrivals}
    return [
        a
        for a in attempts
        if a.end is platform_client.End.CUT
        and (
            a.request_id in arrived or (a.position == 0 and a.ended_ms - a.sent_ms > LOSS_SLACK_MS)
        )
    ]
