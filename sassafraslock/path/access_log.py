"""The access log: one log line and one metrics sample for each ended request."""

from __future__ import annotations

import logging
import math
import typing

from sassafraslock import events
from sassafraslock.decisions import candidates, fair_share
from sassafraslock.path import judge, request_context, send
from sassafraslock.quotas import refusal
from sassafraslock.services import metrics


class AccessLog:
    """Logs each request with its attempts, the reasons for their servers and the age of the facts.

    ``region`` is that of this entry. ``replica_age_ms`` returns, for a monotonic time, the
    milliseconds since the store answered.
    """

    __slots__ = ("_region", "_metrics", "_replica_age_ms")

    def __init__(
        self,
        region: str,
        counters: metrics.Metrics,
        replica_age_ms: typing.Callable[[int], int],
    ) -> None:
        self._region = region
        self._metrics = counters
        self._replica_age_ms = replica_age_ms

    def record(self, context: request_context.RequestContext, now_ms: int) -> None:
        """Log one ended request and add it to the metrics.

        :param context: the state of the request; its response is none if the client closed its
            connection before the answer.
        :param now_ms: the monotonic time at which it ended.
        """
        took_ms = now_ms - context.incoming.request.received_ms
        service = context.routed.service.name if context.routed else ""
        result = _result_label(context)
        self._metrics.record_request(service, result, took_ms / 1000)
        workspace = context.routed.workspace if context.routed else None
        if context.refusal is not None and workspace is not None:
            self._metrics.record_refused(workspace.name, result)
        cold_attempts = sum(_may_have_reached_cold(attempt) for attempt, _ in context.attempts)
        if cold_attempts:
            self._metrics.record_cold_attempts(service, cold_attempts)
        abandoned_attempts = sum(attempt.abandoned for attempt, _ in context.attempts)
        if abandoned_attempts:
            self._metrics.record_abandoned_attempts(service, abandoned_attempts)
        fields = self._fields(context, took_ms, now_ms)
        if context.response is None:
            events.log(
                events.Event.REQUEST_ABANDONED,
                "client closed the connection before the answer",
                logging.INFO,
                **fields,
            )
        elif context.refusal is None:
            events.log(events.Event.REQUEST_ANSWERED, "answered", logging.INFO, **fields)
        elif context.refusal.properties.not_run:
            reason = context.refusal.reason
            events.log(events.Event.REQUEST_REFUSED, reason, logging.WARNING, **fields)
        else:
            reason = context.refusal.reason
            events.log(events.Event.REQUEST_FAILED, reason, logging.WARNING, **fields)

    def _fields(
        self, context: request_context.RequestContext, took_ms: int, now_ms: int
    ) -> dict[str, object]:
        fields: dict[str, object] = {
            "request": context.incoming.request_id.decode("latin-1"),
            "method": context.incoming.request.method,
            "path": context.incoming.request.target,
            "client": context.incoming.request.client,
            "object": context.incoming.object_key,
            "entry_region": self._region,
            "took_ms": took_ms,
            "facts_age_ms": self._replica_age_ms(now_ms),
        }
        if context.routed is not None:
            fields["route"] = context.routed.route.name
            fields["service"] = context.routed.service.name
            fields["revision"] = context.routed.revision
            fields["target_ms"] = context.routed.route.target_latency_ms
            if context.routed.workspace is not None:
                fields["workspace"] = context.routed.workspace.name
        if context.response is not None:
            fields["status"] = context.response.status
        fields |= _left_out_fields(context.left_out)
        if context.refusal is not None:
            fields["kind"] = context.refusal.kind
        if isinstance(context.refusal, candidates.QueueRefusal) and context.refusal.choice:
            fields["limit_ms"] = round(context.refusal.limit_ms)
            fields["best"] = _choice_fields(context.refusal.choice)
            fields["limited_by"] = context.refusal.cause.value
            fields |= _terms_fields(context.refusal.terms)
        if isinstance(context.refusal, refusal.QuotaRefusal):
            fields |= _quota_fields(context.refusal, now_ms)
        received_ms = context.incoming.request.received_ms
        fields["attempts"] = [_attempt_fields(a, v, received_ms) for a, v in context.attempts]
        return fields


def _left_out_fields(left_out: candidates.LeftOut) -> dict[str, object]:
    """Return how many servers were left out for what they ask, without those that are none."""
    counts = {
        "limited_servers": left_out.limited,
        "paused_servers": left_out.paused,
        "leaving_servers": left_out.leaving,
    }
    return {name: count for name, count in counts.items() if count}


def _quota_fields(refused: refusal.QuotaRefusal, now_ms: int) -> dict[str, object]:
    """Return which collector refused a request, after what wait and how long ago."""
    return {
        "collector": refused.collector,
        "collectors_asked": refused.asked,
        "collector_wait_ms": refused.waited_ms,
        "decision_age_ms": now_ms - refused.decided_ms,
        "retry_after_ms": refused.retry_after_ms,
    }


def _terms_fields(terms: fair_share.QueueTerms | None) -> dict[str, object]:
    """Return what the workspace of a refused request may queue for, none without a workspace."""
    if terms is None:
        return {}
    fields: dict[str, object] = {
        "share_factor": round(terms.factor, 2),
        "share_used": round(terms.excess, 2),
    }
    if math.isfinite(terms.max_queue_ratio):
        fields["max_queue_ratio"] = round(terms.max_queue_ratio, 2)
    if terms.returns:
        fields["returns"] = True
    return fields


def _choice_fields(choice: candidates.Choice) -> dict[str, object]:
    fields: dict[str, object] = {
        "server": choice.server.server_id,
        "region": choice.server.region,
        "expected_ms": round(choice.expected_ms),
        "queue_ms": round(choice.queue_ms),
        "load": round(choice.load, 1),
        "slots": choice.slots,
        "home": choice.is_home,
        "object_is": choice.affinity.value,
    }
    if choice.is_cold:
        fields["cold"] = True
    return fields


def _attempt_fields(
    attempt: send.Attempt, verdict: judge.Verdict, received_ms: int
) -> dict[str, object]:
    fields = {
        **_choice_fields(attempt.choice),
        "born_ms": attempt.choice.server.report.born_ms,
        "selection": attempt.choice.selection,
        "after_ms": attempt.sent_ms - received_ms,
        "took_ms": attempt.took_ms,
        "verdict": verdict,
    }
    if attempt.abandoned:
        fields["abandoned"] = True
    if attempt.exchange is not None and attempt.exchange.outcome not in judge.NOTHING_SENT:
        fields["connection"] = "new" if attempt.exchange.connect_ms >= 0 else "kept"
    if attempt.exchange is not None and attempt.exchange.reason:
        fields["reason"] = attempt.exchange.reason
    return fields


def _may_have_reached_cold(attempt: send.Attempt) -> bool:
    is_unsent = attempt.exchange is not None and attempt.exchange.outcome in judge.NOTHING_SENT
    return attempt.choice.is_cold and not is_unsent


def _result_label(context: request_context.RequestContext) -> str:
    if context.response is None:
        return "abandoned"
    return context.refusal.kind.value if context.refusal else "answered"
