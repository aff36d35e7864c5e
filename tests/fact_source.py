"""A fact source in memory, with injected faults of the platform's store."""

import dataclasses

import anyio

from sassafraslock import errors, facts, routing_table, store_version
from sassafraslock.decisions import registry

UNAVAILABLE = errors.Refusal(errors.ErrorKind.STORE_UNAVAILABLE, "store unavailable")
HISTORY_LOST = errors.Refusal(errors.ErrorKind.HISTORY_LOST, "history lost")


class FakeSource:
    """Rows by topic and key, and the history of their changes.

    While ``is_unavailable`` is set, each call is refused. ``read_changes`` never returns if it is
    called while its topic is in ``unanswered``. After ``drop_history``, it refuses older versions,
    so that all rows have to be read again.
    """

    operator_topics = frozenset({facts.Topic.INTENTS})

    def __init__(self):
        self.rows, self.history, self.version, self.history_start = {}, [], 0, 0
        self.era = 0
        self.is_unavailable, self.registered, self.unanswered = False, [], set()
        self.changed = anyio.Event()

    def put(self, topic, key, **fact):
        self.version += 1
        version = store_version.join(self.era, self.version)
        change = facts.Change(topic, key, version, **fact)
        self.history.append(change)
        if change.is_removed:
            self.rows.pop((topic, key), None)
        else:
            self.rows[(topic, key)] = change
        self.changed.set()
        self.changed = anyio.Event()

    def put_server(self, server_id, address="127.0.0.1:1", **more):
        self.put(facts.Topic.SERVERS, server_id, report=report(server_id, address, **more))

    def remove_server(self, server_id):
        self.put(facts.Topic.SERVERS, server_id)

    def put_registration(self, settings):
        """Put the registration that an entry made before it was started again."""
        registration = facts.Registration(
            settings.entry_id,
            settings.region,
            settings.zone,
            settings.gossip_address,
            settings.client_address,
        )
        self.put(facts.Topic.ENTRIES, settings.entry_id, registration=registration)

    def put_intents(self, version, routes, **service):
        services = (routing_table.Service("s", 330, 3000, service.get("cold_per_s", 5.0)),)
        intents = routing_table.Intents(version, tuple(routes), services)
        self.put(facts.Topic.INTENTS, "config", intents=intents)

    def drop_history(self):
        self.history, self.history_start = [], self.version

    def copy(self):
        """Return a copy from which the store can be restored."""
        return dict(self.rows), list(self.history), self.version

    def restore(self, copy):
        """Lose what was written since the copy, and give out versions again."""
        rows, history, self.version = copy
        self.era += 1
        self.rows, self.history = dict(rows), list(history)
        self.changed.set()
        self.changed = anyio.Event()

    async def read_all(self, topic):
        if self.is_unavailable:
            return UNAVAILABLE
        return self._batch([c for (t, _), c in self.rows.items() if t is topic])

    def _batch(self, changes):
        """Return changes as the store tells of them: all versions are of the present era."""
        now = [
            dataclasses.replace(
                c, version=store_version.join(self.era, store_version.number(c.version))
            )
            for c in changes
        ]
        return facts.Batch(tuple(now), store_version.join(self.era, self.version))

    async def read_changes(self, topic, after, wait_ms):
        if topic in self.unanswered:
            await anyio.sleep_forever()
        with anyio.move_on_after(wait_ms / 1000):
            while not (self.is_unavailable or self._is_lost(after) or self._newer(topic, after)):
                await self.changed.wait()
        if self.is_unavailable:
            return UNAVAILABLE
        if self._is_lost(after):
            return HISTORY_LOST
        return self._batch(self._newer(topic, after))

    def _is_lost(self, after):
        return not self.history_start <= store_version.number(after) <= self.version

    def _newer(self, topic, after):
        after = store_version.number(after)
        newer = [c for c in self.history if store_version.number(c.version) > after]
        return [c for c in newer if c.topic is topic]

    async def register(self, registration):
        if self.is_unavailable:
            return UNAVAILABLE
        self.registered.append(registration)
        return self.version


def report(server_id, address="127.0.0.1:1", state="ready", zone="a-1", slots=3, **more):
    return registry.ServerReport(
        server_id, "s", address, zone[0], zone, slots, registry.ServerState(state), **more
    )


def route(name="r", prefix="/x/", idempotent=True, timeout_ms=2000, attempts=2, **more):
    to = (routing_table.Destination("s", 1.0),)
    return routing_table.Route(
        name, "h", prefix, idempotent, timeout_ms, 400, more.pop("priority", 1), attempts, to,
        more.pop("sticky", True), **more,
    )  # fmt: skip
