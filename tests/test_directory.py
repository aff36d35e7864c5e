"""Which entries' addresses a client gets."""

import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock import edge_settings, http_messages
from sassafraslock.decisions import roster
from sassafraslock.services import directory

ENTRIES = [
    directory.Candidate("e1", "a1", "a-1", "a"),
    directory.Candidate("e2", "a2", "a-1", "a"),
    directory.Candidate("e3", "a3", "a-2", "a"),
    directory.Candidate("e4", "b1", "b-1", "b"),
]


@pytest.mark.parametrize(
    "zone, region, addresses",
    [
        ("a-1", "a", ["a1", "a2"]),
        ("a-2", "a", ["a1", "a2", "a3"]),
        ("b-1", "b", ["b1"]),
        ("c-1", "c", ["a1", "a2", "a3", "b1"]),
    ],
)
def test_the_nearest_entries_are_returned_if_there_are_enough(zone, region, addresses):
    assert sorted(directory.choose(ENTRIES, zone, region)) == addresses


ODD_QUERY = st.text(st.characters(max_codepoint=255)) | st.from_regex(
    r"(zone|region)=[%0-9a-f&;+]*"
)


@hypothesis.given(ODD_QUERY)
def test_an_odd_query_is_one_of_an_unknown_place(query):
    request = http_messages.Request("GET", f"/resolve?{query}", [], b"", "c", 0)
    zone, region = request.parameter("zone"), request.parameter("region")
    assert directory.choose(ENTRIES, f"?{zone}", f"?{region}") == ["a1", "a2", "a3", "b1"]


def test_entries_that_leave_are_silent_or_not_ready_are_not_returned(monkeypatch):
    settings = edge_settings.EdgeSettings("me", "a-1", "a", "me:2", "", "", "me:1")
    members = roster.Roster("me")
    for name, more in {
        "x": {"ready": True},
        "leaver": {"ready": True, "leaving": True},
        "starter": {},
        "dead": {"ready": True},
    }.items():
        record = roster.MemberRecord(name, 1, 1, "a", "a-1", f"{name}:1", f"{name}:2", **more)
        members.merge_record(record, 0 if name == "dead" else 50_000)
    monkeypatch.setattr(directory.clock, "monotonic_ms", lambda: 50_100)
    resolver = directory.Directory(settings, members, lambda: False)
    assert resolver.resolve("a-1", "a").addresses == ["x:2"]
    resolver = directory.Directory(settings, members, lambda: True)
    assert sorted(resolver.resolve("a-1", "a").addresses) == ["me:2", "x:2"]
