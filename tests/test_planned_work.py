"""Checks of planned work on made-up runs, and a short seeded run of real processes."""

import pathlib
import signal
import tomllib

import pytest

from soak import (
    faults,
    fleet,
    planned,
    planned_steps,
    planned_work,
    platform_client,
    platform_server,
)

SEEDS = tomllib.loads((pathlib.Path(__file__).parent.parent / "soak" / "seeds.toml").read_text())
ENTRY = "127.2.1.1"
SENT_MS = 50_000


def attempt(request_id="r1", end=platform_client.End.ANSWERED, took_ms=500, **more):
    fields = {"entry_ip": ENTRY, "service": "desk", "kind": "safe", "sent_ms": SENT_MS,
              "position": 0, **more}  # fmt: skip
    ended_ms = fields["sent_ms"] + took_ms
    return platform_client.Attempt(request_id, end=end, ended_ms=ended_ms, **fields)


def arrival(request_id="r1", at_ms=SENT_MS + 50, **more):
    return platform_server.Arrival(at_ms, request_id, "desk", **more)


def signalled(number, at_ms):
    return fleet.Signalled(at_ms, ENTRY, number)


def evidence(attempts, arrivals=(), **more):
    return planned_work.Evidence(list(attempts), list(arrivals), **more)


def calm(count=100):
    sent = [attempt(f"r{n}", sent_ms=SENT_MS + n * 100) for n in range(count)]
    arrivals = [
        arrival(a.request_id, a.sent_ms + 5, until_ms=a.sent_ms + 90, answered=True) for a in sent
    ]
    return sent, arrivals


def test_a_calm_run_breaks_nothing():
    assert evidence(*calm()).broken() == []


CUT, FAILED = platform_client.End.CUT, platform_client.End.FAILED
STOP = [signalled(signal.SIGTERM, SENT_MS - 1_000)]


@pytest.mark.parametrize(
    ("cut", "arrivals", "more"),
    [
        (attempt(end=CUT, took_ms=100), [arrival()], {}),
        (attempt(end=CUT, took_ms=100), [arrival(ran=False)], {}),
        (attempt(end=CUT, took_ms=201), [], {}),
        (attempt(end=CUT, took_ms=2_494), [arrival()], {}),
        (attempt(end=CUT, position=2), [arrival()], {}),
        (attempt(end=CUT), [arrival()], {"signals": STOP}),
        (attempt(end=FAILED), [arrival(until_ms=SENT_MS + 499)], {"signals": STOP}),
        (attempt(end=CUT), [arrival()], {"harmed": [faults.Span("127.2.1.2", 0, 99_000)]}),
        (attempt(end=CUT), [arrival()], {"harmed": [faults.Span(ENTRY, 0, SENT_MS - 4_001)]}),
        (
            attempt(end=CUT, took_ms=1_900),
            [arrival(until_ms=SENT_MS + 1_500)],
            {"signals": [signalled(signal.SIGTERM, SENT_MS - 3_001)]},
        ),
        (
            attempt(end=CUT, took_ms=1_900),
            [arrival()],
            {"signals": [signalled(signal.SIGTERM, SENT_MS - 3_001)]},
        ),
    ],
)
def test_a_request_cut_off_is_found(cut, arrivals, more):
    found = evidence([cut], arrivals, **more)
    assert found.lost() == [cut]
    assert any(text.startswith("requests without an answer: 1") for text in found.broken())


@pytest.mark.parametrize(
    ("cut", "arrivals", "more"),
    [
        (attempt(end=CUT, took_ms=200), [], {}),
        (attempt(end=CUT, position=1), [], {}),
        (attempt(end=CUT, took_ms=2_495), [arrival()], {}),
        (attempt(end=CUT), [arrival(broken=True)], {}),
        (attempt(end=CUT), [arrival()], {"harmed": [faults.Span(ENTRY, 0, SENT_MS - 3_999)]}),
        (attempt(end=CUT), [], {"lags": [faults.Span("clients", SENT_MS, SENT_MS + 400)]}),
        (attempt(end=FAILED), [arrival(until_ms=SENT_MS + 300)], {}),
        (attempt(end=FAILED), [arrival(until_ms=SENT_MS + 9, answered=True)], {"signals": STOP}),
        (
            attempt(end=CUT, took_ms=2_100),
            [arrival(until_ms=SENT_MS + 2_099)],
            {"signals": [signalled(signal.SIGTERM, SENT_MS - 3_000)]},
        ),
    ],
)
def test_a_cut_that_is_allowed_is_not_counted(cut, arrivals, more):
    assert evidence([cut], arrivals, **more).lost() == []


@pytest.mark.parametrize(
    ("late", "more", "is_found"),
    [
        (attempt(end=platform_client.End.TIMED_OUT, took_ms=3_000), {}, True),
        (attempt(end=platform_client.End.TIMED_OUT, took_ms=3_000, position=3), {}, True),
        (
            attempt(end=platform_client.End.TIMED_OUT, took_ms=3_000),
            {"harmed": [faults.Span(ENTRY, SENT_MS, SENT_MS + 100)]},
            False,
        ),
        (
            attempt(end=platform_client.End.TIMED_OUT, took_ms=3_000),
            {"lags": [faults.Span("clients", SENT_MS, SENT_MS + 400)]},
            False,
        ),
    ],
)
def test_a_request_without_an_answer_in_time_is_found(late, more, is_found):
    found = evidence([late], [arrival()], **more)
    assert (found.overdue() == [late]) is is_found
    assert bool(found.broken()) is is_found


