"""Metrics in the Prometheus text format."""

from __future__ import annotations

import dataclasses
import math
import typing

import aioprometheus
import aioprometheus.renderer

from sassafraslock import http_messages
from sassafraslock.path import retry_gate
from sassafraslock.services import cut_log

METRICS_PATH = "/metrics"
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

MAX_WORKSPACE_LABELS = 200
OTHER_WORKSPACES = "(others)"

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


@dataclasses.dataclass(slots=True, frozen=True)
class ResourceGauges:
    """What an entry uses of its machine, and what it holds for peers that read slowly.

    :param message_bytes: the memory that all messages take that are not forwarded yet.
    :param unread_response_bytes: the part of it that clients have not read.
    :param server_request_bytes: the requests that servers hold of this entry.
    :param descriptors: the limit of connections and files, 0 if it is not known.
    :param named_ratio: how often the directory names the entry, of what its machine could carry.
    """

    message_bytes: int
    message_limit_bytes: int
    unread_response_bytes: int
    server_request_bytes: int
    connections: int
    descriptors: int
    link_use_ratio: float
    cpu_use_ratio: float
    named_ratio: float


_RESOURCES = {
    "message_bytes": "Memory of the messages that are not forwarded yet.",
    "message_limit_bytes": "Memory that these messages may take.",
    "unread_response_bytes": "Responses that clients have not read.",
    "server_request_bytes": "Requests that servers hold of this entry.",
    "connections": "Connections of clients and to servers.",
    "descriptors": "Connections and files that the entry may open; 0 if unknown.",
    "link_use_ratio": "Part of the link's bandwidth in use; 0 if unknown.",
    "cpu_use_ratio": "Part of the processors in use; 0 if unknown.",
    "named_ratio": "How often the directory names the entry, of what its machine could carry.",
}
_GAUGES = {
    **_RESOURCES,
    "ready": "1 if the entry takes clients.",
    "facts_age_seconds": "Time since the store answered.",
    "servers": "Servers known.",
    "requests_in_flight": "Requests being answered.",
    "servers_limited": "Servers that name a rate limit.",
    "invalid_server_limits": "Answers that named an invalid rate limit.",
    "servers_leaving": "Servers that say that they leave.",
    "invalid_server_leaving": "Answers that said invalidly whether their server leaves.",
    "servers_paused": "Servers in a pause that they asked for.",
    "invalid_server_pauses": "Rejections that asked for an invalid pause.",
    "entries_known": "Entries that share limits, this and silent ones included.",
    "entries_live": "Entries that are heard, this one included.",
    "retries_in_window": "Retries in the window of the budget.",
    "retries_allowed": "Retries that this entry may send in the window of the budget.",
    "rejected_entries": "Entries in rows and messages of others that could not be used.",
    "rejected_settings": "Readings of the settings file that were refused.",
    "connections_cut": "Connections of clients closed with requests or answers unfinished.",
    "keys_accepted": "1 if requests with keys may run.",
    "intents_proof_age_seconds": "Greatest age of the proof of the intents, +Inf without one.",
    "accept_failures": "Connections of clients that could not be accepted.",
    "quota_shares": "Part of all workspaces' quotas that this entry holds as a collector.",
    "quotas_used_up": "Quotas over which this entry refused requests in the last 10 s.",
    "objects_known": "Objects that servers are known to have in memory.",
    "object_homes": "Servers that are known to have an object in memory, summed over objects.",
}
_COUNTERS = {
    "requests_total": "Requests by service and result.",
    "retries_granted_total": "Retries that the budget granted.",
    "retries_refused_total": "Retries that the budget refused.",
    "cold_requests_granted_total": "Requests that the limit on cold servers granted.",
    "cold_requests_held_back_total": "Requests that the limit on cold servers held back.",
    "cold_attempts_total": "Attempts that may have reached a server that counted as cold.",
    "abandoned_attempts_total": "Attempts ended since another server answered first.",
    "server_restarts_total": "New starts of known servers that were taken up.",
    "workspace_refusals_total": "Refused requests by workspace and kind of the refusal.",
    "quota_tokens_total": "Tokens of quotas by result: granted, refused, returned or voided.",
    "object_placements_total": "Placements on sticky routes, by where their object was.",
}


