"""One entry's record of a server: its load, latency and failures, and outlier ejection."""

from __future__ import annotations

import dataclasses

NEVER_MS = -1_000_000_000
LOAD_HALF_LIFE_MS = 1_500.0
SLOWNESS_HALF_LIFE_MS = 4_000.0  # also that of the failure ratio
SLOWNESS_WEIGHT = 0.25  # of a new sample in the moving average
FAILURE_WEIGHT = 0.2  # of a new sample in the moving average
MAX_SLOWNESS = 20.0
FIRST_EJECTION_MS = 400
MAX_EJECTION_MS = 2_000
REPLACED_EJECTION_MS = 10_000
GREY_FAILURE_RATIO = 0.25  # share of failed requests above which a server is penalized
GREY_PENALTY = 6.0  # added to the slow factor, times the share of failed requests


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedLoad:
    """The load that a server reports in a response header: requests and its slots.

    A server that answers a request counts it as running. ``work_percent`` is how long work takes
    there at this moment, in percent of the usual time, 0 if it is not told.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = 0

    def remaining(self, was_run: bool) -> int:
        """Return the requests that run or wait at the server after its answer.

        :param was_run: whether the server ran the request that it answered, rather than rejecting
            it.
        """
        return max(0, self.running + self.waiting - int(was_run))


@dataclasses.dataclass(slots=True)
class ServerHealth:
    """This entry's record of one start of a server.

    :param in_flight: this entry's requests at the server.
    :param others_load: the requests of other entries at the server, by the latest reported load.
    :param others_load_at_ms: when that load was reported.
    :param forgotten_ms: when the start was last suspected to have ended; older loads do not count.
    :param slowness: a moving average of measured over expected latency.
    :param failure_ratio: a moving average of the share of failed requests.
    :param connect_failures: connection failures since the last answer.
    :param probing: whether a request after an ejection is in flight.
    :param rtt_ms: the time that the latest connection took to open.
    :param answers: how many answers this entry got.
    """

    in_flight: int = 0
    others_load: float = 0.0
    others_load_at_ms: int = NEVER_MS
    forgotten_ms: int = NEVER_MS
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
        """Return the estimated number of requests that run or wait at the server.

        The reported load of other entries decays towards the typical one.

        :param now_ms: the current monotonic time.
        :param typical: the load of other entries to assume without a recent report.
        """
        weight = 0.5 ** ((now_ms - self.others_load_at_ms) / LOAD_HALF_LIFE_MS)
        return self.in_flight + weight * self.others_load + (1.0 - weight) * typical

    def record_load(self, load: int, at_ms: int) -> bool:
        """Record the load that the server reported to this entry or to another one.

        This entry's own requests are subtracted, as :meth:`load` adds them. A load older than the
        recorded one, or than the last :meth:`forget_start`, is ignored.

        :param load: the requests that ran or waited.
        :param at_ms: when the server reported it.
        :returns: whether the load was recorded.
        """
        if at_ms < self.others_load_at_ms or at_ms <= self.forgotten_ms:
            return False
        self.others_load = float(max(0, load - self.in_flight))
        self.others_load_at_ms = at_ms
        return True

    def forget_start(self, now_ms: int) -> None:
        """Forget what holds for this start alone, since another one may run by now.

        Requests in flight are still this entry's, and an ejection and the probe after it go on.

        :param now_ms: the current monotonic time.
        """
        self.forgotten_ms = now_ms
        self.others_load = 0.0
        self.others_load_at_ms = NEVER_MS
        self.slowness = 1.0
        self.failure_ratio = 0.0
        self.answers = 0

    def slow_factor(self, now_ms: int) -> float:
        """Return the factor by which the server is slower than expected, 1 if nothing is known.

        Old samples decay, so that a slow server is tried again. A share of failures above
        :data:`GREY_FAILURE_RATIO` makes the server count as slower.

        :param now_ms: the current monotonic time.
        """
        age_ms = now_ms - self.slowness_at_ms
        factor = 1.0 + (self.slowness - 1.0) * 0.5 ** (age_ms / SLOWNESS_HALF_LIFE_MS)
        failure_ratio = self.failure_ratio * 0.5 ** (
            (now_ms - self.failure_at_ms) / SLOWNESS_HALF_LIFE_MS
        )
        if failure_ratio > GREY_FAILURE_RATIO:
            factor += GREY_PENALTY * failure_ratio
        return max(0.5, factor)

    def record_latency_ratio(self, ratio: float, now_ms: int) -> None:
        """Record the latency of an answer.

        :param ratio: the measured over the expected latency.
        :param now_ms: the current monotonic time.
        """
        ratio = min(MAX_SLOWNESS, max(0.3, ratio))
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)
        self.slowness_at_ms = now_ms

    def record_answer(self, failed: bool, now_ms: int) -> None:
        """Record an answer, which shows that the server can be reached and ends its ejection.

        :param failed: whether the answer is an error of the server itself.
        :param now_ms: the current monotonic time.
        """
        self.answers += 1
        self.connect_failures = 0
        self.probing = False
        self.ejected_until_ms = 0
        self.failure_ratio += FAILURE_WEIGHT * (float(failed) - self.failure_ratio)
        self.failure_at_ms = now_ms

    def record_connect_failure(self, now_ms: int) -> None:
        """Record that a connection could not be opened, and eject the server for a time.

        The time doubles with each consecutive failure, up to :data:`MAX_EJECTION_MS`.

        :param now_ms: the current monotonic time.
        """
        self.connect_failures += 1
        self.probing = False
        backoff_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS << min(self.connect_failures - 1, 4))
        self.ejected_until_ms = now_ms + backoff_ms

    def end_ejection(self) -> None:
        """Make the server available, since it accepted a connection."""
        self.connect_failures = 0
        self.ejected_until_ms = 0

    def record_replaced(self, now_ms: int) -> None:
        """Record that another server has the address, and eject this start, which has ended.

        :param now_ms: the current monotonic time.
        """
        self.record_connect_failure(now_ms)
        self.ejected_until_ms = now_ms + REPLACED_EJECTION_MS

    def record_broken_exchange(self, now_ms: int) -> None:
        """Record that the server closed the connection without a whole answer, or did not answer.

        :param now_ms: the current monotonic time.
        """
        self.probing = False
        self.failure_ratio += FAILURE_WEIGHT * (1.0 - self.failure_ratio)
        self.failure_at_ms = now_ms

    def is_available(self, now_ms: int) -> bool:
        """Return whether the server may get a request.

        After an ejection it gets one probe at a time until it answers.

        :param now_ms: the current monotonic time.
        """
        if now_ms < self.ejected_until_ms:
            return False
        return not (self.connect_failures and self.probing)
