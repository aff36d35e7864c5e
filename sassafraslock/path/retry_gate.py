"""Grants retries from this entry's share of the retry budget, and logs when it is used up."""

from __future__ import annotations

import logging
import typing

from sassafraslock import events
from sassafraslock.decisions import retry_budget

LOG_INTERVAL_MS = 10_000  # per service


class RetryGate:
    """Asks the budget with the present number of entries.

    ``granted`` and ``refused`` count retries by service since the start.
    """

    __slots__ = ("budget", "granted", "refused", "_entry_count", "_logged_ms")

    def __init__(
        self, budget: retry_budget.RetryBudget, entry_count: typing.Callable[[], int | None]
    ) -> None:
        self.budget = budget
        self.granted: dict[str, int] = {}
        self.refused: dict[str, int] = {}
        self._entry_count = entry_count
        self._logged_ms: dict[str, int] = {}

    def try_acquire(self, service: str, now_ms: int) -> bool:
        """Count one retry if the budget allows it.

        :param service: the service to which the retry is sent.
        :param now_ms: the current monotonic time.
        :returns: whether the retry may be sent.
        """
        is_granted = self.budget.try_acquire(service, self._entry_count(), now_ms)
        counts = self.granted if is_granted else self.refused
        counts[service] = counts.get(service, 0) + 1
        if not is_granted:
            self._log_refused(service, now_ms)
        return is_granted

    def usage(self, now_ms: int) -> dict[str, retry_budget.Usage]:
        """Return how much of each service's share is used.

        :param now_ms: the current monotonic time.
        """
        entry_count = self._entry_count()
        return {s: self.budget.usage(s, entry_count, now_ms) for s in self.budget.services()}

    def _log_refused(self, service: str, now_ms: int) -> None:
        if now_ms - self._logged_ms.get(service, now_ms - LOG_INTERVAL_MS) < LOG_INTERVAL_MS:
            return
        self._logged_ms[service] = now_ms
        entry_count = self._entry_count()
        usage = self.budget.usage(service, entry_count, now_ms)
        events.log(
            events.Event.RETRY_BUDGET_USED_UP,
            "this entry's share of the retry budget is used up; requests are refused, not retried",
            logging.WARNING,
            service=service,
            entries=entry_count,
            requests=usage.requests,
            retries=usage.retries,
            allowed=round(usage.allowed, 1),
        )
