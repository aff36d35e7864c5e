"""Teams' settings as facts: versions, removals, regions' limits, compare-and-set."""

import anyio
import msgspec

from sassafraslock import errors, facts, shared_settings
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
        registration = facts.Registration("e", "a", "a/z", "h:1", "h:2")
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
