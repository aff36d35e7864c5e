"""This entry's part of the budget for sending requests to a further server."""

from __future__ import annotations

from sassafraslock.decisions import windows

SAFETY_RATIO = 0.7


class RetryBudget:
    """Keeps further attempts of all entries under a ratio of the requests and a slack.

    Each entry keeps to the ratio of its own requests and to its part of the slack, so that the
    sum over all entries keeps to the whole without a message between them.
    """

    __slots__ = ("_ratio", "_slack", "_window_ms", "_requests", "_retries")

    def __init__(self, ratio: float, slack: float, window_ms: int) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests: dict[str, windows.SlidingCount] = {}
        self._retries: dict[str, windows.SlidingCount] = {}

    def set_bounds(self, ratio: float, slack: float, window_ms: int) -> None:
        """Take over other bounds; counts go on unless the window changed.

        :param ratio: further attempts by requests.
        :param slack: what all entries share beside the ratio.
        :param window_ms: the window over which both are counted.
        """
        self._ratio = ratio
        self._slack = slack
        if window_ms != self._window_ms:
            self._window_ms = window_ms
            self._requests.clear()
            self._retries.clear()

    def record_request(self, service: str, now_ms: int) -> None:
        """Count a request's first attempt.

        :param service: the service.
        :param now_ms: the present time.
        """
        self._count(self._requests, service).add(now_ms)

    def try_acquire(self, service: str, entries: int, now_ms: int) -> bool:
        """Take one further attempt if the budget allows it.

        :param service: the service that gets it.
        :param entries: the number of entries that share the slack.
        :param now_ms: the present time.
        """
        retries = self._count(self._retries, service)
        requests = self._count(self._requests, service).total(now_ms)
        allowed = SAFETY_RATIO * (self._ratio * requests + self._slack / max(1, entries))
        if retries.total(now_ms) + 1 > allowed:
            return False
        retries.add(now_ms)
        return True

    def _count(self, counts: dict[str, windows.SlidingCount], service: str) -> windows.SlidingCount:
        found = counts.get(service)
        if found is None:
            found = counts[service] = windows.SlidingCount(self._window_ms)
        return found
