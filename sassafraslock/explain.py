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
        events.Event.WORKSPACE_INVALID,
        events.Event.KEYS_PROVEN,
        events.Event.KEYS_UNPROVEN,
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
        events.Event.SERVER_LEAVING,
        events.Event.SERVER_PAUSED,
        events.Event.REQUEST_QUARANTINED,
        events.Event.CRASH_SUSPECTED,
        events.Event.SERVER_RESTARTED,
        events.Event.COLD_LIMIT_REACHED,
    )
)
# Which events tell of the servers that a field of a request counts, and what the field says.
LEFT_OUT: dict[str, tuple[events.Event, str]] = {
    "limited_servers": (events.Event.SERVER_LIMIT_CHANGED, "at their rate limits"),
    "paused_servers": (events.Event.SERVER_PAUSED, "in pauses that they asked for"),
    "leaving_servers": (events.Event.SERVER_LEAVING, "since they leave"),
}

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
    for field, (_, text) in LEFT_OUT.items():
        if line.get(field):
            report.append(f"  servers left out {text}: {line[field]}")
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
        f" expected {attempt['expected_ms']} ms{_describe_start(attempt)}):"
        f" {attempt['verdict']} after {attempt['took_ms']} ms"
    )
    return f"{text}: {attempt['reason']}" if attempt.get("reason") else text


def _describe_start(attempt: LogLine) -> str:
    """Describe the server's start and the connection, which older versions did not log."""
    start = f", start {attempt['born_ms']}" if "born_ms" in attempt else ""
    connection = f", {attempt['connection']} connection" if "connection" in attempt else ""
    return f"{', cold' if attempt.get('cold') else ''}{start}{connection}"


def _describe_earlier_events(lines: list[LogLine], request: LogLine) -> list[str]:
    """Describe events of entries and of the tried servers shortly before the request ended."""
    asked = _latest_asked(lines, request)
    servers = {attempt["server"] for attempt in request.get("attempts", ())}
    servers |= {line["server"] for line in asked}
    until_s = request["time_s"]
    report: list[str] = []
    for line in lines:
        if line["time_s"] > until_s:
            break
        is_recent = line["time_s"] >= until_s - CONTEXT_S
        concerns_server = line["event"] in SERVER_EVENTS and _servers_of(line) & servers
        is_context = is_recent and (concerns_server or line["event"] in ENTRY_EVENTS)
        if is_context or line in asked:
            report.append(f"  before: {line['time_s']:.3f} {line['name']}: {_summary(line)}")
    return report


def _latest_asked(lines: list[LogLine], request: LogLine) -> list[LogLine]:
    """Return the latest event, however old, of each server that a request may have left out."""
    told_by = {event for field, (event, _) in LEFT_OUT.items() if request.get(field)}
    latest: dict[tuple[int, str], LogLine] = {}
    for line in lines:
        is_asked = line["event"] in told_by and line.get("service") == request.get("service")
        if is_asked and line["time_s"] <= request["time_s"]:
            latest[line["event"], line["server"]] = line
    return list(latest.values())


def _servers_of(line: LogLine) -> set[str]:
    return {line["server"]} if "server" in line else set(line.get("servers", ()))


def _summary(line: LogLine) -> str:
    excluded = ("time_s", "level", "event", "name", "message")
    fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in excluded)
    return f"{line['message']} {fields}".rstrip()
