"""The times of a graceful shutdown: what an entry that stops still accepts, and until when."""

from __future__ import annotations

SERVE_ALL_MS = 2_900
SERVE_MS = 3_200
INTERRUPT_RATIO = 0.85  # of the grace period; the rest is for clients to read their answers


class StopSchedule:
    """The times of a stop, counted from the moment in which it was requested.

    At first every request is accepted. After :data:`SERVE_ALL_MS`, or half of the grace period if
    that is shorter, only those whose deadline comes before ``interrupt_ms``, so that none is
    interrupted that was sent so late. From ``idle_end_ms`` on the entry ends once it is idle.
    """

    __slots__ = ("interrupt_ms", "idle_end_ms", "_serve_all_until_ms")

    def __init__(self, requested_ms: int, grace_ms: int) -> None:
        self.interrupt_ms = requested_ms + int(INTERRUPT_RATIO * grace_ms)
        self.idle_end_ms = requested_ms + min(SERVE_MS, grace_ms // 2 + 200)
        self._serve_all_until_ms = requested_ms + min(SERVE_ALL_MS, grace_ms // 2)

    def may_accept(self, remaining_ms: int, now_ms: int) -> bool:
        """Return whether a request may be accepted.

        :param remaining_ms: the time until its deadline.
        :param now_ms: the current monotonic time.
        """
        return now_ms < self._serve_all_until_ms or now_ms + remaining_ms < self.interrupt_ms
