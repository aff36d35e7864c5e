"""When a failed attempt may be tried again, and the budget for it."""

from __future__ import annotations

import enum

RETRY_RATIO = 0.1
MAX_SAVED_RETRIES = 10.0
MAX_ATTEMPTS = 3


class AttemptEnd(enum.Enum):
    """How an attempt on a server ended."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    REFUSED_NOT_RUN = "refused as not run"
    BROKE_MID_RUN = "broke mid-run"
    TIMED_OUT = "timed out"


class RetryBudget:
    """Keeps retries of all requests under a fixed part of the first attempts."""

    __slots__ = ("_saved",)

    def __init__(self) -> None:
        self._saved = 0.0

    def note_request(self) -> None:
        """Count a first attempt."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRY_RATIO)

    def take(self) -> bool:
        """Take one retry if the budget allows it."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


def may_retry(end: AttemptEnd, idempotent: bool, attempts: int, left_ms: int) -> bool:
    """Tell whether an attempt may be followed by another on another server.

    :param end: how the attempt ended.
    :param idempotent: whether the request may run twice.
    :param attempts: the attempts made so far.
    :param left_ms: the time left to the deadline.
    """
    if attempts >= MAX_ATTEMPTS or left_ms <= 0:
        return False
    if end in (AttemptEnd.NOT_SENT, AttemptEnd.REFUSED_NOT_RUN):
        return True
    return idempotent and end is AttemptEnd.BROKE_MID_RUN
