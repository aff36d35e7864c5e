"""Plays of a fleet before servers that end and start again, with what the rules allow."""

import dataclasses

from sassafraslock import facts
from tests import fleet_loop, fleet_world

USUAL_DEMAND = 0.7  # of what fills all servers while they are warm
BURST_DEMAND = 3.0
STEP_S = 0.1
KNOWN_LIMIT_S = 5.0


@dataclasses.dataclass(slots=True)
class Play:
    """What happens to a fleet; times count from the first end of the servers.

    The store is away from ``away_s[0]`` to ``away_s[1]``. A share ``held_ratio`` of the entries
    stands still from ``held_s[0]`` to ``held_s[1]``. The servers are down for each of ``downs_s``,
    one after another, ``again_s`` after their start.
    """

    downs_s: tuple
    away_s: tuple = ()
    held_s: tuple = ()
    held_ratio: float = 0.5
    again_s: float = 1.0
    settle_s: float = 1.5
    burst_s: float = 0.5


@dataclasses.dataclass(slots=True)
class Result:
    """What a play showed.

    ``answers`` are those to requests sent after the last restart, while no entry stood still.

    ``by_held`` are the requests at cold servers from entries that stood still. ``shares`` are the
    servings of each restarted server in the second that ends two seconds after it was warm and
    known to all entries, divided by the mean of the others; ``waits_s`` the times until its first
    request, counted from that moment.
    """

    most_at_cold: int
    bound: float
    by_held: int
    arrivals: int
    waits_s: list
    shares: list
    answers: list


def play(shape, what, seed):
    """Play and return what was seen."""
    world = fleet_world.World(shape, seed)
    with fleet_loop.VirtualClock(world.network):
        try:
            return _play(world, what)
        finally:
            world.close()


def _play(world, what):
    network = world.network
    world.set_demand(USUAL_DEMAND)
    world.run(what.settle_s)
    world.set_demand(BURST_DEMAND)
    world.run(what.burst_s)
    before_s = max(0.0, *(-s for s in (*what.away_s[:1], *what.held_s[:1], 0.0)))
    start_s = network.now_s + before_s
    held = _plan(world, what, start_s)
    down_s = sum(what.downs_s) + what.again_s * (len(what.downs_s) - 1)
    warm_s = start_s + down_s + world.shape.cold_start_s
    network.run_until(warm_s)
    known_s = _run_until_known(world, warm_s)
    world.run(2.0)
    back_s = warm_s - world.shape.cold_start_s
    since_s = max(back_s, *(start_s + s for s in what.held_s), back_s)
    return _result(world, held, since_s, known_s)


def _plan(world, what, start_s):
    """Arrange all that happens and return the entries that will stand still."""
    network = world.network
    at_s = start_s
    for down_s in what.downs_s:
        for machine in world.restarted:
            network.at(at_s, machine.restart, down_s)
        at_s += down_s + what.again_s
    if what.away_s:
        network.at(start_s + what.away_s[0], world.store.set_away, True)
        network.at(start_s + what.away_s[1], world.store.set_away, False)
    held = []
    if what.held_s:
        count = round(what.held_ratio * len(world.entries) + 0.01)
        held = world.random.sample(world.entries, count)
    for entry in held:
        network.at(start_s + what.held_s[0], entry.hold)
        network.at(start_s + what.held_s[1], entry.release)
    return held


def _run_until_known(world, warm_s):
    """Run until all entries have the rows of the new starts, and return the time."""
    while not all(_knows(entry, world.restarted) for entry in world.entries):
        if world.network.now_s > warm_s + KNOWN_LIMIT_S:
            raise TimeoutError("entries don't have the rows of the new starts")
        world.run(STEP_S)
    return world.network.now_s


def _knows(entry, machines):
    if entry.edge is None:
        return False
    rows = entry.edge.replica.rows
    known = [rows[(facts.Topic.SERVERS, m.server_id)].report.born_ms for m in machines]
    return known == [m.process.born_ms for m in machines]


def _result(world, held, since_s, known_s):
    others = world.machines[world.shape.restarted :]
    mean = sum(_served(m, known_s + 1.0, known_s + 2.0) for m in others) / len(others)
    arrivals = [a for m in world.machines for start in m.cold_arrivals for a in start]
    held_ids = {entry.settings.entry_id for entry in held}
    return Result(
        most_at_cold=world.most_at_cold(),
        bound=world.shape.bound,
        by_held=sum(a.entry in held_ids for a in arrivals),
        arrivals=len(arrivals),
        waits_s=[_wait_s(m, known_s) for m in world.restarted],
        shares=[_served(m, known_s + 1.0, known_s + 2.0) / mean for m in world.restarted],
        answers=[a for a in world.answers if a.sent_s > since_s],
    )


def _served(machine, from_s, until_s):
    return sum(from_s <= s < until_s for s in machine.served_s)


def _wait_s(machine, known_s):
    return min((s - known_s for s in machine.taken_s if s >= known_s), default=float("inf"))
