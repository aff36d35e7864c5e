"""The verdict on each result of an attempt; with three of them, the request has not run."""

import pytest

from sassafraslock import header_names, http_messages
from sassafraslock.decisions import candidates, registry
from sassafraslock.path import judge, send
from sassafraslock.services import server_connection
from tests import fact_source

NAMES = header_names.HeaderNames(signature=b"x-signature", request_id_echoed=True)
SIGNED = [(b"x-signature", b"s")]
NOT_RUN = [(NAMES.not_run, b"1")]
Outcome, Verdict = server_connection.Outcome, judge.Verdict


def attempt(end=Outcome.ANSWERED, status=200, headers=SIGNED, exchange=True):
    server = registry.Server(fact_source.report("i-1"), 0)
    choice = candidates.Choice(server, 1.0, True, 0.0, True, False)
    response = http_messages.Response(status, list(headers)) if end is Outcome.ANSWERED else None
    exchange_ = server_connection.Exchange(end, response) if exchange else None
    return send.Attempt(choice, exchange_, 0, 10)


CASES = {
    "signed success": (attempt(), Verdict.ANSWERED),
    "signed client error": (attempt(status=404), Verdict.ANSWERED),
    "signed failure": (attempt(status=500), Verdict.FAILED),
    "signed time-out of the server": (attempt(status=504), Verdict.FAILED),
    "success without a signature": (attempt(headers=[]), Verdict.BROKEN),
    "failure without a signature": (attempt(status=503, headers=[]), Verdict.BROKEN),
    "shed": (attempt(status=503, headers=NOT_RUN), Verdict.NOT_RUN),
    "too many": (attempt(status=429, headers=NOT_RUN), Verdict.NOT_RUN),
    "another server has the address": (attempt(status=421, headers=[]), Verdict.MISDIRECTED),
    "no connection": (attempt(Outcome.NOT_CONNECTED), Verdict.NOT_SENT),
    "reset or closed": (attempt(Outcome.BROKEN), Verdict.BROKEN),
    "bytes that are no answer": (attempt(Outcome.MALFORMED), Verdict.BROKEN),
    "no answer in time": (attempt(exchange=False), Verdict.SILENT),
}


@pytest.mark.parametrize("name", list(CASES))
def test_each_outcome_has_its_verdict(name):
    attempt_, verdict = CASES[name]
    assert judge.judge(attempt_, NAMES) is verdict


def test_only_unsent_and_refused_requests_count_as_not_run():
    certain = {v for v in Verdict if v.certainly_not_run}
    assert certain == {Verdict.NOT_SENT, Verdict.NOT_RUN, Verdict.MISDIRECTED}


def test_a_response_needs_no_signature_if_servers_do_not_sign():
    assert judge.judge(attempt(headers=[]), header_names.HeaderNames()) is Verdict.ANSWERED
