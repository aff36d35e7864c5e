"""Applies fair shares and the order of returns to the requests of workspaces.

Requests without a workspace pass unchanged.
"""

from __future__ import annotations

import collections.abc

from sassafraslock import errors, workspaces
from sassafraslock.decisions import candidates, fair_share, hashing, load_view, returning_requests

# A request that returns after a refusal may queue for this much longer than a new one.
RETURN_FACTOR = 1.15


class FairAdmission:
    """Sets the terms of each request's queueing, and records what became of it."""

    __slots__ = ("shares", "returning", "_loads")

    def __init__(self, loads: load_view.LoadView) -> None:
        self._loads = loads
        self.shares = fair_share.FairShare()
        self.returning = returning_requests.ReturningRequests()

    def apply_workspaces(
        self,
        known: collections.abc.Sequence[workspaces.Workspace],
        services: collections.abc.Container[str],
    ) -> None:
        """Take up the workspaces of a new configuration.

        :param known: the workspaces.
        :param services: the names of the services.
        """
        self.shares.apply_workspaces(known, services)

    def begin(self, request: candidates.PlacementRequest, busy_ms: float, now_ms: int) -> None:
        """Set the terms of a request that is about to be placed.

        :param request: the request.
        :param busy_ms: the time for which it is expected to keep a server busy.
        :param now_ms: the current monotonic time.
        """
        workspace, service = request.workspace, request.service.name
        if workspace is None:
            return
        if request.terms is not None and request.is_served:
            request.terms = request.terms.admitted()
            return
        if request.terms is None:
            returns = self.returning.take(workspace.name, request.route.name, request.key, now_ms)
            self.shares.record_request(service, workspace, busy_ms, now_ms)
        else:
            returns = request.terms.returns
        factor = self.shares.latency_limit_factor(service, workspace, now_ms)
        request.terms = fair_share.QueueTerms(
            RETURN_FACTOR * factor if returns else factor,
            self.shares.max_queue_ratio(service, workspace, factor, now_ms),
            self._loads.typical_loads(service, now_ms),
            self.shares.excess(service, workspace, now_ms),
            hashing.fraction(f"{workspace.name}|{request.key}|{now_ms}"),
            returns,
            self.shares.outranked_by(service, workspace, now_ms) > 0,
        )

    def end(
        self,
        request: candidates.PlacementRequest,
        outcome: candidates.Choice | errors.Refusal,
        busy_ms: float,
        now_ms: int,
    ) -> None:
        """Record whether a request got a server.

        :param request: the request.
        :param outcome: its server, or its refusal.
        :param busy_ms: the time for which it is expected to keep a server busy.
        :param now_ms: the current monotonic time.
        """
        workspace, service = request.workspace, request.service.name
        if workspace is None or request.attempts:
            return
        if isinstance(outcome, candidates.Choice):
            if not request.is_served:
                self.shares.record(service, workspace, busy_ms, now_ms)
            request.is_served = True
        elif isinstance(outcome, candidates.QueueRefusal) and outcome.choice is not None:
            wait_ms = outcome.retry_after_ms
            self.returning.record_refusal(
                workspace.name, request.route.name, request.key, wait_ms, now_ms
            )
