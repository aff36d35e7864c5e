"""Limits summed over all entries, and the constants that follow from the bounds."""

from __future__ import annotations

import dataclasses

from sassafraslock import edge_settings

MAX_VALIDITY_MS = 500
# Of the overage within a window; the rest covers shares that add up to more than one for a moment.
VALIDITY_RATIO = 0.8
MAX_RESERVE = 4.0  # of the slack, for requests that the shares do not account for
RESERVE_RATIO = 0.2


@dataclasses.dataclass(slots=True, frozen=True)
class Limit:
    """At most ``rate_per_s`` requests a second and ``burst`` more, named by a text key."""

    key: str
    rate_per_s: float
    burst: float


@dataclasses.dataclass(slots=True, frozen=True)
class Terms:
    """By how much a limit may be exceeded within any window of ``window_ms``.

    In a window run at most ``(rate * window + burst) * (1 + overage) + slack`` requests.
    """

    window_ms: int
    overage: float
    slack: float

    @property
    def validity_ms(self) -> int:
        """How long after it left its bucket a token may be used.

        Buckets give at most ``rate * validity`` tokens before a window that are used inside it,
        which must not be more than the overage of the rate.
        """
        return min(MAX_VALIDITY_MS, int(VALIDITY_RATIO * self.overage * self.window_ms))

    def capacity(self, limit: Limit) -> float:
        """Return what the buckets of all collectors together may hold.

        :param limit: the limit.
        """
        reserve = min(MAX_RESERVE, RESERVE_RATIO * self.slack)
        return limit.burst * (1 + self.overage) + self.slack - reserve


def terms_of(bounds: edge_settings.Bounds) -> Terms:
    """Return the terms that operators guarantee.

    :param bounds: the settings, whose window is above 0.
    """
    return Terms(bounds.quota_window_ms, bounds.quota_overage, bounds.quota_slack)
