"""The pipeline of stages that handles each request."""

from __future__ import annotations

import asyncio
import typing

from sassafraslock import clock, errors, header_names, http_messages
from sassafraslock.decisions import candidates, placement, route_latency, split, stop_schedule
from sassafraslock.path import (
    answer,
    forwarder,
    identify,
    quota_gate,
    read,
    refusals,
    request_context,
    retry_gate,
    route,
)
from sassafraslock.services import claims, routing_state


class RequestPipeline:
    """Passes each request through the stages.

    All methods run on one event loop, and each change of state is complete before an await.
    ``record_demand`` is called for each request before its first attempt, with the service, the
    milliseconds for which the request is expected to keep a server busy, and the monotonic time.
    While ``closed``, all new requests are refused; in a stop, also those that its ``schedule`` does
    not accept. ``quotas`` limits the requests of workspaces.
    """

    __slots__ = (
        "record_demand",
        "in_flight",
        "schedule",
        "closed",
        "_tasks",
        "_is_stopped",
        "forwarder",
        "splitter",
        "quotas",
        "_routing_state",
        "_names",
        "_observer",
        "_entry_count",
        "_claims",
    )

    def __init__(
        self,
        state: routing_state.RoutingState,
        request_forwarder: forwarder.Forwarder,
        names: header_names.HeaderNames,
        observer: request_context.RequestObserver,
        entry_count: typing.Callable[[], int],
        claims_service: claims.Claims | None = None,
    ) -> None:
        self.record_demand: typing.Callable[[str, int, int], None] = (
            lambda name, busy_ms, now_ms: None
        )
        self.in_flight = 0
        self.schedule: stop_schedule.StopSchedule | None = None
        self.closed = False
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self._is_stopped = False
        self.forwarder = request_forwarder
        self.splitter = split.Splitter()
        self.quotas: quota_gate.QuotaGate = quota_gate.NoQuotas()
        self._routing_state = state
        self._names = names
        self._observer = observer
        self._entry_count = entry_count
        self._claims = claims_service

    @property
    def placer(self) -> placement.Placer:
        """Chooses the servers of requests."""
        return self.forwarder.placer

    @property
    def retries(self) -> retry_gate.RetryGate:
        """Grants the retries of requests."""
        return self.forwarder.retries

    async def __call__(self, request: http_messages.Request) -> http_messages.Response:
        """Return the response for a request: a server's response, or this entry's refusal.

        :param request: the complete request.
        """
        self.in_flight += 1
        context = request_context.RequestContext(read.read(request, self._names))
        task = asyncio.current_task()
        assert task is not None
        try:
            outcome = await self._handle_until_stopped(context, task)
            if isinstance(outcome, errors.Refusal):
                context.refusal = outcome
                request_id = context.incoming.request_id
                context.response = answer.refusal_response(outcome, request_id, self._names)
            else:
                context.response = answer.forwarded_response(outcome)
            return context.response
        finally:
            self.in_flight -= 1
            self._tasks.discard(task)
            self._observer.record(context, clock.monotonic_ms())

    def begin_leaving(self, schedule: stop_schedule.StopSchedule) -> None:
        """Accept requests by the schedule of a stop from now on, and hedge none.

        :param schedule: the times of the stop.
        """
        self.schedule = schedule
        self.forwarder.may_hedge = False

    def stop(self) -> None:
        """Answer all requests in flight as failed, since the process is about to end."""
        self._is_stopped = True
        for task in self._tasks:
            task.cancel()

    async def _handle_until_stopped(
        self, context: request_context.RequestContext, task: asyncio.Task[typing.Any]
    ) -> http_messages.Response | errors.Refusal:
        self._tasks.add(task)
        try:
            return await self._handle(context)
        except asyncio.CancelledError:
            if not self._is_stopped:
                raise
            task.uncancel()
            return refusals.STOPPED

    def may_run_concurrently(self, request: http_messages.Request) -> bool:
        """Return whether a pipelined request may run while earlier ones are not answered.

        Only idempotent requests may; without intents or a matching route, the answer is false.

        :param request: the complete request.
        """
        table = self._routing_state.table
        if table is None:
            return False
        host = read.read(request, self._names).host
        matched = table.match(host, request.path)
        if matched is None:
            return False
        return matched.is_idempotent(request.method, matched.upstream_target(request.path))

    async def _handle(
        self, context: request_context.RequestContext
    ) -> http_messages.Response | errors.Refusal:
        if self.closed:
            return refusals.ENTRY_LEAVING
        routed = self._route(context.incoming, clock.monotonic_ms())
        if isinstance(routed, errors.Refusal):
            return routed
        context.routed = routed
        if not self._may_accept(routed, clock.monotonic_ms()):
            return refusals.ENTRY_LEAVING
        if self._claims is None or routed.idempotent:
            return await self._serve(context, routed)
        held = await self._claims.acquire(routed)
        if not isinstance(held, claims.HeldClaim):
            return held
        outcome = await self._serve(context, routed)
        self._claims.settle(held, outcome)
        return outcome

    def _route(
        self, incoming: read.IncomingRequest, now_ms: int
    ) -> route.RoutedRequest | errors.Refusal:
        table = self._routing_state.table
        matched = route.match(incoming, table)
        if isinstance(matched, errors.Refusal):
            return matched
        assert table is not None
        workspace = identify.identify(incoming, matched, table, self.forwarder.key_proof, now_ms)
        if isinstance(workspace, errors.Refusal):
            return workspace
        return route.route(incoming, matched, workspace, table, self.splitter)

    def _may_accept(self, routed: route.RoutedRequest, now_ms: int) -> bool:
        """Return whether a request may be accepted, which a stop limits."""
        if self.schedule is None:
            return True
        return self.schedule.may_accept(routed.remaining_ms(now_ms), now_ms)

    async def _serve(
        self, context: request_context.RequestContext, routed: route.RoutedRequest
    ) -> http_messages.Response | errors.Refusal:
        now_ms = clock.monotonic_ms()
        if self.forwarder.is_poison(routed, now_ms):
            return refusals.QUARANTINED
        if routed.workspace is None:
            return await self._place(context, routed)
        refusal = await self.quotas.acquire(routed.workspace, now_ms)
        if refusal is not None:
            return refusal
        outcome = await self._place(context, routed)
        if isinstance(outcome, errors.Refusal) and outcome.properties.not_run:
            self.quotas.give_back(routed.workspace, clock.monotonic_ms())
        return outcome

    async def _place(
        self, context: request_context.RequestContext, routed: route.RoutedRequest
    ) -> http_messages.Response | errors.Refusal:
        now_ms = clock.monotonic_ms()
        self.retries.budget.record_request(routed.service.name, now_ms)
        busy_ms = self.placer.latency_of(routed.route).expected_ms(
            route_latency.ObjectAffinity.KNOWN
        )
        self.record_demand(routed.service.name, int(busy_ms), now_ms)
        key = context.incoming.object_key or context.incoming.request_id.decode("latin-1")
        left_ms = routed.remaining_ms(now_ms)
        placement_request = candidates.PlacementRequest(
            routed.route, routed.service, key, left_ms, routed.idempotent
        )
        placement_request.workspace = routed.workspace
        placement_request.entry_count = self._entry_count()
        return await self.forwarder.forward(context, routed, placement_request)
