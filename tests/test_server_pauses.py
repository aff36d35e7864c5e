"""Pauses that servers ask for: their headers, their ends, and the slow start after each."""

import email.utils

import pytest

from sassafraslock.decisions import server_pauses

START = 7
WALL_MS = 1_780_000_000_000


def date(seconds):
    return email.utils.formatdate(WALL_MS / 1_000 + seconds, usegmt=True).encode()


VALID = [(b"1", 1_000), (b"0.3", 300), (b"1.5", 1_500), (b"0", 0), (b"0.0", 0), (b" 2\t", 2_000)]
VALID += [(b"0.0001", 1), (b"3600", 3_600_000), (date(30), 30_000), (date(-5), 0), (date(0), 0)]
VALID += [(b"31536000", 31_536_000_000), (b"9" * 18, server_pauses.MAX_PAUSE_MS)]
VALID += [(b"Fri, 31 Dec 9999 23:59:59 GMT", server_pauses.MAX_PAUSE_MS)]
VALID += [(b"Fri, 31 Dec 0000 23:59:59 GMT", 0)]


@pytest.mark.parametrize("value, pause_ms", VALID)
def test_seconds_and_dates_are_pauses(value, pause_ms):
    assert server_pauses.parse(value, WALL_MS) == pause_ms


INVALID = [b"", b" ", b"-1", b"nan", b"inf", b"1e400", b"1e2", b"+1", b"1, 2", b"1s", b".5", b"0x1"]
INVALID += [b"9" * 1_000, b"1." + b"0" * 500, "１".encode(), b"\xb2", b"soon", date(5)[:-4]]
INVALID += [b"Fri, 99 Dec 2026 23:59:59 GMT", b"Fri, 31 Foo 2026 23:59:59 GMT"]
INVALID += [b"Fri, 31 Dec 2026 25:61:61 GMT", date(5) + b"\r\n"]


@pytest.mark.parametrize("value", INVALID, ids=lambda v: str(v)[:30])
def test_anything_else_is_invalid(value):
    assert server_pauses.parse(value, WALL_MS) is None


def paused(pause_ms, now_ms=0, own_id="e-1"):
    pauses = server_pauses.ServerPauses(own_id)
    pauses.record(START, pause_ms, now_ms)
    return pauses


def end_ms(pauses, now_ms=0):
    return now_ms + pauses.left_ms(START, now_ms)


@pytest.mark.parametrize("pause_ms", [1, 300, 3_600_000, server_pauses.MAX_PAUSE_MS])
def test_a_pause_lasts_at_least_as_long_as_asked(pause_ms):
    pauses = paused(pause_ms)
    end = end_ms(pauses)
    assert pause_ms <= end <= pause_ms * 1.25 and end <= pause_ms + server_pauses.MAX_SPREAD_MS
    assert not pauses.may_send(START, end - 1) and pauses.is_paused(START, end - 1)
    assert pauses.may_send(START, end) and not pauses.is_paused(START, end)
    assert pauses.wait_ms(START, 0) == end and pauses.wait_ms(START, end) == 0


def test_of_several_pauses_the_one_that_ends_last_holds():
    pauses = paused(2_000)
    end = end_ms(pauses)
    assert not pauses.record(START, 100, 500) and end_ms(pauses, 500) == end
    assert not pauses.record(START, 5_000, 600) and end_ms(pauses, 600) >= 5_600


def test_no_time_is_no_pause():
    pauses = paused(0)
    assert pauses.may_send(START, 0) and not pauses


# Guards against a burst of all entries at a server whose pause they were told at the same time.
def test_entries_end_the_same_pause_at_different_times():
    ends = sorted(end_ms(paused(4_000, own_id=f"e-{n}")) for n in range(195))
    at_once = max(sum(0 <= end - first < 100 for end in ends) for first in ends)
    assert at_once <= 40 and ends[-1] - ends[0] > 900


def test_one_request_goes_first_and_each_answer_lets_one_more_run():
    pauses = paused(1_000)
    now_ms = end_ms(pauses)
    running, most = 0, []
    for _ in range(server_pauses.SLOW_START_ANSWERS):
        while pauses.may_send(START, now_ms):
            pauses.acquire(START, now_ms)
            running += 1
        most.append(running)
        assert pauses.wait_ms(START, now_ms) == server_pauses.SLOW_START_WAIT_MS
        pauses.record_answer(START, now_ms)
        running -= 1
    assert most == list(range(1, 9)) and not pauses


def test_answers_to_requests_before_the_end_of_the_pause_do_not_count():
    pauses = paused(1_000)
    now_ms = end_ms(pauses)
    pauses.acquire(START, now_ms)
    pauses.record_answer(START, now_ms - 1)
    assert not pauses.may_send(START, now_ms + 10)


# Guards against a server that never gets a request again since one of the slow start was lost.
def test_a_request_that_is_not_answered_is_followed_by_another():
    pauses = paused(1_000)
    now_ms = end_ms(pauses)
    for _ in range(5):
        assert pauses.may_send(START, now_ms)
        pauses.acquire(START, now_ms)
        assert not pauses.may_send(START, now_ms + server_pauses.LOST_AFTER_MS - 1)
        now_ms += server_pauses.LOST_AFTER_MS


def test_a_pause_in_the_slow_start_begins_anew():
    pauses = paused(1_000)
    now_ms = end_ms(pauses)
    pauses.acquire(START, now_ms)
    pauses.record_answer(START, now_ms)
    assert pauses.record(START, 500, now_ms) and not pauses.may_send(START, now_ms + 499)
    pauses.acquire(START, now_ms := end_ms(pauses, now_ms))
    assert not pauses.may_send(START, now_ms)


def test_pauses_of_servers_that_are_gone_are_discarded():
    pauses = paused(1_000)
    pauses.retain({START + 1})
    assert not pauses and pauses.may_send(START, 0)


# Guards against a new start that gets nothing for as long as the old one asked for a pause.
def test_the_pause_of_a_start_that_may_have_ended_is_forgotten():
    pauses = server_pauses.ServerPauses("e-1")
    pauses.record(START, 60_000, 0)
    pauses.record(START + 1, 60_000, 0)
    pauses.forget_start(START)
    assert pauses.may_send(START, 10) and not pauses.may_send(START + 1, 10)
    assert pauses.record(START, 1_000, 20) and pauses.is_paused(START, 20)
