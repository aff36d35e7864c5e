"""This entry's part of what the links between regions carry."""

from __future__ import annotations

import dataclasses

ANSWER_RATIO = 0.7
REQUEST_RATIO = 0.25
BURST_MS = 50


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    at_ms: int


class LinkRateLimiter:
    """Bytes that this entry may have sent over each link, by direction.

    A link's direction carries requests of the sending region's clients and answers to the
    other's. Each kind has a fixed part, which the region's entries share equally, so that the
    sum over all entries keeps to the limit without a message.
    """

    __slots__ = ("limits", "_buckets")

    def __init__(self) -> None:
        self.limits: dict[str, int] = {}
        self._buckets: dict[tuple[str, float], _Bucket] = {}

    def try_acquire(
        self, region: str, request_bytes: int, answer_bytes: int, entries: int, now_ms: int
    ) -> bool:
        """Take a request to a region and its answer if both links carry them.

        :param region: the region of the server.
        :param request_bytes: the size of the request.
        :param answer_bytes: the size that the answer is expected to have.
        :param entries: the entries of the own region, this one included.
        :param now_ms: the present time.
        """
        limit = self.limits.get(region)
        if limit is None:
            return True
        wanted = ((REQUEST_RATIO, request_bytes), (ANSWER_RATIO, answer_bytes))
        buckets = [
            (self._bucket(region, ratio, limit / max(1, entries), now_ms), size)
            for ratio, size in wanted
        ]
        if any(bucket.tokens <= 0 for bucket, _ in buckets):
            return False
        for bucket, size in buckets:
            bucket.tokens -= size
        return True

    def _bucket(self, region: str, ratio: float, bytes_per_s: float, now_ms: int) -> _Bucket:
        """Return a filled bucket; one request may take it below zero, and the next ones wait."""
        per_ms = ratio * bytes_per_s / 1000
        full = per_ms * BURST_MS
        bucket = self._buckets.setdefault((region, ratio), _Bucket(full, now_ms))
        bucket.tokens = min(full, bucket.tokens + per_ms * (now_ms - bucket.at_ms))
        bucket.at_ms = now_ms
        return bucket
