"""At most once: the claims' decider under every fault, and its parts alone."""

import uuid

import pytest
import uuid6

from sassafraslock import errors, messages, platform, shared_settings
from sassafraslock.decisions import claim_records, claims
from sassafraslock.standin import platform as standin
from tests import claims_world

RETENTION_MS = 600_000
NOW_MS = 1_800_000_000_000


def key_at(at_ms):
    return str(uuid6.UUID(int=(uuid6.uuid7().int & ((1 << 80) - 1)) | (at_ms << 80)))


@pytest.mark.parametrize("seed", range(4))
def test_no_key_runs_twice_in_any_order(seed):
    world = claims_world.ClaimsWorld(seed)
    while len(world.attempts) < 2_500:
        world.step()
    assert world.check() == []
    assert sum(world.runs.values()) > 500


@pytest.mark.parametrize(
    ("key", "kind"),
    [
        ("", errors.ErrorKind.KEY_MALFORMED),
        ("7", errors.ErrorKind.KEY_MALFORMED),
        ("x" * 5000, errors.ErrorKind.KEY_MALFORMED),
        (str(uuid.uuid4()), errors.ErrorKind.KEY_MALFORMED),
        (key_at(NOW_MS).upper(), errors.ErrorKind.KEY_MALFORMED),
        (key_at(NOW_MS + 120_000), errors.ErrorKind.KEY_MALFORMED),
        (key_at(NOW_MS - RETENTION_MS), errors.ErrorKind.KEY_EXPIRED),
        (key_at(NOW_MS - 1000), None),
        (key_at(NOW_MS + 1000), None),
    ],
)
def test_keys_are_checked(key, kind):
    found = claim_records.check_key(key, RETENTION_MS, NOW_MS)
    assert (found.kind if found else None) == kind


def request(key, nonce, body="b"):
    return messages.ClaimRequest(
        sender="e", request_id=1, key=key, nonce=nonce, body_hash=body, deadline_ms=NOW_MS + 1000
    )


class Owned:
    """A log whose batches reach a platform at once."""

    def __init__(self, **rules):
        self.memory = standin.MemoryPlatform()
        head = platform.Put(claim_records.head_key(0), b"head")
        self.memory.apply(platform.Transaction(puts=[head]))
        self.log = claims.ClaimLog(0, shared_settings.Claims(partitions=1, **rules))
        self.log.recover([], self.memory.rows[claim_records.head_key(0)].version, 1)

    def commit(self, now_ms=0, wall_ms=NOW_MS):
        batch = self.log.next_batch(now_ms, wall_ms)
        return self.log.settle(self.memory.apply(batch.transaction))


def test_a_claim_is_granted_only_after_its_batch_is_committed():
    owned = Owned()
    assert owned.log.submit(request("k", "n1"), NOW_MS) is None
    assert owned.log.submit(request("k", "n1"), NOW_MS) is None
    (verdict,) = owned.commit()
    assert verdict.granted
    assert owned.log.submit(request("k", "n1"), NOW_MS).granted


@pytest.mark.parametrize(
    ("wall_ms", "body", "kind"),
    [
        (NOW_MS, "b", errors.ErrorKind.IN_PROGRESS),
        (NOW_MS + 2000, "b", errors.ErrorKind.MAY_HAVE_RUN),
        (NOW_MS, "other", errors.ErrorKind.KEY_REUSED),
    ],
)
def test_another_attempt_of_a_claimed_key_is_refused(wall_ms, body, kind):
    owned = Owned()
    owned.log.submit(request("k", "n1"), NOW_MS)
    owned.commit()
    assert owned.log.submit(request("k", "n2", body), wall_ms).refusal.kind is kind


def test_a_released_key_can_be_claimed_again_and_a_done_one_is_replayed():
    owned = Owned()
    owned.log.submit(request("k", "n1"), NOW_MS)
    owned.commit()
    owned.log.release(messages.ClaimRelease(sender="e", key="k", nonce="n1"))
    assert owned.log.submit(request("k", "n2"), NOW_MS) is None
    assert owned.commit(100)[0].granted
    answer = messages.RecordedAnswer(200, [], b"ok")
    owned.log.done(messages.ClaimDone(sender="e", key="k", nonce="n1", answer=answer))
    assert owned.log.submit(request("k", "n3"), NOW_MS).answer is None
    owned.log.done(messages.ClaimDone(sender="e", key="k", nonce="n2", answer=answer))
    assert owned.log.submit(request("k", "n3"), NOW_MS).answer == answer


def test_a_fenced_owner_loses_its_batch():
    owned = Owned()
    owned.log.submit(request("k", "n1"), NOW_MS)
    owned.memory.apply(platform.Transaction(puts=[platform.Put(claim_records.head_key(0), b"new")]))
    assert owned.commit() is None
    (verdict,) = owned.log.abandon()
    assert verdict.refusal.kind is errors.ErrorKind.NOT_READY


def test_a_full_ring_refuses_instead_of_forgetting():
    owned = Owned(commits_per_s=1, retention_ms=4000)
    rows = claim_records.ring_rows(owned.log.settings)
    for number in range(rows):
        assert owned.log.submit(request(f"k{number}", "n"), NOW_MS) is None
        owned.commit(number * 10_000)
    refused = owned.log.submit(request("one more", "n"), NOW_MS)
    assert refused.refusal.kind is errors.ErrorKind.STORE_UNAVAILABLE
    assert owned.log.submit(request("later", "n"), NOW_MS + 4000) is None


def test_a_recovered_owner_remembers_every_key():
    owned = Owned()
    for number in range(5):
        owned.log.submit(request(f"k{number}", "n"), NOW_MS)
        owned.commit(number * 1000)
    rows = [r for k, r in owned.memory.rows.items() if k.startswith(claim_records.ring_prefix(0))]
    heir = claims.ClaimLog(0, owned.log.settings)
    heir.recover(rows, 99, 2)
    for number in range(5):
        refused = heir.submit(request(f"k{number}", "other"), NOW_MS).refusal
        assert refused.kind is errors.ErrorKind.IN_PROGRESS


def test_only_the_first_live_candidate_takes_over():
    head = claim_records.Head(1, "a", 1)
    order = ["a", "b", "c"]
    assert not claims.may_take_over(head, {"a", "b"}, order, "b", 10_000)
    assert claims.may_take_over(head, {"b", "c"}, order, "b", 10_000)
    assert not claims.may_take_over(head, {"b", "c"}, order, "c", 10_000)
    assert not claims.may_take_over(head, {"b", "c"}, order, "b", 100)
    assert claims.may_take_over(None, {"b", "c"}, order, "b", 100)
