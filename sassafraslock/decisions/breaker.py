"""A circuit breaker that fails calls at once while the platform is known to be down."""

from __future__ import annotations

FAILURES_TO_OPEN = 3  # consecutive
PROBE_INTERVAL_MS = 500


class CircuitBreaker:
    """Opens after consecutive failures; then allows one probe per :data:`PROBE_INTERVAL_MS`."""

    __slots__ = ("_failures", "_probe_at_ms", "last_ok_ms")

    def __init__(self) -> None:
        self._failures = 0
        self._probe_at_ms = 0
        self.last_ok_ms = 0

    @property
    def is_closed(self) -> bool:
        """Whether fewer than :data:`FAILURES_TO_OPEN` consecutive calls have failed."""
        return self._failures < FAILURES_TO_OPEN

    def allow_call(self, now_ms: int) -> bool:
        """Return whether a call may be made now. If so, the next probe is due an interval later.

        :param now_ms: the current monotonic time.
        """
        if not self.is_closed and now_ms < self._probe_at_ms:
            return False
        self._probe_at_ms = now_ms + PROBE_INTERVAL_MS
        return True

    def record_success(self, now_ms: int) -> bool:
        """Record an answered call, which closes the breaker.

        :param now_ms: the current monotonic time.
        :returns: whether the breaker was open.
        """
        was_open = not self.is_closed
        self._failures = 0
        self.last_ok_ms = now_ms
        return was_open

    def record_failure(self) -> bool:
        """Record a failed call.

        :returns: whether this call opened the breaker.
        """
        self._failures += 1
        return self._failures == FAILURES_TO_OPEN
