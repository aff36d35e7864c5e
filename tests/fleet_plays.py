"""Plays of a fleet before servers that end and start again, with what the rules allow."""

import collections
import dataclasses
import math

from sassafraslock import facts
from tests import fleet_loop, fleet_servers, fleet_world

USUAL_DEMAND = 0.7  # of what fills all servers while they are warm
BURST_DEMAND = 3.0
STEP_S = 0.1
FIRST_S = 1.5  # after the last start
KNOWN_LIMIT_S = 8.0
FEED_DELAY_S = (0.02, 0.3)
ENTRY_DOWN_S = 0.1


@dataclasses.dataclass(slots=True)
class Play:
    """What happens to a fleet; times count from the first end of the servers.

    The store is away from ``away_s[0]`` to ``away_s[1]``. A share ``held_ratio`` of the entries
    stands still from ``held_s[0]`` to ``held_s[1]``. Some servers, or all with ``all_servers``, are
    down for each of ``downs_s``, one after another, ``again_s`` after their start. While they are
    down, connections are refused unless ``refuses`` is false. With ``replaced``, other servers
    start at their addresses. At each of ``kills_s`` one entry ends and starts again, at each of
    ``pauses_s`` one stands still for ``pause_s``. Rows come to each entry after a delay of its own
    between ``feed_delay_s``. With ``only_cold``, the play ends :data:`FIRST_S` after the last of
    the starts.
    """

    downs_s: tuple
    away_s: tuple = ()
    held_s: tuple = ()
    held_ratio: float = 0.5
    again_s: float = 1.0
    refuses: bool = True
    replaced: bool = False
    all_servers: bool = False
    kills_s: tuple = ()
    pauses_s: tuple = ()
    pause_s: float = 0.6
    feed_delay_s: tuple = FEED_DELAY_S
    only_cold: bool = False
    settle_s: float = 1.0
    burst_s: float = 0.5

    @property
    def back_s(self):
        """When the servers start for the last time."""
        return sum(self.downs_s) + self.again_s * (len(self.downs_s) - 1)

    @property
    def before_s(self):
        """How long before the first end of the servers the first thing happens."""
        starts_s = (*self.away_s[:1], *self.held_s[:1], *self.kills_s, *self.pauses_s)
        return -min((0.0, *starts_s))


@dataclasses.dataclass(slots=True)
class Result:
    """What a play showed.

    ``worst`` are the requests of the second in which a cold server got most, ``worst_known`` those
    sent when all entries had the rows of the new starts, none if that was never so. ``answers``
    are those to requests sent after the last restart, while no entry stood still. ``waits_s`` has
    the time until each restarted server gets a request, from the moment when all entries have a row
    that says it is warm; ``shares`` what it serves in the second that ends two seconds after that
    moment, divided by the mean of the servers that did not restart, if there are any.
    """

    worst: list
    worst_known: list | None
    bound: float
    held_ids: set
    answers: list
    waits_s: list = dataclasses.field(default_factory=list)
    shares: list = dataclasses.field(default_factory=list)

    @property
    def most_at_cold(self):
        return len(self.worst)

    @property
    def failed_ratio(self):
        """The share of requests that were neither answered nor refused."""
        failed = sum(a.status not in (200, 503) for a in self.answers)
        return failed / len(self.answers)

    def summary(self):
        """Return the worst second in words: how many requests, of whom, with what evidence."""
        evidence = collections.Counter(a.evidence for a in self.worst)
        held = sum(a.entry in self.held_ids for a in self.worst)
        entries = len({a.entry for a in self.worst})
        found = ", ".join(f"{count} {name}" for name, count in sorted(evidence.items()))
        return (
            f"{self.most_at_cold} of {self.bound:.2f} from {entries} entries ({found};"
            f" {held} of entries that stood still)"
        )


def play(shape, what, seed):
    """Play and return what was seen."""
    world = fleet_world.World(shape, seed, what.feed_delay_s)
    with fleet_loop.VirtualClock(world.network):
        try:
            return _play(world, what)
        finally:
            world.close()


def play_after_quiet(shape, quiet_s, down_s, seed):
    """Restart servers to which no entry has sent for a while, and return the worst second.

    The store is away, and demand returns with the servers.
    """
    world = fleet_world.World(shape, seed, FEED_DELAY_S)
    with fleet_loop.VirtualClock(world.network):
        try:
            world.set_demand(USUAL_DEMAND)
            world.run(2.0)
            world.set_demand(0.0)
            world.run(0.5)
            world.store.set_away(True)
            world.run(quiet_s)
            for machine in world.restarted:
                machine.restart(down_s)
            world.run(down_s + 0.02)
            world.set_demand(BURST_DEMAND)
            world.run(shape.cold_start_s)
            starts = [start for m in world.restarted for start in m.cold_arrivals]
            return max(len(fleet_servers.worst_second(start)) for start in starts)
        finally:
            world.close()


