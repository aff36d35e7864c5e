"""Hears the pauses that servers ask for when they reject requests, and logs when they begin."""

from __future__ import annotations

from sassafraslock import events, http_messages
from sassafraslock.decisions import backpressure, registry, server_pauses
from sassafraslock.services import invalid_headers

RETRY_AFTER = b"retry-after"
# Answers with these tell nothing of whether the server has room again.
REJECTION_STATUSES = (http_messages.UNAVAILABLE, http_messages.TOO_MANY_REQUESTS)
LOG_INTERVAL_MS = 2_000  # per start of a server, unless a pause gets longer by LOG_GROWTH_MS
LOG_GROWTH_MS = 1_000
MAX_LOGGED = 4_096


class PauseWatch:
    """Records the pauses in the heads of rejections.

    Of several values in one head, the longest valid one counts.
    """

    __slots__ = ("invalid", "_asked", "_logged_ms")

    def __init__(self, asked: backpressure.Backpressure) -> None:
        self.invalid = invalid_headers.InvalidHeaders(
            events.Event.SERVER_PAUSE_INVALID,
            "server's Retry-After is neither seconds nor a date, so it is ignored",
        )
        self._asked = asked
        self._logged_ms: dict[int, int] = {}

    def record_head(
        self,
        server: registry.Server,
        status: int,
        headers: http_messages.Headers,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Record the pause that the head of an answer asks for.

        Only 503 does: 429 may tell of the quota of one client, whose servers others need.

        :param server: the server.
        :param status: the HTTP status of the answer.
        :param headers: the headers, with names in lower case.
        :param now_ms: the current monotonic time.
        :param wall_ms: the current wall clock time, for dates.
        """
        if status != http_messages.UNAVAILABLE:
            return
        values = [value for name, value in headers if name == RETRY_AFTER]
        parsed = [server_pauses.parse(value, wall_ms) for value in values]
        pauses_ms = [pause_ms for pause_ms in parsed if pause_ms is not None]
        if len(pauses_ms) < len(values):
            self.invalid.record(server, values)
        if pauses_ms:
            self._record(server, max(pauses_ms), now_ms)

    def _record(self, server: registry.Server, pause_ms: int, now_ms: int) -> None:
        start_hash = registry.start_hash(server)
        pauses = self._asked.pauses
        previous_ms = pauses.left_ms(start_hash, now_ms)
        is_new = pauses.record(start_hash, pause_ms, now_ms)
        left_ms = pauses.left_ms(start_hash, now_ms)
        logged_ms = self._logged_ms.get(start_hash, now_ms - LOG_INTERVAL_MS)
        is_due = is_new and now_ms - logged_ms >= LOG_INTERVAL_MS
        if not is_due and left_ms - previous_ms < LOG_GROWTH_MS:
            return
        if len(self._logged_ms) >= MAX_LOGGED:
            self._logged_ms.clear()
        self._logged_ms[start_hash] = now_ms
        events.log(
            events.Event.SERVER_PAUSED,
            "server asked for a pause; it gets no requests until it ends",
            server=server.server_id,
            service=server.report.service,
            for_ms=left_ms,
            previous_for_ms=previous_ms,
        )
