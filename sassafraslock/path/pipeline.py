"""The line of stages that each request passes, with attempts at further servers on the way."""

from __future__ import annotations

import dataclasses
import typing

from sassafraslock import clock, errors, header_names, http_messages
from sassafraslock.decisions import (
    candidates,
    link_rate_limit,
    placement,
    retry_budget,
    route_latency,
    split,
)
from sassafraslock.path import answer, attempt_recorder, judge, read, route, send
from sassafraslock.services import claims, poison_watch, routing_state

PATIENCE_RATIO = 2.0
PATIENCE_TARGET_RATIO = 1.2
MIN_LEFT_MS = 20
MAX_TRIED = 5

_LEAVING = errors.Refusal(errors.ErrorKind.LEAVING, "this entry is about to stop; use another one")


@dataclasses.dataclass(slots=True)
class RequestContext:
    """One request's way, as it is logged when it ends."""

    incoming: read.IncomingRequest
    routed: route.RoutedRequest | None = None
    attempts: list[tuple[send.Attempt, judge.Verdict]] = dataclasses.field(default_factory=list)
    refusal: errors.Refusal | None = None
    response: http_messages.Response | None = None


class AccessLog(typing.Protocol):
    """Writes down how a request's way ended."""

    def record(self, context: RequestContext, now_ms: int) -> None:
        """Write down a request's way.

        :param context: the request with its attempts and its answer, none where its client left.
        :param now_ms: the present time.
        """


