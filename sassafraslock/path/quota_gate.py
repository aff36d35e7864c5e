"""The gate that requests pass within the quota of their workspace."""

from __future__ import annotations

import typing

from sassafraslock import errors, workspaces


class QuotaGate(typing.Protocol):
    """Limits the requests of each workspace, summed over all entries."""

    async def acquire(self, workspace: workspaces.Workspace, now_ms: int) -> errors.Refusal | None:
        """Take a token for one request, or return the refusal if there is none.

        :param workspace: the request's workspace.
        :param now_ms: the current monotonic time.
        """

    def give_back(self, workspace: workspaces.Workspace, now_ms: int) -> None:
        """Return the token of a request that certainly did not run and will not.

        :param workspace: the request's workspace.
        :param now_ms: the current monotonic time.
        """


class NoQuotas:
    """The gate where nothing limits workspaces."""

    __slots__ = ()

    async def acquire(self, workspace: workspaces.Workspace, now_ms: int) -> errors.Refusal | None:
        """Let the request through.

        :param workspace: the request's workspace.
        :param now_ms: the current monotonic time.
        """
        return None

    def give_back(self, workspace: workspaces.Workspace, now_ms: int) -> None:
        """Do nothing.

        :param workspace: the request's workspace.
        :param now_ms: the current monotonic time.
        """
