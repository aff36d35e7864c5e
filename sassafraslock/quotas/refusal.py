"""The refusals of requests for which there is no token."""

from __future__ import annotations

import dataclasses
import random

from sassafraslock import errors
from sassafraslock.quotas import asks, messages

SPREAD_RATIO = 0.5
SPREAD_MS = 200


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaRefusal(errors.Refusal):
    """The refusal of a request, and what decided it.

    :param limit: the key of the limit.
    :param collector: the entry that decided, or the last one that was asked.
    :param asked: how many collectors were asked.
    :param waited_ms: how long the request waited for the decision.
    :param decided_ms: the monotonic time at which the decision arrived.
    """

    limit: str = ""
    collector: str = ""
    asked: int = 0
    waited_ms: int = 0
    decided_ms: int = 0


def refuse(ask: asks.Ask, rng: random.Random) -> QuotaRefusal:
    """Return the refusal of a request whose ask brought no token.

    The time after which to retry is spread, so that callers do not return together.

    :param ask: the settled ask.
    :param rng: the source of the spread.
    """
    kind = errors.ErrorKind.QUOTA_UNKNOWN
    reason = (
        "no collector answered in time whether the workspace may send more; retry at another entry"
    )
    wait_ms = errors.ERROR_PROPERTIES[kind].retry_after_ms
    if ask.verdict is messages.Verdict.USED_UP:
        kind = errors.ErrorKind.QUOTA_USED_UP
        reason = "the workspace has used up its quota of requests; retry later, or raise the quota"
        wait_ms = max(1, ask.wait_ms)
    spread_ms = rng.random() * (SPREAD_RATIO * wait_ms + SPREAD_MS)
    return QuotaRefusal(
        kind,
        reason,
        round(wait_ms + spread_ms),
        ask.limit.key,
        ask.collector,
        len(ask.tried),
        ask.decided_ms - ask.started_ms,
        ask.decided_ms,
    )
