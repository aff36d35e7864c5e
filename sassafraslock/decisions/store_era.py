"""Tells which rows of a restored store are older than those known, and for how long these count."""

from __future__ import annotations

import collections.abc
import dataclasses

from sassafraslock import facts, store_version

# By then servers that are alive and the operator have written again what the copy lacks, and the
# rows of other servers have lapsed.
SETTLE_MS = 8_000
# A store whose era stays below the last one for so long is taken as it is.
LOWER_ERA_MS = 10_000

RowName = tuple[facts.Topic, str]


class StoreEra:
    """The era of the store, and the topics that are not settled since it rose.

    A copy from which the store was restored may lack what was written later. Until a topic is
    settled, rows of the copy count as written in the era before, with the numbers that they had, so
    that newer rows known from that era stay in force. Then all rows are read once more, and count.
    """

    __slots__ = ("current", "previous", "unsettled", "_settle_at_ms", "_lower_since_ms")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget the era."""
        self.current: int | None = None
        self.previous = 0
        self.unsettled: set[facts.Topic] = set()
        self._settle_at_ms = 0
        self._lower_since_ms: int | None = None

    def observe(self, version: int, delay_ms: int, now_ms: int) -> bool:
        """Record the era of an answer.

        The first era of a process may have begun just before, so it is not settled either, unless
        the store was never restored.

        :param version: the version that the store has reached.
        :param delay_ms: added to the time until the topics are settled.
        :param now_ms: the current monotonic time.
        :returns: whether the era has risen.
        """
        era = store_version.era(version)
        if self.current is not None and era <= self.current:
            return False
        is_first = self.current is None
        self.previous = max(0, era - 1) if self.current is None else self.current
        self.current = era
        if era:
            self.unsettled = set(facts.Topic)
            self._settle_at_ms = now_ms + SETTLE_MS + delay_ms
        return not is_first

    def is_outdated(self, version: int, now_ms: int) -> bool:
        """Return whether an answer belongs to an earlier era, and is to be dropped.

        :param version: the version that the answer names.
        :param now_ms: the current monotonic time.
        """
        era = store_version.era(version)
        if self.current is None or era >= self.current:
            self._lower_since_ms = None
            return False
        if self._lower_since_ms is None:
            self._lower_since_ms = now_ms
        return True

    def is_lowered(self, now_ms: int) -> bool:
        """Return whether all answers were of earlier eras for :data:`LOWER_ERA_MS`.

        :param now_ms: the current monotonic time.
        """
        since_ms = self._lower_since_ms
        return since_ms is not None and now_ms - since_ms >= LOWER_ERA_MS

    def settle(self, topic: facts.Topic, now_ms: int) -> bool:
        """Return whether a topic is settled now, so that all its rows are to be read once more.

        :param topic: the topic.
        :param now_ms: the current monotonic time.
        """
        if topic not in self.unsettled or now_ms < self._settle_at_ms:
            return False
        self.unsettled.discard(topic)
        return True

    def date_rows(
        self,
        batch: facts.Batch,
        known: collections.abc.Mapping[RowName, facts.Change],
        position: int,
    ) -> facts.Batch:
        """Return the rows of an unsettled topic, each with the version of its writing.

        Versions at or above one that was lost were given out again, so rows with them are new. The
        others count as written in the era before, unless they tell themselves that they are newer.
        One that was not there any more at the position reached in that era is left out.

        :param batch: all rows as read.
        :param known: the rows known so far.
        :param position: the version up to which these are known.
        """
        previous = [(change, known.get((change.topic, change.key))) for change in batch.changes]
        lost = [store_version.number(p.version) for c, p in previous if p and self._is_lost(c, p)]
        first_lost = min(lost, default=store_version.MAX_NUMBER)
        dated = [self._date(change, row, first_lost) for change, row in previous]
        present = [
            change
            for change, (_, row) in zip(dated, previous, strict=True)
            if row is not None or change.version > position
        ]
        return facts.Batch(tuple(present), batch.version)

    def _is_lost(self, change: facts.Change, known: facts.Change) -> bool:
        """Return whether the known state of a row was written after the copy was taken."""
        if store_version.era(known.version) != self.previous:
            return False
        number, known_number = map(store_version.number, (change.version, known.version))
        if number == known_number:
            return dataclasses.replace(change, version=known.version) != known
        return number < known_number

    def _date(
        self, change: facts.Change, known: facts.Change | None, first_lost: int
    ) -> facts.Change:
        number = store_version.number(change.version)
        if number >= first_lost or (known is not None and _is_later(change, known)):
            return change
        return dataclasses.replace(change, version=store_version.join(self.previous, number))


def _is_later(change: facts.Change, known: facts.Change) -> bool:
    """Return whether a row's content tells that it is newer than another state of the row."""
    if change.intents is not None and known.intents is not None:
        return change.intents.version > known.intents.version
    if change.report is not None and known.report is not None:
        return change.report.born_ms > known.report.born_ms
    return False
