"""Rate limits in the heads of servers' answers: what counts as one, and which answers are heard."""

import anyio
import pytest

from sassafraslock import header_names, http_messages
from sassafraslock.decisions import registry, server_limits
from sassafraslock.services import limit_watch, upstream
from tests import fact_source, test_upstream

HEADER = header_names.HeaderNames().rate_limit
SERVER = registry.Server(fact_source.report("i-1", born_ms=1), 0)


def watch():
    return limit_watch.LimitWatch(server_limits.ServerLimits(), registry.Registry(), HEADER)


def limit_of(watcher, server=SERVER):
    return watcher.limits.limit_of(registry.start_hash(server))


def answer(*values, status=200):
    return http_messages.Response(status, [(HEADER, value) for value in values])


@pytest.mark.parametrize(
    "value, per_s", [(b"1.5", 1.5), (b"0", 0.0), (b" 12 ", 12.0), (b"1.8666666666666667", 28 / 15)]
)
def test_a_plain_decimal_number_is_a_limit(value, per_s):
    assert server_limits.parse(value) == pytest.approx(per_s)


INVALID = [b"", b"-1", b"nan", b"inf", b"1e400", b"1e2", b"1, 2", b"1;2", b"+1", b"9" * 1_000, b"x"]


@pytest.mark.parametrize("values", [[v] for v in INVALID] + [[b"1", b"1"]], ids=str)
def test_an_invalid_limit_is_counted_and_changes_nothing(values, caplog):
    watcher = watch()
    watcher.record_head(SERVER, 200, answer(b"2").headers, 10)
    for now_ms in (20, 30):
        watcher.record_head(SERVER, 200, answer(*values).headers, now_ms)
        watcher.record_answer(SERVER, answer(*values), now_ms, now_ms + 5)
    assert limit_of(watcher) == 2.0 and watcher.invalid.count == 2
    assert sum("invalid rate limit" in r.message for r in caplog.records) == 1


def test_a_limit_ends_with_an_answer_to_a_later_request_that_names_none():
    watcher = watch()
    watcher.record_head(SERVER, 200, answer(b"2").headers, 100)
    watcher.record_answer(SERVER, answer(), 90, 110)
    assert limit_of(watcher) == 2.0
    watcher.record_answer(SERVER, answer(), 120, 130)
    assert limit_of(watcher) is None


def test_the_answer_of_another_server_at_the_address_names_no_limit():
    watcher = watch()
    watcher.record_head(SERVER, http_messages.MISDIRECTED, answer(b"2").headers, 100)
    assert limit_of(watcher) is None


def test_a_restarted_server_has_no_limit_until_it_names_one():
    watcher = watch()
    watcher.record_head(SERVER, 200, answer(b"2").headers, 100)
    restarted = registry.Server(fact_source.report("i-1", born_ms=2), 200)
    assert limit_of(watcher, restarted) is None
    watcher.limits.retain({registry.start_hash(restarted)})
    assert limit_of(watcher) is None


LIMITED = test_upstream.response(head=HEADER + b": 2\r\n")
LATE = test_upstream.response(b"no", b"r-0", head=HEADER + b": 3\r\n")
HEARD = {
    "2xx": ([LIMITED], {2.0}),
    "429": ([test_upstream.response(status=b"429 X", head=HEADER + b": 2\r\n")], {2.0}),
    "503": ([test_upstream.response(status=b"503 X", head=HEADER + b": 2\r\n")], {2.0}),
    "500": ([test_upstream.response(status=b"500 X", head=HEADER + b": 2\r\n")], {2.0}),
    "another request's answer first": ([LATE, test_upstream.response()], {3.0}),
    "doubled at once": ([test_upstream.response() + LATE], {3.0}),
    "once more, later": ([test_upstream.response(), LATE], {3.0}),
    "interim": ([b"HTTP/1.1 103 X\r\n" + HEADER + b": 4\r\n\r\n", LIMITED], {2.0}),
}


@pytest.mark.parametrize("name", list(HEARD))
def test_the_limit_of_every_final_answer_is_heard(name):
    """Guards against a limit that only the answer to a request in progress can name."""
    script, limits = HEARD[name]
    heard = set()

    class Observer:
        def __call__(self, status, headers):
            heard.update(float(v) for n, v in headers if n == HEADER)

        def may_send(self):
            return True

    async def scenario(connections):
        with anyio.fail_after(5):
            address = f"{test_upstream.HOST}:{test_upstream.PORT}"
            data = b"GET / HTTP/1.1\r\n\r\n"
            await connections.exchange(address, data, test_upstream.ID, False, Observer())
        await anyio.sleep(0.05)
        assert heard == limits

    anyio.run(test_upstream.run_scenario, script, scenario, [])


def test_late_bytes_on_an_idle_connection_still_close_it():
    accepted = []

    async def scenario(connections):
        assert isinstance(connections, upstream.Upstream)
        for _ in range(2):
            await test_upstream.ask(connections)
            await anyio.sleep(0.05)

    anyio.run(test_upstream.run_scenario, [LIMITED, LATE], scenario, accepted)
    assert len(accepted) == 2
