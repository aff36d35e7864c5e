"""One entry's part in the limits: owner of a share, asker for tokens and, at times, collector."""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools

import msgspec

from sassafraslock.quotas import (
    asks,
    collector,
    collector_choice,
    limits,
    messages,
    outbox,
    share_gatherer,
    share_owner,
    share_size,
)

ENTRIES_INTERVAL_MS = 500  # longer in a fleet of more than 1,000 entries, by its size
COLLECTING_MS = 2_000  # after the last ask
IDLE_FACTOR = 4
MAX_AGREEING = 400  # in larger fleets, asking all would cost each collector too many datagrams
STANDSTILL_MS = 1_500
OPEN_PAUSE_MS, COLLECTING_PAUSE_MS, IDLE_PAUSE_MS = 20, 100, 500


@dataclasses.dataclass(slots=True)
class _Timers:
    entries_ms: int
    collected_ms: int
    asked_ms: int
    called_ms: int


class QuotaNode:
    """The decisions of one entry without I/O: messages, requests and time in, messages out.

    ``entries`` returns all entries, this one included. While no limit is in force, nothing is sent
    but answers.
    """

    __slots__ = (
        "own",
        "run",
        "box",
        "owner",
        "size",
        "choice",
        "collector",
        "gatherer",
        "asks",
        "has_limits",
        "_entries",
        "_timers",
        "_region_ids",
        "_abroad_ids",
        "_entry_count",
    )

    def __init__(
        self,
        own: collector_choice.EntryInfo,
        run: int,
        terms: limits.Terms,
        entries: collections.abc.Callable[[int], list[collector_choice.EntryInfo]],
        now_ms: int,
    ) -> None:
        self.own = own
        self.run = run
        self.box = outbox.Outbox(own.entry_id, run)
        self.owner = share_owner.ShareOwner(own.entry_id, now_ms)
        self.size = share_size.ShareSize(now_ms)
        self.choice = collector_choice.CollectorChoice(own, now_ms)
        numbers = itertools.count(1)  # of asks of all kinds, as answers are told apart by them
        self.collector = collector.Collector(own.entry_id, terms, self.box, numbers, now_ms)
        self.gatherer = share_gatherer.ShareGatherer(own.entry_id, run, self.box, numbers, now_ms)
        self.asks = asks.Asks(self.choice, self.box, numbers)
        self.has_limits = False
        self._entries = entries
        long_ago_ms = now_ms - 60_000
        self._timers = _Timers(long_ago_ms, long_ago_ms, long_ago_ms, now_ms)
        self._region_ids: list[str] = []
        self._abroad_ids: list[str] = []
        self._entry_count = 1

    def apply_limits(self, known: list[limits.Limit], now_ms: int) -> None:
        """Take up the limits in force.

        :param known: the limits, each with a rate above 0.
        :param now_ms: the current monotonic time.
        """
        self.has_limits = bool(known)
        self.collector.apply_limits(known, now_ms)

    def ask(
        self,
        limit: limits.Limit,
        now_ms: int,
        on_settled: collections.abc.Callable[[], None] | None = None,
    ) -> asks.Ask:
        """Ask for a token; the ask may be settled on return.

        :param limit: the limit.
        :param now_ms: the current monotonic time.
        :param on_settled: called once the verdict is known.
        """
        self._enter(now_ms)
        return self.asks.start(limit, now_ms, on_settled)

    def pause_ms(self) -> int:
        """Return after which time :meth:`tick` is due."""
        if len(self.asks):
            return OPEN_PAUSE_MS
        return COLLECTING_PAUSE_MS if self.collector.is_active else IDLE_PAUSE_MS

    def drain(self, now_ms: int) -> list[tuple[str, messages.AnyMessage]]:
        """Return the messages to other entries; those to this one are handled.

        :param now_ms: the current monotonic time.
        """
        sent: list[tuple[str, messages.AnyMessage]] = []
        while self.box:
            for receiver, message in self.box.drain():
                if receiver == self.own.entry_id:
                    self._handle(message, now_ms)
                else:
                    sent.append((receiver, message))
        return sent

    def take(self, message: messages.AnyMessage, now_ms: int) -> None:
        """Handle a message of a known entry.

        :param message: the message.
        :param now_ms: the current monotonic time.
        """
        self._enter(now_ms)
        self._handle(message, now_ms)

    def _enter(self, now_ms: int) -> None:
        """Notice that this process stood still, after which its view of the others may be old."""
        if now_ms - self._timers.called_ms >= STANDSTILL_MS:
            self.owner.hold_back(now_ms)
        self._timers.called_ms = now_ms

    def _handle(self, message: messages.AnyMessage, now_ms: int) -> None:
        match message:
            case messages.LeaseAsk():
                answer = self.owner.answer(message, min(1.0, self.size.unit), now_ms)
                answer = msgspec.structs.replace(answer, digest=self.size.digest)
                self.box.send(message.sender, answer)
            case messages.LeaseAnswer():
                if self.collector.is_active:
                    self.gatherer.take_answer(message, self.collector.book, now_ms)
            case messages.Release():
                self.owner.release(message)
            case messages.TokenAsk():
                self._take_asks(message, now_ms)
            case messages.TokenAnswer() if message.run == self.run:
                for item in message.items:
                    if not self.collector.take_pulled(message.sender, item, now_ms):
                        self.asks.take_answer(message.sender, item, now_ms)
            case messages.TokenReturn():
                for number in message.numbers:
                    self.collector.take_back(message.sender, message.run, number, now_ms)

    def _take_asks(self, message: messages.TokenAsk, now_ms: int) -> None:
        if not message.is_pull:
            self._timers.asked_ms = now_ms
            self._decide_role(now_ms)
        for item in message.items:
            if message.is_pull:
                self.collector.give_surplus(message.sender, message.run, item, now_ms)
            else:
                self.collector.decide(message.sender, message.run, item, now_ms)

    def tick(self, now_ms: int) -> None:
        """Do what is due: asks without an answer, renewals, asks ahead of need.

        :param now_ms: the current monotonic time.
        """
        self._enter(now_ms)
        self.asks.tick(now_ms)
        interval_ms = max(ENTRIES_INTERVAL_MS, self._entry_count // 2)
        interval_ms *= 1 if self.has_limits else IDLE_FACTOR
        if now_ms - self._timers.entries_ms >= interval_ms:
            self._timers.entries_ms = now_ms
            self._take_entries(self._entries(now_ms), now_ms)
        self._decide_role(now_ms)
        if not self.collector.is_active:
            return
        self._renew(now_ms)
        if self.collector.book.is_stale or self.gatherer.has_news:
            self._recount(now_ms)
        if now_ms - self._timers.collected_ms >= COLLECTING_PAUSE_MS:
            self._timers.collected_ms = now_ms
            self.collector.pulls.peers = self._peers(now_ms)
            self.collector.tick(now_ms)

    def _take_entries(self, entries: list[collector_choice.EntryInfo], now_ms: int) -> None:
        if not entries:  # no others are known yet, whose shares are not this entry's
            self.size.unit = 0.0
            return
        others = [e for e in entries if e.entry_id != self.own.entry_id]
        known = [share_size.KnownEntry(e.entry_id, e.heard_ms) for e in others]
        self.size.update(known, now_ms, self.own.entry_id)
        self.choice.update(entries, now_ms)
        self._entry_count = len(entries)
        self._region_ids = [e.entry_id for e in entries if e.region == self.own.region]
        self._abroad_ids = [e.entry_id for e in entries if e.region != self.own.region]
        if self.collector.is_active:
            self._recount(now_ms)

    def _renew(self, now_ms: int) -> None:
        is_known = self.size.counts_all(now_ms) or self._entry_count > MAX_AGREEING
        asked = [] if is_known else self._abroad_ids
        self.gatherer.renew(self._region_ids, asked, now_ms)

    def _recount(self, now_ms: int) -> None:
        self.gatherer.check_agreement(
            [*self._region_ids, *self._abroad_ids], self.size.digest, now_ms
        )
        self.collector.recount(
            lambda owner, share: self.gatherer.weight(owner, share, self.size, now_ms), now_ms
        )

    def _peers(self, now_ms: int) -> list[str]:
        """Return the collectors that may have tokens for this one."""
        near = [*self.gatherer.holders(now_ms), self.choice.first()]
        peers = dict.fromkeys([*near, *self.choice.abroad(now_ms)])
        return [i for i in peers if i and i != self.own.entry_id]

    def _decide_role(self, now_ms: int) -> None:
        is_asked = now_ms - self._timers.asked_ms < COLLECTING_MS
        should_collect = is_asked or (self.has_limits and self.choice.is_first())
        if should_collect and not self.collector.is_active:
            self.collector.start(now_ms)
            self._renew(now_ms)
            self.collector.pulls.peers = self._peers(now_ms)
        elif not should_collect and self.collector.is_active:
            self.stop(now_ms)

    def stop(self, now_ms: int) -> None:
        """Stop to collect, so that other entries may at once.

        :param now_ms: the current monotonic time.
        """
        if self.collector.is_active:
            self.gatherer.release(self.collector.stop(now_ms))
