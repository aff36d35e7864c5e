"""Counts entries that others wrote and that cannot be used, and logs each of them once."""

from __future__ import annotations

import collections
import logging

from sassafraslock import events

MAX_REMEMBERED = 1_024
MAX_LINES = 60  # per :data:`LINES_WINDOW_MS`
LINES_WINDOW_MS = 60_000
MAX_REASON_CHARS = 300


class Rejections:
    """The number of rejected entries by source, and which of them were logged.

    At most :data:`MAX_LINES` are logged within :data:`LINES_WINDOW_MS`; all are counted.
    """

    __slots__ = ("counts", "_logged", "_window_start_ms", "_lines")

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._logged: collections.OrderedDict[tuple[object, ...], None] = collections.OrderedDict()
        self._window_start_ms = 0
        self._lines = 0

    def record(
        self, event: events.Event, source: str, reason: str, now_ms: int, **fields: object
    ) -> None:
        """Count a rejected entry, and log it unless the same one was logged before.

        :param event: the event to log.
        :param source: where the entry comes from, which is the label of the metric.
        :param reason: what is wrong with the entry; only its beginning is logged.
        :param now_ms: the current monotonic time.
        :param fields: what identifies the entry, such as its key and version.
        """
        self.counts[source] += 1
        reason = reason[:MAX_REASON_CHARS]
        identity = (source, reason, *fields.values())
        if identity in self._logged or not self._may_log(now_ms):
            return
        self._logged[identity] = None
        if len(self._logged) > MAX_REMEMBERED:
            self._logged.popitem(last=False)
        events.log(event, reason, logging.WARNING, source=source, **fields)

    def _may_log(self, now_ms: int) -> bool:
        if now_ms - self._window_start_ms >= LINES_WINDOW_MS:
            self._window_start_ms, self._lines = now_ms, 0
        self._lines += 1
        return self._lines <= MAX_LINES
