"""Memory stays bounded for endless messages from servers, clients and other entries.

Each connection receives the bytes of such a message in random pieces, without a network.
"""

import asyncio
import itertools
import tracemalloc
import zlib

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from sassafraslock import http_messages, routing_table
from sassafraslock.decisions import crash_evidence, message_quota, quarantine, roster
from sassafraslock.services import client_connection, gossip, http_server, server_connection

MEMORY_BYTES = 4 << 20
LIMITS = routing_table.Limits(max_header_bytes=4_096, max_body_bytes=64 << 10)
MAX_HEAD_BYTES = LIMITS.max_header_bytes + server_connection.SERVER_HEADERS_BYTES
OK_HEAD = b"HTTP/1.1 200 OK\r\nx-id: r\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nhost: a\r\n"
POST = b"POST / HTTP/1.1\r\nhost: a\r\n"

BODY_CHUNK = b"c000\r\n" + b"b" * 0xC000 + b"\r\n"

ANSWERS = {
    "header lines": (OK_HEAD, b"x-filler: a\r\n"),
    "one header": (OK_HEAD + b"x-filler: ", b"a"),
    "header name": (OK_HEAD, b"a"),
    "status text": (b"HTTP/1.1 200 ", b"a"),
    "body to the end": (OK_HEAD + b"\r\n", b"a" * 997),
    "body with a length": (OK_HEAD + b"content-length: 99999999999\r\n\r\n", b"a" * 997),
    "chunk extension": (OK_HEAD + CHUNKED + b"1;", b"a"),
    "chunks": (OK_HEAD + CHUNKED, b"1\r\na\r\n"),
    "trailers": (OK_HEAD + CHUNKED + b"0\r\n", b"x: y\r\n"),
    "trailer after a body": (OK_HEAD + CHUNKED + BODY_CHUNK + b"0\r\nx: ", b"a"),
    "trailer name after a body": (OK_HEAD + CHUNKED + BODY_CHUNK + b"0\r\n", b"a"),
    "chunk extension after a body": (OK_HEAD + CHUNKED + BODY_CHUNK + b"1;", b"a"),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"),
    "foreign answers": (b"", b"HTTP/1.1 200 OK\r\nx-id: z\r\ncontent-length: 0\r\n\r\n"),
    "after a whole answer": (OK_HEAD + b"content-length: 0\r\n\r\n", b"HTTP/1.1 200 OK\r\n"),
}
REQUESTS = {
    "target": (b"GET /", b"a"),
    "header lines": (GET, b"x-filler: a\r\n"),
    "one header": (GET + b"x-filler: ", b"a"),
    "header name": (GET, b"a"),
    "body with a length": (POST + b"content-length: 99999999999\r\n\r\n", b"a" * 997),
    "chunk extension": (POST + CHUNKED + b"1;", b"a"),
    "chunks": (POST + CHUNKED, b"1\r\na\r\n"),
    "trailers": (POST + CHUNKED + b"0\r\n", b"x: y\r\n"),
    "trailer after a body": (POST + CHUNKED + BODY_CHUNK + b"0\r\nx: ", b"a"),
    "chunk extension after a body": (POST + CHUNKED + BODY_CHUNK + b"1;", b"a"),
    "pipelined": (b"", GET + b"\r\n"),
}
SENT_BYTES = 2 << 20
PHASES = (hypothesis.Phase.generate,)
SPLITS = strategies.tuples(
    strategies.lists(strategies.integers(1, 64), max_size=30),
    strategies.lists(strategies.integers(700, 100_000), min_size=1, max_size=4),
)


class Transport(asyncio.Transport):
    """A transport without a network; with ``unread``, sent bytes stay in its write buffer."""

    def __init__(self, unread=False):
        super().__init__()
        self.closed = self.paused = False
        self.unread = unread
        self.sent = bytearray()

    def write(self, data):
        self.sent += data

    def abort(self):
        self.closed = True

    close = abort

    def is_closing(self):
        return self.closed

    def get_write_buffer_size(self):
        return len(self.sent) if self.unread else 0

    def can_write_eof(self):
        return False

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False


