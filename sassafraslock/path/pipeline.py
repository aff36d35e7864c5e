"""The pipeline of stages that handles each request, including its retries at other servers."""

from __future__ import annotations

import asyncio
import typing

from sassafraslock import clock, errors, header_names, http_messages
from sassafraslock.decisions import (
    candidates,
    link_rate_limit,
    placement,
    route_latency,
    split,
    stop_schedule,
)
from sassafraslock.path import (
    answer,
    attempt_recorder,
    judge,
    read,
    refusals,
    request_context,
    retry_gate,
    route,
    send,
)
from sassafraslock.services import backpressure_watch, claims, poison_watch, routing_state

SOFT_TIMEOUT_RATIO = 2.0  # of the attempt's expected time
SOFT_TIMEOUT_TARGET_RATIO = 1.2  # of the route's target latency; the greater time applies
MIN_REMAINING_MS = 20  # with less time left, no attempt is made
MAX_SERVERS_TRIED = 5  # includes unreachable servers, which do not count as attempts


class RequestPipeline:
    """Passes each request through the stages, and retries at other servers if that is allowed.

    All methods run on one event loop, and each change of state is complete before an await.
    ``record_demand`` is called for each request before its first attempt, with the service, the
    milliseconds for which the request is expected to keep a server busy, and the monotonic time.
    While ``closed``, all new requests are refused; in a stop, also those that its ``schedule`` does
    not accept.
    """

    __slots__ = (
        "record_demand",
        "in_flight",
        "schedule",
        "closed",
        "_tasks",
        "_is_stopped",
        "placer",
        "splitter",
        "retries",
        "_routing_state",
        "_sender",
        "_names",
        "_observer",
        "_poison",
        "_entry_count",
        "_region_entry_count",
        "links",
        "_claims",
        "recorder",
    )

    def __init__(
        self,
        state: routing_state.RoutingState,
        placer: placement.Placer,
        retries: retry_gate.RetryGate,
        sender: send.Sender,
        names: header_names.HeaderNames,
        observer: request_context.RequestObserver,
        poison: poison_watch.PoisonWatch,
        watch: backpressure_watch.BackpressureWatch,
        entry_count: typing.Callable[[], int],
        region_entry_count: typing.Callable[[], int],
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
        self.placer = placer
        self.splitter = split.Splitter()
        self.retries = retries
        self.recorder = attempt_recorder.AttemptRecorder(placer, names, poison, watch)
        self._routing_state = state
        self._sender = sender
        self._names = names
        self._observer = observer
        self._poison = poison
        self._entry_count = entry_count
        self._region_entry_count = region_entry_count
        self.links = link_rate_limit.LinkRateLimiter()
        self._claims = claims_service

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
        routed = route.route(context.incoming, self._routing_state.table, self.splitter)
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

    def _may_accept(self, routed: route.RoutedRequest, now_ms: int) -> bool:
        """Return whether a request may be accepted, which a stop limits."""
        if self.schedule is None:
            return True
        return self.schedule.may_accept(routed.remaining_ms(now_ms), now_ms)

    async def _serve(
        self, context: request_context.RequestContext, routed: route.RoutedRequest
    ) -> http_messages.Response | errors.Refusal:
        now_ms = clock.monotonic_ms()
        if self._is_poison(routed, now_ms):
            return refusals.QUARANTINED
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
        placement_request.entry_count = self._entry_count()
        return await self._attempt_until_answered(context, routed, placement_request)

    async def _attempt_until_answered(
        self,
        context: request_context.RequestContext,
        routed: route.RoutedRequest,
        placement_request: candidates.PlacementRequest,
    ) -> http_messages.Response | errors.Refusal:
        while True:
            now_ms = clock.monotonic_ms()
            placement_request.remaining_ms = routed.remaining_ms(now_ms)
            if placement_request.remaining_ms < MIN_REMAINING_MS:
                return refusals.deadline_refusal(context)
            if context.attempts and self._is_poison(routed, now_ms):
                return refusals.final_refusal(context, refusals.QUARANTINED)
            choice = placement_request.replacement or self.placer.place(placement_request, now_ms)
            placement_request.replacement = None
            context.left_out = placement_request.left_out
            if isinstance(choice, errors.Refusal):
                return refusals.final_refusal(context, choice)
            if not self._acquire_link_tokens(routed, choice, now_ms):
                if placement_request.own_region_only:
                    return refusals.final_refusal(context, refusals.link_refusal(choice))
                placement_request.own_region_only = True
                continue
            if (
                placement_request.attempts
                and not placement_request.retry_granted
                and not self._acquire_retry(placement_request, now_ms)
            ):
                return refusals.final_refusal(context, refusals.budget_refusal())
            placement_request.retry_granted = False
            placement_request.attempts += 1
            placement_request.tried.add(choice.server.server_id)
            attempt, verdict = await self._make_attempt(routed, placement_request, choice)
            context.attempts.append((attempt, verdict))
            if verdict is judge.Verdict.NOT_SENT:
                placement_request.attempts -= 1
            placement_request.shed = verdict is judge.Verdict.NOT_RUN
            response = attempt.exchange.response if attempt.exchange else None
            if verdict is judge.Verdict.ANSWERED and response is not None:
                return refusals.checked_response(routed, response)
            if not self._may_retry(routed, placement_request, attempt, verdict):
                if verdict is judge.Verdict.FAILED and response is not None:
                    return refusals.checked_response(routed, response)
                refusal = self.placer.paused_refusal(placement_request, clock.monotonic_ms())
                return refusals.final_refusal(context, refusal)

    def _is_poison(self, routed: route.RoutedRequest, now_ms: int) -> bool:
        known = self._poison.quarantine
        return known.size > 0 and known.is_quarantined(attempt_recorder.identify(routed), now_ms)

    def _is_suspected(self, routed: route.RoutedRequest) -> bool:
        known = self._poison.quarantine
        return known.size > 0 and known.is_suspected(attempt_recorder.identify(routed))

    def _acquire_link_tokens(
        self, routed: route.RoutedRequest, choice: candidates.Choice, now_ms: int
    ) -> bool:
        """Take the tokens for the link to the server's region, if the server is in another one."""
        region = choice.server.region
        if region == self.placer.region or not self.links.limits:
            return True
        expected = int(self.recorder.mean_answer_bytes(routed.route))
        request_bytes = len(routed.incoming.request.body) + attempt_recorder.ESTIMATED_HEAD_BYTES
        return self.links.try_acquire(
            region, request_bytes, expected, self._region_entry_count(), now_ms
        )

    def _acquire_retry(self, placement_request: candidates.PlacementRequest, now_ms: int) -> bool:
        return self.retries.try_acquire(placement_request.service.name, now_ms)

    def _may_retry(
        self,
        routed: route.RoutedRequest,
        placement_request: candidates.PlacementRequest,
        attempt: send.Attempt,
        verdict: judge.Verdict,
    ) -> bool:
        if (
            placement_request.attempts >= max(1, routed.route.max_attempts)
            or len(placement_request.tried) >= MAX_SERVERS_TRIED
        ):
            return False
        if verdict.certainly_not_run:
            return True
        if verdict is judge.Verdict.SILENT and not attempt.abandoned:
            return False
        return routed.idempotent and not (
            verdict is judge.Verdict.BROKEN and self._is_suspected(routed)
        )

    async def _make_attempt(
        self,
        routed: route.RoutedRequest,
        placement_request: candidates.PlacementRequest,
        choice: candidates.Choice,
    ) -> tuple[send.Attempt, judge.Verdict]:
        health = self.placer.health_of(choice.server)
        soft_timeout_ms = 0
        if routed.idempotent and placement_request.attempts < routed.route.max_attempts:
            target_ms = SOFT_TIMEOUT_TARGET_RATIO * routed.route.target_latency_ms
            soft_timeout_ms = int(max(SOFT_TIMEOUT_RATIO * choice.expected_ms, target_ms))
        attempt = await self._sender.send(
            routed,
            choice,
            health,
            soft_timeout_ms,
            lambda: self._reserve_replacement(placement_request),
        )
        verdict = judge.judge(attempt, self._names)
        self.recorder.record(routed, placement_request, attempt, verdict, health)
        return attempt, verdict

    def _reserve_replacement(self, placement_request: candidates.PlacementRequest) -> bool:
        """Reserve another server and its retry, to replace one that passed the soft timeout.

        An entry that is leaving reserves none, so that it abandons no attempt that may be running.

        :returns: whether the current attempt is to be abandoned.
        """
        if self.schedule is not None:
            return False
        now_ms = clock.monotonic_ms()
        choice = self.placer.place(placement_request, now_ms)
        if (
            isinstance(choice, errors.Refusal)
            or choice.expected_ms > placement_request.remaining_ms / 2
        ):
            return False
        placement_request.retry_granted = self._acquire_retry(placement_request, now_ms)
        placement_request.replacement = choice if placement_request.retry_granted else None
        return placement_request.retry_granted
