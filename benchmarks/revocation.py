"""Keys that are taken away amid trouble: late requests, and the share that is still served."""

from __future__ import annotations

import dataclasses
import time

from benchmarks import revocation_world

COUNTS = (9, 67, 195)
SEEDS = 50
SETTLED_MS = 12_000
TROUBLE_MS = 14_000
END_MS = 38_000
TURNED_AWAY_MS = 9_000
KINDS = ("kill", "freeze", "partition", "down", "silent", "turned-away", "unusable")
RARE_KINDS = ("clock", "restore")


@dataclasses.dataclass(slots=True)
class Row:
    """One number of entries; shares are of requests with keys while a third is turned away."""

    entries: int
    seeds: int
    late_requests: int
    served_share: float
    turned_away_share: float
    worst_difference: float
    proof_age_p50_ms: int
    proof_age_max_ms: int
    s_per_run: float


def play(count: int, seed: int) -> list[str]:
    """Return the requests that were accepted later than the bound, amid random trouble.

    :param count: the number of entries.
    :param seed: the seed of everything random.
    """
    world = revocation_world.World(count, seed)
    chance = world.random
    world.run(SETTLED_MS)
    for _ in range(chance.randint(4, 8)):
        world.after(chance.uniform(0, TROUBLE_MS), _begin, world, chance.choice(KINDS))
    if chance.random() < 0.5:
        world.after(chance.uniform(0, TROUBLE_MS), _begin, world, chance.choice(RARE_KINDS))
    for _ in range(8):
        world.after(chance.uniform(0, TROUBLE_MS + 4_000), world.take_away)
    world.run(END_MS)
    return world.violations


def _begin(world: revocation_world.World, kind: str) -> None:
    chance, store = world.random, world.store
    share = chance.choice((0.1, 1 / 3, 0.7))
    some = chance.sample(world.entries, max(1, int(share * len(world.entries))))
    for_ms = chance.uniform(500, 9_000)
    if kind == "kill":
        for entry in some:
            entry.end()
            world.after(chance.uniform(100, 3_000), entry.start)
    elif kind == "freeze":
        for entry in some:
            entry.is_frozen = True
        world.after(for_ms, _wake, some)
    elif kind == "partition":
        for entry in some:
            entry.group = 1
        world.after(for_ms, _join, some)
    elif kind in ("down", "silent"):
        store.set_state(kind)
        world.after(for_ms, store.set_state, "up")
    elif kind == "turned-away":
        store.turned_away = {entry.number for entry in some}
        world.after(TURNED_AWAY_MS, store.turned_away.clear)
    elif kind == "unusable":
        world.take_away(is_usable=False)
    elif kind == "clock":
        store.clock_offset_ms += chance.choice((-1, 1)) * chance.choice((300, 3_000, 600_000))
    else:
        _restore(world)


def _restore(world: revocation_world.World) -> None:
    """Restore the store; the operator writes again what the copy lacks within 6 s."""
    chance, row = world.random, world.store.row
    older = dataclasses.replace(row, revision=max(1, row.revision - chance.randint(0, 2)))
    world.store.restore(older)
    world.after(chance.uniform(500, 6_000), world.take_away)


def _wake(entries: list[revocation_world.Entry]) -> None:
    for entry in entries:
        if entry.is_alive and entry.is_frozen:
            entry.wake()


def _join(entries: list[revocation_world.Entry]) -> None:
    for entry in entries:
        entry.group = 0


def play_turned_away(count: int, seed: int) -> tuple[float, float, list[str], list[int]]:
    """Turn a third of the entries away for 9 s while keys are taken away.

    :param count: the number of entries.
    :param seed: the seed of everything random.
    :returns: the served share of the others and of those turned away, the requests that were
        accepted too late, and the ages of the proofs of those turned away.
    """
    world = revocation_world.World(count, seed)
    chance = world.random
    world.run(SETTLED_MS)
    away = {entry.number for entry in chance.sample(world.entries, count // 3)}
    world.store.turned_away = set(away)
    world.is_measuring = True
    for _ in range(3):
        world.after(chance.uniform(0, TURNED_AWAY_MS), world.take_away)
    ages_ms: list[int] = []
    for step in range(1, 10):
        world.run(SETTLED_MS + step * TURNED_AWAY_MS / 9)
        known = [world.entries[n].proofs.age_ms(world.entries[n].local_ms) for n in away]
        ages_ms += [age_ms for age_ms in known if age_ms is not None]
    shares = [served / world.ticks for served in world.served]
    others = [share for number, share in enumerate(shares) if number not in away]
    turned = [share for number, share in enumerate(shares) if number in away]
    mean_others, mean_turned = sum(others) / len(others), sum(turned) / len(turned)
    return mean_others, mean_turned, world.violations, ages_ms


def measure() -> list[Row]:
    """Return each number of entries."""
    return [_measure(count) for count in COUNTS]


def _measure(count: int) -> Row:
    late, shares, ages_ms = 0, [], []
    started_s = time.process_time()
    for seed in range(SEEDS):
        late += len(play(count, seed))
    seconds = (time.process_time() - started_s) / SEEDS
    for seed in range(SEEDS):
        others, turned, violations, ages = play_turned_away(count, seed)
        shares.append((others, turned))
        ages_ms += ages
        late += len(violations)
    ages_ms.sort()
    return Row(
        count,
        SEEDS,
        late,
        sum(others for others, _ in shares) / SEEDS,
        sum(turned for _, turned in shares) / SEEDS,
        max(others - turned for others, turned in shares),
        ages_ms[len(ages_ms) // 2],
        ages_ms[-1],
        seconds,
    )
