"""This entry's share of the retry budget of each service."""

from __future__ import annotations

import dataclasses

from sassafraslock.decisions import windows

SAFETY_RATIO = 0.7


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """This entry's retries of a service in the window, and how many it may send."""

    requests: int
    retries: int
    allowed: float


class RetryBudget:
    """Limits the retries of all entries to a ratio of the requests plus a slack.

    Each entry limits its retries to the ratio of its own requests plus an equal share of the
    slack. So the sum over all entries stays within the budget without messages between them.

    An entry has no share of the slack for one window from ``started_ms``, since the process that
    ran before it may have used it, and while the number of entries is not known.
    """

    __slots__ = ("_ratio", "_slack", "_window_ms", "_requests", "_retries", "_started_ms")

    def __init__(
        self, ratio: float, slack: float, window_ms: int, started_ms: int | None = None
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._requests: dict[str, windows.SlidingCount] = {}
        self._retries: dict[str, windows.SlidingCount] = {}

    def set_bounds(self, ratio: float, slack: float, window_ms: int, now_ms: int) -> None:
        """Change the bounds; the counts are kept unless the window changes.

        With another window the counts start anew, as those of a process that starts.

        :param ratio: the retries allowed for each request.
        :param slack: the retries in a window that all entries share in addition to the ratio.
        :param window_ms: the sliding window in which requests and retries are counted.
        :param now_ms: the monotonic time.
        """
        self._ratio = ratio
        self._slack = slack
        if window_ms != self._window_ms:
            self._window_ms = window_ms
            self._started_ms = now_ms
            self._requests.clear()
            self._retries.clear()

    def record_request(self, service: str, now_ms: int) -> None:
        """Count a request, once for all of its attempts.

        :param service: the service that serves it.
        :param now_ms: the monotonic time.
        """
        self._count(self._requests, service).add(now_ms)

    def try_acquire(self, service: str, entry_count: int | None, now_ms: int) -> bool:
        """Count one retry if the budget allows it.

        :param service: the service to which the retry is sent.
        :param entry_count: the number of entries that share the slack, including this one, or none
            if it is not known.
        :param now_ms: the monotonic time.
        :returns: whether the retry may be sent.
        """
        usage = self.usage(service, entry_count, now_ms)
        if usage.retries + 1 > usage.allowed:
            return False
        self._count(self._retries, service).add(now_ms)
        return True

    def usage(self, service: str, entry_count: int | None, now_ms: int) -> Usage:
        """Return how much of its share of a service's budget this entry has used.

        :param service: the service.
        :param entry_count: the number of entries that share the slack, including this one, or none
            if it is not known.
        :param now_ms: the monotonic time.
        """
        requests = self._count(self._requests, service).total(now_ms)
        retries = self._count(self._retries, service).total(now_ms)
        slack = self._slack_share(entry_count, now_ms)
        return Usage(requests, retries, SAFETY_RATIO * (self._ratio * requests + slack))

    def _slack_share(self, entry_count: int | None, now_ms: int) -> float:
        is_new = self._started_ms is not None and now_ms - self._started_ms < self._window_ms
        if entry_count is None or is_new:
            return 0.0
        return self._slack / max(1, entry_count)

    def services(self) -> list[str]:
        """Return the services that had requests or retries, in alphabetical order."""
        return sorted({*self._requests, *self._retries})

    def _count(self, counts: dict[str, windows.SlidingCount], service: str) -> windows.SlidingCount:
        count = counts.get(service)
        if count is None:
            count = counts[service] = windows.SlidingCount(self._window_ms)
        return count
