"""Second stage: the route that a request takes and the service that serves it."""

from __future__ import annotations

import dataclasses

from sassafraslock import errors, routing_table
from sassafraslock.decisions import split
from sassafraslock.path import read

_NO_INTENTS = errors.Refusal(
    errors.ErrorKind.NOT_READY, "this entry has not read the routing intents yet", 300
)


@dataclasses.dataclass(slots=True)
class RoutedRequest:
    """A request with its route and service, and the revision that says so.

    ``idempotent`` tells whether it may run more than once, ``target`` what the server gets.
    """

    incoming: read.IncomingRequest
    route: routing_table.Route
    service: routing_table.Service
    revision: int
    idempotent: bool
    target: str

    def remaining_ms(self, now_ms: int) -> int:
        """Return the time left for the answer.

        :param now_ms: the present time.
        """
        route, limit_ms = self.route, self.incoming.limit_ms
        limit_ms = limit_ms or route.default_timeout_ms or route.timeout_ms
        return self.incoming.request.received_ms + min(limit_ms, route.timeout_ms) - now_ms


def route(
    incoming: read.IncomingRequest,
    table: routing_table.RoutingTable | None,
    splitter: split.Splitter,
) -> RoutedRequest | errors.Refusal:
    """Return a request's route and service.

    :param incoming: the request.
    :param table: the intents in force, none before the first ones were read.
    :param splitter: divides routes between services.
    """
    if table is None:
        return _NO_INTENTS
    request = incoming.request
    found = table.match(incoming.host, request.path)
    if found is None:
        reason = f"no route for host {incoming.host} and path {request.path}"
        return errors.Refusal(errors.ErrorKind.UNKNOWN_SERVICE, reason)
    name = splitter.choose(found, incoming.key or incoming.request_id.decode("latin-1"))
    service = table.services.get(name)
    if service is None:
        service = routing_table.Service(name, 1, 0, 1.0)
    if service.max_body_bytes and len(request.body) > service.max_body_bytes:
        reason = f"the body is larger than {service.max_body_bytes} bytes"
        return errors.Refusal(errors.ErrorKind.BODY_TOO_LARGE, reason)
    target = found.upstream_target(request.target)
    idempotent = found.is_idempotent(request.method, target.partition("?")[0])
    return RoutedRequest(incoming, found, service, table.version, idempotent, target)
