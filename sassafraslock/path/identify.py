"""Stage between route and placement: finds the workspace of a request by its key."""

from __future__ import annotations

import typing

from sassafraslock import errors, routing_table, workspaces
from sassafraslock.path import read

KEY_UNKNOWN = errors.Refusal(
    errors.ErrorKind.KEY_UNKNOWN,
    "the request has no key of a workspace; send one that the operator has issued",
)
KEY_TOO_NEW = errors.Refusal(
    errors.ErrorKind.KEY_UNPROVEN,
    "the key is unknown here, but this entry's copy of the intents may be old; retry at another"
    " entry",
)
UNPROVEN = errors.Refusal(
    errors.ErrorKind.KEY_UNPROVEN,
    "this entry cannot prove that its copy of the intents is recent, and keys may have been taken"
    " away since; retry at another entry",
)
REGION_FORBIDDEN = errors.Refusal(
    errors.ErrorKind.REGION_FORBIDDEN,
    "the route and the workspace allow no common region; change the allowed regions of either",
)


class KeyProof(typing.Protocol):
    """Proof that this entry's copy of the intents is recent enough to decide on keys."""

    def may_accept(self, now_ms: int) -> bool:
        """Return whether a request with a known key may run.

        :param now_ms: the current monotonic time.
        """

    def may_deny(self, now_ms: int) -> bool:
        """Return whether an unknown key may be denied for good.

        :param now_ms: the current monotonic time.
        """


class Unbounded:
    """The proof where no bound is set: the copy of the intents counts as recent."""

    __slots__ = ()

    def may_accept(self, now_ms: int) -> bool:
        """Return true.

        :param now_ms: the current monotonic time.
        """
        return True

    def may_deny(self, now_ms: int) -> bool:
        """Return true.

        :param now_ms: the current monotonic time.
        """
        return True


def identify(
    incoming: read.IncomingRequest,
    route: routing_table.Route,
    table: routing_table.RoutingTable,
    proof: KeyProof,
    now_ms: int,
) -> workspaces.Workspace | errors.Refusal | None:
    """Return the workspace of a request, none if the request needs none, or a refusal.

    :param incoming: the parsed request.
    :param route: the request's route.
    :param table: the intents in force.
    :param proof: whether these are recent enough.
    :param now_ms: the current monotonic time.
    """
    if table.workspaces is None or not table.requires_key(route):
        return None
    workspace = table.workspaces.find(incoming.credential)
    if workspace is None:
        return KEY_UNKNOWN if proof.may_deny(now_ms) else KEY_TOO_NEW
    if not proof.may_accept(now_ms):
        return UNPROVEN
    if workspaces.allowed_regions(route.regions, workspace) is None:
        return REGION_FORBIDDEN
    return workspace
