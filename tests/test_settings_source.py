"""Teams' settings as facts: versions, removals, regions' limits, compare-and-set."""

import anyio
import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from sassafraslock import errors, facts, platform, routing_table, shared_settings, workspaces
from sassafraslock.decisions import revisions
from sassafraslock.services import settings_source, settings_store
from sassafraslock.standin import platform as standin

Topic = facts.Topic
SYSTEM = {"regions": {"a": {"max_in_flight": 100}, "b": {"max_in_flight": 2}}}


def server(region="a", state="active", port=1):
    return {"region": region, "zone": "z", "host": "127.0.0.1", "port": port, "state": state}


def team(**servers):
    return {"services": {"log": {"servers": servers}}}


def with_table(scenario):
    async def main():
        faulty = standin.FaultyPlatform(standin.MemoryPlatform(), standin.Faults(), 1)
        store = settings_store.SettingsStore(faulty)
        assert await put(store, "system", SYSTEM)
        await scenario(faulty, store, settings_source.SettingsSource(faulty, 5))

    anyio.run(main)


async def put(store, name, document):
    seen = await store.get(name)
    return await store.put(name, document, seen.revision, "test", 0)


def by_key(batch):
    return {c.key: c for c in batch.changes}


def test_servers_are_added_changed_and_removed():
    async def scenario(faulty, store, source):
        await put(store, "k", team(x=server(), y=server()))
        batch = await source.read_all(Topic.SERVERS)
        assert set(by_key(batch)) == {"k/log/x", "k/log/y"}
        await put(store, "k", team(x=server(state="draining")))
        changes = by_key(await source.read_changes(Topic.SERVERS, batch.version, 1000))
        assert changes["k/log/x"].report.state == "draining"
        assert changes["k/log/y"].is_removed

    with_table(scenario)


def test_a_change_of_one_team_leaves_the_other_teams_servers_alone():
    async def scenario(faulty, store, source):
        await put(store, "k", team(x=server()))
        await put(store, "p", team(y=server()))
        batch = await source.read_all(Topic.SERVERS)
        await put(store, "p", team(y=server(port=2)))
        changes = by_key(await source.read_changes(Topic.SERVERS, batch.version, 1000))
        assert set(changes) == {"p/log/y"}

    with_table(scenario)


def test_two_readers_agree_on_versions():
    async def scenario(faulty, store, source):
        await put(store, "k", team(x=server()))
        early = by_key(await source.read_all(Topic.SERVERS))
        await put(store, "p", team(y=server()))
        other = settings_source.SettingsSource(faulty, 5)
        late = by_key(await other.read_all(Topic.SERVERS))
        assert late["k/log/x"] == early["k/log/x"]
        assert late["p/log/y"].version > early["k/log/x"].version

    with_table(scenario)


def test_intents_hold_routes_by_team_and_service():
    async def scenario(faulty, store, source):
        await put(store, "k", team(x=server()))
        (change,) = (await source.read_all(Topic.INTENTS)).changes
        (route,) = change.intents.routes
        assert (
            route.prefix == "/k/log/"
            and route.upstream_target("/k/log/huts/7?a=1") == "/huts/7?a=1"
        )
        assert route.is_idempotent("GET", "/x") and not route.is_idempotent("POST", "/x")

    with_table(scenario)


def test_a_regions_limit_scales_its_servers_down():
    shared = shared_settings.merge_teams(
        {
            "system": msgspec.convert(SYSTEM, shared_settings.TeamSettings),
            "k": msgspec.convert(team(x=server("a"), y=server("b")), shared_settings.TeamSettings),
        }
    )
    slots = {r.server_id: r.slots for r in settings_source.build_reports(shared)}
    assert slots == {"k/log/x": 3, "k/log/y": 2}


def test_registrations_are_read_back_and_an_outage_is_a_refusal():
    async def scenario(faulty, store, source):
        registration = facts.Registration("e", "a", "a/z", "10.0.0.1:1", "10.0.0.1:2")
        version = await source.register(registration)
        (change,) = (await source.read_all(Topic.ENTRIES)).changes
        assert (change.registration, change.version) == (registration, version)
        faulty.faults.down = True
        refused = await source.read_changes(Topic.SERVERS, 0, 10)
        assert refused.kind is errors.ErrorKind.STORE_UNAVAILABLE
        assert isinstance(await source.register(registration), errors.Refusal)

    with_table(scenario)


def test_changes_are_accepted_by_compare_and_set_under_lost_answers():
    async def scenario(faulty, store, source):
        faulty.faults.lost_answer_ratio = 0.4
        for number in range(1, 20):
            result = None
            while not hasattr(result, "revision"):
                result = await store.put("k", team(x=server(port=number)), number - 1, "t", 0)
                if isinstance(result, errors.Refusal) and result.kind is errors.ErrorKind.CONFLICT:
                    break
        faulty.faults.lost_answer_ratio = 0.0
        assert (await store.get("k")).revision == 19
        lost = await store.put("k", team(), 3, "t", 0)
        assert lost.kind is errors.ErrorKind.CONFLICT and "revision 19" in lost.reason
        assert len(await store.history("k")) == 19

    with_table(scenario)


