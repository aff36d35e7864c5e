"""Small deciders: shift, drain, retry, quarantine, routing, revisions, breaker, borrow, blocks."""

import ipaddress

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from sassafraslock import errors, messages, shared_settings
from sassafraslock.decisions import (
    borrow,
    breaker,
    client_blocks,
    drain,
    quarantine,
    retry,
    revisions,
    routing,
    shift,
)
from tests import test_membership

SERVICE = shared_settings.Service({}, idempotent_paths=["POST /search*"])
SHARES = st.lists(st.floats(0.01, 1.0), min_size=3, max_size=3)


def split(shares):
    return {f"r{n}": share / sum(shares) for n, share in enumerate(shares)}


@hypothesis.given(SHARES, SHARES)
@hypothesis.settings(derandomize=True, deadline=None)
def test_exactly_the_distance_of_two_splits_moves(one, other):
    accepted, current = split(one), split(other)
    places = [(n + 0.5) / 3000 for n in range(3000)]
    moved = sum(
        shift.region_at(accepted, accepted, p, 0.3) != shift.region_at(accepted, current, p, 0.3)
        for p in places
    )
    assert abs(moved / 3000 - shift.distance(accepted, current)) < 0.005


def test_a_plan_steps_by_the_cap_once_a_window():
    plan = shared_settings.Shift({"b": 1.0}, 1000)
    reached = [
        round(shift.planned({"a": 1.0}, plan, 0.25, 100, at_ms).get("b", 0.0), 6)
        for at_ms in (999, 1000, 1099, 1100, 1200, 1300, 9999)
    ]
    assert reached == [0.0, 0.25, 0.25, 0.5, 0.75, 1.0, 1.0]


def test_unusable_regions_give_their_share_to_the_others():
    wanted = {"a": 0.5, "b": 0.25, "c": 0.25}
    assert shift.without(wanted, {"a"}, ["b", "c"]) == {"b": 0.5, "c": 0.5}
    assert shift.without({"a": 1.0}, {"a"}, ["b"]) == {"b": 1.0}
    assert shift.without({"a": 1.0}, {"a"}, []) == {"a": 1.0}


@pytest.mark.parametrize(
    ("method", "path", "idempotent"),
    [("GET", "/x", True), ("POST", "/x", False), ("POST", "/search/7", True), ("PUT", "/", False)],
)
def test_unsafe_methods_default_to_not_idempotent(method, path, idempotent):
    assert routing.is_idempotent(SERVICE, method, path) is idempotent


@pytest.mark.parametrize(
    ("header", "found"),
    [("", 5000), ("100", 100), ("999999", 30_000), ("0", None), ("1.5", None), ("²", None)],
)
def test_deadlines_are_checked(header, found):
    result = routing.deadline_of(SERVICE, header)
    if found is None:
        assert result.kind is errors.ErrorKind.BAD_REQUEST
    else:
        assert result == found


def test_each_sign_alone_drains():
    for sign in ("intent", "vm_leaving", "own_signal"):
        signs = drain.ServerSigns()
        assert signs.accepting(0)
        setattr(signs, sign, True)
        assert not signs.accepting(0)


def test_a_failing_server_is_probed_after_a_while():
    signs = drain.ServerSigns()
    assert [signs.note_failure(0) for _ in range(3)] == [False, False, True]
    assert not signs.accepting(drain.PROBE_AFTER_MS - 1)
    assert signs.accepting(drain.PROBE_AFTER_MS)
    assert signs.note_success()


@pytest.mark.parametrize(
    ("end", "idempotent", "again"),
    [
        (retry.AttemptEnd.NOT_SENT, False, True),
        (retry.AttemptEnd.REFUSED_NOT_RUN, False, True),
        (retry.AttemptEnd.BROKE_MID_RUN, False, False),
        (retry.AttemptEnd.BROKE_MID_RUN, True, True),
        (retry.AttemptEnd.TIMED_OUT, True, False),
        (retry.AttemptEnd.ANSWERED, True, False),
    ],
)
def test_only_what_certainly_did_not_run_or_may_run_twice_is_retried(end, idempotent, again):
    assert retry.may_retry(end, idempotent, 1, 100) is again
    assert not retry.may_retry(end, idempotent, 1, 0)
    assert not retry.may_retry(end, idempotent, retry.MAX_ATTEMPTS, 100)


@hypothesis.given(st.lists(st.booleans(), max_size=400))
@hypothesis.settings(derandomize=True, deadline=None)
def test_retries_keep_to_a_tenth_of_the_requests(asked):
    budget, requests, retries = retry.RetryBudget(), 0, 0
    for wants_retry in asked:
        if wants_retry:
            retries += budget.take()
        else:
            budget.note_request()
            requests += 1
    assert retries <= retry.RETRY_RATIO * requests + 1e-6


