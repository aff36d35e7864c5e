"""Bytes of a link in one direction as the link's steward hands them out."""

from __future__ import annotations

import dataclasses

BURST_MS = 25
QUOTA_LIFE_MS = 25
CHUNK_BYTES = 64 << 10
MIN_GRANT_BYTES = 1 << 10


class LinkBudget:
    """A token bucket at the steward; reads leave a reserve to non-idempotent requests."""

    __slots__ = ("bytes_per_s", "reserve_ratio", "_tokens", "_updated_ms")

    def __init__(self, bytes_per_s: int, reserve_ratio: float, now_ms: int) -> None:
        self.bytes_per_s = bytes_per_s
        self.reserve_ratio = reserve_ratio
        self._tokens = 0.0
        self._updated_ms = now_ms

    @property
    def burst_bytes(self) -> float:
        """The most bytes that may be granted at one moment."""
        return self.bytes_per_s * BURST_MS / 1000

    def take(self, size_bytes: int, filing: bool, now_ms: int) -> int:
        """Take bytes, fewer than wanted where the bucket holds fewer.

        :param size_bytes: the bytes wanted.
        :param filing: whether the reserve may be used.
        :param now_ms: the present time.
        :returns: the bytes granted, 0 where too few are left to be of use.
        """
        self._refill(now_ms)
        if size_bytes <= 0:
            return 0
        floor = 0.0 if filing else self.burst_bytes * self.reserve_ratio
        granted_bytes = min(size_bytes, int(self._tokens - floor))
        if granted_bytes < min(size_bytes, MIN_GRANT_BYTES):
            return 0
        self._tokens -= granted_bytes
        return granted_bytes

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        self._tokens = min(self.burst_bytes, self._tokens + self.bytes_per_s * elapsed_ms / 1000)


@dataclasses.dataclass(slots=True)
class Quota:
    """Bytes that an entry took from the steward and has not sent yet."""

    size_bytes: int = 0
    expires_ms: int = 0

    def add(self, size_bytes: int, asked_ms: int) -> None:
        """Add granted bytes, which lapse soon so that they cannot pile up.

        :param size_bytes: the bytes granted.
        :param asked_ms: when they were asked for.
        """
        if asked_ms >= self.expires_ms:
            self.size_bytes = 0
        self.size_bytes += size_bytes
        self.expires_ms = asked_ms + QUOTA_LIFE_MS

    def spend(self, size_bytes: int, now_ms: int) -> int:
        """Spend bytes as far as fresh ones are left.

        :param size_bytes: the bytes about to be sent.
        :param now_ms: the present time.
        :returns: the bytes spent.
        """
        if now_ms >= self.expires_ms:
            self.size_bytes = 0
        spent_bytes = min(size_bytes, self.size_bytes)
        self.size_bytes -= spent_bytes
        return spent_bytes
