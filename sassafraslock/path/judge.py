"""Fifth stage: classifies the result of an attempt."""

from __future__ import annotations

import enum

from sassafraslock import header_names, http_messages
from sassafraslock.path import send
from sassafraslock.services import server_connection

SERVER_ERROR = 500
NOTHING_SENT = (server_connection.Outcome.NOT_CONNECTED, server_connection.Outcome.WITHHELD)


class Verdict(enum.Enum):
    """The result of an attempt.

    With :attr:`NOT_SENT`, :attr:`NOT_RUN` and :attr:`MISDIRECTED`, the server did not run the
    request. With every other verdict it may have run it.
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
        """Whether a retry cannot run the request a second time."""
        return self in (Verdict.NOT_SENT, Verdict.NOT_RUN, Verdict.MISDIRECTED)


def judge(attempt: send.Attempt, names: header_names.HeaderNames) -> Verdict:
    """Return the verdict on an attempt.

    If servers sign their responses, one without the signature header counts as broken, since only
    the signature shows that it is the server's complete response.

    :param attempt: the ended attempt.
    :param names: the configured header names.
    """
    exchange = attempt.exchange
    if exchange is None:
        return Verdict.SILENT
    if exchange.outcome in NOTHING_SENT:
        return Verdict.NOT_SENT
    if exchange.outcome is not server_connection.Outcome.ANSWERED or exchange.response is None:
        return Verdict.BROKEN
    return _judge_response(exchange.response, names)


def _judge_response(response: http_messages.Response, names: header_names.HeaderNames) -> Verdict:
    if response.status == http_messages.MISDIRECTED:
        return Verdict.MISDIRECTED
    if response.header(names.not_run):
        return Verdict.NOT_RUN
    if names.signature and not response.header(names.signature):
        return Verdict.BROKEN
    if response.status >= SERVER_ERROR:
        return Verdict.FAILED
    return Verdict.ANSWERED
