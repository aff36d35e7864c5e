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
class Routed:
    """A request with its route and service, and the revision that says so."""

    incoming: read.Incoming
    route: routing_table.Route
    service: routing_table.Service
    revision: int


def route(
    incoming: read.Incoming, table: routing_table.RoutingTable | None, splitter: split.Splitter
) -> Routed | errors.Refusal:
    """Return a request's route and service.

    :param incoming: the request.
    :param table: the intents in force, none before the first ones were read.
    :param splitter: divides routes between services.
    """
    if table is None:
        return _NO_INTENTS
    found = table.match(incoming.host, incoming.request.path)
    if found is None:
        reason = f"no route for host {incoming.host} and path {incoming.request.path}"
        return errors.Refusal(errors.ErrorKind.NOT_FOUND, reason)
    name = splitter.choose(found, incoming.key or incoming.request_id.decode("latin-1"))
    service = table.services.get(name)
    if service is None:
        service = routing_table.Service(name, 1, 0, 1.0)
    return Routed(incoming, found, service, table.version)
