"""The rate limits that servers name in their answers, as this entry and its peers know them."""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq
import math
import re

import msgspec

from sassafraslock import field_types
from sassafraslock.decisions import heard_from

MAX_KNOWN = 4_096  # beyond this, limits of further servers are not recorded
MAX_REPORTS = 64  # per gossip message
# How long the end of a limit is kept and sent to peers, so that no older report revives the limit.
ENDED_RETENTION_MS = 10_000
# The age of a report leaves out the time that its datagrams took. A report which says that a limit
# ended, or that an ended one is back, must be newer than what is known by more than that.
REPORT_DELAY_MS = 300

# Digits with an optional fraction: no sign, exponent or list, and of a bounded length.
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,20})?")


def parse(value: bytes) -> float | None:
    """Return the requests per second that a header's value names, ``None`` if it is invalid.

    :param value: the value; only a plain decimal number is valid.
    """
    stripped = value.strip(b" \t")
    return float(stripped) if _DECIMAL.fullmatch(stripped) else None


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """The rate limit of one start of a server, as entries send it to each other.

    :param start_hash: the hash of the start's id.
    :param per_s: the requests per second from all entries together, ``None`` if the limit ended.
    :param age_ms: how long ago the server named the limit, or answered without one.
    """

    start_hash: field_types.Hash32
    per_s: field_types.Rate | None
    age_ms: field_types.AgeMs

    @property
    def is_valid(self) -> bool:
        """Whether the limit is a number that a server could have named."""
        return self.per_s is None or (math.isfinite(self.per_s) and self.per_s >= 0)


@dataclasses.dataclass(slots=True)
class _KnownLimit:
    """``per_s`` is none once the limit ended; ``heard_ms`` is the time of the latest answer."""

    per_s: float | None
    heard_ms: int
    source: heard_from.HeardFrom = heard_from.HeardFrom.SERVER


class ServerLimits:
    """The latest limit that each start of a server named; starts are identified by their hashes.

    A limit holds until an answer to a later request names none, so one that nobody asks about does
    not end by itself. A start without a limit has no record.
    """

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[int, _KnownLimit] = {}

    def limit_of(self, start_hash: int) -> float | None:
        """Return the requests per second that a server takes, ``None`` if it named no limit.

        :param start_hash: the hash of the id of the server's start.
        """
        known = self._known.get(start_hash)
        return known.per_s if known is not None else None

    def source_of(self, start_hash: int) -> heard_from.HeardFrom | None:
        """Return who told this entry of a server's limit, ``None`` if it named none.

        :param start_hash: the hash of the id of the server's start.
        """
        known = self._known.get(start_hash)
        return known.source if known is not None else None

    @property
    def has_any(self) -> bool:
        """Whether any limit is in force or ended recently."""
        return bool(self._known)

    def in_force(self) -> dict[int, float]:
        """Return the limits in force by the hash of the server's start."""
        return {h: k.per_s for h, k in self._known.items() if k.per_s is not None}

    def record_named(
        self,
        start_hash: int,
        per_s: float,
        now_ms: int,
        source: heard_from.HeardFrom = heard_from.HeardFrom.SERVER,
    ) -> bool:
        """Record a limit that a server named in an answer.

        :param start_hash: the hash of the id of the server's start.
        :param per_s: the limit.
        :param now_ms: the monotonic time of the answer.
        :param source: who told this entry.
        :returns: whether the limit changed.
        """
        known = self._known.get(start_hash)
        if known is None:
            if len(self._known) >= MAX_KNOWN:
                return False
            self._known[start_hash] = _KnownLimit(per_s, now_ms, source)
            return True
        changed = known.per_s != per_s
        known.per_s, known.heard_ms, known.source = per_s, now_ms, source
        return changed

    def record_unnamed(self, start_hash: int, sent_ms: int, now_ms: int) -> bool:
        """Record an answer without a limit, which ends the limit if its request was sent later.

        An answer to an earlier request may have been overtaken by one that named the limit.

        :param start_hash: the hash of the id of the server's start.
        :param sent_ms: when the request was sent.
        :param now_ms: the current monotonic time.
        :returns: whether a limit ended.
        """
        known = self._known.get(start_hash)
        if known is None or sent_ms <= known.heard_ms:
            return False
        ended = known.per_s is not None
        known.per_s, known.heard_ms = None, now_ms
        return ended

    def recent_reports(self, now_ms: int) -> list[LimitReport]:
        """Return the limits in force and those that ended recently, at most :data:`MAX_REPORTS`.

        :param now_ms: the current monotonic time.
        """
        self._discard_ended(now_ms)
        newest = heapq.nlargest(MAX_REPORTS, self._known.items(), key=lambda item: item[1].heard_ms)
        return [LimitReport(h, k.per_s, field_types.age_ms(k.heard_ms, now_ms)) for h, k in newest]

    def merge(self, report: LimitReport, now_ms: int) -> bool:
        """Merge what another entry knows of a server, if that is newer.

        :param report: the other entry's report.
        :param now_ms: the current monotonic time.
        :returns: whether the limit changed.
        """
        heard_ms = now_ms - max(0, report.age_ms)
        known = self._known.get(report.start_hash)
        if known is None:
            return report.per_s is not None and self.record_named(
                report.start_hash, report.per_s, heard_ms, heard_from.HeardFrom.PEER
            )
        starts_or_ends = (known.per_s is None) != (report.per_s is None)
        if heard_ms <= known.heard_ms + (REPORT_DELAY_MS if starts_or_ends else 0):
            return False
        changed = known.per_s != report.per_s
        known.per_s, known.heard_ms = report.per_s, heard_ms
        known.source = heard_from.HeardFrom.PEER
        return changed

    def retain(self, start_hashes: collections.abc.Set[int]) -> None:
        """Discard the limits of all servers except the given ones.

        :param start_hashes: the hashes of the ids of the starts to keep.
        """
        self._known = {h: k for h, k in self._known.items() if h in start_hashes}

    def _discard_ended(self, now_ms: int) -> None:
        oldest_ms = now_ms - ENDED_RETENTION_MS
        self._known = {
            h: k for h, k in self._known.items() if k.per_s is not None or k.heard_ms > oldest_ms
        }
