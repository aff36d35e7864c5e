"""Slots of backend servers as their steward hands them out."""

from __future__ import annotations

import bisect
import dataclasses
import typing

from sassafraslock import errors, shared_settings

SLOW_START_MS = 5_000
GRANT_MARGIN_MS = 500
EXPIRY_STEP_MS = 100


@dataclasses.dataclass(slots=True)
class Grant:
    """The right to run one request on a server until a moment of the steward's clock."""

    grant_id: str
    server_id: str
    filing: bool
    expires_ms: int


@dataclasses.dataclass(slots=True)
class ServerSlots:
    """One server's limit and the grants in use.

    ``usable_from_ms`` holds grants back while an earlier steward's may be in use, and starts
    the slow start.
    """

    server_id: str
    limit: int
    usable_from_ms: int
    warm: bool
    accepting: bool = True
    held: bool = True
    reported_load: float = 0.0
    grants: dict[str, Grant] = dataclasses.field(default_factory=dict)

    def room(self, now_ms: int) -> int:
        """Return how many more grants the server takes now.

        :param now_ms: the present time.
        """
        if not self.accepting or not self.held or now_ms < self.usable_from_ms:
            return 0
        return max(0, self._limit_now(now_ms) - len(self.grants))

    def _limit_now(self, now_ms: int) -> int:
        age_ms = now_ms - self.usable_from_ms
        if self.warm or age_ms >= SLOW_START_MS:
            return self.limit
        return max(1, self.limit * age_ms // SLOW_START_MS)


OnGrant = typing.Callable[[Grant], None]


def _ignore(grant: Grant) -> None:
    """Do nothing with a grant that the caller takes from the pool's answer."""


@dataclasses.dataclass(slots=True)
class Waiter:
    """A request that waits for a slot; ``on_grant`` brings the grant to the one that asked."""

    ticket: str
    filing: bool
    deadline_ms: int
    give_up_ms: int
    avoid: list[str] = dataclasses.field(default_factory=list)
    on_grant: OnGrant = _ignore


class SlotPool:
    """The servers of one service of which this entry is steward.

    Grants never exceed a server's limit whatever load the servers report: reports only order
    the choice among servers with room.
    """

    __slots__ = ("servers", "reserve_ratio", "_grants", "_waiting", "_next_expiry_ms")

    def __init__(self, reserve_ratio: float) -> None:
        self.servers: dict[str, ServerSlots] = {}
        self.reserve_ratio = reserve_ratio
        self._grants: dict[str, ServerSlots] = {}
        self._waiting: list[Waiter] = []
        self._next_expiry_ms = 0

    def hold(self, server_id: str, limit: int, usable_from_ms: int, warm: bool) -> None:
        """Start to hand out a server's slots, or change its limit.

        :param server_id: the server.
        :param limit: the most requests at once.
        :param usable_from_ms: the first moment at which a grant is safe.
        :param warm: whether the slow start is left out.
        """
        known = self.servers.get(server_id)
        if known is None:
            self.servers[server_id] = ServerSlots(server_id, limit, usable_from_ms, warm)
            return
        known.limit = limit
        if not known.held:
            known.held, known.warm = True, warm
            known.usable_from_ms = usable_from_ms

    def withdraw(self, server_id: str) -> None:
        """Stop to hand out a server's slots; grants in use go on.

        :param server_id: the server.
        """
        if server_id in self.servers:
            self.servers[server_id].held = False

    def forget(self, server_id: str) -> None:
        """Drop a server that this entry no longer holds.

        :param server_id: the server.
        """
        server = self.servers.pop(server_id, None)
        for grant_id in server.grants if server else ():
            self._grants.pop(grant_id, None)

    def set_accepting(self, server_id: str, accepting: bool, now_ms: int) -> None:
        """Note that a server drains, failed, or takes work again after a slow start.

        :param server_id: the server.
        :param accepting: whether it takes new work.
        :param now_ms: the present time.
        """
        server = self.servers.get(server_id)
        if server is None or server.accepting == accepting:
            return
        server.accepting = accepting
        if accepting:
            server.warm = False
            server.usable_from_ms = max(server.usable_from_ms, now_ms)

    def acquire(
        self, grant_id: str, filing: bool, expires_ms: int, avoid: list[str], now_ms: int
    ) -> Grant | errors.Refusal:
        """Grant one slot on the server with the largest free part.

        :param grant_id: the unique id of the grant.
        :param filing: whether the request may use the reserve for non-idempotent requests.
        :param expires_ms: when the grant ends by itself.
        :param avoid: servers not to use.
        :param now_ms: the present time.
        """
        self.expire(now_ms)
        free = self.free(now_ms)
        if free <= (0 if filing else self._reserve()):
            return errors.Refusal(errors.ErrorKind.NO_CAPACITY, "every slot is in use")
        fitting = [s for s in self.servers.values() if s.room(now_ms) and s.server_id not in avoid]
        if not fitting:
            return errors.Refusal(errors.ErrorKind.NO_SERVER, "no other server has a free slot")
        best = max(fitting, key=lambda s: (s.room(now_ms) / s.limit, -s.reported_load))
        grant = Grant(grant_id, best.server_id, filing, expires_ms)
        best.grants[grant_id] = grant
        self._grants[grant_id] = best
        return grant

    def release(self, grant_id: str) -> None:
        """Take a slot back; an unknown grant is ignored, since it may have expired.

        :param grant_id: the grant.
        """
        server = self._grants.pop(grant_id, None)
        if server:
            server.grants.pop(grant_id, None)

    def expire(self, now_ms: int) -> None:
        """Take back the grants whose time has passed.

        :param now_ms: the present time.
        """
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = now_ms + EXPIRY_STEP_MS
        for server in self.servers.values():
            for grant in [g for g in server.grants.values() if g.expires_ms <= now_ms]:
                self.release(grant.grant_id)

    def wait(self, waiter: Waiter) -> None:
        """Queue a request behind those with an earlier deadline.

        :param waiter: the request.
        """
        bisect.insort(self._waiting, waiter, key=lambda w: w.deadline_ms)

    def cancel(self, ticket: str) -> None:
        """Take a request out of the queue; one that is not in it is ignored.

        :param ticket: the request's ticket.
        """
        self._waiting = [w for w in self._waiting if w.ticket != ticket]

    @property
    def waiting(self) -> int:
        """The number of requests in the queue."""
        return len(self._waiting)

    def grant_waiting(self, now_ms: int) -> list[tuple[Waiter, Grant]]:
        """Give free slots to the queue in order of deadline; those too late are dropped.

        :param now_ms: the present time.
        """
        granted: list[tuple[Waiter, Grant]] = []
        kept: list[Waiter] = []
        for number, waiter in enumerate(self._waiting):
            if waiter.give_up_ms <= now_ms:
                continue
            if self.free(now_ms) == 0:
                kept += self._waiting[number:]
                break
            expires_ms = waiter.deadline_ms + GRANT_MARGIN_MS
            grant = self.acquire(waiter.ticket, waiter.filing, expires_ms, waiter.avoid, now_ms)
            if isinstance(grant, Grant):
                granted.append((waiter, grant))
            else:
                kept.append(waiter)
        self._waiting = kept
        return granted

    def free(self, now_ms: int) -> int:
        """Return the free slots over all servers.

        :param now_ms: the present time.
        """
        return sum(s.room(now_ms) for s in self.servers.values())

    def in_use(self, server_id: str) -> int:
        """Return the grants in use on a server.

        :param server_id: the server.
        """
        server = self.servers.get(server_id)
        return len(server.grants) if server else 0

    @property
    def total(self) -> int:
        """The slots of all servers that take work."""
        return sum(s.limit for s in self.servers.values() if s.accepting and s.held)

    def _reserve(self) -> int:
        return round(self.total * self.reserve_ratio)


def effective_limits(
    shared: shared_settings.SharedSettings, region: str
) -> dict[tuple[str, str], int]:
    """Return each server's limit so that their sum keeps within the region's limit.

    :param shared: the shared settings in force.
    :param region: the region.
    :returns: the limit by service and server id.
    """
    slots = {
        (service, server_id): server.slots
        for service, settings in sorted(shared.services.items())
        for server_id, server in sorted(settings.servers.items())
        if server.region == region
    }
    limit = shared.regions[region].max_in_flight if region in shared.regions else 0
    total = sum(slots.values())
    if total <= limit:
        return slots
    scaled = {key: count * limit // total for key, count in slots.items()}
    by_remainder = sorted(slots, key=lambda k: (-(slots[k] * limit % total), k))
    for key in by_remainder[: limit - sum(scaled.values())]:
        scaled[key] += 1
    return scaled
