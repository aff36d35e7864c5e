"""Peers' copies of the store: an odd row costs that row alone, and never spreads on."""

import math

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from sassafraslock import facts, routing_table
from sassafraslock.decisions import registry, roster
from sassafraslock.services import export_decoder, replica, routing_state, store_export
from tests import fact_source

SERVERS, INTENTS, ENTRIES = facts.Topic.SERVERS, facts.Topic.INTENTS, facts.Topic.ENTRIES
NESTED = msgspec.Raw(b"\x91" * 5_000 + b"\x01")


def change(topic, key, version, **fact):
    """Return a row as it is sent, with plain values that may be odd."""
    return {**msgspec.to_builtins(facts.Change(topic, key, version)), **fact}


def report(server_id, **more):
    return {**msgspec.to_builtins(fact_source.report(server_id)), **more}


def intents(**more):
    route = {**msgspec.to_builtins(fact_source.route()), **more}
    return {**msgspec.to_builtins(routing_table.Intents(9)), "routes": [route]}


def encode(changes, **more):
    fields = {"positions": {"servers": 9}, "changes": changes, "age_ms": 0, "topics": [], **more}
    return msgspec.msgpack.encode(list(fields.values()))


def registration(**more):
    good = facts.Registration("odd", "a", "a-1", "10.0.0.1:1", "10.0.0.1:2")
    return {**msgspec.to_builtins(good), **more}


ODD_ROWS = {
    "port": change(SERVERS, "odd", 7, report=report("odd", address="10.0.0.1:99999")),
    "slots": change(SERVERS, "odd", 7, report=report("odd", slots=2**63)),
    "cold": change(SERVERS, "odd", 7, report=report("odd", cold_ms=-(2**60))),
    "id for a header": change(SERVERS, "odd", 7, report=report("odd\r\nx: y")),
    "another server's": change(SERVERS, "odd", 7, report=report("good")),
    "another topic's": change(SERVERS, "odd", 7, registration=registration()),
    "type": change(SERVERS, "odd", 7, report=7),
    "gossip address": change(ENTRIES, "odd", 7, registration=registration(gossip_address="x")),
    "another entry's": change(ENTRIES, "odd", 7, registration=registration(entry_id="good")),
    "weight": change(
        INTENTS, "odd", 7, intents=intents(destinations=[{"service": "s", "weight": math.nan}])
    ),
    "timeout": change(INTENTS, "odd", 7, intents=intents(timeout_ms=-5)),
    "zone": change(INTENTS, "odd", 7, evacuation={"zone": "a\0"}),
    "reason": change(SERVERS, "odd", 7, unreadable={"reason": "\0" * 9_999}),
}


# Guards against an odd row that enters by a peer of a former version, and spreads on from here.
@pytest.mark.parametrize("name", list(ODD_ROWS))
def test_an_odd_row_of_a_peer_takes_the_place_of_what_it_replaces_and_costs_no_other(name):
    good = change(SERVERS, "good", 8, report=report("good"))
    export, left_out = export_decoder.ExportDecoder().decode(encode([ODD_ROWS[name], good]))
    assert left_out == [] and [c.key for c in export.changes] == ["odd", "good"]
    assert export.changes[0].unreadable is not None and export.changes[0].version == 7
    assert export.changes[1].report.server_id == "good"
    again = msgspec.msgpack.decode(msgspec.msgpack.encode(export), type=store_export.Export)
    assert again.changes == export.changes


def test_the_server_that_an_odd_row_of_a_peer_replaces_is_used_no_more():
    state = routing_state.RoutingState(registry.Registry(), roster.Roster("e"))
    copy = replica.Replica(fact_source.FakeSource(), state)
    decoder = export_decoder.ExportDecoder()
    for row in (
        change(SERVERS, "odd", 6, report=report("odd")),
        ODD_ROWS["port"],
        change(SERVERS, "odd", 8, report=report("odd")),
    ):
        copy._merge_export(decoder.decode(encode([row]))[0], False, 0, 0)
        assert ("odd" in state.registry.servers) is (row["version"] != 7)
    assert state.rejections.counts == {"servers": 1}


UNNAMED = [change("moons", "odd", 7), change(SERVERS, "odd", -1), change(SERVERS, "o\0", 7), [], 7]


@pytest.mark.parametrize("row", UNNAMED, ids=str)
def test_a_row_that_cannot_be_named_is_left_out(row):
    good = change(SERVERS, "good", 8, report=report("good"))
    export, left_out = export_decoder.ExportDecoder().decode(encode([row, good]))
    assert [c.key for c in export.changes] == ["good"] and len(left_out) == 1


ODD_EXPORTS = {
    "no list": b"\x01",
    "cut": encode([])[:-2],
    "nested": encode([NESTED]),
    "age before zero": encode([], age_ms=-(10**9)),
    "positions before zero": encode([], positions={"servers": -1}),
    "positions of another type": encode([], positions={"servers": "x"}),
    "unknown topic": encode([], topics=["moons"]),
}


# Guards against an age that makes an old copy look fresh, and a nested one that ends the service.
@pytest.mark.parametrize("name", list(ODD_EXPORTS))
def test_an_odd_export_is_not_decoded(name):
    with pytest.raises(msgspec.DecodeError):
        export_decoder.ExportDecoder().decode(ODD_EXPORTS[name])


VALUES = st.recursive(
    st.none() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)
ROWS = st.dictionaries(st.sampled_from(["topic", "key", "version", "report", "intents"]), VALUES)


@hypothesis.given(st.lists(VALUES | ROWS), VALUES, st.binary())
@hypothesis.settings(deadline=None, derandomize=True)
def test_what_is_decoded_can_be_sent_on(changes, age_ms, raw):
    for data in (encode(changes), encode(changes, age_ms=age_ms), raw):
        try:
            export, _ = export_decoder.ExportDecoder().decode(data)
        except msgspec.DecodeError:
            continue
        assert msgspec.msgpack.encode(export)
