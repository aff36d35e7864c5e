"""Proof that this entry's copy of the intents was the newest in the store a short time ago."""

from __future__ import annotations

import msgspec

from sassafraslock import field_types, store_version
from sassafraslock.decisions import store_clock

MAX_PROOFS = 3  # more than the versions that the store can hold within a bound of some seconds
MAX_REPORTS = 8  # of one message
DENY_AGE_MS = 2_000  # a 401 is never retried, so it needs a younger proof than a request
COPY_DENY_AGE_MS = 4_000  # without a bound: a long poll of 2.5 s, an answer that is lost, a repeat
MARGIN_MS = 50  # rounding, and a jump of the store's clock too small to be noticed
RENEWAL_MS = 1_000  # between answers for the intents where a bound is set
MIN_RETRY_MS = 100
OVERDUE_RETRY_MS = 500  # the interval of gossip, which brings proofs while the store is silent
# An entry that stood still has unread datagrams, which tell the store's clock of any time before.
STANDSTILL_MS = 1_000
DRAIN_MS = 1_000


class ProofReport(msgspec.Struct, frozen=True, array_like=True):
    """The version of the newest row of the intents at a time of the store's clock.

    :param version: the version of the row, with the store's era.
    :param store_ms: the time of the store's steady clock at which it was the newest one.
    :param clock_ms: the earliest time of that clock when the report was sent; shows a reader whose
        clock of the store is behind that the report was made by another clock.
    """

    version: field_types.Version
    store_ms: field_types.AgeMs
    clock_ms: field_types.AgeMs = 0


class ClockRange(msgspec.Struct, frozen=True, array_like=True):
    """The earliest and the latest time of the store's clock when a peer answered."""

    from_ms: field_types.AgeMs
    to_ms: field_types.AgeMs


