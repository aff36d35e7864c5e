"""The view: every change keeps one steward for each resource, and only holders give up."""

import hypothesis
import hypothesis.strategies as st

from sassafraslock.decisions import view

RESOURCES = [f"server/t/s/{n}" for n in range(6)] + view.link_resources("r2")
ENTRIES = ["a", "b", "c", "d"]
STEPS = st.lists(
    st.tuples(st.sampled_from(["join", "leave", "restart", "remove", "act"]),
              st.sampled_from(ENTRIES)),
    max_size=60,
)  # fmt: skip


def member(entry_id, incarnation, leaving=False):
    return view.Member(entry_id, incarnation, "a", "", "", leaving)


@hypothesis.given(STEPS)
@hypothesis.settings(derandomize=True, deadline=None)
def test_a_living_stewards_resource_moves_only_by_its_own_hand(steps):
    current, incarnations = view.View(), dict.fromkeys(ENTRIES, 1)
    for what, entry_id in steps:
        before = current
        me = member(entry_id, incarnations[entry_id])
        if what == "restart":
            incarnations[entry_id] += 1
            me = member(entry_id, incarnations[entry_id])
        if what in ("join", "restart"):
            current = view.join(current, me)
        elif what == "leave" and entry_id in current.members:
            current = view.join(current, member(entry_id, incarnations[entry_id], True))
        elif what == "remove":
            current = view.remove(current, entry_id)
        elif entry_id in current.members:
            goal = view.targets(RESOURCES, current.members)
            current = view.claim_free(current, me, goal)
            giving = view.to_give_up(current, me, goal)
            current = view.give_up(current, me, giving, goal)
        for resource, held in before.stewards.items():
            after = current.stewards.get(resource)
            if after != held and held.entry_id != entry_id and held.entry_id in before.members:
                raise AssertionError(f"{entry_id} took {resource} from {held.entry_id}")
            if after and after.entry_id != held.entry_id and what == "remove":
                assert not after.settled


def test_all_resources_are_held_evenly_in_the_end():
    current = view.View()
    for entry_id in ENTRIES:
        current = view.join(current, member(entry_id, 1))
    goal = view.targets(RESOURCES, current.members)
    for entry_id in ENTRIES:
        current = view.claim_free(current, member(entry_id, 1), goal)
    counts = [len(current.held_by(e, 1)) for e in ENTRIES]
    assert sum(counts) == len(RESOURCES)
    assert max(counts) - min(counts) <= 1


def test_a_step_of_a_split_is_written_and_noise_is_not():
    current = view.note_splits(view.View(), {"s": {"a": 1.0}})
    assert current.splits == {"s": {"a": 1.0}}
    assert view.note_splits(current, {"s": {"a": 0.99, "b": 0.01}}) is current
    assert view.note_splits(current, {"s": {"a": 0.9, "b": 0.1}}).epoch == current.epoch + 1
