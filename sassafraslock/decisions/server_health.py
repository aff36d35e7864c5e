"""What this entry learned of each server from its answers: load, speed and failures."""

from __future__ import annotations

import dataclasses

NEVER_MS = -1_000_000_000
LOAD_HALF_LIFE_MS = 1_500.0
SPEED_HALF_LIFE_MS = 4_000.0
SPEED_WEIGHT = 0.25
FAILURE_WEIGHT = 0.2
MAX_SLOWNESS = 20.0
FIRST_EJECTION_MS = 400
MAX_EJECTION_MS = 2_000
REPLACED_EJECTION_MS = 10_000
GREY_FAILURE_RATIO = 0.25
GREY_PENALTY = 6.0


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedLoad:
    """The load that a server tells with an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True)
class ServerHealth:
    """One server's state in this entry's eyes."""

    in_flight: int = 0
    others_load: float = 0.0
    others_at_ms: int = NEVER_MS
    slowness: float = 1.0
    slowness_at_ms: int = 0
    failure_ratio: float = 0.0
    failure_at_ms: int = 0
    connect_failures: int = 0
    ejected_until_ms: int = 0
    probing: bool = False
    rtt_ms: float = 0.0
    answers: int = 0

    def load(self, now_ms: int, typical: float = 0.0) -> float:
        """Return the requests that run or wait at the server, as far as known.

        :param now_ms: the present time.
        :param typical: the load by other entries where the server told nothing lately.
        """
        known = 0.5 ** ((now_ms - self.others_at_ms) / LOAD_HALF_LIFE_MS)
        return self.in_flight + known * self.others_load + (1.0 - known) * typical

    def record_load(self, load: int, at_ms: int) -> None:
        """Take in the load that the server told of itself, to this entry or to another one.

        :param load: the requests that ran or waited.
        :param at_ms: when it was so.
        """
        if at_ms < self.others_at_ms:
            return
        self.others_load = float(max(0, load - self.in_flight))
        self.others_at_ms = at_ms

    def slow_factor(self, now_ms: int) -> float:
        """Return how many times as long as usual the server takes, 1 where nothing is known.

        Old knowledge fades, so that a slow server is tried again.

        :param now_ms: the present time.
        """
        age_ms = now_ms - self.slowness_at_ms
        faded = 1.0 + (self.slowness - 1.0) * 0.5 ** (age_ms / SPEED_HALF_LIFE_MS)
        failing = self.failure_ratio * 0.5 ** ((now_ms - self.failure_at_ms) / SPEED_HALF_LIFE_MS)
        if failing > GREY_FAILURE_RATIO:
            faded += GREY_PENALTY * failing
        return max(0.5, faded)

    def record_latency_ratio(self, ratio: float, now_ms: int) -> None:
        """Take in how long an answer took.

        :param ratio: the time taken by the time expected.
        :param now_ms: the present time.
        """
        ratio = min(MAX_SLOWNESS, max(0.3, ratio))
        self.slowness += SPEED_WEIGHT * (ratio - self.slowness)
        self.slowness_at_ms = now_ms

    def record_answer(self, failed: bool, now_ms: int) -> None:
        """Take in an answer, which shows that the server can be reached.

        :param failed: whether the answer is a failure of the server's own.
        :param now_ms: the present time.
        """
        self.answers += 1
        self.connect_failures = 0
        self.probing = False
        self.ejected_until_ms = 0
        self.failure_ratio += FAILURE_WEIGHT * (float(failed) - self.failure_ratio)
        self.failure_at_ms = now_ms

    def record_connect_failure(self, now_ms: int) -> None:
        """Take in that a connection could not be opened, and eject the server for a time.

        :param now_ms: the present time.
        """
        self.connect_failures += 1
        self.probing = False
        backoff_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS << min(self.connect_failures - 1, 4))
        self.ejected_until_ms = now_ms + backoff_ms

    def record_replaced(self, now_ms: int) -> None:
        """Take in that another server has the address, so that this start is over.

        :param now_ms: the present time.
        """
        self.record_connect_failure(now_ms)
        self.ejected_until_ms = now_ms + REPLACED_EJECTION_MS

    def record_broken_exchange(self, now_ms: int) -> None:
        """Take in that the server broke off or stayed silent.

        :param now_ms: the present time.
        """
        self.probing = False
        self.failure_ratio += FAILURE_WEIGHT * (1.0 - self.failure_ratio)
        self.failure_at_ms = now_ms

    def is_available(self, now_ms: int) -> bool:
        """Tell whether the server may get a request; after an ejection it gets one at a time.

        :param now_ms: the present time.
        """
        if now_ms < self.ejected_until_ms:
            return False
        return not (self.connect_failures and self.probing)
