"""Matching by host and longest prefix, compared with a search over all prefixes."""

import hypothesis
import hypothesis.strategies as st

from sassafraslock import routing_table

SEGMENTS = st.lists(st.sampled_from(["a", "b", "ab"]), max_size=3)
PREFIXES = SEGMENTS.map(lambda parts: "/" + "".join(f"{p}/" for p in parts))


def route(prefix, host="h"):
    destinations = (routing_table.Destination("s", 1.0),)
    return routing_table.Route(f"{host}{prefix}", host, prefix, True, 1000, 400, 0, 2, destinations)


@hypothesis.given(st.sets(PREFIXES, max_size=5), PREFIXES, st.sampled_from(["", "x", "a"]))
def test_the_longest_prefix_wins(prefixes, path, rest):
    table = routing_table.RoutingTable(
        routing_table.Intents(1, tuple(route(p) for p in sorted(prefixes)))
    )
    matching = [p for p in prefixes if (path + rest).startswith(p)]
    found = table.match("h", path + rest)
    assert (found.prefix if found else None) == max(matching, key=len, default=None)


def test_another_host_or_no_prefix_matches_nothing():
    table = routing_table.RoutingTable(routing_table.Intents(1, (route("/a/"),)))
    assert table.match("other", "/a/") is None
    assert table.match("h", "/a") is None
    assert table.match("h", "") is None


def test_the_links_of_a_region_are_those_that_end_there():
    links = (routing_table.Link(("a", "b"), 100), routing_table.Link(("c", "a"), 50))
    table = routing_table.RoutingTable(routing_table.Intents(1, links=links))
    assert table.link_bytes_per_s("a") == {"b": 100, "c": 50}
    assert table.link_bytes_per_s("b") == {"a": 100}
    assert table.link_bytes_per_s("d") == {}
