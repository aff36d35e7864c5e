"""Forwards a request to servers until one answers, within the limits on retries and links."""

from __future__ import annotations

import typing

from sassafraslock import clock, errors, header_names, http_messages
from sassafraslock.decisions import candidates, link_rate_limit, placement, quarantine
from sassafraslock.path import (
    attempt_recorder,
    hedge,
    identify,
    judge,
    refusals,
    request_context,
    retry_gate,
    route,
    send,
)

SOFT_TIMEOUT_RATIO = 2.0  # of the attempt's expected time
SOFT_TIMEOUT_TARGET_RATIO = 1.2  # of the route's target latency; the greater time applies
MIN_REMAINING_MS = 20  # with less time left, no attempt is made
MAX_SERVERS_TRIED = 5  # includes unreachable servers, which do not count as attempts


class Forwarder:
    """What the attempts of all requests share: servers, limits and statistics.

    While ``may_hedge`` is false, no request is sent to a second server beside the first one, so
    that a stop interrupts no more than one. ``key_proof`` tells whether requests with keys may run.
    """

    __slots__ = (
        "may_hedge",
        "key_proof",
        "placer",
        "retries",
        "recorder",
        "links",
        "sender",
        "names",
        "_quarantine",
        "_region_entry_count",
    )

    def __init__(
        self,
        placer: placement.Placer,
        retries: retry_gate.RetryGate,
        recorder: attempt_recorder.AttemptRecorder,
        sender: send.Sender,
        names: header_names.HeaderNames,
        crashes: quarantine.Quarantine,
        region_entry_count: typing.Callable[[], int],
    ) -> None:
        self.may_hedge = True
        self.key_proof: identify.KeyProof = identify.Unbounded()
        self.placer = placer
        self.retries = retries
        self.recorder = recorder
        self.links = link_rate_limit.LinkRateLimiter()
        self.sender = sender
        self.names = names
        self._quarantine = crashes
        self._region_entry_count = region_entry_count

    async def forward(
        self,
        context: request_context.RequestContext,
        routed: route.RoutedRequest,
        placement_request: candidates.PlacementRequest,
    ) -> http_messages.Response | errors.Refusal:
        """Return a server's response, or the refusal if there is none.

        :param context: the state of the request, to which its attempts are added.
        :param routed: the request.
        :param placement_request: the request as it is to be placed.
        """
        with hedge.Hedge() as attempts:
            return await _ForwardedRequest(
                self, context, routed, placement_request, attempts
            ).forward()

    def is_poison(self, routed: route.RoutedRequest, now_ms: int) -> bool:
        """Return whether a request is quarantined, since it crashed servers.

        :param routed: the request.
        :param now_ms: the current monotonic time.
        """
        known = self._quarantine
        return known.size > 0 and known.is_quarantined(attempt_recorder.identify(routed), now_ms)

    def is_suspected(self, routed: route.RoutedRequest) -> bool:
        """Return whether a request may have crashed a server.

        :param routed: the request.
        """
        known = self._quarantine
        return known.size > 0 and known.is_suspected(attempt_recorder.identify(routed))

    def acquire_link_tokens(
        self, routed: route.RoutedRequest, choice: candidates.Choice, now_ms: int
    ) -> bool:
        """Take the tokens for the link to the server's region, if the server is in another one.

        :param routed: the request.
        :param choice: the server.
        :param now_ms: the current monotonic time.
        """
        region = choice.server.region
        if region == self.placer.region or not self.links.limits:
            return True
        expected = int(self.recorder.mean_answer_bytes(routed.route))
        request_bytes = len(routed.incoming.request.body) + attempt_recorder.ESTIMATED_HEAD_BYTES
        return self.links.try_acquire(
            region, request_bytes, expected, self._region_entry_count(), now_ms
        )


