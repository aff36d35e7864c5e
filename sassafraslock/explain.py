"""Reconstructs the course of a request from the log lines of entries."""

from __future__ import annotations

import typing

import msgspec

from sassafraslock import events

CONTEXT_S = 10.0  # how long before the end of a request other events are shown
REQUEST_EVENTS = frozenset(
    (
        events.Event.REQUEST_ANSWERED,
        events.Event.REQUEST_REFUSED,
        events.Event.REQUEST_FAILED,
        events.Event.REQUEST_ABANDONED,
    )
)
ENTRY_EVENTS = frozenset(
    (
        events.Event.STORE_DOWN,
        events.Event.STORE_UP,
        events.Event.HISTORY_LOST,
        events.Event.EVACUATION_CHANGED,
        events.Event.SETTINGS_IN_FORCE,
        events.Event.PEER_LOST,
        events.Event.PROCESS_STARTED,
        events.Event.PROCESS_STOPPING,
    )
)
SERVER_EVENTS = frozenset(
    (
        events.Event.SERVER_DRAINING,
        events.Event.SERVER_JOINED,
        events.Event.SERVER_GONE,
        events.Event.SERVER_EJECTED,
        events.Event.SERVER_LIMIT_CHANGED,
        events.Event.REQUEST_QUARANTINED,
    )
)

LogLine = dict[str, typing.Any]


def parse(lines: typing.Iterable[str]) -> list[LogLine]:
    """Parse the JSON log lines of this program, and sort them by time.

    Other lines are skipped, and so is text before the first brace, which log collectors add.

    :param lines: lines of the logs of one or more entries.
    """
    parsed: list[LogLine] = []
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict) and "event" in line and "time_s" in line:
            parsed.append(line)
    parsed.sort(key=lambda line: line["time_s"])
    return parsed


def explain(lines: list[LogLine], request_id: str) -> list[str]:
    """Describe a request: its result, its attempts and the events shortly before its end.

    :param lines: parsed log lines.
    :param request_id: the id that the client sent.
    :returns: lines of text, none if no log line has this id.
    """
    report: list[str] = []
    for line in lines:
        if line["event"] in REQUEST_EVENTS and line.get("request") == request_id:
            report += _describe_request(line) + _describe_earlier_events(lines, line)
    return report


def _describe_request(line: LogLine) -> list[str]:
    status = line.get("status", "none")
    report = [
        f"{line['time_s']:.3f} {line['name']}: {line['message']}"
        f" (status {status}, {line.get('took_ms')} ms)",
        f"  {line.get('method')} {line.get('path')} from {line.get('client')}",
        f"  route {line.get('route')}, service {line.get('service')},"
        f" revision {line.get('revision')}, facts {line.get('facts_age_ms')} ms old",
    ]
    if line.get("limited_servers"):
        report.append(f"  servers left out at their rate limits: {line['limited_servers']}")
    for number, attempt in enumerate(line.get("attempts", ()), 1):
        report.append(f"  attempt {number}: {_describe_attempt(attempt)}")
    if not line.get("attempts"):
        report.append("  no attempt: the request was not sent to a server")
    return report


def _describe_attempt(attempt: LogLine) -> str:
    role = (
        "home server of its object" if attempt.get("home") else "not the home server of its object"
    )
    text = (
        f"{attempt['server']} in {attempt['region']} ({role}, load {attempt['load']},"
        f" expected {attempt['expected_ms']} ms): {attempt['verdict']} after"
        f" {attempt['took_ms']} ms"
    )
    return f"{text}: {attempt['reason']}" if attempt.get("reason") else text


def _describe_earlier_events(lines: list[LogLine], request: LogLine) -> list[str]:
    """Describe events of entries and of the tried servers shortly before the request ended."""
    servers = {attempt["server"] for attempt in request.get("attempts", ())}
    if request.get("limited_servers"):
        servers |= _limited_servers(lines, request.get("service"))
    until_s = request["time_s"]
    report: list[str] = []
    for line in lines:
        if not until_s - CONTEXT_S <= line["time_s"] <= until_s:
            continue
        concerns_server = line["event"] in SERVER_EVENTS and _servers_of(line) & servers
        if concerns_server or line["event"] in ENTRY_EVENTS:
            report.append(f"  before: {line['time_s']:.3f} {line['name']}: {_summary(line)}")
    return report


def _limited_servers(lines: list[LogLine], service: str | None) -> set[str]:
    """Return the servers of a service that named a rate limit at any time."""
    return {
        line["server"]
        for line in lines
        if line["event"] == events.Event.SERVER_LIMIT_CHANGED and line.get("service") == service
    }


def _servers_of(line: LogLine) -> set[str]:
    return {line["server"]} if "server" in line else set(line.get("servers", ()))


def _summary(line: LogLine) -> str:
    excluded = ("time_s", "level", "event", "name", "message")
    fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in excluded)
    return f"{line['message']} {fields}".rstrip()
