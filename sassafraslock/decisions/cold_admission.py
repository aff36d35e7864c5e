"""Which servers are cold, and which requests this entry may send to them."""

from __future__ import annotations

from sassafraslock.decisions import (
    cold_start,
    entry_view,
    registry,
    roster,
    server_restarts,
)


class ColdAdmission:
    """Admits requests to cold servers, so that all entries together keep to each server's rate.

    ``restarts`` holds which servers may be cold since they may have started again.
    """

    __slots__ = ("limiter", "restarts", "_entries")

    def __init__(
        self,
        limiter: cold_start.ColdStartLimiter,
        restarts: server_restarts.ServerRestarts,
        entries: entry_view.EntryView,
    ) -> None:
        self.limiter = limiter
        self.restarts = restarts
        self._entries = entries

    def is_cold(self, server: registry.Server, now_ms: int) -> bool:
        """Return whether a server is cold, or may be as far as this entry knows.

        :param server: the server.
        :param now_ms: the current monotonic time.
        """
        return self.restarts.is_cold(server, now_ms)

    def has_become_cold(self, server: registry.Server, now_ms: int) -> bool:
        """Return whether a server that was warm when it was chosen is cold or gone now.

        :param server: the server as it was chosen, which may be another start by now.
        :param now_ms: the current monotonic time.
        """
        current = self.restarts.current(server)
        return current is None or self.is_cold(current, now_ms)

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