def feed(connection, transport, case, splits):
    """Feed a case's bytes in small pieces, then in larger ones until the connection is closed."""
    first, repeated = case
    small, large = splits
    data = repeated * (max(large) // len(repeated) + 2)
    if first:
        connection.data_received(first)
    sent_bytes = 0
    for size in itertools.chain(small, itertools.cycle(large)):
        if sent_bytes >= SENT_BYTES or transport.closed or transport.paused:
            return
        start = sent_bytes % len(repeated)
        connection.data_received(data[start : start + size])
        sent_bytes += size


def assert_peak_memory_below(run_case, limit_bytes):
    tracemalloc.start()
    try:
        run_case()
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < limit_bytes


def start_exchange(quota):
    connection = server_connection.Connection(
        b"x-id", server_connection.ResponseLimits(quota, MAX_HEAD_BYTES)
    )
    transport = Transport()
    connection.connection_made(transport)
    return connection, transport, connection.send(b"", b"r", False)


@pytest.mark.parametrize("name", ANSWERS)
@hypothesis.settings(max_examples=4, phases=PHASES, deadline=None, derandomize=True)
@hypothesis.given(splits=SPLITS)
def test_an_endless_answer_is_aborted(name, splits):
    quota = message_quota.MessageQuota(MEMORY_BYTES)

    async def scenario():
        connection, transport, answer = start_exchange(quota)

        def run_case():
            feed(connection, transport, ANSWERS[name], splits)

        assert_peak_memory_below(
            run_case, 2 * quota.message_limit_bytes + 8 * max(splits[1]) + (1 << 20)
        )
        assert answer.done()
        if name == "after a whole answer":
            assert answer.result().outcome is server_connection.Outcome.ANSWERED
            assert not connection.release(0)
        else:
            assert answer.result().outcome is server_connection.Outcome.MALFORMED
            assert transport.closed
        assert quota.held_bytes == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("name", ANSWERS)
def test_many_endless_answers_share_one_limit(name):
    quota = message_quota.MessageQuota(MEMORY_BYTES)

    async def scenario():
        exchanges = [start_exchange(quota) for _ in range(60)]
        first, repeated = ANSWERS[name]
        piece = repeated * (16_000 // len(repeated))

        def run_case():
            for connection, _, _ in exchanges:
                connection.data_received(first) if first else None
            for _ in range(60):
                for connection, transport, _ in exchanges:
                    if not transport.closed:
                        connection.data_received(piece)
                assert quota.held_bytes <= quota.limit_bytes

        assert_peak_memory_below(run_case, 2 * quota.limit_bytes + 60 * 2 * MAX_HEAD_BYTES)

    asyncio.run(scenario())


def test_the_largest_connection_is_aborted_and_small_answers_are_received():
    quota = message_quota.MessageQuota(MEMORY_BYTES)

    async def scenario():
        small, _, small_answer = start_exchange(quota)
        small.data_received(OK_HEAD + b"content-length: 4\r\n\r\nok")
        large = [start_exchange(quota) for _ in range(4)]
        for connection, _, _ in large:
            connection.data_received(OK_HEAD + b"content-length: 9999999\r\n\r\n")
        for _ in range(15):
            for connection, transport, _ in large:
                if not transport.closed:
                    connection.data_received(b"a" * 16_000)
        reasons = [answer.result().reason for _, _, answer in large if answer.done()]
        assert any("holds more than" in reason for reason in reasons)
        small.data_received(b"ok")
        assert small_answer.result().response.body == b"okok"

    asyncio.run(scenario())


# Guards against a trailer or chunk header that is kept in proportion to the body before it: 8 bytes
# for each byte of the body, copied again for each piece that arrives.
@pytest.mark.parametrize("name", [name for name in ANSWERS if "after a body" in name])
def test_what_follows_a_large_body_is_bounded_like_a_head(name):
    async def scenario():
        connection, transport, _ = start_exchange(message_quota.MessageQuota())
        first, repeated = ANSWERS[name]
        connection.data_received(first.replace(BODY_CHUNK, 20 * BODY_CHUNK))
        received_bytes = 0
        while not transport.closed and received_bytes < 10 * MAX_HEAD_BYTES:
            connection.data_received(repeated * 1_000)
            received_bytes += 1_000
        assert MAX_HEAD_BYTES - 1_000 <= received_bytes <= MAX_HEAD_BYTES + 1_000

    asyncio.run(scenario())


@pytest.mark.parametrize("name", [name for name in REQUESTS if "after a body" in name])
def test_what_follows_a_large_body_of_a_request_is_bounded_like_a_head(name):
    async def scenario():
        connection, transport = client(message_quota.MessageQuota(), Handler())
        first, repeated = REQUESTS[name]
        connection.data_received(first)
        received_bytes = 0
        while not transport.sent and received_bytes < 50 * LIMITS.max_header_bytes:
            connection.data_received(repeated * 100)
            received_bytes += 100
        most_bytes = LIMITS.max_header_bytes + message_quota.PARSE_CHUNK_BYTES
        assert received_bytes <= most_bytes + 200
        assert transport.sent.startswith(b"HTTP/1.1 431")

    asyncio.run(scenario())


def test_trailers_do_not_become_headers_of_the_answer():
    async def scenario():
        connection, _, answer = start_exchange(message_quota.MessageQuota())
        connection.data_received(OK_HEAD + CHUNKED + b"2\r\nok\r\n0\r\nx-late: 1\r\n\r\n")
        response = answer.result().response
        assert response.body == b"ok" and not response.header(b"x-late")

    asyncio.run(scenario())


class Handler:
    """Returns a body of ``answer_bytes`` at once, or never returns with ``forever``."""

    def __init__(self, answer_bytes=0, forever=False):
        self.answer_bytes, self.forever, self.seen = answer_bytes, forever, []

    async def __call__(self, request):
        self.seen.append(request)
        if self.forever:
            await asyncio.sleep(3_600)
        return http_messages.Response(200, [], b"a" * self.answer_bytes)


def client(quota, handler, unread=False):
    server = http_server.HttpServer(handler, "127.0.0.1", 0, lambda request: True, quota)
    server.limits = LIMITS
    connection, transport = client_connection.Connection(server), Transport(unread)
    connection.connection_made(transport)
    return connection, transport


@pytest.mark.parametrize("name", REQUESTS)
@hypothesis.settings(max_examples=4, phases=PHASES, deadline=None, derandomize=True)
@hypothesis.given(splits=SPLITS)
def test_an_endless_request_is_refused(name, splits):
    quota = message_quota.MessageQuota(MEMORY_BYTES)
    handler = Handler(forever=True)

    async def scenario():
        connection, transport = client(quota, handler)

        def run_case():
            feed(connection, transport, REQUESTS[name], splits)

        assert_peak_memory_below(run_case, LIMITS.max_body_bytes + 8 * max(splits[1]) + (3 << 20))
        if name == "pipelined":
            assert transport.paused or transport.closed
            assert len(handler.seen) <= client_connection.MAX_PIPELINED
        else:
            assert transport.sent.startswith(b"HTTP/1.1 4")
            assert not handler.seen
        connection.connection_lost(None)
        assert quota.held_bytes == 0

    asyncio.run(scenario())


def test_incomplete_requests_below_each_limit_share_one_limit():
    quota = message_quota.MessageQuota(MEMORY_BYTES)

    async def scenario():
        body = POST + b"content-length: 60000\r\n\r\n" + b"a" * 50_000
        opened = [client(quota, Handler()) for _ in range(40)]
        for connection, _ in opened:
            connection.data_received(body)
            assert quota.held_bytes <= quota.limit_bytes
        refused = [t for _, t in opened if t.sent.startswith(b"HTTP/1.1 503")]
        assert 0 < len(refused) < 35

    asyncio.run(scenario())


# Guards against a burst of uploads that cuts off those at which servers are at work.
def test_a_request_that_is_being_received_is_refused_before_one_in_progress_is_cut():
    quota = message_quota.MessageQuota(MEMORY_BYTES)
    handler = Handler(forever=True)
    head = POST + b"content-length: 60000\r\n\r\n"

    async def scenario():
        at_work = [client(quota, handler) for _ in range(8)]
        for connection, _ in at_work:
            connection.data_received(head + b"a" * 60_000)
        reading = [client(quota, handler) for _ in range(8)]
        for connection, _ in reading:
            connection.data_received(head + b"a" * 50_000)
        await asyncio.sleep(0)
        assert not any(transport.closed or transport.sent for _, transport in at_work)
        refused = [t for _, t in reading if t.sent.startswith(b"HTTP/1.1 503")]
        assert refused and quota.held_bytes <= quota.limit_bytes
        for connection, _ in [*at_work, *reading]:
            connection.connection_lost(None)
        await asyncio.sleep(0)
        assert quota.held_bytes == 0

    asyncio.run(scenario())


def test_a_client_that_reads_no_answers_is_disconnected():
    quota = message_quota.MessageQuota(MEMORY_BYTES)
    handler = Handler(answer_bytes=50_000)

    async def scenario():
        connection, transport = client(quota, handler, unread=True)
        for _ in range(30):
            connection.data_received(GET + b"\r\n")
        await asyncio.sleep(0.01)
        assert transport.closed
        connection.connection_lost(None)
        assert quota.held_bytes == 0

    asyncio.run(scenario())


def test_reading_pauses_while_a_client_does_not_read_and_it_is_closed_in_the_end():
    async def scenario():
        connection, transport = client(message_quota.MessageQuota(), Handler(answer_bytes=10))
        connection.pause_writing()
        connection.data_received(GET + b"\r\n")
        assert transport.paused
        connection.resume_writing()
        await asyncio.sleep(0.01)
        assert b"200 OK" in transport.sent and not transport.paused
        connection.pause_writing()
        connection.enforce_timeouts(10**12)
        assert transport.closed

    asyncio.run(scenario())


def test_trailers_do_not_become_headers_of_the_request():
    handler = Handler()

    async def scenario():
        connection, _ = client(message_quota.MessageQuota(), handler)
        connection.data_received(POST + CHUNKED + b"2\r\nok\r\n0\r\nx-late: 1\r\n\r\n")
        await asyncio.sleep(0.01)
        assert handler.seen[0].body == b"ok" and not handler.seen[0].header(b"x-late")

    asyncio.run(scenario())


def test_gossip_cannot_exceed_the_members_of_the_roster():
    members = roster.Roster("own")
    for number in range(roster.MAX_MEMBERS + 100):
        members.merge_record(
            roster.MemberRecord(f"e{number}", 1, 1, "r", "z", "10.0.0.1:1", "10.0.0.1:2"), 0
        )
    assert members.entry_count() == roster.MAX_MEMBERS + 1


def test_gossip_cannot_exceed_the_suspects_of_the_quarantine():
    known = quarantine.Quarantine()
    for number in range(quarantine.MAX_SUSPECTS + 100):
        for first in range(0, 90, 15):
            servers = [f"s{first + n}" for n in range(15)]
            known.merge(quarantine.SuspectReport(f"mark-{number}", servers, servers), 0)
        assert known.size <= quarantine.MAX_SUSPECTS
    suspect = known._suspects[f"mark-{number}"]
    assert len(suspect.crashed_ms) == crash_evidence.MAX_CRASHED_SERVERS_KEPT
    assert len(suspect.refuted) == crash_evidence.MAX_CRASHED_SERVERS_KEPT


def test_a_decompressed_datagram_is_bounded():
    bomb = zlib.compress(msgspec.msgpack.encode([["a" * (64 << 20)]]))
    service = gossip.GossipService("own", "127.0.0.1:1", [], None, None)

    def run_case():
        service.merge_datagram(bomb, 0)

    assert_peak_memory_below(run_case, 3 * gossip.MAX_MESSAGE_BYTES)
    assert service.roster.entry_count() == 1
