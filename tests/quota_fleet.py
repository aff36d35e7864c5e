"""Entries with the real decisions on summed limits and real rosters, before a network in virtual
time: delays, losses, cuts, frozen and ended entries, unread datagrams."""

import bisect
import dataclasses
import heapq
import itertools
import random

from sassafraslock.decisions import roster
from sassafraslock.quotas import limits, messages, node, service

TERMS = limits.Terms(5_000, 0.1, 20.0)
REGIONS = ("a", "b", "c")
ROUND_MS = 500


@dataclasses.dataclass
class Entry:
    """One entry; ``frozen_until_ms`` is when it reads its datagrams again."""

    entry_id: str
    region: str
    link_mbps: float
    boot_ms: int = 0
    beat: int = 0
    is_up: bool = True
    frozen_until_ms: int = 0
    node: object = None
    members: object = None
    unread: list = dataclasses.field(default_factory=list)
    tick_ms: int = 0
    lag_ms: int = 0

    def record(self):
        address = "10.0.0.1:1"
        return roster.MemberRecord(
            self.entry_id, self.boot_ms + 1, self.beat, self.region, self.region, address, address,
            link_mbps=self.link_mbps,
        )  # fmt: skip


@dataclasses.dataclass
class Usage:
    """What became of the requests of one limit; ``runs`` holds when they were sent and arrived."""

    runs: list = dataclasses.field(default_factory=list)
    asked: int = 0
    refused: int = 0
    unknown: int = 0