def test_two_servers_quarantine_and_a_mass_failure_does_not():
    kept = quarantine.Quarantine()
    assert kept.note_break("m", "s1", 0)
    assert not kept.is_quarantined("m", 0)
    assert kept.note_break("m", "s2", 5000)
    assert kept.is_quarantined("m", 5000)
    assert not kept.is_quarantined("m", 5000 + quarantine.QUARANTINE_MS)
    failed = quarantine.Quarantine()
    for number in range(2):
        failed.note_break(f"other-{number}", f"s{number}", 0)
    assert not failed.note_break("m", "s9", 100)


def test_revisions_only_rise():
    known = revisions.Revisions()
    known.take("t", 3)
    known.hear({"t": 5, "u": 1})
    assert sorted(known.behind()) == ["t", "u"]
    assert not known.accepts("t", 3)
    with pytest.raises(ValueError, match="not above"):
        known.take("t", 2)


def test_a_breaker_lets_one_probe_through():
    guard = breaker.Breaker()
    for _ in range(breaker.FAILURES_TO_OPEN):
        assert guard.allows(0)
        guard.note_failure()
    assert not guard.allows(1)
    assert guard.allows(breaker.PROBE_INTERVAL_MS)
    assert not guard.allows(breaker.PROBE_INTERVAL_MS + 1)
    assert guard.note_success(9)
    assert guard.allows(9)


def test_a_borrower_asks_the_steward_with_most_room_and_leaves_a_refuser_alone():
    def peer(name, free):
        load = messages.ServiceLoad(free, 6)
        return msgspec.structs.replace(test_membership.heartbeat(name), services={"s": load})

    peers = [peer("x", 1), peer("y", 4)]
    asking = borrow.Borrower()
    assert asking.choose("s", peers, True, 0).sender == "y"
    asking.note_denied("s", peers[1], 0)
    assert asking.choose("s", peers, True, 0).sender == "x"
    assert asking.choose("s", peers, True, borrow.DENIED_MS).sender == "y"
    for _ in range(borrow.MAX_OUTSTANDING):
        asking.note_asked("s", peers[1])
    assert asking.choose("s", peers, True, borrow.DENIED_MS).sender == "x"
    assert asking.choose("s", peers, False, borrow.DENIED_MS).sender == "y"


RANGES = st.lists(st.integers(0, (1 << 32) - 1), min_size=2, max_size=60, unique=True)


@hypothesis.given(RANGES, st.lists(st.integers(0, (1 << 32) - 1), max_size=30))
@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
def test_client_blocks_agree_with_a_plain_search(ends, asked):
    ends = sorted(ends)
    blocks = [
        client_blocks.Block(first, min(last - 1, first + (3 << 16)), number % 5)
        for number, (first, last) in enumerate(zip(ends[::2], ends[1::2], strict=False))
    ]
    table = client_blocks.ClientBlocks()
    table.sites = [f"r/{n}" for n in range(5)]
    for part, raw in client_blocks.pack(client_blocks.build(blocks)).items():
        table.install(part, raw)
    for address in [*asked, *ends, *(b.last for b in blocks)]:
        covering = [b for b in blocks if b.first <= address <= b.last]
        expected = f"r/{covering[0].site}" if covering else ""
        assert table.site_of(address) == expected


def test_a_damaged_part_changes_nothing():
    table = client_blocks.ClientBlocks()
    table.sites = ["r/a"]
    first = int(ipaddress.IPv4Address("10.0.0.0"))
    (raw,) = client_blocks.pack(
        client_blocks.build([client_blocks.Block(first, first + 255, 0)])
    ).values()
    table.install(10, raw)
    for damaged in (raw[:-3], b"", b"\xff" * 9):
        with pytest.raises(msgspec.DecodeError):
            table.install(10, damaged)
    assert table.site_of(first) == "r/a"


def test_a_table_of_blocks_names_the_line_at_fault():
    sites, blocks = client_blocks.parse_table(["10.0.1.0/24,r/b", "", "10.0.0.0/24,r/a"])
    assert sites == ["r/b", "r/a"]
    assert [b.site for b in blocks] == [1, 0]
    with pytest.raises(ValueError, match="line 1: .*write 10.0.3.0/24"):
        client_blocks.parse_table(["10.0.0/8,x"])
    with pytest.raises(ValueError, match="overlaps"):
        client_blocks.build(client_blocks.parse_table(["10.0.0.0/8,a", "10.1.0.0/16,b"])[1])
