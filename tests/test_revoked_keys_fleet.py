"""Whole entries in virtual time whose intents take keys away, amid trouble with the store."""

import collections
import dataclasses
import re

import anyio
import msgspec

from sassafraslock import events, facts, field_types, routing_table, workspaces
from sassafraslock.services import store_export
from tests import fact_source, fleet_loop, fleet_world

BOUND_S = 5.0
ALPHA, BETA = b"k-alpha", b"k-beta"
SHAPE = fleet_world.Shape(9)


class Peers:
    """Another entry's copy, by a call that takes a moment."""

    def __init__(self, world, entry):
        self._world, self._entry = world, entry

    async def fetch(self, positions):
        if self._entry.is_cut_off:
            return None
        others = [e for e in self._world.entries if e.is_running and e is not self._entry]
        peer = self._world.random.choice(others)
        await anyio.sleep(0.01)
        raw = msgspec.msgpack.encode(peer.edge.replica.export(positions))
        await anyio.sleep(0.01)
        return msgspec.msgpack.decode(raw, type=store_export.ProvenExport)


class KeyedEntry(fleet_world.Entry):
    is_cut_off = False

    def cut_off(self):
        """Lose the store and the peers, but not the clients."""
        self.is_cut_off = self.reader.is_turned_away = True
        self.loop.network.sockets.pop(field_types.split_address(self.settings.gossip_address))

    @property
    def is_running(self):
        return self.edge is not None and not self.loop.is_held


class KeyedWorld(fleet_world.World):
    """Two workspaces with a key each; half of the requests has either key."""

    peers_type = Peers
    revision = 0
    has_public_route = False

    def __init__(self, seed):
        super().__init__(SHAPE, seed, (0.0, 0.0))

    def _put_intents(self):
        self.put_keys(ALPHA, BETA)

    def put_keys(self, *keys, **change):
        self.revision += 1
        known = tuple(
            workspaces.Workspace(key.decode(), (workspaces.digest_key(key),)) for key in keys
        )
        public = fact_source.route("p", "/p/", public=True)
        routes = (fact_source.route(), *([public] if self.has_public_route else ()))
        services = (routing_table.Service("s", 330, 3000, 5.0),)
        intents = routing_table.Intents(self.revision, routes, services, workspaces=known)
        self.store.put(facts.Topic.INTENTS, "config", **(change or {"intents": intents}))

    def _settings(self, number):
        settings = super()._settings(number)
        bounds = dataclasses.replace(settings.bounds, revoke_ms=int(1_000 * BOUND_S))
        return dataclasses.replace(settings, bounds=bounds)

    def draw_credential(self):
        return self.random.choice((ALPHA, BETA))

    def ready(self):
        return [entry.is_open for entry in self.entries]


def play(monkeypatch, scenario, seed=3):
    monkeypatch.setattr(fleet_world, "Entry", KeyedEntry)
    world = KeyedWorld(seed)
    with fleet_loop.VirtualClock(world.network):
        try:
            world.introduce()
            world.set_demand(0.7)
            world.run(3.0)
            scenario(world)
        finally:
            world.close()


# Guards against a taken key that runs at an entry that is turned away, frozen or started again.
def test_a_key_that_was_taken_away_ends_within_the_bound_at_all_entries(monkeypatch):
    def scenario(world):
        away, (frozen, killed, lonely) = world.entries[:3], world.entries[3:6]
        for entry in away:
            entry.reader.is_turned_away = True
        start_s = world.network.now_s
        world.network.after(1.0, frozen.hold)
        world.network.after(8.0, frozen.release)
        world.network.after(0.5, lonely.cut_off)
        world.network.after(2.5, killed.restart, 0.3)
        world.run(2.0)
        world.put_keys(BETA)
        taken_s = world.network.now_s
        world.run(10.0)
        alpha = [a for a in world.answers if a.credential == ALPHA and a.sent_s > taken_s + BOUND_S]
        assert alpha and not [a for a in alpha if a.status == 200]
        assert any(a.status == 401 for a in alpha)
        cut_off = [a for a in world.answers if a.entry == lonely.settings.entry_id]
        within = [a for a in cut_off if a.credential == ALPHA and a.sent_s > taken_s]
        assert any(a.status == 200 for a in within)  # it knows of no change, but of the bound
        served = collections.Counter()
        total = collections.Counter()
        ids = {entry.settings.entry_id for entry in away}
        others = {entry.settings.entry_id for entry in world.entries[6:]} | ids
        for answer in world.answers:
            in_time = start_s < answer.sent_s < start_s + 9.0
            if answer.credential == BETA and answer.entry in others and in_time:
                total[answer.entry in ids] += 1
                served[answer.entry in ids] += answer.status == 200
        assert served[True] / total[True] >= served[False] / total[False] - 0.05
        assert total[True] > 50

    play(monkeypatch, scenario)


# Guards against entries that accept keys while no one knows what the store holds.
def test_without_the_store_entries_stop_to_be_ready_and_start_again_with_it(monkeypatch, caplog):
    caplog.set_level("INFO", "sassafraslock")

    def logged(event):
        return sum(getattr(record, "event", None) is event for record in caplog.records)

    def scenario(world):
        assert all(world.ready())
        world.store.set_away(True)
        gone_s = world.network.now_s
        world.run(3.5)
        assert all(world.ready())
        world.run(1.6)
        assert not any(world.ready())
        late = [a for a in world.answers if a.sent_s > gone_s + BOUND_S]
        assert not [a for a in late if a.status == 200]
        metrics = world.entries[0].edge.render_metrics()
        assert b'sassafraslock_keys_accepted{entry="e-0"} 0' in metrics
        age = re.search(rb'intents_proof_age_seconds{entry="e-0"} (.*)', metrics)
        assert float(age[1]) > BOUND_S
        world.store.set_away(False)
        world.run(1.0)
        assert all(world.ready())
        assert logged(events.Event.KEYS_UNPROVEN) == SHAPE.entries
        assert logged(events.Event.KEYS_PROVEN) == 2 * SHAPE.entries

    play(monkeypatch, scenario)


# Guards against a row that takes a key away, cannot be decoded, and counts as applied.
def test_an_unreadable_row_proves_nothing_until_it_is_mended(monkeypatch):
    def scenario(world):
        world.put_keys(unreadable=facts.UnreadableRow("cut short"))
        world.run(BOUND_S + 0.1)
        assert not any(world.ready())
        world.put_keys(BETA)
        world.run(0.5)
        assert all(world.ready())

    play(monkeypatch, scenario)


# Guards against entries that leave the directory although they serve their public routes.
def test_an_entry_with_a_public_route_stays_ready_without_a_proof(monkeypatch):
    def scenario(world):
        world.store.set_away(True)
        world.run(BOUND_S + 1.0)
        assert all(world.ready())
        refused = [a for a in world.answers if a.status == 503]
        assert refused and all(0 < float(a.retry_after) <= 1.0 for a in refused)

    monkeypatch.setattr(KeyedWorld, "has_public_route", True)
    play(monkeypatch, scenario)