def test_links_are_part_of_the_intents_so_that_a_copy_holds_them_too():
    """An entry that gets the intents from a peer has not read the teams' rows itself."""

    async def scenario(faulty, store, source):
        links = [{"regions": ["a", "b"], "bytes_per_s": 1000}]
        assert await put(store, "system", {**SYSTEM, "links": links})
        batch = await source.read_all(Topic.INTENTS)
        raw = msgspec.msgpack.encode(batch.changes[0])
        copied = msgspec.msgpack.decode(raw, type=facts.Change).intents
        assert facts.routing_table.RoutingTable(copied).link_bytes_per_s("a") == {"b": 1000}

    with_table(scenario)


def row(document):
    raw = document if isinstance(document, bytes) else msgspec.json.encode(document)
    return msgspec.msgpack.encode(revisions.SubtreeRow(9, "c", raw))


NESTED = b'{"x":' + b"[" * 5_000 + b"]" * 5_000 + b"}"
ODD_LINKS = {
    "regions": {"a": {"max_in_flight": 1}},
    "links": [{"regions": ["a"], "bytes_per_s": 1}],
}
ODD_TEAMS = {
    "no subtree": ("settings/odd", b"\xff"),
    "empty": ("settings/odd", b""),
    "no json": ("settings/odd", row(b"{")),
    "nested": ("settings/odd", row(NESTED)),
    "port": ("settings/odd", row(team(x=server(port=99_999)))),
    "slots": ("settings/odd", row(team(x={**server(), "slots": 10**40}))),
    "share of 1e300": (
        "settings/odd",
        row({"services": {"log": {"servers": {}, "split": {"a": {"a": 1e300}}}}}),
    ),
    "name with a slash": ("settings/odd/team", row(team(x=server()))),
    "no name": ("settings/", row(team(x=server()))),
    "name with a NUL": ("settings/odd\0", row(team(x=server()))),
}


async def put_raw(faulty, key, value):
    await faulty.transact(platform.Transaction(puts=[platform.Put(key, value)]))


# Guards against one team's row that ends the reading of all teams' settings.
@pytest.mark.parametrize("name", list(ODD_TEAMS))
def test_an_odd_row_of_a_team_costs_that_team_alone(name):
    key, value = ODD_TEAMS[name]

    async def scenario(faulty, store, source):
        await put(store, "k", team(x=server()))
        await put_raw(faulty, key, value)
        batch = await source.read_all(Topic.SERVERS)
        assert set(by_key(batch)) == {"k/log/x"}
        intents = by_key(await source.read_all(Topic.INTENTS))
        assert [s.name for s in intents["intents"].intents.services] == ["k/log"]
        (unreadable,) = [c for c in intents.values() if c.unreadable]
        again = by_key(await source.read_all(Topic.INTENTS))
        assert again[unreadable.key] == unreadable
        await faulty.transact(platform.Transaction(deletes=[key]))
        await put(store, "k", team(x=server(), y=server()))
        changes = by_key(await source.read_changes(Topic.INTENTS, batch.version, 1000))
        assert changes[unreadable.key].is_removed

    with_table(scenario)


@pytest.mark.parametrize("document", [ODD_LINKS, NESTED], ids=["link of one region", "nested"])
def test_the_last_settings_of_the_system_stay_in_force_while_its_row_is_odd(document):
    async def scenario(faulty, store, source):
        await put(store, "k", team(x=server("b"), y=server("b")))
        before = by_key(await source.read_all(Topic.SERVERS))
        await put_raw(faulty, "settings/system", row(document))
        after = by_key(await source.read_all(Topic.SERVERS))
        assert {c.report.slots for c in after.values()} == {1} and set(after) == set(before)

    with_table(scenario)


def test_the_last_settings_of_a_team_stay_in_force_while_its_row_is_odd():
    async def scenario(faulty, store, source):
        await put(store, "k", team(x=server()))
        assert set(by_key(await source.read_all(Topic.SERVERS))) == {"k/log/x"}
        await put_raw(faulty, "settings/k", row(NESTED))
        assert set(by_key(await source.read_all(Topic.SERVERS))) == {"k/log/x"}
        await put_raw(faulty, "settings/k", row(team(y=server())))
        assert set(by_key(await source.read_all(Topic.SERVERS))) == {"k/log/y"}

    with_table(scenario)


ODD_SERVERS = {"host": ("x", {"host": "h\0"}), "name": ("x", {"host": "h.example"}),
               "id": ("x\r\ny", {}), "long id": ("x" * 999, {})}  # fmt: skip


@pytest.mark.parametrize("name", list(ODD_SERVERS))
def test_an_odd_server_costs_that_server_alone_and_is_not_accepted_as_a_change(name):
    server_id, more = ODD_SERVERS[name]
    document = team(**{server_id: {**server(), **more}, "good": server()})

    async def scenario(faulty, store, source):
        assert isinstance(await put(store, "k", document), list)
        await put_raw(faulty, "settings/k", row(document))
        changes = by_key(await source.read_all(Topic.SERVERS)).values()
        assert [c.key for c in changes if c.report] == ["k/log/good"]
        assert len([c for c in changes if c.unreadable]) == 1

    with_table(scenario)


