"""Metrics in the Prometheus text format."""

from __future__ import annotations

import dataclasses
import typing

import aioprometheus
import aioprometheus.renderer

from sassafraslock import http_messages

METRICS_PATH = "/metrics"
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

LATENCY_BUCKETS_S = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0]


@dataclasses.dataclass(slots=True, frozen=True)
class BackpressureGauges:
    """How many servers ask for what in their answers, and how many answers asked invalidly.

    :param limited: servers that name a rate limit.
    :param leaving: servers that say that they leave.
    :param paused: servers that asked for a pause that has not ended.
    """

    limited: int
    invalid_limits: int
    leaving: int
    invalid_leaving: int
    paused: int
    invalid_pauses: int


class Metrics:
    """The process's counters, gauges and histograms."""

    __slots__ = (
        "registry",
        "_requests",
        "_latency",
        "_ready",
        "_facts_age",
        "_servers",
        "_in_flight",
        "_limited",
        "_invalid_limits",
        "_leaving",
        "_invalid_leaving",
        "_paused",
        "_invalid_pauses",
    )

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._requests = aioprometheus.Counter(
            "sassafraslock_requests_total",
            "Requests by service and result.",
            registry=self.registry,
        )
        self._latency = aioprometheus.Histogram(
            "sassafraslock_request_seconds",
            "Time from head to whole answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._ready = self._gauge("ready", "1 if the entry takes clients.")
        self._facts_age = self._gauge("facts_age_seconds", "Time since the store answered.")
        self._servers = self._gauge("servers", "Servers known.")
        self._in_flight = self._gauge("requests_in_flight", "Requests being answered.")
        self._limited = self._gauge("servers_limited", "Servers that name a rate limit.")
        self._invalid_limits = self._gauge(
            "invalid_server_limits", "Answers that named an invalid rate limit."
        )
        self._leaving = self._gauge("servers_leaving", "Servers that say that they leave.")
        self._invalid_leaving = self._gauge(
            "invalid_server_leaving", "Answers that said invalidly whether their server leaves."
        )
        self._paused = self._gauge("servers_paused", "Servers in a pause that they asked for.")
        self._invalid_pauses = self._gauge(
            "invalid_server_pauses", "Rejections that asked for an invalid pause."
        )

    def _gauge(self, name: str, text: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(f"sassafraslock_{name}", text, registry=self.registry)

    def record_request(self, service: str, result: str, seconds: float) -> None:
        """Count a request and record its duration.

        :param service: the service that the request was routed to, empty if no route matched.
        :param result: ``answered``, ``abandoned`` or the kind of the refusal.
        :param seconds: the time from the request's first byte to its complete response.
        """
        self._requests.inc({"service": service, "result": result})
        self._latency.observe({"service": service}, seconds)

    def set_status(
        self, entry_id: str, ready: bool, facts_age_ms: int, servers: int, in_flight: int
    ) -> None:
        """Set the gauges of the entry's state.

        :param entry_id: the entry.
        :param ready: whether it takes clients.
        :param facts_age_ms: the time since the store answered.
        :param servers: the number of registered servers.
        :param in_flight: the number of requests that are not answered yet.
        """
        labels = {"entry": entry_id}
        self._ready.set(labels, int(ready))
        self._facts_age.set(labels, facts_age_ms / 1000)
        self._servers.set(labels, servers)
        self._in_flight.set(labels, in_flight)

    def set_backpressure(self, entry_id: str, gauges: BackpressureGauges) -> None:
        """Set the gauges of what servers ask for.

        :param entry_id: the entry.
        :param gauges: the values.
        """
        labels = {"entry": entry_id}
        self._limited.set(labels, gauges.limited)
        self._invalid_limits.set(labels, gauges.invalid_limits)
        self._leaving.set(labels, gauges.leaving)
        self._invalid_leaving.set(labels, gauges.invalid_leaving)
        self._paused.set(labels, gauges.paused)
        self._invalid_pauses.set(labels, gauges.invalid_pauses)

    def render(self) -> bytes:
        """Return all metrics in the text format, as UTF-8."""
        content, _ = aioprometheus.renderer.render(self.registry, ["text/plain"])
        return content


class MetricsHandler:
    """Answers ``GET /metrics`` at an address that serves nothing else."""

    __slots__ = ("_render",)

    def __init__(self, render: typing.Callable[[], bytes]) -> None:
        self._render = render

    async def __call__(self, request: http_messages.Request) -> http_messages.Response:
        """Return all metrics, or 404 for any other path.

        :param request: the request.
        """
        if request.path != METRICS_PATH:
            return http_messages.Response(404)
        return http_messages.Response(200, [(b"content-type", CONTENT_TYPE)], self._render())
