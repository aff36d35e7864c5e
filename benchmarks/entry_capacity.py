"""Entries whose links differ: their shares of the clients, and the busiest link, in a model.

Each client of a zone asks once a second and picks one of the addresses at random for each request.
Demand is :data:`DEMAND_RATIO` of what all links of the zone carry. Capacity is that of the links.
"""

from __future__ import annotations

import dataclasses
import random
import statistics

from sassafraslock.decisions import entry_capacity
from sassafraslock.services import directory

LINKS_MBPS = (5, 10, 20, 50, 100)
ENTRIES, CLIENTS, DEMAND_RATIO, SEEDS = (4, 15, 20), (10, 100, 1_000), 0.5, 10
SECONDS, STEP_S = 300, 5


@dataclasses.dataclass(slots=True)
class Row:
    """One naming; means over seeds, with the standard error of the busiest link."""

    naming: str
    entries: int
    clients: int
    largest_share_error: float
    busiest_link: float
    busiest_link_error: float
    addresses: float
    changed_per_client_and_minute: float


def _play(naming: str, entries: int, clients: int, seed: int) -> tuple[float, float, float, float]:
    """Return the largest error of a share, the busiest link, and addresses and their changes."""
    source = random.Random(seed)
    links = [source.choice(LINKS_MBPS) for _ in range(entries)]
    known = [
        directory.Candidate(
            f"e{n}",
            f"h:{n}",
            "a",
            "r",
            links[n] / entry_capacity.REQUEST_MBITS * (naming != "equal"),
        )
        for n in range(entries)
    ]
    shares = dict.fromkeys((c.address for c in known), 0.0)
    before: dict[int, set[str]] = {}
    changed = named = asked = 0
    for second in range(0, SECONDS, STEP_S):
        for client in range(clients):
            now = directory.choose(known, "a", "r", f"client-{seed}-{client}", second * 1_000)
            asked += 1
            named += len(now)
            changed += len(before.get(client, set(now)) - set(now))
            before[client] = set(now)
            for address in now:
                shares[address] += 1 / len(now)
    whole = sum(links)
    parts = {c.address: (shares[c.address] / asked, links[n]) for n, c in enumerate(known)}
    error = max(abs(share - mbps / whole) for share, mbps in parts.values())
    busiest = max(DEMAND_RATIO * whole * share / mbps for share, mbps in parts.values())
    return error, busiest, named / asked, changed / clients / (SECONDS / 60)


def _row(naming: str, entries: int, clients: int) -> Row:
    found = [_play(naming, entries, clients, seed) for seed in range(SEEDS)]
    errors, busiest, named, changed = (list(values) for values in zip(*found, strict=True))
    return Row(
        naming,
        entries,
        clients,
        max(errors),
        statistics.mean(busiest),
        statistics.stdev(busiest) / SEEDS**0.5,
        statistics.mean(named),
        statistics.mean(changed),
    )


def measure() -> list[Row]:
    """Return both namings at each size."""
    return [
        _row(naming, entries, clients)
        for entries in ENTRIES
        for clients in CLIENTS
        for naming in ("equal", "by capacity")
    ]