ODD_ENTRIES = {
    "not a map": b"\x01",
    "nested": b"\x91" * 5_000 + b"\x01",
    "port": msgspec.msgpack.encode(facts.Registration("odd", "a", "z", "10.0.0.1:0", "10.0.0.1:1")),
    "of another": msgspec.msgpack.encode(
        facts.Registration("e", "a", "z", "10.0.0.1:1", "10.0.0.1:1")
    ),
}


@pytest.mark.parametrize("name", list(ODD_ENTRIES))
def test_an_odd_registration_names_no_peer(name):
    async def scenario(faulty, store, source):
        good = facts.Registration("e", "a", "a/z", "10.0.0.1:1", "10.0.0.1:2")
        await source.register(good)
        await put_raw(faulty, "entries/odd", ODD_ENTRIES[name])
        changes = by_key(await source.read_all(Topic.ENTRIES))
        assert changes["e"].registration == good and changes["odd"].unreadable is not None

    with_table(scenario)


DOCUMENTS = st.recursive(
    st.none() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=2)
    | st.dictionaries(
        st.sampled_from(["services", "servers", "regions", "links", "log", "split", "host"]), inner
    ),
    max_leaves=9,
)


@hypothesis.given(st.text(), st.binary() | DOCUMENTS.map(row))
@hypothesis.settings(deadline=None, derandomize=True)
def test_no_row_of_a_team_raises(name, value):
    class Table:
        async def transact(self, transaction):
            prefix = transaction.scan.prefix
            return platform.TransactionResult(True, [platform.Row(prefix + name, 5, value)])

    async def scenario():
        source = settings_source.SettingsSource(Table(), 5)
        for topic in facts.Topic:
            assert isinstance(await source.read_all(topic), facts.Batch)

    anyio.run(scenario)


# Guards against settings that are put after the table was restored and taken for old ones.
def test_settings_put_after_a_restore_are_newer_than_all_before():
    async def scenario(faulty, store, source):
        copy = faulty.memory.copy()
        for state in ("active", "draining"):
            await put(store, "k", team(x=server(state=state)))
        before = await source.read_all(Topic.SERVERS)
        faulty.memory.restore(copy)
        await put(store, "k", team(x=server(port=9)))
        changed = await source.read_changes(Topic.SERVERS, before.version, 1_000)
        assert changed.version > before.version
        after = by_key(await source.read_all(Topic.SERVERS))["k/log/x"]
        assert after.version > by_key(before)["k/log/x"].version
        assert after.report.address.endswith(":9")
        intents = await source.read_all(Topic.INTENTS)
        assert by_key(intents)["intents"].intents.version == after.version

    with_table(scenario)


def test_a_row_that_a_restored_table_lacks_is_removed():
    async def scenario(faulty, store, source):
        copy = faulty.memory.copy()
        await put(store, "k", team(x=server()))
        before = await source.read_all(Topic.SERVERS)
        faulty.memory.restore(copy)
        changed = by_key(await source.read_changes(Topic.SERVERS, before.version, 1_000))
        assert changed["k/log/x"].is_removed
        assert not (await source.read_all(Topic.SERVERS)).changes

    with_table(scenario)


# Guards against keys that the settings hold and entries do not know, and the other way round.
def test_workspaces_and_public_services_are_part_of_the_intents():
    digest = workspaces.digest_key(b"a key")

    async def scenario(faulty, store, source):
        batch = await source.read_all(Topic.INTENTS)
        assert by_key(batch)["intents"].intents.workspaces is msgspec.UNSET
        assert batch.store_now_ms is not None
        open_service = {"servers": {"x": server()}, "public": True}
        closed_service = {"servers": {"y": server()}}
        await put(store, "k", {"services": {"open": open_service, "closed": closed_service}})
        office = {
            "key_digests": [digest.hex()],
            "priority": 2,
            "rate_per_s": 5.0,
            "burst": 3.0,
            "regions": ["a"],
        }
        await put(store, "system", {**SYSTEM, "workspaces": {"office": office}})
        changed = await source.read_changes(Topic.INTENTS, batch.version, 1_000)
        table = routing_table.RoutingTable(by_key(changed)["intents"].intents)
        found = table.workspaces.find(b"a key")
        assert (found.name, found.priority, found.regions) == ("office", 2, frozenset("a"))
        assert (found.rate_per_s, found.burst) == (5.0, 3.0)
        needs = {route.name: table.requires_key(route) for route in table.routes}
        assert needs == {"k/open": False, "k/closed": True}
        office["key_digests"] = []
        await put(store, "system", {**SYSTEM, "workspaces": {"office": office}})
        changed = await source.read_changes(Topic.INTENTS, changed.version, 1_000)
        table = routing_table.RoutingTable(by_key(changed)["intents"].intents)
        assert table.workspaces.find(b"a key") is None
        assert table.requires_key(table.routes[0]) or table.requires_key(table.routes[1])
        assert changed.store_now_ms >= batch.store_now_ms

    with_table(scenario)
