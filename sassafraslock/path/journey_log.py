"""One log line and the counts for each request that ended."""

from __future__ import annotations

import logging
import typing

from sassafraslock import events
from sassafraslock.path import judge, line, send
from sassafraslock.services import metrics


class JourneyLog:
    """Tells of each request what decided its way, and how old those facts were."""

    __slots__ = ("_metrics", "_replica_age_ms")

    def __init__(
        self, counters: metrics.Metrics, replica_age_ms: typing.Callable[[int], int]
    ) -> None:
        self._metrics = counters
        self._replica_age_ms = replica_age_ms

    def note(self, journey: line.Journey, now_ms: int) -> None:
        """Write down a request's way.

        :param journey: the request with its attempts and its answer, none where its client left.
        :param now_ms: the present time.
        """
        took_ms = now_ms - journey.incoming.request.received_ms
        service = journey.routed.service.name if journey.routed else ""
        result = _result(journey)
        self._metrics.observe(service, result, took_ms / 1000)
        fields = self._fields(journey, took_ms, now_ms)
        if journey.response is None:
            events.log(events.Event.REQUEST_ABANDONED, "the client left", logging.INFO, **fields)
        elif journey.refusal is None:
            events.log(events.Event.REQUEST_ANSWERED, "answered", logging.INFO, **fields)
        elif journey.refusal.properties.not_run:
            reason = journey.refusal.reason
            events.log(events.Event.REQUEST_REFUSED, reason, logging.WARNING, **fields)
        else:
            reason = journey.refusal.reason
            events.log(events.Event.REQUEST_FAILED, reason, logging.WARNING, **fields)

    def _fields(self, journey: line.Journey, took_ms: int, now_ms: int) -> dict[str, object]:
        fields: dict[str, object] = {
            "request": journey.incoming.request_id.decode("latin-1"),
            "method": journey.incoming.request.method,
            "path": journey.incoming.request.target,
            "client": journey.incoming.request.client,
            "object": journey.incoming.key,
            "took_ms": took_ms,
            "facts_age_ms": self._replica_age_ms(now_ms),
        }
        if journey.routed is not None:
            fields["route"] = journey.routed.route.name
            fields["service"] = journey.routed.service.name
            fields["revision"] = journey.routed.revision
        if journey.response is not None:
            fields["status"] = journey.response.status
        if journey.refusal is not None:
            fields["kind"] = journey.refusal.kind
        fields["attempts"] = [_attempt_fields(a, v) for a, v in journey.attempts]
        return fields


def _attempt_fields(attempt: send.Attempt, verdict: judge.Verdict) -> dict[str, object]:
    choice = attempt.choice
    fields: dict[str, object] = {
        "server": choice.server.server_id,
        "region": choice.server.region,
        "expected_ms": round(choice.expected_ms),
        "load": round(choice.load, 1),
        "home": choice.home,
        "object_is": choice.familiarity.value,
        "took_ms": attempt.took_ms,
        "verdict": verdict,
    }
    if choice.cold:
        fields["cold"] = True
    if attempt.exchange is not None and attempt.exchange.reason:
        fields["reason"] = attempt.exchange.reason
    return fields


def _result(journey: line.Journey) -> str:
    if journey.response is None:
        return "abandoned"
    return journey.refusal.kind.value if journey.refusal else "answered"
