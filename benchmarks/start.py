"""The first seconds of a large system whose entries and servers start at once, on virtual time.

Pattern: start of traffic. Each entry learns the demand and the loads of the others at moments of
its own, and a third of the clients stand in a region with a tenth of the servers.
"""

from __future__ import annotations

import collections
import concurrent.futures
import dataclasses
import sys

from benchmarks import region_world, regions

TICK_MS = 50
PEERS_HEARD = 4  # in a round, of the own region
SHIFT_STEP_MS = 250
MIN_REQUESTS = 30  # of a window
MAX_SHIFT = 0.15
ENTRIES = 195
SECONDS = 6
CALM, OVERLOADED = 1.0, 1.6  # the load; the second is more than the smallest region carries
SEEDS = range(1, 51)


def shape_of(scale: float) -> region_world.Shape:
    """Return an installation of 195 entries and 1,077 servers, or a part of it.

    :param scale: its size.
    """
    by_region = {"north": 390, "south": 96, "west": 468}, {"north": 51, "south": 12, "west": 60}
    counts = [{r: max(1, int(scale * n)) for r, n in counts.items()} for counts in by_region]
    flows = [
        _flow(0, "look-up", 800, 6_000, 1_440.0, 600, 73.0, scale),
        _flow(0, "repair", 1_200, 8_000, 1_872.0, 300, 26.0, scale),
        _flow(1, "settle", 600, 4_000, 1_008.0, 200, 20.0, scale),
    ]
    usual = region_world.USUAL
    return region_world.Shape(
        tuple(flows),
        tuple(dataclasses.replace(s, max_connections=3_600) for s in usual.services),
        dict(zip([s.name for s in usual.services], counts, strict=True)),
        {"finder": 9, "board": 13},
        int(scale * ENTRIES / 3),
        {"north": 0.4, "south": 1.1, "west": 0.73},
        SECONDS,
        (SECONDS + 1, SECONDS + 2),
    )


def _flow(
    service: int,
    name: str,
    target_ms: int,
    timeout_ms: int,
    new_ms: float,
    objects: int,
    rate_per_s: float,
    scale: float,
) -> region_world.Flow:
    usual = region_world.USUAL.flows[service].route
    route = dataclasses.replace(
        usual, name=name, target_latency_ms=target_ms, timeout_ms=timeout_ms
    )
    return region_world.Flow(route, new_ms, int(scale * objects), scale * rate_per_s, 1.0)


class Start(regions.Simulation):
    """All servers have joined after the first read of each entry, and no request came before."""

    def __init__(self, seed: int, load: float, scale: float) -> None:
        super().__init__(seed, load, shape_of(scale))
        self.runs: dict[str, list[tuple[float, str]]] = collections.defaultdict(list)
        self.turns = {e.entry_id: self.random.randrange(regions.GOSSIP_MS) for e in self.entries}
        self.gossip_ms = TICK_MS
        self.records = {e.entry_id: e.record(0) for e in self.entries}
        for entry in self.entries:
            for record in self.records.values():
                entry.members.merge_record(record, 0)
            entry.planner.update(0)
            for server_id in self.servers:
                entry.placer.record_join(server_id, 0)

    def _gossip(self, now_ms: int) -> None:
        """Let the entries whose turn it is learn what the others last told of themselves."""
        for entry in self.entries:
            if (now_ms - self.turns[entry.entry_id]) % regions.GOSSIP_MS < TICK_MS:
                self.records[entry.entry_id] = entry.record(now_ms)
                for record in self.records.values():
                    entry.members.merge_record(record, now_ms)
                self._hear_peers(entry, now_ms)
                entry.planner.update(now_ms)

    def _hear_peers(self, entry: region_world.Entry, now_ms: int) -> None:
        peers = self.by_region[entry.region]
        for peer in self.random.sample(peers, min(PEERS_HEARD, len(peers))):
            if peer is not entry:
                entry.placer.loads.merge_reports(peer.placer.loads.recent_reports(now_ms), now_ms)
                objects = peer.placer.objects.recent_reports(now_ms)
                entry.placer.objects.merge_reports(objects, now_ms)

    def _start_next(self, name: str, now_ms: float) -> None:
        server = self.servers[name]
        running = set(server.running)
        super()._start_next(name, now_ms)
        region = name.split("-")[1]
        for number in server.running - running:
            self.runs[self.jobs[number].placer.region].append((now_ms, region))

    def worst_shift(self) -> float:
        """Return the largest share of a region's requests that run elsewhere than just before."""
        return max((self._worst_shift(runs) for runs in self.runs.values()), default=0.0)

    def _worst_shift(self, runs: list[tuple[float, str]]) -> float:
        window_ms = regions.SHIFT_WINDOW_MS
        worst = 0.0
        for at_ms in range(window_ms, 1_000 * SECONDS - window_ms, SHIFT_STEP_MS):
            before = collections.Counter(r for t, r in runs if at_ms - window_ms <= t < at_ms)
            after = collections.Counter(r for t, r in runs if at_ms <= t < at_ms + window_ms)
            if min(before.total(), after.total()) >= MIN_REQUESTS:
                worst = max(worst, sum(_shares(after, before)))
        return worst


def _shares(after: collections.Counter[str], before: collections.Counter[str]) -> list[float]:
    """Return how much the share of each region grew."""
    growths = (after[r] / after.total() - before[r] / before.total() for r in region_world.REGIONS)
    return [max(0.0, growth) for growth in growths]


def play(seed: int, load: float, scale: float) -> float:
    """Return the largest shift of the first seconds.

    :param seed: the seed.
    :param load: the load, 1 for the usual one.
    :param scale: the size of the installation.
    """
    simulation = Start(seed, load, scale)
    simulation.run()
    return simulation.worst_shift()


def main(workers: int) -> None:
    """Print the shifts of all seeds at the whole size.

    :param workers: the number of processes.
    """
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        for load in (CALM, OVERLOADED):
            found = pool.map(play, SEEDS, [load] * len(SEEDS), [1.0] * len(SEEDS))
            for seed, shift in zip(SEEDS, found, strict=True):
                verdict = "beyond the cap" if shift > MAX_SHIFT else ""
                sys.stdout.write(f"load {load}, seed {seed}: {shift:.3f} {verdict}\n")
                sys.stdout.flush()


if __name__ == "__main__":
    main(int(sys.argv[1]))
