"""Keys that are taken away amid trouble: no request that is sent after the bound may run."""

import pytest

from benchmarks import revocation
from sassafraslock.decisions import intents_proof

CASES = [(count, first) for count in revocation.COUNTS for first in range(0, revocation.SEEDS, 10)]


# Guards against keys that live on at entries that were killed, frozen, cut off or turned away.
@pytest.mark.parametrize(("count", "first"), CASES)
def test_no_request_runs_that_is_sent_later_than_the_bound(count, first):
    late = {seed: revocation.play(count, seed) for seed in range(first, first + 10)}
    assert not any(late.values()), {seed: found[:3] for seed, found in late.items() if found}


# Guards against entries that refuse all requests with keys while the store turns them away.
@pytest.mark.parametrize("count", revocation.COUNTS)
@pytest.mark.parametrize("seed", range(5))
def test_entries_that_the_store_turns_away_serve_as_much_as_the_others(count, seed):
    others, turned_away, late, _ = revocation.play_turned_away(count, seed)
    assert not late
    assert others > 0.99
    assert turned_away >= others - 0.05


# Guards against a model that finds nothing: proofs that count from their arrival, or a second more.
@pytest.mark.parametrize("fault", ["arrival", "bound"])
def test_the_model_finds_faulty_proofs(monkeypatch, fault):
    def merge_reports(self, reports, now_ms):
        read_ms = self.clock.earliest_ms(now_ms)
        for report in reports if read_ms is not None else ():
            self._add(report.version, read_ms)

    def may_accept(self, now_ms):
        return self._is_proven(self.revoke_ms + 1_000, now_ms)

    proofs = intents_proof.IntentsProofs
    if fault == "arrival":
        monkeypatch.setattr(proofs, "merge_reports", merge_reports)
    else:
        monkeypatch.setattr(proofs, "may_accept", may_accept)
    assert any(revocation.play(9, seed) for seed in range(20))
