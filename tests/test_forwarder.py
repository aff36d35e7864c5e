"""Attempts of one request at servers that answer, reject or fail at any time, in virtual time."""

import asyncio
import dataclasses
import types

import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock import errors, header_names, http_messages, routing_table
from sassafraslock.decisions import candidates, quarantine, registry, route_latency, server_health
from sassafraslock.path import forwarder, judge, read, request_context, route, send
from sassafraslock.services import server_connection
from tests import fact_source, virtual_time

NAMES = header_names.HeaderNames(signature=b"x-signature")
LIMIT_MS = 2_000
MARGIN_MS = 25  # without as much time left, no attempt is made
OUTCOMES = {
    "answer": (200, [(b"x-signature", b"s")]),
    "failure": (500, [(b"x-signature", b"s")]),
    "rejection": (503, [(NAMES.not_run, b"1")]),
    "other server": (421, []),
    "unsigned": (200, []),
}


@dataclasses.dataclass
class Server:
    """A server that ends an attempt in one way after a time, and what became of its attempt."""

    kind: str
    delay_ms: int
    started_ms: int | None = None
    cancelled_ms: int | None = None

    async def exchange(self):
        self.started_ms = virtual_time.now_ms()
        try:
            await asyncio.sleep(self.delay_ms / 1_000)
        except asyncio.CancelledError:
            self.cancelled_ms = virtual_time.now_ms()
            raise
        if self.kind == "reset":
            return server_connection.Exchange(server_connection.Outcome.BROKEN, reason="lost")
        if self.kind == "no connection":
            return server_connection.Exchange(server_connection.Outcome.NOT_CONNECTED)
        response = http_messages.Response(*OUTCOMES[self.kind])
        return server_connection.Exchange(server_connection.Outcome.ANSWERED, response)


class Servers:
    """Takes the places of what places, sends, records and limits the attempts of a request."""

    region = "a"

    def __init__(self, servers, retries):
        self.servers, self.retries = servers, retries
        self.health = [server_health.ServerHealth() for _ in servers]

    def place(self, request, now_ms):
        for number in range(len(self.servers)):
            if f"i-{number}" not in request.tried:
                server = registry.Server(fact_source.report(f"i-{number}"), 0)
                known = route_latency.ObjectAffinity.KNOWN
                return candidates.Choice(server, 100.0, known, 0.0, not number, False)
        return errors.Refusal(errors.ErrorKind.NO_SERVER, "none is left")

    def health_of(self, server):
        return self.health[int(server.server_id.partition("-")[2])]

    def paused_refusal(self, request, now_ms):
        return None

    def start(self, routed, choice, health, now_ms):
        server = self.servers[int(choice.server.server_id.partition("-")[2])]
        return send.PendingAttempt(choice, health, now_ms, asyncio.ensure_future(server.exchange()))

    def record(self, routed, request, attempt, verdict, health):
        pass

    def try_acquire(self, service, now_ms):
        self.retries -= 1
        return self.retries >= 0


def forward(monkeypatch, world, idempotent=True, attempts=3):
    """Return what a request gets, when, and its state."""
    ended = types.SimpleNamespace()

    async def main():
        started_ms = virtual_time.now_ms()
        head = [(b"host", b"h"), (NAMES.deadline_ms, b"%d" % LIMIT_MS)]
        request = http_messages.Request("GET", "/x/1", head, b"", "10.0.0.1", started_ms)
        service = routing_table.Service("s", 330, 0, 5.0)
        matched = fact_source.route(attempts=attempts, idempotent=idempotent)
        routed = route.RoutedRequest(
            read.read(request, NAMES), matched, service, 7, idempotent, "/x/1"
        )
        ended.context = request_context.RequestContext(routed.incoming, routed)
        wanted = candidates.PlacementRequest(matched, service, "k", LIMIT_MS, idempotent)
        crashes = quarantine.Quarantine()
        shared = forwarder.Forwarder(world, world, world, world, NAMES, crashes, lambda: 1)
        ended.outcome = await shared.forward(ended.context, routed, wanted)
        ended.after_ms = virtual_time.now_ms() - started_ms
        ended.deadline_ms = started_ms + LIMIT_MS
        await asyncio.sleep(0.001)

    virtual_time.run(monkeypatch, main)
    return ended


SERVER = st.builds(
    Server,
    st.sampled_from(["answer", *OUTCOMES, "reset", "no connection"]),
    st.integers(0, 2 * LIMIT_MS),
)


# Guards against LOST: a server's work was given up for another server that did not answer.
@hypothesis.given(st.lists(SERVER, min_size=1, max_size=5), st.integers(0, 4), st.booleans())
@hypothesis.settings(deadline=None, derandomize=True, max_examples=400)
def test_no_work_is_given_up_without_an_answer_and_each_answer_in_time_is_passed_on(
    servers, retries, idempotent
):
    world = Servers(servers, retries)
    with pytest.MonkeyPatch.context() as monkeypatch:
        ended = forward(monkeypatch, world, idempotent)
    is_answered = isinstance(ended.outcome, http_messages.Response) and ended.outcome.status == 200
    started = [s for s in servers if s.started_ms is not None]
    for server in started:
        end_ms = server.started_ms + server.delay_ms
        if server.kind == "answer" and end_ms < ended.deadline_ms:
            assert is_answered
        if server.cancelled_ms is not None:
            assert is_answered or server.cancelled_ms >= ended.deadline_ms
    assert ended.after_ms <= LIMIT_MS + 1
    may_run = [s for s in started if s.kind not in ("no connection",)]
    assert len(may_run) <= (3 if idempotent else len(servers))
    assert [health.in_flight for health in world.health] == [0] * len(servers)
    if isinstance(ended.outcome, errors.Refusal) and ended.outcome.properties.not_run:
        assert {s.kind for s in started} <= {"rejection", "other server", "no connection"}
        assert all(s.cancelled_ms is None for s in started)


def test_a_request_that_must_not_be_repeated_has_one_server_at_work(monkeypatch):
    servers = [Server("answer", 1_500), Server("answer", 10)]
    ended = forward(monkeypatch, Servers(servers, 4), idempotent=False)
    assert ended.outcome.status == 200 and ended.after_ms == 1_500
    assert servers[1].started_ms is None


def test_answers_in_the_same_moment_are_no_abandoned_work(monkeypatch):
    servers = [Server("answer", 1_000), Server("answer", 520)]
    ended = forward(monkeypatch, Servers(servers, 4))
    assert ended.outcome.status == 200
    assert [attempt.abandoned for attempt, _ in ended.context.attempts] == [False, False]


def test_the_answered_attempt_is_recorded_last(monkeypatch):
    servers = [Server("answer", 1_500), Server("answer", 10)]
    ended = forward(monkeypatch, Servers(servers, 4))
    verdicts = [verdict for _, verdict in ended.context.attempts]
    assert verdicts == [judge.Verdict.SILENT, judge.Verdict.ANSWERED]


def test_an_error_of_one_attempt_ends_the_others(monkeypatch):
    servers = [Server("answer", 1_500), Server("no such kind", 10)]
    world = Servers(servers, 4)
    with pytest.raises(KeyError):
        forward(monkeypatch, world)
    assert [health.in_flight for health in world.health] == [0, 0]
    assert servers[0].cancelled_ms is not None
