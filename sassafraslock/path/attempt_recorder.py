"""Updates the statistics of servers and routes with the results of attempts."""

from __future__ import annotations

import re

from sassafraslock import events, header_names, http_messages, routing_table
from sassafraslock.decisions import candidates, placement, quarantine, registry, server_health
from sassafraslock.path import judge, route, send
from sassafraslock.services import backpressure_watch, poison_watch, server_connection

ESTIMATED_HEAD_BYTES = 400  # first line and headers of a request or an answer
INITIAL_ANSWER_BYTES = 16 << 10
ANSWER_SIZE_WEIGHT = 0.1  # of the newest answer in the moving average
SLOW_RATIO = 1.5  # slower servers do not change the expected latency of the route

_LOAD_NUMBER = rb"[ \t]*([0-9]{1,6})[ \t]*"  # larger ones are no counts of requests
# What follows the three counts never costs them: a percentage that may be odd, and unknown figures.
_LOAD = re.compile(rb",".join([_LOAD_NUMBER] * 3) + rb"(?:,(.*))?", re.DOTALL)
_WORK_PERCENT = re.compile(_LOAD_NUMBER + rb"(?:,.*)?", re.DOTALL)


class AttemptRecorder:
    """Records the load, the failures and the latency of servers, and the answer sizes of routes."""

    __slots__ = ("_placer", "_names", "_poison", "_watch", "_mean_answer_bytes")

    def __init__(
        self,
        placer: placement.Placer,
        names: header_names.HeaderNames,
        poison: poison_watch.PoisonWatch,
        watch: backpressure_watch.BackpressureWatch,
    ) -> None:
        self._placer = placer
        self._names = names
        self._poison = poison
        self._watch = watch
        self._mean_answer_bytes: dict[str, float] = {}

    def mean_answer_bytes(self, route_: routing_table.Route) -> float:
        """Return the moving average of a route's answer sizes, with an estimate of their heads.

        Before the route's first answer, it is :data:`INITIAL_ANSWER_BYTES`.

        :param route_: the route.
        """
        return self._mean_answer_bytes.get(route_.name, INITIAL_ANSWER_BYTES)

    def _record_size(self, route_: routing_table.Route, response: http_messages.Response) -> None:
        mean_bytes = self.mean_answer_bytes(route_)
        size_bytes = len(response.body) + ESTIMATED_HEAD_BYTES
        self._mean_answer_bytes[route_.name] = mean_bytes + ANSWER_SIZE_WEIGHT * (
            size_bytes - mean_bytes
        )

    def record(
        self,
        routed: route.RoutedRequest,
        placement_request: candidates.PlacementRequest,
        attempt: send.Attempt,
        verdict: judge.Verdict,
        health: server_health.ServerHealth,
    ) -> None:
        """Record the result of one attempt.

        A server whose connection broke under the request is also reported to the poison watch.

        :param routed: the request.
        :param placement_request: the request as it was placed, which holds its object.
        :param attempt: the ended attempt.
        :param verdict: the verdict on the attempt.
        :param health: this entry's statistics of the attempt's server, which are updated.
        """
        now_ms = attempt.sent_ms + attempt.took_ms
        exchange = attempt.exchange
        if exchange is not None and exchange.outcome is server_connection.Outcome.WITHHELD:
            return
        if verdict is judge.Verdict.NOT_SENT:
            health.record_connect_failure(now_ms)
            self._log_ejection(attempt, health, now_ms)
            return
        if exchange is None or exchange.response is None:
            health.record_broken_exchange(now_ms)
            if _may_have_crashed(attempt):
                self._report_broken(routed, attempt)
            return
        if exchange.connect_ms >= 0:
            health.rtt_ms = float(exchange.connect_ms)
        self._record_size(routed.route, exchange.response)
        reported = _parse_load(exchange.response.header(self._names.load))
        if reported is not None:
            load = reported.remaining(was_run=not verdict.certainly_not_run)
            self._placer.loads.record(attempt.choice.server, load, now_ms)
            if reported.work_percent:
                self._placer.paces.record(attempt.choice.server, reported.work_percent, now_ms)
        if verdict is judge.Verdict.MISDIRECTED:
            health.record_replaced(now_ms)
            self._log_ejection(attempt, health, now_ms)
            return
        self._watch.record_answer(attempt.choice.server, exchange.response, attempt.sent_ms, now_ms)
        health.record_answer(verdict in (judge.Verdict.FAILED, judge.Verdict.BROKEN), now_ms)
        if verdict is judge.Verdict.ANSWERED:
            self._record_latency(routed, placement_request, attempt, health)
            if self._poison.quarantine.size:
                self._poison.record_answer(identify(routed), now_ms)

    def _report_broken(self, routed: route.RoutedRequest, attempt: send.Attempt) -> None:
        report = attempt.choice.server.report
        broken = poison_watch.BrokenConnection(
            identify(routed),
            report.server_id,
            report.address,
            registry.start_id(attempt.choice.server),
            routed.incoming.request_id.decode("latin-1"),
            routed.incoming.request.target,
            is_silent=attempt.exchange is None,
        )
        self._poison.record_broken_connection(broken)

    def _log_ejection(
        self, attempt: send.Attempt, health: server_health.ServerHealth, now_ms: int
    ) -> None:
        reason = attempt.exchange.reason if attempt.exchange else ""
        events.log(
            events.Event.SERVER_EJECTED,
            "server ejected; it gets no requests until the ejection ends",
            server=attempt.choice.server.server_id,
            failures=health.connect_failures,
            for_ms=health.ejected_until_ms - now_ms,
            reason=reason or "another server answers at its address",
        )

    def _record_latency(
        self,
        routed: route.RoutedRequest,
        placement_request: candidates.PlacementRequest,
        attempt: send.Attempt,
        health: server_health.ServerHealth,
    ) -> None:
        choice = attempt.choice
        now_ms = attempt.sent_ms + attempt.took_ms
        connect_ms = max(0, attempt.exchange.connect_ms) if attempt.exchange else 0
        took_ms = max(1.0, attempt.took_ms - health.rtt_ms - connect_ms)
        slots = choice.server.report.slots
        latency = self._placer.latency_of(routed.route)
        if choice.load + 1 <= slots and not choice.is_cold:
            health.record_latency_ratio(took_ms / latency.expected_ms(choice.affinity), now_ms)
            if health.slow_factor(now_ms) < SLOW_RATIO:
                latency.record(choice.affinity, took_ms)
        self._placer.objects.record(
            placement_request.object_hash, registry.start_hash(choice.server), now_ms, now_ms
        )


def identify(routed: route.RoutedRequest) -> quarantine.RequestIdentity:
    """Return the identity that all attempts and repeats of a request share.

    It covers what the client sent, not the service, since a request that crashes servers does so
    wherever its route leads.

    :param routed: the request.
    """
    incoming = routed.incoming
    request = incoming.request
    return quarantine.identify(
        incoming.host, request.client, request.method, request.target, request.body
    )


def _may_have_crashed(attempt: send.Attempt) -> bool:
    """Return whether the connection broke, or nothing came until the request's deadline."""
    if attempt.exchange is None:
        return not attempt.abandoned
    return attempt.exchange.outcome is server_connection.Outcome.BROKEN


def _parse_load(value: bytes) -> server_health.ReportedLoad | None:
    found = _LOAD.fullmatch(value)
    if found is None:
        return None
    percent = _WORK_PERCENT.fullmatch(found[4] or b"")
    running, waiting, slots = (int(n) for n in found.groups()[:3])
    return server_health.ReportedLoad(running, waiting, slots, int(percent[1]) if percent else 0)
