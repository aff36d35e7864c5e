"""What attempts teach of servers and routes: load, speed, failures, sizes."""

from __future__ import annotations

from sassafraslock import events, header_names, http_messages, routing_table
from sassafraslock.decisions import candidates, placement, quarantine, server_health
from sassafraslock.path import judge, route, send
from sassafraslock.services import poison_watch, server_connection

HEAD_BYTES = 400
EXPECTED_ANSWER_BYTES = 16 << 10
ANSWER_WEIGHT = 0.1
SLOW_RATIO = 1.5


class AttemptRecorder:
    """Takes in each attempt."""

    __slots__ = ("_placer", "_names", "_poison", "_answer_bytes")

    def __init__(
        self,
        placer: placement.Placer,
        names: header_names.HeaderNames,
        poison: poison_watch.PoisonWatch,
    ) -> None:
        self._placer = placer
        self._names = names
        self._poison = poison
        self._answer_bytes: dict[str, float] = {}

    def answer_bytes(self, route_: routing_table.Route) -> float:
        """Return the size that a route's answers have on average.

        :param route_: the route.
        """
        return self._answer_bytes.get(route_.name, EXPECTED_ANSWER_BYTES)

    def _record_size(self, route_: routing_table.Route, response: http_messages.Response) -> None:
        known = self.answer_bytes(route_)
        size_bytes = len(response.body) + HEAD_BYTES
        self._answer_bytes[route_.name] = known + ANSWER_WEIGHT * (size_bytes - known)

    def record(
        self,
        routed: route.RoutedRequest,
        wanted: candidates.PlacementRequest,
        attempt: send.Attempt,
        verdict: judge.Verdict,
        health: server_health.ServerHealth,
    ) -> None:
        """Take in what an attempt tells of its server and its route.

        :param routed: the request.
        :param wanted: the request as it was placed.
        :param attempt: the attempt.
        :param verdict: what it came to.
        :param health: the notes on the attempt's server.
        """
        now_ms = attempt.sent_ms + attempt.took_ms
        exchange = attempt.exchange
        if verdict is judge.Verdict.NOT_SENT:
            health.record_connect_failure(now_ms)
            self._log_ejection(attempt, health, now_ms)
            return
        if exchange is None or exchange.response is None:
            health.record_broken_exchange(now_ms)
            if exchange is not None and exchange.outcome is server_connection.Outcome.BROKEN:
                report = attempt.choice.server.report
                found = poison_watch.BrokenConnection(
                    fingerprint(routed), report.server_id, report.address
                )
                self._poison.record_broken_connection(found)
            return
        if exchange.connect_ms >= 0:
            health.rtt_ms = float(exchange.connect_ms)
        self._record_size(routed.route, exchange.response)
        told = _told_load(exchange.response.header(self._names.load))
        if told is not None:
            self._placer.loads.record(attempt.choice.server, told, now_ms)
        if verdict is judge.Verdict.MISDIRECTED:
            health.record_replaced(now_ms)
            self._log_ejection(attempt, health, now_ms)
            return
        health.record_answer(verdict in (judge.Verdict.FAILED, judge.Verdict.BROKEN), now_ms)
        if verdict is judge.Verdict.ANSWERED:
            self._record_speed(routed, wanted, attempt, health)

    def _log_ejection(
        self, attempt: send.Attempt, health: server_health.ServerHealth, now_ms: int
    ) -> None:
        reason = attempt.exchange.reason if attempt.exchange else ""
        events.log(
            events.Event.SERVER_EJECTED,
            "a server gets nothing for a moment",
            server=attempt.choice.server.server_id,
            failures=health.connect_failures,
            for_ms=health.ejected_until_ms - now_ms,
            reason=reason or "another server has its address",
        )

    def _record_speed(
        self,
        routed: route.RoutedRequest,
        wanted: candidates.PlacementRequest,
        attempt: send.Attempt,
        health: server_health.ServerHealth,
    ) -> None:
        choice = attempt.choice
        now_ms = attempt.sent_ms + attempt.took_ms
        connect_ms = max(0, attempt.exchange.connect_ms) if attempt.exchange else 0
        took_ms = max(1.0, attempt.took_ms - health.rtt_ms - connect_ms)
        slots = choice.server.report.slots
        speed = self._placer.latency_of(routed.route)
        if choice.load + 1 <= slots and not choice.is_cold:
            health.record_latency_ratio(took_ms / speed.expected_ms(choice.affinity), now_ms)
            if health.slow_factor(now_ms) < SLOW_RATIO:
                speed.record(choice.affinity, took_ms)
        self._placer.objects.record(wanted.object_name, choice.server.server_id, now_ms)


def fingerprint(routed: route.RoutedRequest) -> str:
    """Return what all tries of one caller's request have in common.

    :param routed: the request.
    """
    request = routed.incoming.request
    caller = f"{routed.service.name}|{request.client}"
    return quarantine.fingerprint(caller, request.method, routed.target, request.body)


def _told_load(value: bytes) -> server_health.ReportedLoad | None:
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return server_health.ReportedLoad(*(int(part) for part in parts))
