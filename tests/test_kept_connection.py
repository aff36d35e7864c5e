"""What a faulty server may do on a kept connection, and what becomes of the request on it."""

import asyncio

import pytest

from sassafraslock import header_names
from sassafraslock.decisions import message_quota
from sassafraslock.path import judge, send
from sassafraslock.services import server_connection

NAMES = header_names.HeaderNames(signature=b"x-signature")  # those of the product otherwise
ID_HEADER = NAMES.request_id if NAMES.request_id_echoed else b""
Outcome, Verdict = server_connection.Outcome, judge.Verdict


def answer(status, request_id, body, *headers, framing=b"length"):
    lines = [b"HTTP/1.1 " + status, NAMES.request_id + b": " + request_id, *headers]
    if framing == b"length":
        lines.append(b"content-length: %d" % len(body))
    if framing == b"chunks":
        lines.append(b"transfer-encoding: chunked")
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


SIGNED = b"x-signature: s1"
WHOLE = answer(b"200 OK", b"r-1", b"whole", SIGNED)
EARLIER = {
    "refusal": answer(b"503 Busy", b"r-0", b"shed", NAMES.not_run + b": 1", SIGNED),
    "refusal without an id": b"HTTP/1.1 503 Busy\r\nsassafraslock-not-run: 1\r\n"
    b"content-length: 4\r\n\r\nshed",
    "refusal, marked first": b"HTTP/1.1 429 Slow\r\nsassafraslock-not-run: 1\r\n"
    b"sassafraslock-request-id: r-0\r\ncontent-length: 0\r\n\r\n",
    "refusal in chunks": answer(b"503 Busy", b"r-0", b"shed", framing=b"chunks"),
    "answer": answer(b"200 OK", b"r-0", b"earlier", SIGNED),
    "failure": answer(b"500 Error", b"r-0", b"failed", SIGNED),
}
PREFIXES = [(name, n) for name, data in EARLIER.items() for n in range(1, len(data) + 1)]


class Transport(asyncio.Transport):
    def __init__(self):
        super().__init__()
        self.sent, self.closed = b"", False

    def write(self, data):
        self.sent += data

    def abort(self):
        self.closed = True

    def is_closing(self):
        return self.closed

    def get_write_buffer_size(self):
        return 0


def run(*steps):
    """Send a request, take the steps in order, and return the connection and its exchange.

    A step is bytes that arrive, "close" or "reset", each before or after the step "send".
    """

    async def scenario():
        limits = server_connection.ResponseLimits(message_quota.MessageQuota())
        connection = server_connection.Connection(ID_HEADER, limits)
        connection.connection_made(Transport())
        connection.send(b"request 0", b"r-0", False)
        connection.data_received(EARLIER["answer"])
        assert connection.release(0)
        future = None
        for step in steps:
            if step == "send":
                future = connection.send(b"request 1", b"r-1", False)
            elif step == "close":
                connection.connection_lost(None)
            elif step == "reset":
                connection.connection_lost(ConnectionResetError())
            else:
                connection.data_received(step)
        return connection, future.result() if future is not None and future.done() else None

    return asyncio.run(scenario())


def verdict_of(exchange):
    return judge.judge(send.Attempt(None, exchange, 0, 1), NAMES)


def assert_is_own_answer_or_none(exchange):
    """Nothing of another answer may reach the caller, nor may the request count as not run."""
    verdict = verdict_of(exchange)
    assert verdict in (Verdict.ANSWERED, Verdict.BROKEN, Verdict.SILENT)
    if verdict is Verdict.ANSWERED:
        assert (exchange.response.status, exchange.response.body) == (200, b"whole")
        assert all(name != NAMES.not_run for name, _ in exchange.response.headers)


# Guards against an earlier refusal, written once more, that is taken for the present answer.
@pytest.mark.parametrize("name, size", PREFIXES)
def test_an_earlier_answer_before_the_present_one_is_never_mixed_with_it(name, size):
    _, exchange = run("send", EARLIER[name][:size], WHOLE, "close")
    assert_is_own_answer_or_none(exchange)
    if size == len(EARLIER[name]):
        assert verdict_of(exchange) is Verdict.ANSWERED


# Guards against a request that is sent behind bytes which no request asked for.
@pytest.mark.parametrize("name, size", PREFIXES)
def test_a_connection_with_an_earlier_answer_between_requests_is_not_used_again(name, size):
    connection, _ = run(EARLIER[name][:size])
    assert connection.closed
    _, exchange = run(EARLIER[name][:size], "send")
    assert verdict_of(exchange) is Verdict.NOT_SENT


@pytest.mark.parametrize("name, size", PREFIXES)
def test_an_earlier_answer_after_the_present_one_changes_nothing(name, size):
    connection, exchange = run("send", WHOLE + EARLIER[name][:size])
    assert_is_own_answer_or_none(exchange)
    assert verdict_of(exchange) is Verdict.ANSWERED
    assert not connection.release(1)


PRESENT = {
    "length": WHOLE,
    "chunks": answer(b"200 OK", b"r-1", b"whole", SIGNED, framing=b"chunks"),
    "not run": answer(b"503 Busy", b"r-1", b"shed", NAMES.not_run + b": 1"),
    "no length": answer(b"200 OK", b"r-1", b"whole", SIGNED, framing=b""),
}
CUTS = [(name, n) for name, data in PRESENT.items() for n in range(len(data))]


# Guards against an answer that is cut in its head, and passed on as whole with an empty body.
@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("name, size", CUTS)
def test_an_answer_that_is_cut_is_not_whole(name, size, ending):
    data = PRESENT[name][:size]
    _, exchange = run("send", data, ending) if data else run("send", ending)
    ends_with_close = name == "no length" and ending == "close" and b"\r\n\r\n" in data
    assert verdict_of(exchange) is (Verdict.ANSWERED if ends_with_close else Verdict.BROKEN)


@pytest.mark.parametrize("name", ["length", "chunks", "no length"])
def test_an_answer_in_single_bytes_is_whole(name):
    steps = [PRESENT[name][n : n + 1] for n in range(len(PRESENT[name]))]
    _, exchange = run("send", *steps, "close")
    assert_is_own_answer_or_none(exchange)
    assert verdict_of(exchange) is Verdict.ANSWERED
