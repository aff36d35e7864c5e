"""Rows that another writer left: each costs its own entry alone, through the real reader."""

import base64

import anyio
import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest
import rows
import store

from sassafraslock import errors, events, facts, kernel
from sassafraslock.decisions import registry, roster
from sassafraslock.services import poll_pace, replica, routing_state
from tests import fact_source, platform_standin

PORT = 24_316
SERVERS, INTENTS, ENTRIES = facts.Topic.SERVERS, facts.Topic.INTENTS, facts.Topic.ENTRIES


@pytest.fixture
def quick(monkeypatch):
    monkeypatch.setattr(kernel, "RESTART_DELAY_S", 0.01)
    monkeypatch.setattr(poll_pace, "RETRY_PAUSE_S", 0.01)
    monkeypatch.setattr(poll_pace, "PAUSES_S", dict.fromkeys(facts.Topic, 0.005))
    monkeypatch.setattr(poll_pace, "LONG_POLLS_MS", dict.fromkeys(facts.Topic, 50))


class Reader:
    """The services of an entry that read the store, under the kernel that supervises them."""

    def __init__(self, standin):
        self.state = routing_state.RoutingState(registry.Registry(), roster.Roster("e-1"))
        source = store.Store(standin.address, {"a-1": "a"})
        self.copy = replica.Replica(source, self.state)
        self.kernel = kernel.Kernel()
        self.kernel.register("replica", self.copy)

    @property
    def failures(self):
        return self.kernel.dump()["replica"]["failures"]

    @property
    def usable(self):
        return {s.server_id for s in self.state.registry.usable_servers("logbook")}

    async def reaches(self, server_ids):
        """Wait until exactly these servers are usable, or until the process has ended."""
        with anyio.move_on_after(3):
            while self.usable != server_ids and not self.kernel.failed_service:
                await anyio.sleep(0.005)
        assert (self.kernel.failed_service, self.failures) == ("", 0)
        assert self.usable == server_ids


def with_reader(scenario):
    async def main():
        standin = platform_standin.StoreStandin(PORT)
        async with anyio.create_task_group() as group:
            ready = anyio.Event()
            group.start_soon(standin.run, ready)
            await ready.wait()
            reader = Reader(standin)
            group.start_soon(reader.kernel.run, 100)
            await scenario(standin, reader)
            group.cancel_scope.cancel()

    anyio.run(main)


def put_server(standin, server_id, number, **more):
    address = f"10.0.0.{number}:80"
    standin.put("servers", server_id, platform_standin.server_row(address=address, **more))


NESTED = b'{"x":' + b"[" * 5_000 + b"]" * 5_000 + b"}"
GOOD = b'{"service":"logbook","address":"10.0.0.9:80","zone":"a-1","slots":3,"state":"ready"'
ODD_SERVERS = {
    "nested": GOOD + b',"note":' + NESTED + b"}",
    "cold for 1e306 s": GOOD + b',"coldRemainingS":1e306}',
    "cold for 1e400 s": GOOD + b',"coldRemainingS":1e400}',
    "cold since long": GOOD + b',"coldRemainingS":-1e300}',
    "born in 400 digits": GOOD + b',"born":' + b"9" * 400 + b"}",
    "born in 5,000 digits": GOOD + b',"born":' + b"9" * 5_000 + b"}",
    "born in microseconds": GOOD + b',"born":1796429950356000}',
    "born before 1970": GOOD + b',"born":-1}',
    **{
        f"port {port[:12]!a}": platform_standin.server_row(address=f"10.0.0.9:{port}")
        for port in [
            "99999",
            "65536",
            "0",
            "-1",
            "9" * 5_000,
            "",
            "\u0661\u0662",
            "80 ",
            "8_0",
            "+8",
        ]
    },
    **{
        f"address {address[:12]!a}": platform_standin.server_row(address=address)
        for address in [
            "10.0.0.9",
            "10.0.0.9\0:80",
            "host:80",
            "10.0.0.256:80",
            "[::1]:80",
            "a" * 99,
        ]
    },
    **{f"{n} slots": platform_standin.server_row(slots=n) for n in (0, -4, 2**63, 1.5)},
    "service of a megabyte": platform_standin.server_row(service="s" * 1_000_000),
    "zone with a line end": platform_standin.server_row(zone="a-1\n"),
}
ENDED_THE_PROCESS = ["nested", "cold for 1e306 s"]