class IntentsProofs:
    """Proofs from the store's answers and from peers, checked against the store's clock.

    A proof counts for this entry if its own row of the intents has the proof's version or a newer
    one and was applied. Its age is at most the latest time that the store's clock may show now,
    less the time in the proof; so it does not matter how long a message was under way or unread.

    ``revoke_ms`` is the bound within which keys lose their effect. Where it is none, no proof is
    needed to accept a key, and none is sent.
    """

    __slots__ = (
        "revoke_ms",
        "clock",
        "era",
        "_applied",
        "_store_ms",
        "_answered_ms",
        "_copy",
        "_awake_ms",
        "_reports_from_ms",
    )

    def __init__(self, revoke_ms: int | None = None) -> None:
        self.revoke_ms = revoke_ms
        self.clock = store_clock.StoreClock()
        self.era: int | None = None
        self._applied: int | None = None
        self._store_ms: dict[int, int] = {}
        self._answered_ms: int | None = None
        self._copy: tuple[int, int] | None = None
        self._awake_ms: int | None = None
        self._reports_from_ms = 0

    def enter_era(self, era: int, now_ms: int) -> None:
        """Drop all proofs and the clock's bounds if the store's era has changed.

        :param era: the present era.
        :param now_ms: the current monotonic time.
        """
        if era == self.era:
            return
        if self.era is not None:
            self._store_ms.clear()
            self.clock.drop(now_ms)
            self._copy = None
        self.era = era

    def apply_version(self, version: int) -> None:
        """Record the version of the row of the intents that is in force at this entry.

        :param version: the row's version; of a row that cannot be used, none must be recorded.
        """
        self._applied = version

    def record_answer(
        self, version: int | None, store_now_ms: int | None, sent_ms: int, now_ms: int
    ) -> None:
        """Record an answer of the store.

        :param version: the version of the newest row of the intents at that time, none if the
            answer does not tell it.
        :param store_now_ms: the store's clock at the moment of which the answer tells, none if it
            does not tell its clock.
        :param sent_ms: the monotonic time before the call was sent.
        :param now_ms: the current monotonic time.
        """
        self._observe(now_ms)
        if version is not None:
            self.record_copy(version, now_ms)
        if store_now_ms is None:
            return
        if self._record_clock(store_now_ms, store_now_ms, sent_ms, now_ms) and version is not None:
            self._add(version, store_now_ms)
            self._answered_ms = now_ms

    def record_copy(self, version: int, read_ms: int) -> None:
        """Record when this entry's copy of the intents was the store's, by the local clock.

        :param version: the version of the newest row.
        :param read_ms: the monotonic time.
        """
        self._copy = version, read_ms

    def merge_exchange(
        self, reports: list[ProofReport], told: ClockRange, sent_ms: int, now_ms: int
    ) -> None:
        """Merge a peer's answer to a call of this entry, which shows the store's clock too.

        :param reports: the peer's proofs.
        :param told: the range of the store's clock when the peer answered.
        :param sent_ms: the monotonic time before the call was sent.
        :param now_ms: the current monotonic time.
        """
        self._observe(now_ms)
        if told.from_ms <= told.to_ms and self._record_clock(
            told.from_ms, told.to_ms, sent_ms, now_ms
        ):
            self._merge(reports, now_ms)
            self._answered_ms = now_ms

    def merge_reports(self, reports: list[ProofReport], now_ms: int) -> None:
        """Merge proofs that came by gossip, and may have been under way for any time.

        :param reports: a peer's proofs.
        :param now_ms: the current monotonic time.
        """
        self._observe(now_ms)
        if now_ms >= self._reports_from_ms:
            self._merge(reports, now_ms)

    def _merge(self, reports: list[ProofReport], now_ms: int) -> None:
        if self.clock.latest_ms(now_ms) is None:
            return
        for report in reports[:MAX_REPORTS]:
            is_of_era = store_version.era(report.version) == self.era
            newest_ms = max(report.store_ms, report.clock_ms)
            if is_of_era and not self.clock.is_ahead(newest_ms, now_ms):
                self._add(report.version, report.store_ms)

    def recent_reports(self, now_ms: int) -> list[ProofReport]:
        """Return the proofs for other entries, none where no bound is set.

        They are worth telling even if this entry has not applied their version.

        :param now_ms: the current monotonic time.
        """
        self._observe(now_ms)
        latest_ms, earliest_ms = self.clock.latest_ms(now_ms), self.clock.earliest_ms(now_ms)
        if self.revoke_ms is None or latest_ms is None or earliest_ms is None:
            return []
        return [
            ProofReport(version, store_ms, earliest_ms)
            for version, store_ms in self._store_ms.items()
            if latest_ms - store_ms < self.revoke_ms
        ]

    def clock_range(self, now_ms: int) -> ClockRange | None:
        """Return what is known of the store's clock, none if nothing is.

        :param now_ms: the current monotonic time.
        """
        latest_ms, earliest_ms = self.clock.latest_ms(now_ms), self.clock.earliest_ms(now_ms)
        if latest_ms is None or earliest_ms is None:
            return None
        return ClockRange(earliest_ms, latest_ms)

    def age_ms(self, now_ms: int) -> int | None:
        """Return the greatest age of the newest proof that counts, none if there is none.

        :param now_ms: the current monotonic time.
        """
        latest_ms, applied = self.clock.latest_ms(now_ms), self._applied
        if latest_ms is None or applied is None:
            return None
        proven = [store_ms for version, store_ms in self._store_ms.items() if version <= applied]
        return max(0, latest_ms - max(proven)) if proven else None

    def may_accept(self, now_ms: int) -> bool:
        """Return whether a request with a known key may run.

        :param now_ms: the current monotonic time.
        """
        return self.revoke_ms is None or self._is_proven(self.revoke_ms, now_ms)

    def may_deny(self, now_ms: int) -> bool:
        """Return whether an unknown key may be denied for good.

        :param now_ms: the current monotonic time.
        """
        if self.revoke_ms is not None:
            return self._is_proven(min(DENY_AGE_MS, self.revoke_ms), now_ms)
        if self._copy is None or self._applied is None:
            return False
        version, read_ms = self._copy
        return version <= self._applied and now_ms - read_ms <= COPY_DENY_AGE_MS

    def retry_after_ms(self, now_ms: int) -> int:
        """Return the time after which this entry expects to have a newer proof.

        :param now_ms: the current monotonic time.
        """
        due_ms = OVERDUE_RETRY_MS
        if self._answered_ms is not None and now_ms < self._answered_ms + RENEWAL_MS:
            due_ms = self._answered_ms + RENEWAL_MS - now_ms
        return max(MIN_RETRY_MS, due_ms)

    def _is_proven(self, limit_ms: int, now_ms: int) -> bool:
        self._observe(now_ms)
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms + MARGIN_MS <= limit_ms

    def _record_clock(self, from_ms: int, to_ms: int, sent_ms: int, now_ms: int) -> bool:
        reading = self.clock.record(from_ms, to_ms, sent_ms, now_ms)
        if reading is store_clock.Reading.JUMPED:
            self._store_ms.clear()
        return reading is store_clock.Reading.CONSISTENT

    def _add(self, version: int, store_ms: int) -> None:
        known = self._store_ms
        known[version] = max(store_ms, known.get(version, 0))
        if len(known) > MAX_PROOFS:
            del known[min(known, key=known.__getitem__)]

    def _observe(self, now_ms: int) -> None:
        """Leave out reports for a moment after a standstill, since they may have lain unread.

        By then the datagrams of that time have been read, and peers have sent others.
        """
        if self._awake_ms is not None and now_ms - self._awake_ms > STANDSTILL_MS:
            self._reports_from_ms = now_ms + DRAIN_MS
        self._awake_ms = now_ms

    def dump(self, now_ms: int) -> dict[str, object]:
        """Return the version in force, the proofs and the range of the store's clock.

        :param now_ms: the current monotonic time.
        """
        told = self.clock_range(now_ms)
        return {
            "age_ms": self.age_ms(now_ms),
            "applied": None if self._applied is None else store_version.describe(self._applied),
            "proofs": {store_version.describe(v): s for v, s in self._store_ms.items()},
            "store_clock_ms": [told.from_ms, told.to_ms] if told is not None else None,
        }