def _play(world, what):
    if what.all_servers:
        world.restarted = world.machines
    world.introduce()
    world.set_demand(USUAL_DEMAND)
    world.run(what.settle_s)
    world.set_demand(BURST_DEMAND)
    world.run(what.burst_s)
    start_s = world.network.now_s + what.before_s
    held_ids = _plan(world, what, start_s)
    warm_s = start_s + what.back_s + world.shape.cold_start_s
    end_s = start_s + what.back_s + FIRST_S if what.only_cold else warm_s
    world.network.run_until(start_s + what.back_s)
    cold_known_s = _run_until(world, _knows_start, end_s)
    world.network.run_until(end_s)
    since_s = max(start_s + s for s in (what.back_s, *what.held_s))
    worst_known = world.worst_second(cold_known_s) if cold_known_s < end_s else None
    result = Result(world.worst_second(), worst_known, world.shape.bound, held_ids, [])
    if not what.only_cold:
        _run_on(world, result)
    result.answers = [a for a in world.answers if a.sent_s > since_s]
    return result


def _plan(world, what, start_s):
    """Arrange all that happens and return the ids of the entries that will stand still."""
    _plan_servers(world, what, start_s)
    network = world.network
    if what.away_s:
        network.at(start_s + what.away_s[0], world.store.set_away, True)
        network.at(start_s + what.away_s[1], world.store.set_away, False)
    for at_s in what.kills_s:
        network.at(start_s + at_s, _kill_one, world)
    for at_s in what.pauses_s:
        network.at(start_s + at_s, _pause_one, world, what.pause_s)
    held = []
    if what.held_s:
        held = world.random.sample(world.entries, math.ceil(what.held_ratio * len(world.entries)))
    for entry in held:
        network.at(start_s + what.held_s[0], entry.hold)
        network.at(start_s + what.held_s[1], entry.release)
    return {entry.settings.entry_id for entry in held}


def _plan_servers(world, what, start_s):
    at_s = start_s
    for down_s in what.downs_s:
        for machine in world.restarted:
            machine.refuses = what.refuses
            end = machine.replace if what.replaced else machine.restart
            world.network.at(at_s, end, down_s)
        at_s += down_s + what.again_s


def _running(world):
    return [e for e in world.entries if e.is_open and not e.loop.is_held]


def _kill_one(world):
    world.random.choice(_running(world)).restart(ENTRY_DOWN_S)


def _pause_one(world, for_s):
    entry = world.random.choice(_running(world))
    entry.hold()
    world.network.after(for_s, entry.release)


def _run_on(world, result):
    """Run until the restarted servers should be in full use again."""
    limit_s = world.network.now_s + KNOWN_LIMIT_S
    known_s = _run_until(world, _knows_warm, limit_s)
    if known_s >= limit_s:
        raise TimeoutError("entries don't have the rows that tell of warm servers")
    world.run(2.0)
    others = [m for m in world.machines if m not in world.restarted] or world.machines
    mean = sum(_served(m, known_s) for m in others) / len(others)
    result.waits_s = [_wait_s(m, known_s) for m in world.restarted]
    result.shares = [_served(m, known_s) / mean for m in world.restarted]


def _run_until(world, knows, limit_s):
    """Run until all entries have certain rows of the restarted servers, and return the time."""
    network = world.network
    while network.now_s < limit_s and not _all_know(world, knows):
        world.run(STEP_S)
    return network.now_s


def _all_know(world, knows):
    rows = [entry.edge.replica.rows for entry in world.entries if entry.edge is not None]
    return all(knows(known, machine) for known in rows for machine in world.restarted)


def _knows_start(rows, machine):
    change = rows.get((facts.Topic.SERVERS, machine.server_id))
    process = machine.process
    return change is not None and process is not None and _born_ms(change) == process.born_ms


def _knows_warm(rows, machine):
    if not _knows_start(rows, machine):
        return False
    return not rows[(facts.Topic.SERVERS, machine.server_id)].report.cold_ms


def _born_ms(change):
    return change.report.born_ms if change.report is not None else None


def _served(machine, known_s):
    return sum(known_s + 1.0 <= s < known_s + 2.0 for s in machine.served_s)


def _wait_s(machine, known_s):
    return min((s - known_s for s in machine.taken_s if s >= known_s), default=float("inf"))