# Guards against a process that ended, again and again, on one row that another writer had left.
@pytest.mark.parametrize("name", ENDED_THE_PROCESS)
def test_an_odd_row_of_a_server_ends_neither_the_reader_nor_the_process(quick, name):
    async def scenario(standin, reader):
        put_server(standin, "i-1", 1)
        standin.put("servers", "i-odd", ODD_SERVERS[name])
        put_server(standin, "i-2", 2)
        await reader.reaches({"i-1", "i-2"})
        put_server(standin, "i-3", 3)
        await reader.reaches({"i-1", "i-2", "i-3"})

    with_reader(scenario)


# Guards against an odd row that ended the reader after the first read, when changes are followed.
@pytest.mark.parametrize("name", ENDED_THE_PROCESS)
def test_an_odd_row_replaces_its_server_until_it_is_good_again(quick, name):
    async def scenario(standin, reader):
        put_server(standin, "i-1", 1)
        put_server(standin, "i-2", 2)
        await reader.reaches({"i-1", "i-2"})
        standin.put("servers", "i-2", ODD_SERVERS[name])
        await reader.reaches({"i-1"})
        put_server(standin, "i-2", 2)
        await reader.reaches({"i-1", "i-2"})

    with_reader(scenario)


def decode(topic, key, value, **more):
    raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
    row = rows.Row("t", key, 9, value=base64.b64encode(raw).decode(), **more)
    return rows.decode(row, topic, {"a-1": "a"})


# Guards against rows that were taken as servers although no request can be sent to them.
@pytest.mark.parametrize("name", list(ODD_SERVERS))
def test_a_row_out_of_bounds_is_no_server(name):
    found = decode(SERVERS, "i-odd", ODD_SERVERS[name])
    assert found.report is None and found.unreadable is not None
    assert len(found.unreadable.reason) <= facts.MAX_REASON_CHARS


ODD_KEYS = ["", "i\0", "i\r\nx: y", "i" * 9_999, "\ud7ff\uffff", "i-\u2028", "\u0661 2"]


# Guards against a server whose id cannot be sent in a header: each request to it failed.
@pytest.mark.parametrize("key", ODD_KEYS, ids=ascii)
def test_a_row_with_an_odd_key_is_no_server_and_no_evacuation(key):
    for topic, prefix in ((SERVERS, ""), (ENTRIES, ""), (INTENTS, "evacuate/")):
        found = decode(topic, prefix + key, platform_standin.server_row())
        zone_is_possible = topic is INTENTS and key == "\u0661 2"
        assert (found.unreadable is None) is zone_is_possible
        assert len(found.key) <= 255 and found.key.isprintable()


# Guards against an evacuation that took the place of the intents, since both had the same key.
def test_an_evacuation_named_like_the_intents_does_not_replace_them(quick):
    async def scenario(standin, reader):
        put_server(standin, "i-1", 1)
        standin.put("op", "config", platform_standin.intents_row(3))
        standin.put("op", "evacuate/config", {})
        await reader.reaches({"i-1"})
        await until(lambda: reader.state.rejections.counts[INTENTS] == 1)
        standin.drop("op", "evacuate/config")
        await anyio.sleep(0.1)
        assert reader.state.table.version == 3
        assert reader.copy.rows[(INTENTS, "config")].intents.version == 3

    with_reader(scenario)


async def until(condition):
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.005)


def intents(**more):
    return platform_standin.intents_row(4, [more])


WEIGHTLESS = [{"service": "logbook", "weight": 0}]
ODD_INTENTS = {
    "nested": NESTED,
    "timeout of 1e306 s": intents(timeoutS=1e306),
    "negative timeout": intents(timeoutS=-1),
    "version of 5,000 digits": {**intents(), "version": "r" + "9" * 5_000},
    "version in other digits": {**intents(), "version": "r\u0664"},
    "split without weight": intents(trafficSplit=WEIGHTLESS),
    "priority of 400 digits": msgspec.json.encode(intents()).replace(
        b'"priority":2', b'"priority":' + b"9" * 400
    ),
}


