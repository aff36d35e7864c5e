"""The kernel service of the limits: owns their messages, and answers the pipeline's gate."""

from __future__ import annotations

import collections.abc
import contextvars
import logging
import random

import anyio

from sassafraslock import clock, errors, events, routing_table, workspaces
from sassafraslock.decisions import roster
from sassafraslock.quotas import (
    asks,
    collector_choice,
    limits,
    messages,
    node,
    refusal,
)
from sassafraslock.services import gossip, rejections

# The ask whose token the request of the current task uses.
_HELD: contextvars.ContextVar[asks.Ask | None] = contextvars.ContextVar("held", default=None)


def limit_of(workspace: workspaces.Workspace) -> limits.Limit:
    """Return the limit of a workspace's requests.

    :param workspace: the workspace.
    """
    return limits.Limit(f"workspace/{workspace.name}", workspace.rate_per_s, workspace.burst)


def entries_of(
    members: roster.Roster, own: roster.MemberRecord, now_ms: int
) -> list[collector_choice.EntryInfo]:
    """Return all entries as the roster knows them, none while the others cannot be known yet.

    :param members: the roster.
    :param own: the own record.
    :param now_ms: the current monotonic time.
    """
    if members.sharing_count() is None:
        return []
    live = {m.record.entry_id for m in members.live(now_ms)}
    infos = [info_of(own, now_ms, True)]
    for member in members.known():
        infos.append(info_of(member.record, member.heard_ms, member.record.entry_id in live))
    return infos


