"""A circuit breaker, so that nobody waits on a platform known to be down."""

from __future__ import annotations

FAILURES_TO_OPEN = 3
PROBE_INTERVAL_MS = 500


class CircuitBreaker:
    """Refuses calls after failures in a row, except for one probe at a time."""

    __slots__ = ("_failures", "_probe_at_ms", "last_ok_ms")

    def __init__(self) -> None:
        self._failures = 0
        self._probe_at_ms = 0
        self.last_ok_ms = 0

    @property
    def is_closed(self) -> bool:
        """Whether the last calls were answered."""
        return self._failures < FAILURES_TO_OPEN

    def allow_call(self, now_ms: int) -> bool:
        """Tell whether a call may be made now, and count it as the probe.

        :param now_ms: the present time.
        """
        if not self.is_closed and now_ms < self._probe_at_ms:
            return False
        self._probe_at_ms = now_ms + PROBE_INTERVAL_MS
        return True

    def record_success(self, now_ms: int) -> bool:
        """Count an answer.

        :param now_ms: the present time.
        :returns: whether the breaker was open until now.
        """
        was_open = not self.is_closed
        self._failures = 0
        self.last_ok_ms = now_ms
        return was_open

    def record_failure(self) -> bool:
        """Count a failed call.

        :returns: whether the breaker opened with this call.
        """
        self._failures += 1
        return self._failures == FAILURES_TO_OPEN