class RequestPipeline:
    """Passes requests from stage to stage. State changes between awaits only.

    ``record_demand`` hears of each request, whatever becomes of it, how long it should keep a server
    of its service busy.
    """

    __slots__ = (
        "record_demand",
        "in_flight",
        "leaving",
        "closed",
        "placer",
        "splitter",
        "budget",
        "_routing_state",
        "_sender",
        "_names",
        "_log",
        "_poison",
        "_entries",
        "_neighbours",
        "links",
        "_claims",
        "recorder",
    )

    def __init__(
        self,
        state: routing_state.RoutingState,
        placer: placement.Placer,
        budget: retry_budget.RetryBudget,
        sender: send.Sender,
        names: header_names.HeaderNames,
        log: AccessLog,
        poison: poison_watch.PoisonWatch,
        entries: typing.Callable[[], int],
        neighbours: typing.Callable[[], int],
        keys: claims.Claims | None = None,
    ) -> None:
        self.record_demand: typing.Callable[[str, int, int], None] = (
            lambda name, busy_ms, now_ms: None
        )
        self.in_flight = 0
        self.leaving = False
        self.closed = False
        self.placer = placer
        self.splitter = split.Splitter()
        self.budget = budget
        self.recorder = attempt_recorder.AttemptRecorder(placer, names, poison)
        self._routing_state = state
        self._sender = sender
        self._names = names
        self._log = log
        self._poison = poison
        self._entries = entries
        self._neighbours = neighbours
        self.links = link_rate_limit.LinkRateLimiter()
        self._claims = keys

    async def __call__(self, request: http_messages.Request) -> http_messages.Response:
        """Answer one request of a client.

        :param request: the whole request.
        """
        self.in_flight += 1
        context = RequestContext(read.read(request, self._names))
        try:
            outcome = await self._pass(context)
            if isinstance(outcome, errors.Refusal):
                context.refusal = outcome
                request_id = context.incoming.request_id
                context.response = answer.refusal_response(outcome, request_id, self._names)
            else:
                context.response = answer.forwarded_response(outcome)
            return context.response
        finally:
            self.in_flight -= 1
            self._log.record(context, clock.monotonic_ms())

    def may_run_concurrently(self, request: http_messages.Request) -> bool:
        """Tell whether a request may run before earlier ones of its connection are answered.

        :param request: the request.
        """
        table = self._routing_state.table
        if table is None:
            return False
        host = read.read(request, self._names).host
        found = table.match(host, request.path)
        if found is None:
            return False
        return found.is_idempotent(request.method, found.upstream_target(request.path))

    async def _pass(self, context: RequestContext) -> http_messages.Response | errors.Refusal:
        if self.closed:
            return _LEAVING
        routed = route.route(context.incoming, self._routing_state.table, self.splitter)
        if isinstance(routed, errors.Refusal):
            return routed
        context.routed = routed
        if self._claims is None or routed.idempotent:
            return await self._serve(context, routed)
        held = await self._claims.acquire(routed)
        if not isinstance(held, claims.HeldClaim):
            return held
        outcome = await self._serve(context, routed)
        self._claims.settle(held, outcome)
        return outcome

    async def _serve(
        self, context: RequestContext, routed: route.RoutedRequest
    ) -> http_messages.Response | errors.Refusal:
        now_ms = clock.monotonic_ms()
        if self._is_poison(routed, now_ms):
            reason = "servers crashed while they ran this request"
            return errors.Refusal(errors.ErrorKind.QUARANTINED, reason)
        self.budget.record_request(routed.service.name, now_ms)
        busy_ms = self.placer.latency_of(routed.route).expected_ms(
            route_latency.ObjectAffinity.KNOWN
        )
        self.record_demand(routed.service.name, int(busy_ms), now_ms)
        key = context.incoming.key or context.incoming.request_id.decode("latin-1")
        left_ms = routed.remaining_ms(now_ms)
        wanted = candidates.PlacementRequest(
            routed.route, routed.service, key, left_ms, routed.idempotent
        )
        wanted.entry_count = self._entries()
        return await self._attempt_until_answered(context, routed, wanted)

    async def _attempt_until_answered(
        self,
        context: RequestContext,
        routed: route.RoutedRequest,
        wanted: candidates.PlacementRequest,
    ) -> http_messages.Response | errors.Refusal:
        while True:
            now_ms = clock.monotonic_ms()
            wanted.remaining_ms = routed.remaining_ms(now_ms)
            if wanted.remaining_ms < MIN_LEFT_MS:
                return _out_of_time(context)
            choice = wanted.replacement or self.placer.place(wanted, now_ms)
            wanted.replacement = None
            if isinstance(choice, errors.Refusal):
                return _give_up(context, choice)
            if not self._link_carries(routed, choice, now_ms):
                if wanted.own_region_only:
                    return _give_up(context, _link_refusal(choice))
                wanted.own_region_only = True
                continue
            if (
                wanted.attempts
                and not wanted.retry_granted
                and not self._may_send_again(wanted, now_ms)
            ):
                return _give_up(context, _budget_refusal())
            wanted.retry_granted = False
            wanted.attempts += 1
            wanted.tried.add(choice.server.server_id)
            attempt, verdict = await self._attempt(routed, wanted, choice)
            context.attempts.append((attempt, verdict))
            if verdict is judge.Verdict.NOT_SENT:
                wanted.attempts -= 1
            wanted.shed = verdict is judge.Verdict.NOT_RUN
            response = attempt.exchange.response if attempt.exchange else None
            if verdict is judge.Verdict.ANSWERED and response is not None:
                return response
            if not self._may_go_on(routed, wanted, attempt, verdict):
                if verdict is judge.Verdict.FAILED and response is not None:
                    return response
                return _give_up(context, None)

    def _is_poison(self, routed: route.RoutedRequest, now_ms: int) -> bool:
        known = self._poison.quarantine
        return known.size > 0 and known.is_quarantined(attempt_recorder.fingerprint(routed), now_ms)

    def _link_carries(
        self, routed: route.RoutedRequest, choice: candidates.Choice, now_ms: int
    ) -> bool:
        """Take this request's part of the link to its server's region."""
        region = choice.server.region
        if region == self.placer.region or not self.links.limits:
            return True
        expected = int(self.recorder.answer_bytes(routed.route))
        request_bytes = len(routed.incoming.request.body) + attempt_recorder.HEAD_BYTES
        return self.links.try_acquire(region, request_bytes, expected, self._neighbours(), now_ms)

    def _may_send_again(self, wanted: candidates.PlacementRequest, now_ms: int) -> bool:
        return self.budget.try_acquire(wanted.service.name, self._entries(), now_ms)

    def _may_go_on(
        self,
        routed: route.RoutedRequest,
        wanted: candidates.PlacementRequest,
        attempt: send.Attempt,
        verdict: judge.Verdict,
    ) -> bool:
        if wanted.attempts >= max(1, routed.route.max_attempts) or len(wanted.tried) >= MAX_TRIED:
            return False
        if verdict.certainly_not_run:
            return True
        if verdict is judge.Verdict.SILENT and not attempt.abandoned:
            return False
        return routed.idempotent

    async def _attempt(
        self,
        routed: route.RoutedRequest,
        wanted: candidates.PlacementRequest,
        choice: candidates.Choice,
    ) -> tuple[send.Attempt, judge.Verdict]:
        health = self.placer.health_of(choice.server)
        patience_ms = 0
        if routed.idempotent and wanted.attempts < routed.route.max_attempts:
            target_ms = PATIENCE_TARGET_RATIO * routed.route.target_latency_ms
            patience_ms = int(max(PATIENCE_RATIO * choice.expected_ms, target_ms))
        attempt = await self._sender.send(
            routed, choice, health, patience_ms, lambda: self._may_abandon(wanted)
        )
        verdict = judge.judge(attempt, self._names)
        self.recorder.record(routed, wanted, attempt, verdict, health)
        return attempt, verdict

    def _may_abandon(self, wanted: candidates.PlacementRequest) -> bool:
        """Tell whether another server will be asked now, with the budget for it taken.

        An entry that leaves breaks off nothing at which a server may be at work.
        """
        if self.leaving:
            return False
        now_ms = clock.monotonic_ms()
        choice = self.placer.place(wanted, now_ms)
        if isinstance(choice, errors.Refusal) or choice.expected_ms > wanted.remaining_ms / 2:
            return False
        wanted.retry_granted = self._may_send_again(wanted, now_ms)
        wanted.replacement = choice if wanted.retry_granted else None
        return wanted.retry_granted