def retried(retries, requests=300, gap_ms=100):
    """Return a steady load and one retry of each of some requests from its middle on."""
    sent = [attempt(f"r{n}", sent_ms=SENT_MS + n * gap_ms) for n in range(requests)]
    firsts = [arrival(a.request_id, a.sent_ms) for a in sent]
    some = sent[requests // 3 :][:retries]
    return sent, firsts + [arrival(a.request_id, a.sent_ms + 20) for a in some]


@pytest.mark.parametrize(
    ("retries", "used_ratio"), [(0, 0), (22, 22 / 44), (44, 1.0), (45, 45 / 44)]
)
def test_retries_are_counted_against_the_requests_of_their_window(retries, used_ratio):
    sent, arrivals = retried(retries)
    window = planned_work.fullest_window("desk", arrivals, sent)
    assert window.used_ratio == used_ratio
    found = [text for text in evidence(sent, arrivals).broken() if "retries" in text]
    assert bool(found) is (retries > 44)


def test_retries_are_counted_in_any_window_and_not_at_the_other_service():
    sent, arrivals = retried(100, gap_ms=1_000)
    assert planned_work.fullest_window("desk", arrivals, sent).retries == 10
    assert planned_work.fullest_window("ledger", arrivals, sent).retries == 0
    burst = [arrival("r3", SENT_MS + 155_000 + n) for n in range(17)]
    assert planned_work.fullest_window("desk", arrivals + burst, sent).used_ratio > 1


def test_requests_of_the_window_before_count_for_retries_that_come_late():
    sent, arrivals = retried(0, gap_ms=30)
    late = [arrival(f"r{n}", SENT_MS + 9_500 + n) for n in range(60)]
    assert planned_work.fullest_window("desk", arrivals + late, sent).used_ratio < 1
    later = [arrival(f"r{n}", SENT_MS + 16_000 + n) for n in range(60)]
    assert planned_work.fullest_window("desk", arrivals + later, sent).used_ratio > 1


@pytest.mark.parametrize(
    ("sent", "arrivals", "text"),
    [
        (attempt(kind="unsafe"), [arrival(), arrival()], "unsafe requests run twice"),
        (
            attempt(kind="unsafe", end=platform_client.End.REFUSED),
            [arrival()],
            "requests refused as not run that ran",
        ),
        (attempt(end=FAILED, reason="mixed"), [], "answers that are another's"),
        (attempt(), [arrival("r2")], "requests that nobody sent"),
        (attempt(), [arrival() for _ in range(4)], "requests at too many servers"),
    ],
)
def test_other_broken_promises_are_found(sent, arrivals, text):
    assert [found.partition(":")[0] for found in evidence([sent], arrivals).broken()] == [text]


def test_what_servers_reject_may_be_sent_again():
    unsafe = attempt(kind="unsafe")
    assert evidence([unsafe], [arrival(ran=False), arrival()]).broken() == []


@pytest.mark.parametrize(
    ("code", "asked", "killed", "is_expected"),
    [
        (0, True, False, True),
        (-9, True, True, True),
        (-9, False, True, True),
        (-9, True, False, False),
        (0, False, False, False),
        (-1, True, False, False),
        (-15, True, False, False),
        (11, True, False, False),
    ],
)
def test_a_process_ends_only_as_it_was_asked_to(code, asked, killed, is_expected):
    found = evidence([], exits=[fleet.Exit(0, "front-a", code, asked, killed)]).broken()
    assert found == (
        [] if is_expected else [f"unexpected exits: 1: ['front-a: {code} after 0 ms']"]
    )


def test_stops_that_outlast_their_time_and_a_lack_of_recovery_are_found():
    assert evidence([], overran=STOP).broken()
    assert evidence([], recovered=False).broken()


def test_schedule_of_planned_work_is_reproducible_and_draws_all_kinds():
    kinds = list(planned_steps.Kind)
    first, second = (planned_steps.draw_schedule(7, 30.0, kinds, 6) for _ in range(2))
    assert first == second != planned_steps.draw_schedule(8, 30.0, kinds, 6)
    drawn = {s.kind for n in range(9) for s in planned_steps.draw_schedule(n, 30.0, kinds, 6)}
    assert drawn == set(kinds)


def test_requests_are_answered_within_the_retry_budget_through_planned_work(tmp_path):
    size = planned.Options(seconds=8, clients=16, entries_per_zone=1)
    verdict = planned.run_seed(SEEDS["planned_short"], size, tmp_path)
    assert verdict.broken == []
    assert verdict.ends["answered"] > 0


# Each entry took the whole slack of the retry budget: 118 retries where 53 were allowed.
def test_entries_that_cannot_find_each_other_keep_to_one_retry_budget(tmp_path):
    kinds = [planned_steps.Kind.SHED]
    size = planned.Options(seconds=3, clients=30, entries_per_zone=1, groups=6, kinds=kinds)
    size.pause_s = 1.0
    verdict = planned.run_seed(SEEDS["planned_apart"], size, tmp_path)
    assert verdict.broken == []
    assert verdict.ends["answered"] > 0
