"""Shares out the rate limits that servers name among the entries."""

from __future__ import annotations

import collections.abc
import dataclasses

from sassafraslock.decisions import entry_view, hashing, registry, server_limits

# Requests per second that a server gets at least, so that entries notice when its limit changes.
MIN_RATE_PER_S = 0.25
MIN_SENDERS = 2  # entries that share the smallest limit
SENDERS_PER_RATE = 2  # further ones for each request a second
EXTRA_SENDERS = 4  # more than the requests a second, at most
SUBSTITUTE_RATIO = 0.25  # share of the limit for an entry that stands in for silent senders
# An entry sends nothing to limited servers for so long after its start, as others may not know it.
SETTLE_MS = 4_000
SHARE_MAX_AGE_MS = 500


@dataclasses.dataclass(slots=True, frozen=True)
class _Part:
    """The requests per second that one entry may send, and the most that it may send at once."""

    rate_per_s: float
    burst: float


_NO_PART = _Part(0.0, 0.0)


@dataclasses.dataclass(slots=True)
class _Share:
    """This entry's part of one server's limit, as a token bucket; the rate is 0 without a part."""

    limit_per_s: float
    part: _Part
    tokens: float
    at_ms: int
    assigned_ms: int

    def refill(self, now_ms: int) -> None:
        gained = self.part.rate_per_s * (now_ms - self.at_ms) / 1000
        self.tokens = min(self.part.burst, self.tokens + gained)
        self.at_ms = now_ms


class ServerRateLimiter:
    """Limits requests to servers that name a rate limit, so that all entries together keep to it.

    With a limit of N a second, at most N + 4 entries send, of those in the server's region, and all
    others send nothing: small parts for many entries would exceed the limit by their bursts alone.
    Each sender has a token bucket with an equal part of the limit and of N + 4 requests at once.
    Over 4 s they send 5 N + 4 requests at most.

    Senders are chosen from all known entries, silent ones included, so views that differ in who is
    alive choose the same. If all senders are silent, one entry stands in with a part of the limit.
    It must see most entries alive, so that entries which are cut off from each other choose one.
    """

    __slots__ = ("limits", "_own_id", "_entries", "_started_ms", "_shares")

    def __init__(
        self,
        own_id: str,
        limits: server_limits.ServerLimits,
        entries: entry_view.EntryView,
        started_ms: int = -SETTLE_MS,
    ) -> None:
        self.limits = limits
        self._own_id = own_id
        self._entries = entries
        self._started_ms = started_ms
        self._shares: dict[int, _Share] = {}

    def may_send(self, server: registry.Server, now_ms: int) -> bool:
        """Return whether this entry may send a request to a server now.

        :param server: the server.
        :param now_ms: the current monotonic time.
        """
        share = self._share(server, now_ms)
        return share is None or share.tokens >= 1.0

    def acquire(self, server: registry.Server, now_ms: int) -> None:
        """Count a request that is sent to a server; call it only if :meth:`may_send` is true.

        :param server: the server.
        :param now_ms: the current monotonic time.
        """
        share = self._share(server, now_ms)
        if share is not None:
            share.tokens -= 1.0

    def wait_ms(self, server: registry.Server, now_ms: int) -> int | None:
        """Return the time until this entry may send to a server, ``None`` if it has no share.

        :param server: the server, which may have named no limit; the time is then 0.
        :param now_ms: the current monotonic time.
        """
        share = self._share(server, now_ms)
        if share is None:
            return 0
        if share.part is _NO_PART:
            return None
        return max(0, int(1000 * (1.0 - share.tokens) / share.part.rate_per_s))

    def retain(self, start_hashes: collections.abc.Set[int]) -> None:
        """Discard the limits and the shares of all servers except the given ones.

        :param start_hashes: the hashes of the ids of the starts to keep.
        """
        self.limits.retain(start_hashes)
        self._shares = {h: s for h, s in self._shares.items() if h in start_hashes}

    def _share(self, server: registry.Server, now_ms: int) -> _Share | None:
        """Return this entry's share of a server's limit, refilled; none without a limit."""
        if not self.limits.has_any:
            return None
        start_hash = registry.start_hash(server)
        per_s = self.limits.limit_of(start_hash)
        if per_s is None:
            self._shares.pop(start_hash, None)
            return None
        share = self._shares.get(start_hash)
        if share is None:
            part = self._part(server, per_s, now_ms)
            # Without a token: the server has just had requests that nobody counted.
            share = self._shares[start_hash] = _Share(per_s, part, 0.0, now_ms, now_ms)
            return share
        share.refill(now_ms)
        if share.limit_per_s != per_s or now_ms - share.assigned_ms >= SHARE_MAX_AGE_MS:
            share.limit_per_s, share.assigned_ms = per_s, now_ms
            share.part = self._part(server, per_s, now_ms)
            share.tokens = min(share.tokens, share.part.burst)
        return share

    def _part(self, server: registry.Server, per_s: float, now_ms: int) -> _Part:
        if now_ms - self._started_ms < SETTLE_MS:
            return _NO_PART
        rate_per_s = max(per_s, MIN_RATE_PER_S)
        known = self._entries.known_ids(server.region) or self._entries.known_ids()
        ranked = _ranked(registry.start_id(server), known)
        max_senders = _max_senders(per_s)
        senders = ranked[:max_senders]
        if self._own_id in senders:
            return _Part(rate_per_s / len(senders), max_senders / len(senders))
        if self._stands_in(server, ranked, senders):
            return _Part(SUBSTITUTE_RATIO * rate_per_s, 1.0)
        return _NO_PART

    def _stands_in(self, server: registry.Server, ranked: list[str], senders: list[str]) -> bool:
        """Return whether this entry sends in place of the senders, which are all silent."""
        live = set(self._entries.live_ids())
        is_majority = 2 * len(live) > len(self._entries.known_ids())
        if not is_majority or not live.isdisjoint(senders):
            return False
        in_region = next((entry_id for entry_id in ranked if entry_id in live), "")
        first = in_region or _ranked(registry.start_id(server), list(live))[0]
        return first == self._own_id


def _max_senders(per_s: float) -> int:
    """Return how many entries send to a server with a limit, fewer for limits below 2 a second."""
    return min(int(SENDERS_PER_RATE * per_s) + MIN_SENDERS, int(per_s) + EXTRA_SENDERS)


def _ranked(start_id: str, entry_ids: list[str]) -> list[str]:
    return sorted(entry_ids, key=lambda e: hashing.rendezvous_score(start_id, e, 1.0), reverse=True)