class QuotaService:
    """Limits the requests of each workspace, summed over all entries."""

    __slots__ = (
        "node",
        "rejections",
        "_gossip",
        "_own_record",
        "_rng",
        "_wake",
        "_limited",
        "_addresses",
    )

    def __init__(
        self,
        peers: gossip.GossipService,
        own_record: collections.abc.Callable[[int], roster.MemberRecord],
        terms: limits.Terms,
        now_ms: int,
        rng: random.Random | None = None,
    ) -> None:
        self._gossip = peers
        self._own_record = own_record
        self._rng = rng or random.Random()
        self.rejections = rejections.Rejections()
        self._wake = anyio.Event()
        self._limited: set[str] = set()
        self._addresses: dict[str, str] = {}
        own = own_record(0)
        info = collector_choice.EntryInfo(
            own.entry_id, own.region, own.link_mbps, own.boot_ms, now_ms
        )
        run = self._rng.getrandbits(63)
        self.node = node.QuotaNode(info, run, terms, self._entries, now_ms)
        peers.on_datagram = self.take_datagram

    def apply_table(self, table: routing_table.RoutingTable) -> None:
        """Take up the limits of the intents in force.

        :param table: the intents.
        """
        known = table.workspaces.workspaces if table.workspaces is not None else ()
        in_force = [limit_of(workspace) for workspace in known if workspace.rate_per_s > 0]
        self.node.apply_limits(in_force, clock.monotonic_ms())
        self._wake.set()

    def set_terms(self, terms: limits.Terms) -> None:
        """Take up changed bounds.

        :param terms: the bounds.
        """
        self.node.collector.set_terms(terms, clock.monotonic_ms())

    async def run(self, ready: anyio.Event) -> None:
        """Send what is to be sent, and do what is due, until cancelled.

        :param ready: set at once.
        """
        ready.set()
        due_ms = 0
        while True:
            now_ms = clock.monotonic_ms()
            if now_ms >= due_ms:
                was_collecting = self.node.collector.is_active
                self.node.tick(now_ms)
                self._log_changes(was_collecting)
                due_ms = now_ms + self.node.pause_ms()
            due_ms = min(due_ms, now_ms + self.node.pause_ms())
            await self._flush(now_ms)
            with anyio.move_on_after(max(0, due_ms - clock.monotonic_ms()) / 1_000):
                await self._wake.wait()
            self._wake = anyio.Event()

    async def stop(self) -> None:
        """Hand the shares of other entries back before the process ends."""
        now_ms = clock.monotonic_ms()
        self.node.stop(now_ms)
        await self._flush(now_ms)

    async def _flush(self, now_ms: int) -> None:
        for receiver, message in self.node.drain(now_ms):
            address = self._addresses.get(receiver)
            if address is not None:
                await self._gossip.send_datagram(address, messages.encode(message))

    def take_datagram(self, payload: bytes, now_ms: int) -> None:
        """Handle a datagram of another entry; one that cannot be used is counted.

        :param payload: the datagram without its mark.
        :param now_ms: the monotonic time at which it was read.
        """
        message = messages.decode(payload)
        if isinstance(message, str):
            event = events.Event.PEER_MESSAGE_REJECTED
            self.rejections.record(event, "quota message", message, now_ms)
            return
        if message.sender not in self._addresses:
            return  # gossip has not told of this entry yet; it asks again
        self.node.take(message, now_ms)
        if self.node.box:
            self._wake.set()

    async def acquire(self, workspace: workspaces.Workspace, now_ms: int) -> errors.Refusal | None:
        """Take a token for one request, or return the refusal if there is none.

        :param workspace: the request's workspace.
        :param now_ms: the current monotonic time.
        """
        _HELD.set(None)
        if workspace.rate_per_s <= 0:
            return None
        settled = anyio.Event()
        ask = self.node.ask(limit_of(workspace), now_ms, settled.set)
        self._wake.set()
        try:
            await settled.wait()
        except BaseException:
            self.node.asks.abandon(ask, clock.monotonic_ms())
            self._wake.set()
            raise
        if ask.verdict is not messages.Verdict.GRANTED:
            return refusal.refuse(ask, self._rng)
        _HELD.set(ask)
        return None

    def give_back(self, workspace: workspaces.Workspace, now_ms: int) -> None:
        """Return the token of the current task's request, which certainly did not run.

        :param workspace: the request's workspace.
        :param now_ms: the current monotonic time.
        """
        ask = _HELD.get()
        if ask is None or ask.limit.key != limit_of(workspace).key:
            return
        _HELD.set(None)
        self.node.asks.abandon(ask, now_ms)
        self._wake.set()

    def _entries(self, now_ms: int) -> list[collector_choice.EntryInfo]:
        members = self._gossip.roster
        self._addresses = {m.record.entry_id: m.record.gossip_address for m in members.known()}
        return entries_of(members, self._own_record(0), now_ms)

    def _log_changes(self, was_collecting: bool) -> None:
        collector = self.node.collector
        if collector.is_active != was_collecting:
            event = events.Event.QUOTA_COLLECTOR_CHANGED
            verb = "begins" if collector.is_active else "stops"
            text = f"this entry {verb} to collect the region's shares of quotas"
            events.log(event, text, collects=collector.is_active, region=self.node.own.region)
        limited = set(collector.limited_since_ms)
        for key in sorted(limited - self._limited):
            event = events.Event.QUOTA_USED_UP
            text = "requests over a quota are refused"
            events.log(event, text, logging.WARNING, limit=key, share=collector.book.share)
        for key in sorted(self._limited - limited):
            text = "no request over a quota came for 10 s"
            events.log(events.Event.QUOTA_FREE, text, limit=key)
        self._limited = limited

    def token_counts(self) -> dict[str, float]:
        """Return the number of tokens so far that were granted, refused, returned and voided.

        The first three are counted where this entry collects; of the last, also those that this
        entry's requests got too late.
        """
        counters = self.node.collector.counters
        return {
            "granted": counters.granted,
            "refused": counters.refused,
            "returned": counters.returned,
            "voided": round(counters.voided + self.node.asks.voided),
        }

    def dump(self) -> dict[str, object]:
        """Return the role of this entry, its shares and its counters."""
        collector = self.node.collector
        return {
            "collects": collector.is_active,
            "own_share": self.node.size.unit,
            "lent_to": self.node.owner.holder,
            "shares": collector.book.share,
            **self.token_counts(),
            "limited": sorted(collector.limited_since_ms),
        }


def info_of(record: roster.MemberRecord, heard_ms: int, live: bool) -> collector_choice.EntryInfo:
    """Return what the choice of collectors takes from a record.

    :param record: an entry's record.
    :param heard_ms: when its heartbeat last increased.
    :param live: whether it counts as live.
    """
    return collector_choice.EntryInfo(
        record.entry_id,
        record.region,
        record.link_mbps,
        record.boot_ms,
        heard_ms,
        live,
        record.leaving,
    )
