"""Callers on virtual time who ask which entry to use, as the stand-in's callers do."""

import collections
import dataclasses

import anyio

from sassafraslock import judgement
from tests import world as virtual


@dataclasses.dataclass(slots=True)
class Seen:
    at_ms: int
    client: str
    kind: str
    server: str
    took_ms: int


class Load:
    """Sends requests at a steady rate through one region's entries."""

    def __init__(self, world, service, region, rate_per_s, clients=400, filing_ratio=0.0):
        self.world, self.service, self.region = world, service, region
        self.rate_per_s, self.clients, self.filing_ratio = rate_per_s, clients, filing_ratio
        self.seen = []
        self.told_not_run = {}

    def entries(self):
        """Return the entries that the system names for this region's callers."""
        named = [
            e
            for e in self.world.entries
            if self.world.process[e].region == self.region
            and not self.world.part(e, "steward").leaving
            and self.world.part(e, "path").ready
        ]
        return named or list(self.world.entries)

    async def run(self, seconds):
        """Send for a while and wait for every answer.

        Requests come at random moments with a fixed mean rate.
        """
        end_s = anyio.current_time() + seconds
        async with anyio.create_task_group() as group:
            while anyio.current_time() < end_s:
                group.start_soon(self._one)
                await anyio.sleep(self.world.random.expovariate(self.rate_per_s))

    async def _one(self):
        world = self.world
        client = f"client-{world.random.randrange(self.clients)}"
        entry_id = world.random.choice(self.entries())
        started_ms = virtual.virtual_ms()
        key = ""
        if world.random.random() < self.filing_ratio:
            key = virtual.new_key(virtual.virtual_wall_ms())
            answer = await world.request(
                entry_id, self.service, "POST", body=b"f", key=key, client=client
            )
        else:
            answer = await world.request(entry_id, self.service, client=client)
        now_ms = virtual.virtual_ms()
        kind = virtual.kind_of(answer)
        if key:
            self.told_not_run[key] = answer.header(b"sassafraslock-not-run") == b"true"
        server = answer.header(b"x-server").decode()
        self.seen.append(Seen(now_ms, client, kind, server, now_ms - started_ms))

    def kinds(self):
        return collections.Counter(s.kind for s in self.seen)

    def false_not_run(self):
        return [k for k, told in self.told_not_run.items() if told and self.world.runs[k]]

    def largest_shift(self, window_ms):
        """Return the largest share of requests by which regions gained from window to window."""
        region_of = {s.server_id: s.region for s in self.world.servers.values()}
        marks = [(s.at_ms, region_of.get(s.server, "")) for s in self.seen]
        return judgement.largest_gain(marks, window_ms)
