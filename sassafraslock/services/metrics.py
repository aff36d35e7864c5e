"""Metrics in the Prometheus text format."""

from __future__ import annotations

import aioprometheus
import aioprometheus.renderer

LATENCY_BUCKETS_S = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0]


class Metrics:
    """The process's counters, gauges and histograms."""

    __slots__ = ("registry", "_requests", "_latency", "_gauges")

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
        self._gauges: dict[str, aioprometheus.Gauge] = {}

    def record_request(self, service: str, result: str, seconds: float) -> None:
        """Count a request and record its duration.

        :param service: the service that the request was routed to, empty if no route matched.
        :param result: ``answered``, ``abandoned`` or the kind of the refusal.
        :param seconds: the time from the request's first byte to its complete response.
        """
        self._requests.inc({"service": service, "result": result})
        self._latency.observe({"service": service}, seconds)

    def set_gauge(self, name: str, text: str, labels: dict[str, str], value: float) -> None:
        """Set a gauge, which is registered on first use.

        :param name: the metric's name without the prefix ``sassafraslock_``.
        :param text: the help text; only that of the first call is used.
        :param labels: the labels of the time series.
        :param value: the new value.
        """
        if name not in self._gauges:
            self._gauges[name] = aioprometheus.Gauge(
                f"sassafraslock_{name}", text, registry=self.registry
            )
        self._gauges[name].set(labels, value)

    def render(self) -> bytes:
        """Return all metrics in the text format, as UTF-8."""
        content, _ = aioprometheus.renderer.render(self.registry, ["text/plain"])
        return content
