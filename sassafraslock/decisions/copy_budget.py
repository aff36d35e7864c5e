"""How much of its link an entry spends on sending its copy of the store to peers."""

from __future__ import annotations

BURST_MS = 200  # of the link: what may be queued for sending at once
REFILL_RATIO = 0.2  # of the link
FREE_BYTES = 16 << 10  # changes of a few rows are always sent


class CopyBudget:
    """A token bucket for the bytes of copies.

    An entry whose link is full answers clients late and cannot follow the store itself, so the
    peers beyond the budget read the store instead. With a ``link_mbps`` of 0 nothing is limited.
    """

    __slots__ = ("_burst_bytes", "_bytes_per_ms", "_tokens", "_filled_ms")

    def __init__(self, link_mbps: float, now_ms: int) -> None:
        bytes_per_ms = link_mbps * 1_000_000 / 8 / 1_000
        self._burst_bytes = BURST_MS * bytes_per_ms
        self._bytes_per_ms = REFILL_RATIO * bytes_per_ms
        self._tokens = self._burst_bytes
        self._filled_ms = now_ms

    def try_acquire(self, size_bytes: int, now_ms: int) -> bool:
        """Take the tokens of a copy if there are some left; one copy may take more than there are.

        :param size_bytes: the size of the copy.
        :param now_ms: the monotonic time.
        """
        if size_bytes <= FREE_BYTES or not self._burst_bytes:
            return True
        refill = self._bytes_per_ms * (now_ms - self._filled_ms)
        self._tokens = min(self._burst_bytes, self._tokens + refill)
        self._filled_ms = now_ms
        if self._tokens <= 0:
            return False
        self._tokens -= size_bytes
        return True
