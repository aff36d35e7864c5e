"""Fifth stage: what an attempt's outcome means for the request and for the server."""

from __future__ import annotations

import enum

from sassafraslock import header_names, http_messages
from sassafraslock.path import send
from sassafraslock.services import server_connection

MISDIRECTED = 421
SERVER_ERROR = 500


class Verdict(enum.Enum):
    """What came of an attempt.

    Only :attr:`NOT_SENT` and :attr:`NOT_RUN` say that the server did not run the request.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    MISDIRECTED = "misdirected"
    BROKEN = "broken"
    SILENT = "silent"

    @property
    def certainly_not_run(self) -> bool:
        """Whether the server certainly did not run the request."""
        return self in (Verdict.NOT_SENT, Verdict.NOT_RUN, Verdict.MISDIRECTED)


def judge(attempt: send.Attempt, names: header_names.HeaderNames) -> Verdict:
    """Return what an attempt came to.

    :param attempt: the attempt.
    :param names: the header names in use.
    """
    exchange = attempt.exchange
    if exchange is None:
        return Verdict.SILENT
    if exchange.outcome is server_connection.Outcome.NOT_CONNECTED:
        return Verdict.NOT_SENT
    if exchange.outcome is not server_connection.Outcome.ANSWERED or exchange.response is None:
        return Verdict.BROKEN
    return _judge_response(exchange.response, names)


def _judge_response(response: http_messages.Response, names: header_names.HeaderNames) -> Verdict:
    if response.status == MISDIRECTED:
        return Verdict.MISDIRECTED
    if response.header(names.not_run):
        return Verdict.NOT_RUN
    if names.signature and not response.header(names.signature):
        return Verdict.BROKEN
    if response.status >= SERVER_ERROR:
        return Verdict.FAILED
    return Verdict.ANSWERED
