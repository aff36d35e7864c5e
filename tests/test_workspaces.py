"""Keys of workspaces: who holds which, what is never told, and how long a look-up takes."""

import base64
import time

import msgspec
import pytest
import rows

from sassafraslock import errors, facts, http_messages, routing_table, workspaces
from sassafraslock.path import identify, read
from tests import edge_world, fact_source

KEY = b"k-alpha-1"


def workspace(name="alpha", keys=(KEY,), **more):
    return workspaces.Workspace(name, tuple(workspaces.digest_key(k) for k in keys), **more)


def table(*known, **route):
    routes = (fact_source.route(**route),)
    return routing_table.RoutingTable(routing_table.Intents(1, routes, workspaces=tuple(known)))


class Proof:
    def __init__(self, accepts=True, denies=True):
        self._accepts, self._denies = accepts, denies

    def may_accept(self, now_ms):
        return self._accepts

    def may_deny(self, now_ms):
        return self._denies

    def retry_after_ms(self, now_ms):
        return 700


def identified(in_force, key=KEY, proof=None):
    headers = [(b"host", b"h"), (edge_world.NAMES.credential, key)]
    request = http_messages.Request("GET", "/x/1", headers, b"", "1.2.3.4", 0)
    incoming = read.read(request, edge_world.NAMES)
    return identify.identify(incoming, in_force.routes[0], in_force, proof or Proof(), 0)


def test_a_key_finds_its_workspace():
    alpha = workspace()
    assert identified(table(alpha)) is alpha


# Guards against a 401, which clients never retry, from an entry that has not heard of a new key.
@pytest.mark.parametrize(
    ("denies", "kind"),
    [(True, errors.ErrorKind.KEY_UNKNOWN), (False, errors.ErrorKind.KEY_UNPROVEN)],
)
@pytest.mark.parametrize("key", [b"", b"k-other"])
def test_an_unknown_key_is_denied_for_good_only_with_a_recent_copy(key, denies, kind):
    assert identified(table(workspace()), key, Proof(denies=denies)).kind is kind


def test_a_known_key_is_refused_without_a_proof():
    refusal = identified(table(workspace()), proof=Proof(accepts=False))
    assert refusal.kind is errors.ErrorKind.KEY_UNPROVEN
    assert refusal.effective_retry_after_ms == 700


def test_public_routes_and_intents_without_workspaces_need_no_key():
    assert identified(table(workspace(), public=True), b"") is None
    plain = routing_table.RoutingTable(routing_table.Intents(1, (fact_source.route(),)))
    assert identified(plain, b"") is None


# Guards against requests that run for the wrong customer.
def test_a_key_that_two_workspaces_hold_finds_neither():
    index = workspaces.WorkspaceIndex([workspace("a", (KEY, b"a")), workspace("b", (KEY, b"b"))])
    assert index.find(KEY) is None
    assert index.find(b"a").name == "a"
    assert index.shared_by == ["a", "b"]


def test_all_keys_of_a_workspace_may_go_at_once():
    assert identified(table(workspace(keys=()))).kind is errors.ErrorKind.KEY_UNKNOWN


def test_the_regions_of_route_and_workspace_bind_both():
    both = workspace(regions=frozenset({"a", "b"}))
    assert workspaces.allowed_regions(frozenset({"b", "c"}), both) == {"b"}
    assert workspaces.allowed_regions(frozenset(), both) == {"a", "b"}
    assert workspaces.allowed_regions(frozenset({"c"}), both) is None
    refusal = identified(table(both, regions=frozenset({"c"})))
    assert refusal.kind is errors.ErrorKind.REGION_FORBIDDEN


def test_unknown_keys_do_not_grow_the_index():
    index = workspaces.WorkspaceIndex([workspace()])
    for number in range(1_000):
        assert index.find(b"%d" % number) is None
    assert index.find(KEY) is not None
    assert len(index._by_key) == 1


# The look-up is on the path of every request; a linear search of 10,000 keys would take 100 us.
def test_a_look_up_takes_under_a_microsecond_of_processor_time_at_10000_keys():
    keys = [b"key-%05d" % n for n in range(10_000)]
    index = workspaces.WorkspaceIndex([workspace(f"w-{n}", (k,)) for n, k in enumerate(keys)])
    for key in keys:
        index.find(key)
    times_s = []
    for _ in range(5):
        started_s = time.process_time()
        for key in keys:
            index.find(key)
        times_s.append(time.process_time() - started_s)
    assert min(times_s) / len(keys) < 1e-6


def config(resources):
    value = msgspec.json.encode({"version": "r7", "resources": resources})
    row = rows.Row("op", "config", 5, value=base64.b64encode(value).decode())
    return rows.decode(row, facts.Topic.INTENTS, {})


def resource(kind, name, **spec):
    return {"resourceKind": kind, "metadata": {"name": name}, "spec": spec}


def route_resource(name="r", **more):
    spec = {
        "host": "h", "prefix": "/x/", "routeType": "safe", "timeoutS": 2, "targetLatencyS": 0.5,
        "service": "s", **more,
    }  # fmt: skip
    return resource("routes", name, **spec)


def test_the_adapter_decodes_workspaces_and_keeps_no_key():
    spec = {"apiKeys": ["k-1", "k-2"], "priority": 1, "ratePerS": 190, "burst": 95}
    change = config([route_resource(), resource("tenants", "w", **spec, allowedRegions=["a"])])
    (found,) = change.intents.workspaces
    assert (found.name, found.priority, found.rate_per_s, found.burst) == ("w", 1, 190.0, 95.0)
    assert found.regions == {"a"}
    assert found.key_digests == (workspaces.digest_key(b"k-1"), workspaces.digest_key(b"k-2"))
    assert b"k-1" not in msgspec.msgpack.encode(change)
    assert "k-1" not in repr(change)


# Guards against one faulty workspace that takes the routes and the other workspaces along.
@pytest.mark.parametrize(
    "odd",
    [
        resource("tenants", "odd", apiKeys="not a list"),
        resource("tenants", "two\nlines", apiKeys=["k"]),
        resource("tenants", "odd", ratePerS=-1),
        {"resourceKind": "tenants", "metadata": 7, "spec": {}},
        {"resourceKind": "tenants"},
    ],
)
def test_an_odd_workspace_costs_itself_alone(odd):
    change = config([odd, route_resource(public=True), resource("tenants", "w", apiKeys=["k"])])
    assert [w.name for w in change.intents.workspaces] == ["w"]
    assert len(change.intents.faults) == 1
    assert change.intents.routes[0].public is True


def test_intents_without_workspaces_are_told_to_peers_as_before():
    encoded = msgspec.msgpack.encode(config([route_resource(public=True)]))
    assert b"public" not in encoded
    assert b"workspaces" not in encoded
    assert b"faults" not in encoded


def test_peers_copies_hold_workspaces():
    change = config([route_resource(), resource("tenants", "w", apiKeys=["k"])])
    encoded = msgspec.msgpack.encode(change)
    assert msgspec.msgpack.decode(encoded, type=facts.Change) == change


def test_downloads_are_idempotent():
    (found,) = config([route_resource(routeType="download")]).intents.routes
    assert found.idempotent