def _budget_refusal() -> errors.Refusal:
    reason = "no server ran it, and the budget for further attempts is used up"
    return errors.Refusal(errors.ErrorKind.NO_CAPACITY, reason, 200)


def _link_refusal(choice: candidates.Choice) -> errors.Refusal:
    reason = f"the link to {choice.server.region} carries no more now"
    return errors.Refusal(errors.ErrorKind.LINK_FULL, reason)


def _may_have_run(context: RequestContext) -> bool:
    return any(not verdict.certainly_not_run for _, verdict in context.attempts)


def _out_of_time(context: RequestContext) -> errors.Refusal:
    if _may_have_run(context):
        return errors.Refusal(errors.ErrorKind.TIMED_OUT, "no answer within the time limit")
    reason = "no server could be reached within the time limit"
    return errors.Refusal(errors.ErrorKind.NO_CAPACITY, reason, 200)


def _give_up(context: RequestContext, refusal: errors.Refusal | None) -> errors.Refusal:
    """Return the refusal for a request that no further server is asked for."""
    if not _may_have_run(context):
        return refusal or _budget_refusal()
    attempt, verdict = context.attempts[-1]
    if verdict is judge.Verdict.SILENT and not attempt.abandoned:
        return errors.Refusal(errors.ErrorKind.TIMED_OUT, "no answer within the time limit")
    reason = attempt.exchange.reason if attempt.exchange else "the server stayed silent"
    return errors.Refusal(errors.ErrorKind.SERVER_FAILED, reason or "the answer is not valid")