class _ForwardedRequest:
    """One request and its attempts."""

    __slots__ = ("_forwarder", "_context", "_routed", "_placement", "_attempts")

    def __init__(
        self,
        forwarder: Forwarder,
        context: request_context.RequestContext,
        routed: route.RoutedRequest,
        placement_request: candidates.PlacementRequest,
        attempts: hedge.Hedge,
    ) -> None:
        self._forwarder = forwarder
        self._context = context
        self._routed = routed
        self._placement = placement_request
        self._attempts = attempts

    async def forward(self) -> http_messages.Response | errors.Refusal:
        """Make attempts until one is answered or no further one may be made."""
        while True:
            refusal = self._start_attempt(clock.monotonic_ms())
            if refusal is not None and self._attempts.is_empty:
                return refusal
            outcome = await self._wait_for_answer()
            if outcome is not None:
                return outcome

    def _start_attempt(self, now_ms: int) -> errors.Refusal | None:
        """Start an attempt at the next server, or return why there is none.

        The refusal holds only if no attempt is in flight.
        """
        request, context, forwarder = self._placement, self._context, self._forwarder
        request.remaining_ms = self._routed.remaining_ms(now_ms)
        if request.remaining_ms < MIN_REMAINING_MS:
            return refusals.deadline_refusal(context)
        if request.workspace is not None and not forwarder.key_proof.may_accept(now_ms):
            unproven = identify.unproven(forwarder.key_proof, now_ms)
            return refusals.final_refusal(context, unproven)
        if request.tried and forwarder.is_poison(self._routed, now_ms):
            return refusals.final_refusal(context, refusals.QUARANTINED)
        choice = self._choose_server(now_ms)
        if isinstance(choice, errors.Refusal):
            return refusals.final_refusal(context, choice)
        is_granted = not request.attempts or request.retry_granted
        if not is_granted and not self._acquire_retry(now_ms):
            return refusals.final_refusal(context, refusals.budget_refusal())
        request.retry_granted = False
        request.attempts += 1
        request.tried.add(choice.server.server_id)
        health = forwarder.placer.health_of(choice.server)
        pending = forwarder.sender.start(self._routed, choice, health, now_ms)
        self._attempts.add(pending, self._hedge_at_ms(choice, now_ms))
        return None

    def _choose_server(self, now_ms: int) -> candidates.Choice | errors.Refusal:
        """Return the next server, in this entry's region if the link to another one is full."""
        request, forwarder = self._placement, self._forwarder
        while True:
            choice = request.replacement or forwarder.placer.place(request, now_ms)
            request.replacement = None
            self._context.left_out = request.left_out
            if isinstance(choice, errors.Refusal):
                return choice
            if forwarder.acquire_link_tokens(self._routed, choice, now_ms):
                return choice
            if request.own_region_only:
                return refusals.link_refusal(choice)
            request.own_region_only = True

    def _hedge_at_ms(self, choice: candidates.Choice, now_ms: int) -> int | None:
        """Return when another server may get the request too, none if it may not."""
        matched = self._routed.route
        if not self._routed.idempotent or self._placement.attempts >= matched.max_attempts:
            return None
        target_ms = SOFT_TIMEOUT_TARGET_RATIO * matched.target_latency_ms
        return now_ms + int(max(SOFT_TIMEOUT_RATIO * choice.expected_ms, target_ms))

    async def _wait_for_answer(self) -> http_messages.Response | errors.Refusal | None:
        """Wait for the attempts in flight; return none once another one may be started."""
        now_ms = clock.monotonic_ms()
        deadline_ms = now_ms + self._routed.remaining_ms(now_ms)
        while True:  # once at least, since an answer may have arrived by the deadline
            attempt = await self._attempts.wait(deadline_ms)
            now_ms = clock.monotonic_ms()
            if attempt is not None:
                outcome = self._take(attempt)
                if outcome is not None or self._may_retry():
                    return outcome
                if self._attempts.is_empty:
                    return self._failure()
            elif now_ms >= deadline_ms:
                self._end_attempts(abandoned=False)
                return self._failure()
            elif self._attempts.is_due(now_ms) and self._reserve_replacement(now_ms):
                return None

    def _take(self, attempt: send.Attempt) -> http_messages.Response | errors.Refusal | None:
        """Record an ended attempt, and return its answer if it has one.

        The attempt that is answered is the last one recorded.
        """
        verdict = judge.judge(attempt, self._forwarder.names)
        if verdict is not judge.Verdict.ANSWERED:
            self._record(attempt, verdict)
            return None
        self._end_attempts(abandoned=True)
        self._record(attempt, verdict)
        assert attempt.exchange is not None and attempt.exchange.response is not None
        return refusals.checked_response(self._routed, attempt.exchange.response)

    def _record(self, attempt: send.Attempt, verdict: judge.Verdict) -> None:
        forwarder, request = self._forwarder, self._placement
        forwarder.recorder.record(self._routed, request, attempt, verdict, attempt.health)
        self._context.attempts.append((attempt, verdict))
        if verdict is judge.Verdict.NOT_SENT:
            request.attempts -= 1
        request.shed = verdict is judge.Verdict.NOT_RUN

    def _end_attempts(self, abandoned: bool) -> None:
        """End and record what is in flight, at the deadline or since another server answered."""
        for attempt in self._attempts.end_all(clock.monotonic_ms(), abandoned):
            self._record(attempt, judge.judge(attempt, self._forwarder.names))

    def _may_retry(self) -> bool:
        """Return whether the request may go to another server after the latest failure."""
        request, routed = self._placement, self._routed
        if (
            request.attempts >= max(1, routed.route.max_attempts)
            or len(request.tried) >= MAX_SERVERS_TRIED
        ):
            return False
        _, verdict = self._context.attempts[-1]
        if verdict.certainly_not_run:
            return True
        return routed.idempotent and not (
            verdict is judge.Verdict.BROKEN and self._forwarder.is_suspected(routed)
        )

    def _failure(self) -> http_messages.Response | errors.Refusal:
        """Return what the client gets after the last attempt, which did not succeed."""
        attempt, verdict = self._context.attempts[-1]
        response = attempt.exchange.response if attempt.exchange else None
        if verdict is judge.Verdict.FAILED and response is not None:
            return refusals.checked_response(self._routed, response)
        placer = self._forwarder.placer
        refusal = placer.paused_refusal(self._placement, clock.monotonic_ms())
        return refusals.final_refusal(self._context, refusal)

    def _acquire_retry(self, now_ms: int) -> bool:
        return self._forwarder.retries.try_acquire(self._placement.service.name, now_ms)

    def _reserve_replacement(self, now_ms: int) -> bool:
        """Reserve another server and its retry, beside an attempt past its soft timeout.

        :returns: whether there is one.
        """
        request = self._placement
        self._attempts.hedge_at_ms = None
        if not self._forwarder.may_hedge:
            return False
        choice = self._forwarder.placer.place(request, now_ms)
        if isinstance(choice, errors.Refusal) or choice.expected_ms > request.remaining_ms / 2:
            return False
        request.retry_granted = self._acquire_retry(now_ms)
        request.replacement = choice if request.retry_granted else None
        return request.retry_granted
