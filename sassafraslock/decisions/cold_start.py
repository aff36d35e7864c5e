"""Rate at which this entry may send to cold servers."""

from __future__ import annotations

import dataclasses

from sassafraslock.decisions import hashing

ASSIGNED_ENTRIES = 2
SAFETY_RATIO = 0.5


@dataclasses.dataclass(slots=True)
class _Allowance:
    tokens: float
    at_ms: int


class ColdStartLimiter:
    """Grants requests to cold servers, so that all entries together keep to their rate.

    Of all entries a few sponsors, the same in everyone's eyes, send to a cold server; each
    gets an equal part of half the limit, so that twice as many sponsors, seen by entries that
    disagree on who is alive, still keep to it.
    """

    __slots__ = ("own_id", "_overage", "_slack", "_allowances")

    def __init__(self, own_id: str, overage: float, slack: float) -> None:
        self.own_id = own_id
        self._overage = overage
        self._slack = slack
        self._allowances: dict[str, _Allowance] = {}

    def set_bounds(self, overage: float, slack: float) -> None:
        """Take over other bounds.

        :param overage: what a cold server's rate may be multiplied by.
        :param slack: what may come on top.
        """
        self._overage = overage
        self._slack = slack

    def try_acquire(
        self, server_id: str, cold_per_s: float, entry_ids: list[str], now_ms: int
    ) -> bool:
        """Take one request to a cold server if this entry may send it.

        :param server_id: the server with its start.
        :param cold_per_s: the rate that the server tolerates.
        :param entry_ids: the live entries, this one included.
        :param now_ms: the present time.
        """
        if self.own_id not in assigned_entries(server_id, entry_ids):
            return False
        per_s = SAFETY_RATIO * (cold_per_s * self._overage + self._slack) / ASSIGNED_ENTRIES
        burst = max(1.0, per_s / 2)
        rate = max(0.0, per_s - burst)
        found = self._allowances.setdefault(server_id, _Allowance(burst, now_ms))
        found.tokens = min(burst, found.tokens + rate * (now_ms - found.at_ms) / 1000)
        found.at_ms = now_ms
        if found.tokens < 1.0:
            return False
        found.tokens -= 1.0
        return True

    def retain(self, server_ids: set[str]) -> None:
        """Drop what is kept of servers that are not in a set.

        :param server_ids: the servers to keep.
        """
        self._allowances = {k: v for k, v in self._allowances.items() if k in server_ids}


def assigned_entries(server_id: str, entry_ids: list[str]) -> list[str]:
    """Return the entries that may send to a cold server.

    :param server_id: the server.
    :param entry_ids: the live entries.
    """
    ranked = sorted(
        entry_ids, key=lambda e: hashing.rendezvous_score(server_id, e, 1.0), reverse=True
    )
    return ranked[:ASSIGNED_ENTRIES]
