"""Second stage: selects the route and the service of a request."""

from __future__ import annotations

import dataclasses

from sassafraslock import errors, routing_table, workspaces
from sassafraslock.decisions import split
from sassafraslock.path import read

_NO_INTENTS = errors.Refusal(
    errors.ErrorKind.NOT_READY,
    "this entry has not read the routing intents yet; retry at another entry",
    300,
)


@dataclasses.dataclass(slots=True)
class RoutedRequest:
    """A request with its route and service, and the revision of the intents that chose them.

    ``idempotent`` is whether the request may run more than once, and ``target`` is the request
    target that is sent to the server. ``workspace`` is none if the request needs no key, and
    ``has_workspaces`` is whether the intents hold any, so that servers rely on the header that
    names them.
    """

    incoming: read.IncomingRequest
    route: routing_table.Route
    service: routing_table.Service
    revision: int
    idempotent: bool
    target: str
    workspace: workspaces.Workspace | None = None
    has_workspaces: bool = False

    def remaining_ms(self, now_ms: int) -> int:
        """Return the time until the request's deadline, negative after it.

        The deadline is the client's timeout or the route's default one, at most the route's
        maximum, after the request's first byte was received.

        :param now_ms: the monotonic time.
        """
        route, timeout_ms = self.route, self.incoming.timeout_ms
        timeout_ms = timeout_ms or route.default_timeout_ms or route.timeout_ms
        return self.incoming.request.received_ms + min(timeout_ms, route.timeout_ms) - now_ms


def match(
    incoming: read.IncomingRequest, table: routing_table.RoutingTable | None
) -> routing_table.Route | errors.Refusal:
    """Return the route of a request, or the refusal if there is none.

    :param incoming: the parsed request.
    :param table: the intents in force, none before the first ones are read.
    """
    if table is None:
        return _NO_INTENTS
    matched = table.match(incoming.host, incoming.request.path)
    if matched is None:
        reason = (
            f"no route matches host {incoming.host!r} and path {incoming.request.path!r}; add one"
            " to the intents or correct the request"
        )
        return errors.Refusal(errors.ErrorKind.UNKNOWN_SERVICE, reason)
    return matched


def route(
    incoming: read.IncomingRequest,
    matched: routing_table.Route,
    workspace: workspaces.Workspace | None,
    table: routing_table.RoutingTable,
    splitter: split.Splitter,
) -> RoutedRequest | errors.Refusal:
    """Return a request with its service, or the refusal if the service does not accept it.

    :param incoming: the parsed request.
    :param matched: the request's route.
    :param workspace: the request's workspace, none if it needs no key.
    :param table: the intents in force.
    :param splitter: selects the service of a route whose traffic is split.
    """
    request = incoming.request
    name = splitter.choose(matched, incoming.object_key or incoming.request_id.decode("latin-1"))
    service = table.services.get(name)
    if service is None:
        service = routing_table.Service(name, 1, 0, 1.0)
    if service.max_body_bytes and len(request.body) > service.max_body_bytes:
        reason = (
            f"the body has {len(request.body)} bytes, and service {name} accepts at most"
            f" {service.max_body_bytes}; send less or raise the service's limit"
        )
        return errors.Refusal(errors.ErrorKind.BODY_TOO_LARGE, reason)
    target = matched.upstream_target(request.target)
    idempotent = matched.is_idempotent(request.method, target.partition("?")[0])
    return RoutedRequest(
        incoming,
        matched,
        service,
        table.version,
        idempotent,
        target,
        workspace,
        table.workspaces is not None,
    )
