"""The state of one request on its way through the pipeline."""

from __future__ import annotations

import dataclasses
import typing

from sassafraslock import errors, http_messages
from sassafraslock.decisions import candidates
from sassafraslock.path import judge, read, route, send


@dataclasses.dataclass(slots=True)
class RequestContext:
    """The state of one request in the pipeline, which is logged when the request ends.

    ``routed`` is none until a route matched, and ``response`` is none if the client closed its
    connection first. ``left_out`` counts the servers that the last placement left out for what they
    ask of this entry. ``refusal`` is set if the response is this entry's own error
    response.
    """

    incoming: read.IncomingRequest
    routed: route.RoutedRequest | None = None
    attempts: list[tuple[send.Attempt, judge.Verdict]] = dataclasses.field(default_factory=list)
    left_out: candidates.LeftOut = dataclasses.field(default_factory=candidates.LeftOut)
    refusal: errors.Refusal | None = None
    response: http_messages.Response | None = None


class RequestObserver(typing.Protocol):
    """Receives each request when it ends."""

    def record(self, context: RequestContext, now_ms: int) -> None:
        """Record one ended request, also one whose client closed its connection.

        :param context: the state of the request.
        :param now_ms: the monotonic time at which it ended.
        """
