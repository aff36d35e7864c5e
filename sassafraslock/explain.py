"""Tells a request's way, and what was believed then, from the log lines of entries."""

from __future__ import annotations

import typing

import msgspec

from sassafraslock import events

CONTEXT_S = 10.0
REQUEST_EVENTS = frozenset(
    (
        events.Event.REQUEST_ANSWERED,
        events.Event.REQUEST_REFUSED,
        events.Event.REQUEST_FAILED,
        events.Event.REQUEST_ABANDONED,
    )
)
BELIEF_EVENTS = frozenset(
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
        events.Event.REQUEST_QUARANTINED,
    )
)

Line = dict[str, typing.Any]


def parse(lines: typing.Iterable[str]) -> list[Line]:
    """Return the log lines that are JSON objects of this program, in the order of their time.

    Text before the first brace, as log collectors put there, is left out.

    :param lines: the lines as written.
    """
    found: list[Line] = []
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict) and "event" in line and "time_s" in line:
            found.append(line)
    found.sort(key=lambda line: line["time_s"])
    return found


def explain(lines: list[Line], request_id: str) -> list[str]:
    """Return a request's way in words, empty where no line bears its id.

    :param lines: parsed log lines.
    :param request_id: the id that the client sent.
    """
    told: list[str] = []
    for line in lines:
        if line["event"] in REQUEST_EVENTS and line.get("request") == request_id:
            told += _way(line) + _context(lines, line)
    return told


def _way(line: Line) -> list[str]:
    status = line.get("status", "none")
    told = [
        f"{line['time_s']:.3f} {line['name']}: {line['message']}"
        f" (status {status}, {line.get('took_ms')} ms)",
        f"  {line.get('method')} {line.get('path')} from {line.get('client')}",
        f"  route {line.get('route')}, service {line.get('service')},"
        f" revision {line.get('revision')}, facts {line.get('facts_age_ms')} ms old",
    ]
    for number, attempt in enumerate(line.get("attempts", ()), 1):
        told.append(f"  attempt {number}: {_attempt(attempt)}")
    if not line.get("attempts"):
        told.append("  no attempt: it did not run")
    return told


def _attempt(attempt: Line) -> str:
    place = "home of its object" if attempt.get("home") else "not the home of its object"
    words = (
        f"{attempt['server']} in {attempt['region']} ({place}, load {attempt['load']},"
        f" expected {attempt['expected_ms']} ms): {attempt['verdict']} after"
        f" {attempt['took_ms']} ms"
    )
    return f"{words}: {attempt['reason']}" if attempt.get("reason") else words


def _context(lines: list[Line], request: Line) -> list[str]:
    """Return what the entry's beliefs went through shortly before the request ended."""
    servers = {attempt["server"] for attempt in request.get("attempts", ())}
    until_s = request["time_s"]
    told: list[str] = []
    for line in lines:
        if not until_s - CONTEXT_S <= line["time_s"] <= until_s:
            continue
        about_server = line["event"] in SERVER_EVENTS and _servers_of(line) & servers
        if about_server or line["event"] in BELIEF_EVENTS:
            told.append(f"  before: {line['time_s']:.3f} {line['name']}: {_summary(line)}")
    return told


def _servers_of(line: Line) -> set[str]:
    return {line["server"]} if "server" in line else set(line.get("servers", ()))


def _summary(line: Line) -> str:
    left_out = ("time_s", "level", "event", "name", "message")
    fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in left_out)
    return f"{line['message']} {fields}".rstrip()
