"""The state of one request on its way through the pipeline."""

from __future__ import annotations

import dataclasses
import typing

from sassafraslock import errors, http_messages
from sassafraslock.path import judge, read, route, send


@dataclasses.dataclass(slots=True)
class RequestContext:
    """The state of one request in the pipeline, which is logged when the request ends.

    ``routed`` is none until a route matched, and ``response`` is none if the client closed its
    connection first. ``limited_servers`` counts the servers that the last placement left out
    because of their rate limits. ``refusal`` is set if the response is this entry's own error
    response.
    """

    incoming: read.IncomingRequest
    routed: route.RoutedRequest | None = None
    attempts: list[tuple[send.Attempt, judge.Verdict]] = dataclasses.field(default_factory=list)
    limited_servers: int = 0
    refusal: errors.Refusal | None = None
    response: http_messages.Response | None = None


class RequestObserver(typing.Protocol):
    """Receives each request when it ends."""

    def record(self, context: RequestContext, now_ms: int) -> None:
        """Record one ended request, also one whose client closed its connection.

        :param context: the state of the request.
        :param now_ms: the monotonic time at which it ended.
        """
