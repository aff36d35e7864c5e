"""Rate limits that a server names: the part that is used, and the most in any 4 s, by entries.

Requests arrive at each entry at random times, in virtual time. With ample demand each entry has
:data:`AMPLE_PER_S` requests a second for the server; with spread demand all entries together have
:data:`SPREAD_RATIO` times the limit, so each of many has few.
"""

from __future__ import annotations

import dataclasses
import random

from benchmarks import limits
from sassafraslock.decisions import registry, server_limits, server_rate_limiter

ENTRIES = (9, 67, 195, 300, 1_000)
LIMITS_PER_S = (0.5, 1.0, 1.9, 20.0)
SECONDS, WINDOW_MS, SEED = 60, 4_000, 5
AMPLE_PER_S, SPREAD_RATIO = 10.0, 5.0


@dataclasses.dataclass(slots=True)
class Row:
    """The parts used of the limit over :data:`SECONDS` s, and of what any 4 s may have."""

    entries: int
    limit_per_s: float
    used_ratio_ample: float
    used_ratio_spread: float
    worst_4s_of_allowed: float


class _Entries:
    """The view of an entry that knows all entries, which are alive."""

    def __init__(self, ids: list[str]) -> None:
        self._ids = ids

    def live_ids(self, region: str = "") -> list[str]:
        return self._ids

    def known_ids(self, region: str = "") -> list[str]:
        return self._ids


def _server() -> registry.Server:
    report = registry.ServerReport("i-1", "s", "h:1", "r", "r-1", 3, registry.ServerState.READY)
    return registry.Server(report, 0)


def _sent_ms(entries: int, per_s: float, asked_per_s: float) -> list[int]:
    """Return when requests were sent, if each entry is asked ``asked_per_s`` times a second."""
    server, source = _server(), random.Random(SEED)
    view = _Entries([f"e-{n}" for n in range(entries)])
    sent: list[int] = []
    for own_id in view.live_ids():
        named = server_limits.ServerLimits()
        named.record_named(registry.start_hash(server), per_s, 0)
        limiter = server_rate_limiter.ServerRateLimiter(own_id, named, view)
        if limiter.wait_ms(server, 0) is None:
            continue  # the entries do not change, so this one never sends
        at_ms = source.expovariate(asked_per_s) * 1_000
        while at_ms < 1_000 * SECONDS:
            if limiter.may_send(server, int(at_ms)):
                limiter.acquire(server, int(at_ms))
                sent.append(int(at_ms))
            at_ms += source.expovariate(asked_per_s) * 1_000
    return sorted(sent)


def _row(entries: int, per_s: float) -> Row:
    ample = _sent_ms(entries, per_s, max(AMPLE_PER_S, per_s))
    spread = _sent_ms(entries, per_s, SPREAD_RATIO * per_s / entries)
    allowed = 1.5 * WINDOW_MS / 1_000 * per_s + 5
    worst = max(limits.most_in_window(sent, WINDOW_MS) for sent in (ample, spread))
    whole = per_s * SECONDS
    return Row(entries, per_s, len(ample) / whole, len(spread) / whole, worst / allowed)


def measure() -> list[Row]:
    """Return one row for each number of entries and each limit."""
    return [_row(count, per_s) for count in ENTRIES for per_s in LIMITS_PER_S]
