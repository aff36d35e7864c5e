"""This entry's share of the bandwidth of the links between regions."""

from __future__ import annotations

import dataclasses

ANSWER_RATIO = 0.7
REQUEST_RATIO = 0.25
BURST_MS = 50  # the time in which an empty bucket is refilled completely


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_ms: int


class LinkRateLimiter:
    """Token buckets for the requests and the answers between this region and each other one.

    Each direction of a link carries the requests of one region's clients and the answers to the
    other region's clients. Both have a fixed share of the link's limit, :data:`REQUEST_RATIO` and
    :data:`ANSWER_RATIO`, which the entries of the clients' region divide equally. So the sum over
    all entries stays within the limit without messages between them.

    ``limits`` holds the bytes per second and direction by the other region. Links to regions that
    it does not contain are not limited.
    """

    __slots__ = ("limits", "_buckets")

    def __init__(self) -> None:
        self.limits: dict[str, int] = {}
        self._buckets: dict[tuple[str, float], _Bucket] = {}

    def try_acquire(
        self, region: str, request_bytes: int, answer_bytes: int, entry_count: int, now_ms: int
    ) -> bool:
        """Take tokens for a request and its answer if neither bucket is empty.

        :param region: the region of the server.
        :param request_bytes: the size of the request.
        :param answer_bytes: the expected size of the answer.
        :param entry_count: the number of entries in this entry's region, including this one.
        :param now_ms: the monotonic time.
        :returns: whether the request may be sent; if not, no tokens are taken.
        """
        limit = self.limits.get(region)
        if limit is None:
            return True
        needed = ((REQUEST_RATIO, request_bytes), (ANSWER_RATIO, answer_bytes))
        buckets = [
            (self._bucket(region, ratio, limit / max(1, entry_count), now_ms), size)
            for ratio, size in needed
        ]
        if any(bucket.tokens <= 0 for bucket, _ in buckets):
            return False
        for bucket, size in buckets:
            bucket.tokens -= size
        return True

    def _bucket(self, region: str, ratio: float, bytes_per_s: float, now_ms: int) -> _Bucket:
        """Return a refilled bucket.

        Its tokens may be below zero, since a request larger than the burst must pass as well; the
        following requests are refused until the bucket has tokens again.
        """
        bytes_per_ms = ratio * bytes_per_s / 1000
        burst_bytes = bytes_per_ms * BURST_MS
        bucket = self._buckets.setdefault((region, ratio), _Bucket(burst_bytes, now_ms))
        bucket.tokens = min(burst_bytes, bucket.tokens + bytes_per_ms * (now_ms - bucket.filled_ms))
        bucket.filled_ms = now_ms
        return bucket
