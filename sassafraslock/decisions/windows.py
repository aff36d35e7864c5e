"""Counters over a sliding time window."""

from __future__ import annotations

BUCKETS = 10


class SlidingCount:
    """Sum over the last ``window_ms``, in :data:`BUCKETS` buckets and the current one."""

    __slots__ = ("_bucket_ms", "_counts", "_last_bucket")

    def __init__(self, window_ms: int) -> None:
        self._bucket_ms = max(1, window_ms // BUCKETS)
        self._counts = [0] * (BUCKETS + 1)
        self._last_bucket = 0

    def add(self, now_ms: int, amount: int = 1) -> None:
        """Add to the current bucket.

        :param now_ms: the current monotonic time.
        :param amount: the amount to add.
        """
        self._advance(now_ms)
        self._counts[self._last_bucket % len(self._counts)] += amount

    def total(self, now_ms: int) -> int:
        """Return the sum over the window.

        :param now_ms: the current monotonic time.
        """
        self._advance(now_ms)
        return sum(self._counts)

    def _advance(self, now_ms: int) -> None:
        bucket = now_ms // self._bucket_ms
        steps = min(bucket - self._last_bucket, len(self._counts))
        for step in range(1, steps + 1):
            self._counts[(bucket - steps + step) % len(self._counts)] = 0
        self._last_bucket = max(self._last_bucket, bucket)