class Metrics:
    """The process's counters, gauges and histograms."""

    __slots__ = ("registry", "_gauges", "_counters", "_latency", "_workspaces")

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._workspaces: set[str] = set()
        self._counters = {
            name: aioprometheus.Counter(f"sassafraslock_{name}", text, registry=self.registry)
            for name, text in _COUNTERS.items()
        }
        self._latency = aioprometheus.Histogram(
            "sassafraslock_request_seconds",
            "Time from head to whole answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._gauges = {
            name: aioprometheus.Gauge(f"sassafraslock_{name}", text, registry=self.registry)
            for name, text in _GAUGES.items()
        }

    def record_request(self, service: str, result: str, seconds: float) -> None:
        """Count a request and record its duration.

        :param service: the service that the request was routed to, empty if no route matched.
        :param result: ``answered``, ``abandoned`` or the kind of the refusal.
        :param seconds: the time from the request's first byte to its complete response.
        """
        self._counters["requests_total"].inc({"service": service, "result": result})
        self._latency.observe({"service": service}, seconds)

    def record_refused(self, workspace: str, kind: str) -> None:
        """Count a refused request of a workspace.

        The first :data:`MAX_WORKSPACE_LABELS` workspaces get labels of their own.

        :param workspace: the name of the workspace.
        :param kind: the kind of the refusal.
        """
        if len(self._workspaces) < MAX_WORKSPACE_LABELS:
            self._workspaces.add(workspace)
        label = workspace if workspace in self._workspaces else OTHER_WORKSPACES
        self._counters["workspace_refusals_total"].inc({"workspace": label, "kind": kind})

    def record_cold_attempts(self, service: str, count: int) -> None:
        """Count attempts at servers that counted as cold.

        :param service: the service that the request was routed to.
        :param count: the number of attempts that may have reached their server.
        """
        self._counters["cold_attempts_total"].add({"service": service}, count)

    def record_abandoned_attempts(self, service: str, count: int) -> None:
        """Count attempts that were ended since another server answered first.

        :param service: the service that the request was routed to.
        :param count: the number of attempts.
        """
        self._counters["abandoned_attempts_total"].add({"service": service}, count)

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
        self._gauges["ready"].set(labels, int(ready))
        self._gauges["facts_age_seconds"].set(labels, facts_age_ms / 1000)
        self._gauges["servers"].set(labels, servers)
        self._gauges["requests_in_flight"].set(labels, in_flight)

    def set_backpressure(self, entry_id: str, gauges: BackpressureGauges) -> None:
        """Set the gauges of what servers ask for.

        :param entry_id: the entry.
        :param gauges: the values.
        """
        labels = {"entry": entry_id}
        self._gauges["servers_limited"].set(labels, gauges.limited)
        self._gauges["invalid_server_limits"].set(labels, gauges.invalid_limits)
        self._gauges["servers_leaving"].set(labels, gauges.leaving)
        self._gauges["invalid_server_leaving"].set(labels, gauges.invalid_leaving)
        self._gauges["servers_paused"].set(labels, gauges.paused)
        self._gauges["invalid_server_pauses"].set(labels, gauges.invalid_pauses)

    def set_proof(self, entry_id: str, accepted: bool, age_ms: int | None) -> None:
        """Set the gauges of the proof that keys need.

        :param entry_id: the entry.
        :param accepted: whether requests with keys may run.
        :param age_ms: the proof's greatest age, none if there is none.
        """
        labels = {"entry": entry_id}
        self._gauges["keys_accepted"].set(labels, int(accepted))
        age_s = math.inf if age_ms is None else age_ms / 1000
        self._gauges["intents_proof_age_seconds"].set(labels, age_s)

    def set_resources(self, entry_id: str, gauges: ResourceGauges) -> None:
        """Set the gauges of the machine's use.

        :param entry_id: the entry.
        :param gauges: the values.
        """
        for name in _RESOURCES:
            self._gauges[name].set({"entry": entry_id}, getattr(gauges, name))

    def set_entries(self, entry_id: str, known: int, live: int) -> None:
        """Set the gauges of the entries that this one knows.

        :param entry_id: the entry.
        :param known: the number of entries by which shared limits are divided.
        :param live: the number of those whose heartbeats arrive.
        """
        labels = {"entry": entry_id}
        self._gauges["entries_known"].set(labels, known)
        self._gauges["entries_live"].set(labels, live)

    def set_retries(self, entry_id: str, retries: retry_gate.RetryGate, now_ms: int) -> None:
        """Set the gauges of the retry budget, by service.

        :param entry_id: the entry.
        :param retries: its retries and what they may be.
        :param now_ms: the current monotonic time.
        """
        for service, usage in retries.usage(now_ms).items():
            labels = {"entry": entry_id, "service": service}
            self._gauges["retries_in_window"].set(labels, usage.retries)
            self._gauges["retries_allowed"].set(labels, usage.allowed)
            self._counters["retries_granted_total"].set(labels, retries.granted.get(service, 0))
            self._counters["retries_refused_total"].set(labels, retries.refused.get(service, 0))

    def set_cold_starts(
        self, entry_id: str, granted: int, held_back: int, server_restarts: int
    ) -> None:
        """Set the counters of the limit on cold servers and of servers that started again.

        :param entry_id: the entry.
        :param granted: the number of requests so far that the limit granted.
        :param held_back: the number so far that it held back.
        :param server_restarts: the number of new starts of known servers so far.
        """
        labels = {"entry": entry_id}
        self._counters["cold_requests_granted_total"].set(labels, granted)
        self._counters["cold_requests_held_back_total"].set(labels, held_back)
        self._counters["server_restarts_total"].set(labels, server_restarts)

    def set_objects(
        self, entry_id: str, objects: int, homes: int, placements: typing.Mapping[str, int]
    ) -> None:
        """Set the gauges and counters of objects in servers' memory.

        :param entry_id: the entry.
        :param objects: the number of objects known.
        :param homes: the number of servers that have each, summed over the objects.
        :param placements: the number of placements so far, by result.
        """
        self._gauges["objects_known"].set({"entry": entry_id}, objects)
        self._gauges["object_homes"].set({"entry": entry_id}, homes)
        for result, count in placements.items():
            labels = {"entry": entry_id, "result": result}
            self._counters["object_placements_total"].set(labels, count)

    def set_rejected(self, entry_id: str, counts: typing.Mapping[str, int]) -> None:
        """Set the gauges of the entries that others wrote and that could not be used.

        :param entry_id: the entry.
        :param counts: the number so far, by the topic of the row or the kind of the message.
        """
        for source, count in counts.items():
            self._gauges["rejected_entries"].set({"entry": entry_id, "source": source}, count)

    def set_rejected_settings(self, entry_id: str, rejected: int) -> None:
        """Set the gauge of refused settings.

        :param entry_id: the entry.
        :param rejected: how often settings were refused since the start.
        """
        self._gauges["rejected_settings"].set({"entry": entry_id}, rejected)

    def set_connections(
        self, entry_id: str, cut: typing.Mapping[cut_log.CutCause, int], accept_failures: int
    ) -> None:
        """Set the gauges of the clients' connections.

        :param entry_id: the entry.
        :param cut: the number of connections so far that were cut, by cause.
        :param accept_failures: the number so far that could not be accepted.
        """
        for cause, count in cut.items():
            self._gauges["connections_cut"].set({"entry": entry_id, "cause": cause.value}, count)
        self._gauges["accept_failures"].set({"entry": entry_id}, accept_failures)

    def set_quotas(
        self, entry_id: str, shares: float, used_up: int, counts: typing.Mapping[str, float]
    ) -> None:
        """Set the gauges and counters of the quotas of workspaces.

        :param entry_id: the entry.
        :param shares: the part of all quotas that it holds as a collector.
        :param used_up: the number of quotas over which it refused requests lately.
        :param counts: the number of tokens so far, by result.
        """
        self._gauges["quota_shares"].set({"entry": entry_id}, shares)
        self._gauges["quotas_used_up"].set({"entry": entry_id}, used_up)
        for result, count in counts.items():
            labels = {"entry": entry_id, "result": result}
            self._counters["quota_tokens_total"].set(labels, count)

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