@pytest.mark.parametrize("name", list(ODD_INTENTS))
def test_odd_intents_leave_those_in_force_and_are_followed_when_good_again(quick, caplog, name):
    async def scenario(standin, reader):
        caplog.set_level("WARNING")
        put_server(standin, "i-1", 1)
        standin.put("op", "config", platform_standin.intents_row(3))
        await until(lambda: reader.state.table is not None)
        standin.put("op", "config", ODD_INTENTS[name])
        await until(lambda: reader.state.rejections.counts[INTENTS] == 1)
        await anyio.sleep(0.1)
        assert reader.state.table.version == 3
        standin.put("op", "config", platform_standin.intents_row(5))
        await until(lambda: reader.state.table.version == 5)
        await reader.reaches({"i-1"})

    with_reader(scenario)
    logged = [r for r in caplog.records if r.event is events.Event.ROW_UNREADABLE]
    assert [(r.fields["key"], r.fields["version"]) for r in logged] == [("config", 3)]


ODD_ENTRIES = {"gossip_address": "10.0.0.9:99999", "client_address": "x", "region": "a\0"}


@pytest.mark.parametrize("field", list(ODD_ENTRIES))
def test_an_odd_registration_names_no_peer(field):
    good = {"region": "a", "zone": "a-1", "gossip_address": "10.0.0.1:7",
            "client_address": "10.0.0.1:8"}  # fmt: skip
    assert decode(ENTRIES, "e-2", good).registration.client_address == "10.0.0.1:8"
    found = decode(ENTRIES, "e-2", {**good, field: ODD_ENTRIES[field]})
    assert found.registration is None and found.unreadable is not None


ODD_ANSWERS = {
    "nested": b'{"ver":1,"rows":[],"x":' + NESTED + b"}",
    "nested row": b'{"ver":1,"rows":[{"table":"servers","key":"i","ver":1,"x":' + NESTED + b"}]}",
    "version of 400 digits": b'{"ver":' + b"9" * 400 + b"}",
    "version of 5,000 digits": b'{"ver":' + b"9" * 5_000 + b"}",
    "negative version": b'{"ver":-1}',
    "no json": b"\xff",
    "list": b"[]",
}


# Guards against a whole response of the store that ended the reader, or made it read without pause.
@pytest.mark.parametrize("name", list(ODD_ANSWERS))
def test_an_odd_response_of_the_store_is_a_refusal_and_the_rows_read_before_hold(quick, name):
    async def scenario(standin, reader):
        put_server(standin, "i-1", 1)
        await reader.reaches({"i-1"})
        standin.answer = ODD_ANSWERS[name]
        source = store.Store(standin.address, {})
        refused = await source.read_all(SERVERS)
        assert refused.kind is errors.ErrorKind.STORE_UNAVAILABLE
        calls = len(standin.calls)
        await anyio.sleep(0.3)
        assert len(standin.calls) - calls < 200
        put_server(standin, "i-2", 2)
        standin.answer = None
        await reader.reaches({"i-1", "i-2"})

    with_reader(scenario)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=9,
)
FIELDS = ["service", "address", "zone", "slots", "state", "coldRemainingS", "born", "version",
          "resources", "region", "gossip_address", "client_address"]  # fmt: skip
VALUES = st.binary() | JSON | st.dictionaries(st.sampled_from(FIELDS), JSON)


@hypothesis.given(st.sampled_from(list(facts.Topic)), st.text(), VALUES, st.booleans())
@hypothesis.settings(deadline=None, derandomize=True)
def test_no_row_raises(topic, key, value, tombstone):
    for name in (key, "config", f"evacuate/{key}"):
        found = decode(topic, name, value, tombstone=tombstone)
        assert found is None or (found.report is None and found.topic is topic)


def test_a_new_start_of_a_known_server_is_logged_once_and_counted(monkeypatch):
    logged = []
    monkeypatch.setattr(events, "log", lambda *event, **fields: logged.append((event[0], fields)))
    state = routing_state.RoutingState(registry.Registry(), roster.Roster("e-1"))
    for version, born_ms in ((7, 100), (8, 200), (9, 200)):
        report = fact_source.report("i-1", born_ms=born_ms, cold_ms=700)
        state.apply(facts.Change(SERVERS, "i-1", version, report=report), version == 7, 1_000)
    [(_, joined), (event, restarted)] = logged
    assert joined["born_ms"] == 100
    assert event is events.Event.SERVER_RESTARTED
    assert (restarted["born_ms"], restarted["previous_born_ms"]) == (200, 100)
    assert (restarted["cold_ms"], restarted["cold_for_ms"]) == (700, 700)
    assert (restarted["first_read"], restarted["store_version"]) == (False, 8)
    assert state.restarts == 1