class Fleet:
    """The entries and the network. ``cuts`` holds functions of two entries that tell whether
    datagrams from one to the other are lost; gossip is relayed, and stopped by ``walls`` only."""

    def __init__(self, count, seed=0, regions=REGIONS, gossips=True):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.loss = 0.0
        self.cuts, self.walls = [], []
        self.entries = {}
        self.limits = {}
        self.usage = {}
        self.refused_ms = []
        self._events, self._order = [], itertools.count()
        self._regions = regions
        self._gossips = gossips
        self._static = None
        self.give_back_share = 0.0
        for _ in range(count):
            self.join()
        self.at(0, self._round)

    def at(self, time_ms, action, *args):
        heapq.heappush(self._events, (time_ms, next(self._order), action, args))

    def after(self, delay_ms, action, *args):
        self.at(self.now_ms + delay_ms, action, *args)

    def run(self, until_ms):
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now_ms = until_ms

    def join(self):
        number = len(self.entries)
        region = self._regions[number % len(self._regions)]
        entry = Entry(f"e-{number}", region, self.rng.choice([5, 20, 50, 100]))
        self.entries[entry.entry_id] = entry
        self.start(entry)
        return entry

    def start(self, entry):
        entry.boot_ms, entry.is_up, entry.unread = self.now_ms, True, []
        entry.beat, entry.frozen_until_ms, entry.tick_ms = 0, 0, 0
        entry.lag_ms = self.rng.randrange(100, 1_250)
        entry.members = roster.Roster(entry.entry_id)
        info = service.info_of(entry.record(), self.now_ms, True)

        def entries(now_ms):
            if not self._gossips:
                return self._all_infos()
            return service.entries_of(entry.members, entry.record(), now_ms)

        run = self.rng.getrandbits(60)
        entry.node = node.QuotaNode(info, run, TERMS, entries, self.now_ms)
        entry.node.apply_limits(list(self.limits.values()), self.now_ms)
        self.after(self.rng.randrange(100), self._tick, entry, entry.node)

    def _all_infos(self):
        """Without faults, all entries know the same; built once for each round."""
        number = self.now_ms // ROUND_MS
        if self._static is None or self._static[0] != number:
            infos = []
            for entry in self.entries.values():
                infos.append(service.info_of(entry.record(), self.now_ms, True))
            self._static = (number, infos)
        return self._static[1]

    def kill(self, entry):
        entry.is_up, entry.node, entry.unread = False, None, []

    def restart(self, entry, down_ms):
        if entry.is_up:
            self.kill(entry)
            self.after(down_ms, self._start_again, entry)

    def _start_again(self, entry):
        if not entry.is_up:
            self.start(entry)

    def freeze(self, entry, for_ms):
        if entry.is_up:
            entry.frozen_until_ms = self.now_ms + for_ms
            self.after(for_ms, self._thaw, entry)

    def _thaw(self, entry):
        if entry.is_up and self.now_ms >= entry.frozen_until_ms:
            unread, entry.unread = entry.unread, []
            entry.tick_ms = 0
            for message in unread:
                entry.node.take(message, self.now_ms)
            self._flush(entry)
            self._tick(entry, entry.node)

    def is_awake(self, entry):
        return entry.is_up and self.now_ms >= entry.frozen_until_ms

    def set_limit(self, limit, spread_ms=0):
        self.limits[limit.key] = limit
        self.usage.setdefault(limit.key, Usage())
        for entry in self.entries.values():
            delay_ms = self.rng.randrange(spread_ms) if spread_ms else 0
            self.after(delay_ms, self._apply, entry)

    def _apply(self, entry):
        if entry.is_up:
            entry.node.apply_limits(list(self.limits.values()), self.now_ms)

    def _tick(self, entry, own):
        if entry.node is not own or not self.is_awake(entry) or self.now_ms < entry.tick_ms:
            return
        own.tick(self.now_ms)
        self._flush(entry)
        entry.tick_ms = self.now_ms + own.pause_ms()
        if not (self._gossips or own.collector.is_active or len(own.asks)):
            entry.tick_ms = 1 << 60  # nothing changes for it before its next ask
            return
        self.at(entry.tick_ms, self._tick, entry, own)

    def _flush(self, entry):
        for receiver, message in entry.node.drain(self.now_ms):
            other = self.entries[receiver]
            if self.rng.random() < self.loss or any(cut(entry, other) for cut in self.cuts):
                continue
            self.after(self._delay_ms(entry, other), self._deliver, other, message)
            if self.loss and self.rng.random() < 0.02:
                self.after(self.rng.randrange(3_000), self._deliver, other, message)
        if len(entry.node.asks) and entry.tick_ms > self.now_ms + node.OPEN_PAUSE_MS:
            entry.tick_ms = self.now_ms + node.OPEN_PAUSE_MS
            self.at(entry.tick_ms, self._tick, entry, entry.node)

    def _delay_ms(self, entry, other):
        if entry.region != other.region:
            return 55 + self.rng.randrange(3)
        return 1 + self.rng.randrange(2)

    def _deliver(self, entry, message):
        if not entry.is_up:
            return
        if not self.is_awake(entry):
            entry.unread.append(message)
            return
        entry.node.take(message, self.now_ms)
        self._flush(entry)

    def _round(self):
        """Gossip: records of all that are awake reach all that no wall parts from them."""
        awake = [e for e in self.entries.values() if self.is_awake(e)]
        for entry in awake if self._gossips else ():
            entry.beat += 1
        records = [(e, e.record()) for e in awake if self._gossips]
        for other in awake if self._gossips else ():
            for entry, record in records:
                age_ms = self.now_ms - max(entry.boot_ms, other.boot_ms)
                if age_ms >= entry.lag_ms + other.lag_ms and not any(
                    wall(entry, other) for wall in self.walls
                ):
                    other.members.merge_record(record, self.now_ms)
            other.members.remove_dead(self.now_ms)
        self.after(ROUND_MS, self._round)

    def request(self, entry, key, retry=False):
        """A client's request to an entry, over a link that takes 8 ms."""
        self.after(8, self._arrive, entry, key, self.now_ms, retry)

    def _arrive(self, entry, key, sent_ms, retry):
        usage = self.usage[key]
        usage.asked += 1
        if not self.is_awake(entry):
            if entry.is_up:
                self.at(entry.frozen_until_ms, self._arrive, entry, key, sent_ms, retry)
            return
        held = []
        limit = self.limits[key]
        own = entry.node
        ask = own.ask(limit, self.now_ms, lambda: self._settled(entry, own, held, key, sent_ms))
        held.append(ask)
        if ask.verdict is not None:
            self._settled(entry, own, held, key, sent_ms)
        self._flush(entry)

    def _settled(self, entry, own, held, key, sent_ms):
        if not held:
            return
        (ask,), usage = held, self.usage[key]
        if ask.verdict is messages.Verdict.GRANTED:
            if self.rng.random() < self.give_back_share:
                self.after(self.rng.randrange(300), self._give_back, entry, own, ask)
            else:
                took_ms = self.rng.randrange(1, 120)
                if self.rng.random() < 0.02:
                    took_ms = self.rng.randrange(3_000)
                usage.runs.append((sent_ms, self.now_ms + took_ms))
        elif ask.verdict is messages.Verdict.USED_UP:
            usage.refused += 1
            self.refused_ms.append(self.now_ms)
        else:
            usage.unknown += 1

    def _give_back(self, entry, own, ask):
        if entry.node is own and self.is_awake(entry):
            own.asks.abandon(ask, self.now_ms)
            self._flush(entry)

    def demand(self, key, per_s, until_ms, pick):
        """Send requests at random times until a time, each to the entry that ``pick`` returns."""
        gap_ms = self.rng.expovariate(per_s / 1_000)
        self.after(gap_ms, self._send_next, key, per_s, until_ms, pick)

    def _send_next(self, key, per_s, until_ms, pick):
        self.now_ms = int(self.now_ms)
        if self.now_ms < until_ms:
            entry = pick()
            if entry is not None:
                self.request(entry, key)
            self.demand(key, per_s, until_ms, pick)

    def any_entry(self):
        return self.rng.choice(list(self.entries.values()))


def bound(limit, window_ms=TERMS.window_ms):
    allowed = limit.rate_per_s * window_ms / 1_000 + limit.burst
    return allowed * (1 + TERMS.overage) + TERMS.slack


def most_in_a_window(runs, window_ms=TERMS.window_ms):
    """Return the most runs that were sent and arrived within one window."""
    sent = sorted(s for s, _ in runs)
    arrived = sorted(a for _, a in runs)
    slow = [(s, a) for s, a in runs if a - s > window_ms]
    most = 0
    for start in sent:
        end = start + window_ms
        outside = sum(s < start and a > end for s, a in slow)
        count = bisect.bisect_right(arrived, end) - bisect.bisect_left(sent, start) + outside
        most = max(most, count)
    return most
