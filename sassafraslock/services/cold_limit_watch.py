"""Logs what the limit on cold servers held back."""

from __future__ import annotations

import dataclasses

from sassafraslock import events

LOG_INTERVAL_MS = 1_000  # per server
MAX_LINES = 20  # per :data:`LOG_INTERVAL_MS`, of all servers together
MAX_REMEMBERED = 4_096  # servers


@dataclasses.dataclass(slots=True)
class _Counts:
    logged_ms: int
    granted: int = 0
    held_back: int = 0


class ColdLimitWatch:
    """Counts, for each server, what was granted and held back since its last line.

    A line that exceeds :data:`MAX_LINES` is left out; its counts go into the server's next one.
    """

    __slots__ = ("_counts", "_window_start_ms", "_lines")

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}
        self._window_start_ms = 0
        self._lines = 0

    def record(self, server_id: str, is_granted: bool, now_ms: int) -> None:
        """Count one request to a cold server, and log the counts if it was held back.

        :param server_id: the server.
        :param is_granted: whether the limit granted the request.
        :param now_ms: the current monotonic time.
        """
        counts = self._counts_of(server_id, now_ms)
        if is_granted:
            counts.granted += 1
            return
        counts.held_back += 1
        if now_ms - counts.logged_ms >= LOG_INTERVAL_MS and self._may_log(now_ms):
            _log(server_id, counts)
            self._counts[server_id] = _Counts(now_ms)

    def _counts_of(self, server_id: str, now_ms: int) -> _Counts:
        counts = self._counts.get(server_id)
        if counts is None:
            counts = self._counts[server_id] = _Counts(now_ms - LOG_INTERVAL_MS)
            if len(self._counts) > MAX_REMEMBERED:
                del self._counts[next(iter(self._counts))]
        return counts

    def _may_log(self, now_ms: int) -> bool:
        if now_ms - self._window_start_ms >= LOG_INTERVAL_MS:
            self._window_start_ms, self._lines = now_ms, 0
        self._lines += 1
        return self._lines <= MAX_LINES


def _log(server_id: str, counts: _Counts) -> None:
    events.log(
        events.Event.COLD_LIMIT_REACHED,
        "limit on cold servers held requests back",
        server=server_id,
        granted=counts.granted,
        held_back=counts.held_back,
    )
