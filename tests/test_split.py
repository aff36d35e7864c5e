"""Weighted splits: shares match the weights for any objects, and objects rarely move."""

import collections
import random

import pytest

from sassafraslock import routing_table
from sassafraslock.decisions import split


def route(weights):
    to = tuple(routing_table.Destination(name, weight) for name, weight in weights.items())
    return routing_table.Route("r", "h", "/", True, 1000, 400, 0, 2, to)


@pytest.mark.parametrize("objects", [1, 3, 30, 500])
@pytest.mark.parametrize(
    "weights", [{"a": 90, "b": 10}, {"a": 1, "b": 1}, {"a": 3, "b": 2, "c": 0}]
)
def test_shares_match_the_weights(objects, weights):
    splitter, source = split.Splitter(), random.Random(1)
    counts = collections.Counter(
        splitter.choose(route(weights), str(source.randrange(objects))) for _ in range(1000)
    )
    total = sum(weights.values())
    for name, weight in weights.items():
        assert abs(counts[name] / 1000 - weight / total) < 0.1


def test_objects_mostly_stay_with_one_destination():
    splitter, source = split.Splitter(), random.Random(2)
    destinations = collections.defaultdict(collections.Counter)
    for _ in range(2000):
        key = str(source.randrange(60))
        destinations[key][splitter.choose(route({"a": 70, "b": 30}), key)] += 1
    stayed = sum(max(counts.values()) for counts in destinations.values())
    assert stayed / 2000 > 0.8


def test_a_destination_without_weight_gets_nothing():
    splitter = split.Splitter()
    assert {splitter.choose(route({"a": 0, "b": 5}), str(n)) for n in range(300)} == {"b"}
