"""Outcomes and busy slots by time, in windows that widen if there are too many of them."""

from __future__ import annotations

import collections
import dataclasses

from sassafraslock.report import causes, tallies

MAX_WINDOWS = 2_000


@dataclasses.dataclass(slots=True)
class TimeWindow:
    """What happened in one window.

    :param tally: the outcomes of the requests that arrived in it.
    :param busy_ms: the time that requests spent at servers, by service and region of the server.
    :param refused: the refused requests, by service and region of the entry.
    """

    tally: tallies.OutcomeTally = dataclasses.field(default_factory=tallies.OutcomeTally)
    busy_ms: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )

    def merge(self, other: TimeWindow) -> None:
        """Add what happened in another window.

        :param other: the other window.
        """
        self.tally.merge(other.tally)
        self.busy_ms.update(other.busy_ms)
        self.refused.update(other.refused)


class TimeWindows:
    """Windows of equal length, at most :data:`MAX_WINDOWS`.

    Their length is doubled whenever there would be more, so that logs of any duration fit.
    """

    __slots__ = ("window_s", "_windows")

    def __init__(self, window_s: float) -> None:
        """:param window_s: the length of a window at first."""
        self.window_s = window_s
        self._windows: dict[int, TimeWindow] = {}

    def add_outcome(self, at_s: float, outcome: causes.Outcome) -> None:
        """Count a request.

        :param at_s: when it arrived.
        :param outcome: what became of it.
        """
        self._window(at_s).tally.add(outcome)

    def add_busy(self, at_s: float, service: str, region: str, took_ms: float) -> None:
        """Add the time that a request spent at a server.

        :param at_s: when it was sent.
        :param service: the service.
        :param region: the region of the server.
        :param took_ms: the time until the answer.
        """
        self._window(at_s).busy_ms[service, region] += int(took_ms)

    def add_refused(self, at_s: float, service: str, region: str) -> None:
        """Count a refused request.

        :param at_s: when it arrived.
        :param service: the service.
        :param region: the region of the entry.
        """
        self._window(at_s).refused[service, region] += 1

    def items(self) -> list[tuple[float, TimeWindow]]:
        """Return the windows in order, each with its start."""
        return [(number * self.window_s, self._windows[number]) for number in sorted(self._windows)]

    def _window(self, at_s: float) -> TimeWindow:
        number = int(at_s // self.window_s)
        while number not in self._windows and len(self._windows) >= MAX_WINDOWS:
            self._double_length()
            number = int(at_s // self.window_s)
        return self._windows.setdefault(number, TimeWindow())

    def _double_length(self) -> None:
        self.window_s *= 2
        former, self._windows = self._windows, {}
        for number, window in former.items():
            self._windows.setdefault(number // 2, TimeWindow()).merge(window)
