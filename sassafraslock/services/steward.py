"""Membership view and the resources that this entry hands out."""

from __future__ import annotations

import dataclasses
import itertools
import logging
import typing

import anyio
import msgspec

from sassafraslock import clock, errors, events, messages, platform, settings, shared_settings
from sassafraslock.decisions import slots, view
from sassafraslock.services import holdings

VIEW_PREFIX = "view/"
SLOW_POLL_FACTOR = 20

SplitsSource = typing.Callable[[], dict[str, shared_settings.Split]]
AttemptObserver = typing.Callable[[tuple[str, str], bool, int], None]


class StewardService:
    """Owns this region's view, the slot pools and the link budgets."""

    __slots__ = (
        "view",
        "holdings",
        "leaving",
        "me",
        "_settings",
        "_platform",
        "_peers",
        "_shared",
        "_grant_ids",
        "_version",
        "_last_tick_ms",
        "_confirmed",
        "_looked",
        "_wake",
        "gone",
        "attempt_observer",
        "splits_source",
        "_changed",
        "_next_look_ms",
    )

    def __init__(
        self,
        process: settings.Settings,
        incarnation: int,
        platform_client: typing.Any,
        peers: typing.Any,
        settings_service: typing.Any,
    ) -> None:
        self.view = view.View()
        self.holdings = holdings.Holdings(process.region)
        self.leaving = False
        self.gone = False
        self.attempt_observer: AttemptObserver | None = None
        self._changed = True
        self._next_look_ms = 0
        self.splits_source: SplitsSource | None = None
        self.me = view.Member(
            process.entry_id, incarnation, process.zone, str(process.caller), str(process.peer)
        )
        self._settings = process
        self._platform = platform_client
        self._peers = peers
        self._shared = settings_service.shared
        self._grant_ids = itertools.count(1)
        self._version = 0
        self._last_tick_ms = 0
        self._confirmed = False
        self._looked = False
        self._wake = anyio.Event()
        settings_service.on_change(self._on_settings)
        peers.handle(messages.SlotRequest, self._on_slot_request)
        peers.handle(messages.SlotReturn, self._on_slot_return)
        peers.handle(messages.BytesRequest, self._on_bytes_request)

    def _on_settings(self, shared: shared_settings.SharedSettings) -> None:
        self._shared = shared
        self._changed = True
        self._sync(clock.monotonic_ms())
        self._wake.set()

    async def run(self, ready: anyio.Event) -> None:
        """Follow and change the view until cancelled.

        :param ready: set after the first look at the view.
        """
        while True:
            now_ms = clock.monotonic_ms()
            self._note_tick(now_ms)
            if self._should_look(now_ms):
                self._next_look_ms = now_ms + SLOW_POLL_FACTOR * self._settings.poll_ms
                await self._step()
            for pool in self.pools.values():
                pool.expire(clock.monotonic_ms())
                self._serve_waiting(pool)
            ready.set()
            self._wake = anyio.Event()
            with anyio.move_on_after(self._settings.poll_ms / 1000):
                await self._wake.wait()

    def _should_look(self, now_ms: int) -> bool:
        """Tell whether to read the view now: few entries do at each poll, the others when due."""
        me = self.view.members.get(self.me.entry_id)
        settled = me is not None and me.incarnation == self.me.incarnation and me.listed
        busy = self.leaving or self.gone or bool(self.holdings.giving_up) or self._changed
        if not settled or busy or not self._confirmed or now_ms >= self._next_look_ms:
            return True
        region = self._settings.region
        table = self._peers.table
        if any(
            h.view_epochs.get(region, 0) > self.view.epoch for h in table.in_region(region, now_ms)
        ):
            return True
        return bool(table.is_reader(self.me.entry_id, region, now_ms))

    async def _step(self) -> None:
        """Read the view, change it where this entry should, and follow it."""
        key = VIEW_PREFIX + self._settings.region
        self._changed = False  # a change that arrives from here on asks for another look
        result = await self._platform.transact(platform.Transaction(reads=[key]))
        if isinstance(result, errors.Refusal):
            self._changed = True
            return
        self._take(result.row(key))
        wanted = self._wanted_view(clock.monotonic_ms())
        if wanted is self.view:
            return
        transaction = platform.Transaction(
            conditions=[platform.Condition(key, self._version)],
            puts=[platform.Put(key, msgspec.msgpack.encode(wanted))],
            reads=[key],
        )
        written = await self._platform.transact(transaction)
        if isinstance(written, errors.Refusal):
            events.log(events.Event.VIEW_CHANGE_FAILED, written.reason, logging.WARNING)
            self._changed = True
            return
        if not written.committed:
            self._changed = True
        self._take(written.row(key))

    def _take(self, row: platform.Row | None) -> None:
        """Follow the view as the store has it."""
        self._confirmed = self._looked = True
        if row is None or row.version == self._version:
            return
        seen = msgspec.msgpack.decode(row.value, type=view.View)
        if seen.epoch > self.view.epoch:
            events.log(
                events.Event.VIEW_CHANGED,
                "the region's view changed",
                epoch=seen.epoch,
                members=sorted(seen.members),
            )
        self._version, self.view = row.version, seen
        self._sync(clock.monotonic_ms())

    def _wanted_view(self, now_ms: int) -> view.View:
        table = self._peers.table
        if self.me.entry_id in table.listed:
            self.me = dataclasses.replace(self.me, listed=True)
        me = dataclasses.replace(self.me, leaving=self.leaving)
        wanted = self.view
        if self.gone:
            return self._view_without_me(wanted)
        known = wanted.members.get(me.entry_id)
        if known and known.incarnation > me.incarnation:
            return wanted
        if known != me and (known or self._has_room(wanted)):
            wanted = view.join(wanted, me)
        if me.entry_id not in wanted.members:
            return wanted
        for other in list(wanted.members.values()):
            if other.entry_id == me.entry_id:
                continue
            if table.certainly_gone(other.entry_id, other.listed, now_ms):
                wanted = view.remove(wanted, other.entry_id)
        goal = self.holdings.goal_of(wanted, self._shared)
        if not self.leaving:
            wanted = view.claim_free(wanted, me, goal)
        self.holdings.giving_up = set(view.to_give_up(wanted, me, goal))
        self._sync(now_ms)
        idle = [r for r in self.holdings.giving_up if self.holdings.is_idle(r, now_ms)]
        wanted = view.give_up(wanted, me, idle, goal)
        if self.splits_source and self._is_first_live(now_ms):
            wanted = view.note_splits(wanted, self.splits_source())
        return wanted

    def _is_first_live(self, now_ms: int) -> bool:
        """Tell whether this entry is the one that writes the region's splits."""
        live = self._peers.table.live(now_ms)
        ids = [h.sender for h in live if h.sender in self.view.members]
        return all(self.me.entry_id < entry_id for entry_id in ids)

    def _view_without_me(self, wanted: view.View) -> view.View:
        known = wanted.members.get(self.me.entry_id)
        if known is None or known.incarnation != self.me.incarnation:
            return wanted
        return view.remove(wanted, self.me.entry_id)

    def _has_room(self, current: view.View) -> bool:
        region = self._shared.regions.get(self._settings.region)
        return region is not None and len(current.members) < region.max_entries

    @property
    def followed(self) -> bool:
        """Whether the region's view was ever read by this process."""
        return self._looked

    @property
    def pools(self) -> dict[str, slots.SlotPool]:
        """The slots that this entry hands out, by service."""
        return self.holdings.pools

    def _sync(self, now_ms: int) -> None:
        held = self.view.held_by(self.me.entry_id, self.me.incarnation)
        self.holdings.sync(held, self._shared, now_ms)

    def may_act(self, now_ms: int) -> bool:
        """Tell whether grants are allowed now.

        After a pause the view must be confirmed first, and a process cut off from store and
        peers hands out nothing.

        :param now_ms: the present time.
        """
        self._note_pause(now_ms)
        if not self._confirmed or self.gone:
            return False
        return self._peers.table.may_act(
            self._settings.region,
            len(self.view.members),
            now_ms - self._platform.last_ok_ms,
            now_ms,
        )

    def _note_pause(self, now_ms: int) -> None:
        """Distrust the view if this process stood still so long that others may have acted."""
        limit_ms = 5 * self._settings.poll_ms + 2 * self._settings.platform.timeout_ms
        if now_ms - self._last_tick_ms > limit_ms:
            self._confirmed = False

    def _note_tick(self, now_ms: int) -> None:
        self._note_pause(now_ms)
        self._last_tick_ms = now_ms

    def acquire(
        self, service: str, filing: bool, duration_ms: int, avoid: list[str], now_ms: int
    ) -> slots.Grant | errors.Refusal:
        """Grant one slot of this entry's own servers.

        :param service: the service.
        :param filing: whether the reserve may be used.
        :param duration_ms: how long the request may run.
        :param avoid: servers not to use.
        :param now_ms: the present time.
        """
        pool = self.pools.get(service)
        if pool is None or not self.may_act(now_ms):
            return errors.Refusal(errors.ErrorKind.NO_CAPACITY, "this entry hands out no slot")
        if pool.waiting:
            return errors.Refusal(errors.ErrorKind.NO_CAPACITY, "requests wait for a slot already")
        expires_ms = now_ms + duration_ms + slots.GRANT_MARGIN_MS
        return pool.acquire(self.new_ticket(), filing, expires_ms, avoid, now_ms)

    def release(self, service: str, grant_id: str) -> None:
        """Take a slot back and hand it to the next request in the queue.

        :param service: the service, or nothing where it is not known any more.
        :param grant_id: the grant.
        """
        pools = [self.pools[service]] if service in self.pools else self.pools.values()
        for pool in pools:
            pool.release(grant_id)
            self._serve_waiting(pool)

    def _serve_waiting(self, pool: slots.SlotPool) -> None:
        if not pool.waiting or not self.may_act(clock.monotonic_ms()):
            return
        for waiter, grant in pool.grant_waiting(clock.monotonic_ms()):
            waiter.on_grant(grant)

    def wait(self, service: str, waiter: slots.Waiter) -> bool:
        """Queue a request for one of this entry's own servers.

        :param service: the service.
        :param waiter: the request; its ticket becomes the grant's id.
        :returns: whether this entry has a server of the service at all.
        """
        pool = self.pools.get(service)
        if pool is None or not pool.total:
            return False
        pool.wait(waiter)
        return True

    def cancel(self, service: str, ticket: str) -> None:
        """Take a request out of the queue.

        :param service: the service.
        :param ticket: the request's ticket.
        """
        if service in self.pools:
            self.pools[service].cancel(ticket)

    def new_ticket(self) -> str:
        """Return an id for a grant not used before by any process."""
        return f"{self.me.entry_id}:{self.me.incarnation}:{next(self._grant_ids)}"

    async def _on_slot_request(self, request: messages.SlotRequest) -> None:
        now_ms = clock.monotonic_ms()
        grant = self.acquire(
            request.service, request.filing, request.duration_ms, request.avoid, now_ms
        )
        if isinstance(grant, errors.Refusal) and request.wait_ms:
            waiter = slots.Waiter(
                self.new_ticket(),
                request.filing,
                now_ms + request.duration_ms,
                now_ms + request.wait_ms,
                request.avoid,
                lambda granted: self._reply_slot(request, granted),
            )
            if self.wait(request.service, waiter):
                return
        self._reply_slot(request, grant if isinstance(grant, slots.Grant) else None)

    def _reply_slot(self, request: messages.SlotRequest, grant: slots.Grant | None) -> None:
        reply = messages.SlotReply(
            sender=self.me.entry_id,
            request_id=request.request_id,
            grant_id=grant.grant_id if grant else "",
            server_id=grant.server_id if grant else "",
        )
        if not self._peers.send_to(request.sender, reply) and grant:
            self.release(request.service, grant.grant_id)

    async def _on_slot_return(self, message: messages.SlotReturn) -> None:
        self.release(message.service, message.grant_id)
        if message.service and self.attempt_observer:
            key = (message.service, message.server_id)
            self.attempt_observer(key, message.failed, clock.monotonic_ms())

    def take_bytes(self, to_region: str, size_bytes: int, filing: bool, now_ms: int) -> int:
        """Take bytes of the parts of a link that this entry hands out, 0 where none are left.

        :param to_region: the receiving region.
        :param size_bytes: the bytes wanted.
        :param filing: whether the reserve may be used.
        :param now_ms: the present time.
        """
        if not self.may_act(now_ms):
            return 0
        return self.holdings.take_bytes(to_region, size_bytes, filing, now_ms)

    async def _on_bytes_request(self, request: messages.BytesRequest) -> None:
        granted_bytes = self.take_bytes(
            request.to_region, request.size_bytes, request.filing, clock.monotonic_ms()
        )
        reply = messages.BytesReply(
            sender=self.me.entry_id, request_id=request.request_id, granted_bytes=granted_bytes
        )
        self._peers.send_to(request.sender, reply)

    def serves(self, service: str, now_ms: int) -> bool:
        """Tell whether this entry hands out slots of a service.

        :param service: the service.
        :param now_ms: the present time.
        """
        pool = self.pools.get(service)
        return pool is not None and pool.total > 0 and self.may_act(now_ms)

    def loads(self, now_ms: int) -> dict[str, messages.ServiceLoad]:
        """Return the free slots of each service, for the heartbeat.

        :param now_ms: the present time.
        """
        return self.holdings.loads(now_ms) if self.may_act(now_ms) else {}

    async def leave(self) -> None:
        """Say in the view that this entry leaves, and hand its resources to others."""
        self.leaving = True
        await self._step()

    async def stop(self) -> None:
        """Give up what is left and leave the view."""
        for _ in range(10):
            held = self.view.held_by(self.me.entry_id, self.me.incarnation)
            if not held or len(self.view.members) < 2:
                break
            await self._step()
            await anyio.sleep(self._settings.poll_ms / 5000)
        self.gone = True
        await self._step()

    def dump(self) -> dict[str, object]:
        """Return the view, the pools and the budgets."""
        now_ms = clock.monotonic_ms()
        return {
            "epoch": self.view.epoch,
            "members": self.view.members,
            "stewards": self.view.stewards,
            "may_act": self.may_act(now_ms),
            **self.holdings.dump(),
        }
