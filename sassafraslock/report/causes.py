"""Why a request was answered late or refused, by what its log line tells."""

from __future__ import annotations

import enum

from sassafraslock import errors, events
from sassafraslock.decisions import candidates
from sassafraslock.report import log_lines


class Outcome(enum.StrEnum):
    """What became of a request; ``ANSWERED`` is for routes whose target is not in the log."""

    IN_TARGET = "in target"
    LATE = "late"
    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"


class Cause(enum.StrEnum):
    """Why an answer was late, or why a request was refused."""

    SECOND_TRY = "a second try"
    COLD_SERVER = "a cold server"
    NEW_OBJECT = "an object new to the server"
    FIRST_AT_HOME = "the entry's first request for the object at its home"
    QUEUE = "a queue"
    OTHER_REGION = "a server in another region"
    SLOW_SERVER = "a server slower than expected"
    EXPECTED_QUEUE = "the best server's queue, as expected"
    WORKSPACE_PRIORITY = "workspaces that are more urgent"
    FAIR_SHARE = "more than the workspace's fair share"
    NO_SERVER = "no server available"
    RATE_LIMIT = "rate limits that servers name"
    PAUSED = "pauses that servers ask for"
    LEAVING_SERVERS = "servers that leave"
    REJECTED = "rejected by the servers tried"
    NO_CAPACITY = "no capacity"
    NOT_READY = "an entry that starts or stops"
    UNKNOWN = "unknown"


_OUTCOMES: dict[int, Outcome] = {
    events.Event.REQUEST_REFUSED: Outcome.REFUSED,
    events.Event.REQUEST_FAILED: Outcome.FAILED,
    events.Event.REQUEST_ABANDONED: Outcome.ABANDONED,
}
_LIMITS: dict[str, Cause] = {
    candidates.Cause.WORKSPACE_PRIORITY.value: Cause.WORKSPACE_PRIORITY,
    candidates.Cause.FAIR_SHARE.value: Cause.FAIR_SHARE,
}
_REFUSALS: dict[str, Cause] = {
    errors.ErrorKind.NO_SERVER: Cause.NO_SERVER,
    errors.ErrorKind.SERVER_RATE_LIMIT: Cause.RATE_LIMIT,
    errors.ErrorKind.NO_CAPACITY: Cause.NO_CAPACITY,
    errors.ErrorKind.NOT_READY: Cause.NOT_READY,
    errors.ErrorKind.LEAVING: Cause.NOT_READY,
}


def outcome(line: log_lines.LogLine) -> Outcome | None:
    """Return what became of a request, or none if the line is not the end of a request.

    :param line: the line.
    """
    if line.event != events.Event.REQUEST_ANSWERED:
        return _OUTCOMES.get(line.event)
    if not line.target_ms:
        return Outcome.ANSWERED
    return Outcome.IN_TARGET if line.took_ms <= line.target_ms else Outcome.LATE


def of_late_answer(line: log_lines.LogLine) -> Cause:
    """Return the first cause that applies to a late answer.

    :param line: the line.
    """
    if not line.attempts:
        return Cause.UNKNOWN
    last = line.attempts[-1]
    if len(line.attempts) > 1:
        return Cause.SECOND_TRY
    if last.cold:
        return Cause.COLD_SERVER
    if last.object_is == log_lines.NEW:
        return Cause.NEW_OBJECT
    if last.is_full:
        return Cause.QUEUE
    if last.object_is == log_lines.HOME:
        return Cause.FIRST_AT_HOME
    return Cause.OTHER_REGION if _is_remote(line, last) else Cause.SLOW_SERVER


def of_refusal(line: log_lines.LogLine) -> str:
    """Return the cause of a refusal, which is its error kind if nothing more is known.

    :param line: the line.
    """
    if line.limited_by in _LIMITS:
        return _LIMITS[line.limited_by]
    if line.best is not None:
        return Cause.EXPECTED_QUEUE
    if line.kind == errors.ErrorKind.SERVER_PAUSED:
        return Cause.PAUSED
    if line.attempts:
        return Cause.REJECTED
    if line.kind == errors.ErrorKind.NO_SERVER and line.leaving_servers:
        return Cause.LEAVING_SERVERS
    return _REFUSALS.get(line.kind, line.kind or Cause.UNKNOWN)


def _is_remote(line: log_lines.LogLine, attempt: log_lines.Attempt) -> bool:
    return bool(line.entry_region) and attempt.region != line.entry_region
