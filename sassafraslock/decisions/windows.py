"""Counts over a sliding window of time."""

from __future__ import annotations

BUCKETS = 10


class SlidingCount:
    """Sum over the last ``window_ms``, held in :data:`BUCKETS` buckets and one more."""

    __slots__ = ("_bucket_ms", "_counts", "_last")

    def __init__(self, window_ms: int) -> None:
        self._bucket_ms = max(1, window_ms // BUCKETS)
        self._counts = [0] * (BUCKETS + 1)
        self._last = 0

    def add(self, now_ms: int, amount: int = 1) -> None:
        """Count something now.

        :param now_ms: the present time.
        :param amount: how much to count.
        """
        self._advance(now_ms)
        self._counts[self._last % len(self._counts)] += amount

    def total(self, now_ms: int) -> int:
        """Return the sum over the window.

        :param now_ms: the present time.
        """
        self._advance(now_ms)
        return sum(self._counts)

    def _advance(self, now_ms: int) -> None:
        bucket = now_ms // self._bucket_ms
        steps = min(bucket - self._last, len(self._counts))
        for step in range(1, steps + 1):
            self._counts[(bucket - steps + step) % len(self._counts)] = 0
        self._last = max(self._last, bucket)
