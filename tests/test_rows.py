"""Rows that another writer left: each costs its own entry alone, through the real reader."""

import anyio
import pytest
import store

from sassafraslock import facts, kernel
from sassafraslock.decisions import registry, roster
from sassafraslock.services import replica, routing_state
from tests import platform_standin

PORT = 24_316
SERVERS, INTENTS, ENTRIES = facts.Topic.SERVERS, facts.Topic.INTENTS, facts.Topic.ENTRIES


@pytest.fixture
def quick(monkeypatch):
    monkeypatch.setattr(kernel, "RESTART_DELAY_S", 0.01)
    monkeypatch.setattr(replica, "RETRY_PAUSE_S", 0.01)
    monkeypatch.setattr(replica, "_PAUSES_S", dict.fromkeys(facts.Topic, 0.005))
    monkeypatch.setattr(replica, "_LONG_POLLS_MS", dict.fromkeys(facts.Topic, 50))


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
}


# Guards against a process that ended, again and again, on one row that another writer had left.
@pytest.mark.parametrize("name", list(ODD_SERVERS))
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
@pytest.mark.parametrize("name", list(ODD_SERVERS))
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
