"""Which servers are cold, and which requests this entry may send to them."""

from __future__ import annotations

from sassafraslock.decisions import (
    cold_start,
    entry_view,
    registry,
    roster,
)


class ColdAdmission:
    """Admits requests to cold servers, so that all entries together keep to each server's rate."""

    __slots__ = ("limiter", "_entries")

    def __init__(
        self,
        limiter: cold_start.ColdStartLimiter,
        entries: entry_view.EntryView,
    ) -> None:
        self.limiter = limiter
        self._entries = entries

    def try_acquire(self, server: registry.Server, cold_per_s: float, now_ms: int) -> bool:
        """Return whether this entry may send a request to a cold server, and count it if so.

        The entries that may are chosen from all known ones of the server's region, silent ones
        included, so that entries which disagree on who is alive choose the same.

        :param server: the server.
        :param cold_per_s: the requests per second that the server tolerates while cold.
        :param now_ms: the current monotonic time.
        """
        known = self._entries.known_ids(server.region) or self._entries.known_ids()
        return self.limiter.try_acquire(server.server_id, cold_per_s, known, now_ms)

    def may_probe_joined(self, server: registry.Server) -> bool:
        """Return whether this entry is one of those that probe a server that joined.

        :param server: the server.
        """
        entry_ids = self._responsible_entries(server)
        return self.limiter.own_id in cold_start.assigned_entries(server.server_id, entry_ids)

    def _responsible_entries(self, server: registry.Server) -> list[str]:
        """Return the live entries of a server's region, or all live entries if it has none.

        An entry that hears too few others, which may hear each other, chooses from all known ones.
        """
        live, known = self._entries.live_ids(), self._entries.known_ids()
        if len(live) < roster.HEARD_RATIO * len(known):
            return self._entries.known_ids(server.region) or known
        return self._entries.live_ids(server.region) or live
