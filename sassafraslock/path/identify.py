"""Stage between route and placement: finds the workspace of a request by its key."""

from __future__ import annotations

import typing

from sassafraslock import errors, routing_table, workspaces
from sassafraslock.path import read

KEY_UNKNOWN = errors.Refusal(
    errors.ErrorKind.KEY_UNKNOWN,
    "the request has no key of a workspace; send one that the operator has issued",
)
KEY_TOO_NEW = (
    "the key is unknown here, but this entry's copy of the intents may be old; retry at another"
    " entry"
)
UNPROVEN = (
    "this entry cannot prove that its copy of the intents is recent, and keys may have been taken"
    " away since; retry at another entry"
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

    def retry_after_ms(self, now_ms: int) -> int:
        """Return the time after which a newer proof is expected.

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

    def retry_after_ms(self, now_ms: int) -> int:
        """Return 0, since nothing is refused for the want of a proof.

        :param now_ms: the current monotonic time.
        """
        return 0


def unproven(proof: KeyProof, now_ms: int, reason: str = UNPROVEN) -> errors.Refusal:
    """Return the refusal of a request whose key cannot be judged now.

    :param proof: the proof that is missing.
    :param now_ms: the current monotonic time.
    :param reason: what cannot be judged.
    """
    return errors.Refusal(errors.ErrorKind.KEY_UNPROVEN, reason, proof.retry_after_ms(now_ms))


def serves_any(table: routing_table.RoutingTable | None, proof: KeyProof, now_ms: int) -> bool:
    """Return whether the requests of any route may run, by the proof of the keys that they need.

    :param table: the intents in force.
    :param proof: whether these are recent enough.
    :param now_ms: the current monotonic time.
    """
    if table is None:
        return False
    return table.serves_without_key or proof.may_accept(now_ms)


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
        if proof.may_deny(now_ms):
            return KEY_UNKNOWN
        return unproven(proof, now_ms, KEY_TOO_NEW)
    if not proof.may_accept(now_ms):
        return unproven(proof, now_ms)
    if workspaces.allowed_regions(route.regions, workspace) is None:
        return REGION_FORBIDDEN
    return workspace
