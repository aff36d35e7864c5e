"""A model of entries around their real proofs, for keys that are taken away amid trouble.

Real are the proofs, the bounds of the store's clock, the choice of gossip targets and of the zone
reader. Modelled are the store's long polls, the exchange of copies, and what processes, links and
the store may do. Times are in milliseconds; each entry has a clock of its own.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import typing

from benchmarks import revocation_store
from sassafraslock import store_version
from sassafraslock.decisions import (
    gossip_targets,
    hashing,
    intents_proof,
    roster,
    store_era,
    zone_reader,
)
from sassafraslock.services import peer_copies, poll_pace, replica, store_calls, zone_feed

BOUND_MS = 5_000
ZONES = ("a-1", "a-2", "b-1", "b-2", "c-1", "c-2")
TICK_MS = 100
GOSSIP_MS = 500
GOSSIP_LOSS = 0.05
LATE_RATIO = 0.02  # datagrams that come up to 3 s late
CONFIRM_MS = 2  # from a write to its confirmation
MAX_CLOCK_DRIFT = 0.0002
TIMEOUT_MS = int(1_000 * store_calls.ANSWER_TIMEOUT_S)
RETRY_MS = int(1_000 * poll_pace.RETRY_PAUSE_S)
FETCH_TIMEOUT_MS = int(1_000 * peer_copies.FETCH_TIMEOUT_S)
FOLLOW_TIMEOUT_MS = zone_feed.CHANGES_WAIT_MS + int(1_000 * peer_copies.ANSWER_MARGIN_S)


class Entry:
    """One process; while it is frozen, all that happens to it waits."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number
        zone = ZONES[number % len(ZONES)]
        addresses = (f"10.0.0.{number}:1", f"10.0.0.{number}:2")
        self.record = roster.MemberRecord(
            f"e-{number}", 1, 1, zone[0], zone, *addresses, True, False, 1
        )
        self._offset_ms = world.random.randrange(10_000_000)
        self._drift = world.random.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        self.life = 0
        self.group = 0
        self.is_alive = self.is_frozen = False
        self.inbox: list[tuple[typing.Callable[..., None], tuple[typing.Any, ...]]] = []
        self.start()

    @property
    def local_ms(self) -> int:
        """The time of this machine's clock."""
        return self._offset_ms + int(self.world.now_ms * (1 + self._drift))

    def start(self) -> None:
        """Start a process that knows nothing."""
        self.is_alive, self.is_frozen = True, False
        self.proofs = intents_proof.IntentsProofs(BOUND_MS)
        self.row = revocation_store.Row()
        self.in_force = 0
        self.era: int | None = None
        self.settle_at_ms: int | None = None
        self.position_ms = 0.0
        self.is_following = self.has_failed = self.is_polling = False
        self.answered_ms = self.recovered_ms = self.local_ms - replica.STABLE_AFTER_MS
        self.selector = zone_reader.ZoneReaderSelector(self.record.entry_id, self.record.zone)
        self.inbox.clear()
        self._poll()
        self.world.own(self, self.world.random.uniform(0, GOSSIP_MS), self._gossip)
        self.world.own(self, 400, self._ask_peer)
        self.world.own(self, 500, self._follow)

    def end(self) -> None:
        """End the process; nothing of it happens any more."""
        self.is_alive = False
        self.life += 1

    def wake(self) -> None:
        """Go on; a request may come first, then all that has come meanwhile is read."""
        self.is_frozen = False
        self.world.check(self)
        inbox, self.inbox = self.inbox, []
        self.world.random.shuffle(inbox)
        for action, args in inbox:
            action(*args)
            self.world.check(self)

    def _poll(self) -> None:
        self.is_polling = not self.is_following
        if self.is_following:
            return
        wait_ms = 0 if self.has_failed else poll_pace.PROOF_LONG_POLL_MS
        is_due = self.settle_at_ms is not None and self.local_ms >= self.settle_at_ms
        if is_due:
            self.settle_at_ms = None
        call = revocation_store.Call(self.local_ms, self.life, -1 if is_due else self.row.version)
        self.world.own(self, wait_ms + TIMEOUT_MS, self.fail_call, call)
        if self.group == 0:
            self.world.after(
                revocation_store.STORE_DELAY_MS, self.world.store.receive, self, call, wait_ms
            )

    def take_answer(
        self,
        call: revocation_store.Call,
        row: revocation_store.Row,
        era: int,
        clock_ms: int,
        made_ms: float,
    ) -> None:
        """Take an answer of the store, if the call has not timed out."""
        if call.is_done:
            return
        call.is_done, self.has_failed = True, False
        now_ms = self.local_ms
        if now_ms - self.answered_ms > replica.UNAVAILABLE_AFTER_MS:
            self.recovered_ms = now_ms
        self.answered_ms = now_ms
        if self._enter_era(era):
            is_settled = self.settle_at_ms is None
            self._take_row(row if is_settled else self._dated(row))
            self.position_ms = max(self.position_ms, made_ms)
            version = self.row.version if is_settled else None
            self.proofs.record_answer(version, clock_ms, call.sent_ms, now_ms)
        self.world.own(self, 20, self._poll)

    def fail_call(self, call: revocation_store.Call) -> None:
        """Count a call as failed, and call again soon."""
        if not call.is_done:
            call.is_done = self.has_failed = True
            self.world.own(self, RETRY_MS * (0.5 + self.world.random.random()), self._poll)

    def _enter_era(self, era: int) -> bool:
        if self.era is None or era > self.era:
            self.era = era
            if era:
                spread_ms = self.world.random.randrange(replica.SETTLE_SPREAD_MS)
                self.settle_at_ms = self.local_ms + store_era.SETTLE_MS + spread_ms
            self.proofs.enter_era(era, self.local_ms)
        return era == self.era

    def _dated(self, row: revocation_store.Row) -> revocation_store.Row:
        if row.revision > self.in_force and self.row.version:
            return row
        number = store_version.number(row.version)
        version = store_version.join(store_version.era(row.version) - 1, number)
        return dataclasses.replace(row, version=version)

    def _take_row(self, row: revocation_store.Row) -> None:
        if row.version > self.row.version:
            self.row = row
        if self.row.is_usable:
            self.in_force = max(self.in_force, self.row.revision)
            self.proofs.apply_version(self.row.version)

    def _gossip(self) -> None:
        rng = self.world.random
        self.world.own(self, GOSSIP_MS * rng.uniform(0.8, 1.2), self._gossip)
        reports = self.proofs.recent_reports(self.local_ms)
        others = self.world.records[: self.number] + self.world.records[self.number + 1 :]
        for address in gossip_targets.choose(self.record, others, rng):
            peer = self.world.by_address[address]
            if rng.random() > GOSSIP_LOSS:
                is_late = rng.random() < LATE_RATIO
                delay_ms = rng.uniform(0, 3_000) if is_late else self.world.delay_ms(self, peer)
                self.world.send(peer, delay_ms, self.group, None, peer.take_gossip, reports)

    def take_gossip(self, reports: list[intents_proof.ProofReport]) -> None:
        """Merge the proofs of a datagram."""
        self.proofs.merge_reports(reports, self.local_ms)

    def _ask_peer(self) -> None:
        """Ask a peer for its copy while the store does not answer, as :mod:`replica` does."""
        self.world.own(self, 400, self._ask_peer)
        silent_ms = self.local_ms - self.answered_ms
        is_down = self.has_failed and silent_ms > replica.FALLBACK_AFTER_MS
        is_silent = silent_ms > replica.FALLBACK_AFTER_MS + poll_pace.LONG_POLL_MS
        if not (is_down or is_silent or not self.row.version):
            return
        ahead = [e for e in self.world.entries if e.position_ms > self.position_ms]
        if ahead:
            self._fetch(self.world.random.choice(ahead), 0, lambda copy: None)

    def _fetch(
        self,
        peer: Entry,
        wait_ms: float,
        finish: typing.Callable[[revocation_store.Copy | None], None],
    ) -> None:
        call = revocation_store.Call(self.local_ms, self.life)
        delay_ms = self.world.delay_ms(self, peer)

        def answer() -> None:
            if not (wait_ms and peer.is_following):
                copy = peer.copy()
                self.world.send(self, delay_ms, peer.group, None, take, copy)

        def take(copy: revocation_store.Copy | None) -> None:
            if call.is_done:
                return
            call.is_done = True
            if copy is not None:
                self._merge(copy, call.sent_ms)
            finish(copy)

        self.world.own(self, FOLLOW_TIMEOUT_MS if wait_ms else FETCH_TIMEOUT_MS, take, None)
        self.world.send(peer, delay_ms + wait_ms, self.group, None, answer)

    def copy(self) -> revocation_store.Copy:
        """Return this entry's copy, as for a peer that asks."""
        now_ms = self.local_ms
        reports, told = self.proofs.recent_reports(now_ms), self.proofs.clock_range(now_ms)
        age_ms = now_ms - self.answered_ms
        return revocation_store.Copy(
            self.row, self.era or 0, age_ms, int(self.position_ms), reports, told
        )

    def _merge(self, copy: revocation_store.Copy, sent_ms: int) -> None:
        self._enter_era(copy.era)
        self._take_row(copy.row)
        self.position_ms = max(self.position_ms, copy.position_ms)
        if copy.proofs and copy.clock is not None:
            self.proofs.merge_exchange(copy.proofs, copy.clock, sent_ms, self.local_ms)

    def _follow(self) -> None:
        """Follow the zone reader, as :mod:`zone_feed` does."""
        now_ms = self.local_ms
        peers = [r for r in self.world.readers[self.record.zone] if r is not self.record]
        reader = self.selector.choose(peers, now_ms)
        is_stable = not self.has_failed and now_ms - self.recovered_ms >= replica.STABLE_AFTER_MS
        if reader is None or not (is_stable and self.row.version and self.settle_at_ms is None):
            self._read_directly()
            return
        chosen = reader.entry_id

        def finish(copy: revocation_store.Copy | None) -> None:
            if copy is None or copy.age_ms > zone_reader.MAX_AGE_MS:
                self.selector.record_failure(chosen, self.local_ms)
                self._read_directly()
                return
            self.is_following = True
            self.answered_ms = max(self.answered_ms, self.local_ms - copy.age_ms)
            self._follow()

        wait_ms = self.world.random.uniform(1, zone_feed.CHANGES_WAIT_MS)
        self._fetch(self.world.by_address[reader.gossip_address], wait_ms, finish)

    def _read_directly(self) -> None:
        self.is_following = False
        if not self.is_polling:
            self._poll()
        self.world.own(self, 1_000 * zone_feed.RETRY_S, self._follow)


class World:
    """Entries and the store in one virtual time; ``violations`` counts accepted requests.

    In each :data:`TICK_MS`, and whenever an entry wakes or has read a message, a request with each
    key comes to it. ``served`` counts, by entry, those that were accepted in the measured time.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self._events: list[tuple[float, int, typing.Callable[..., None], tuple[typing.Any, ...]]]
        self._events = []
        self._numbers = itertools.count()
        self.store = revocation_store.Store(self)
        self.entries: list[Entry] = []
        self.confirmed: list[tuple[float, int]] = []
        self.violations: list[str] = []
        self.served = [0] * count
        self.ticks = 0
        self.is_measuring = False
        for number in range(count):
            self.entries.append(Entry(self, number))
        self.records = [entry.record for entry in self.entries]
        self.readers = {zone: self._first_readers(zone) for zone in ZONES}
        self.by_address = {e.record.gossip_address: e for e in self.entries}
        self.after(TICK_MS, self._tick)

    def _first_readers(self, zone: str) -> list[roster.MemberRecord]:
        """Return the entries of a zone that may be its reader; the others never come first."""
        records = [r for r in self.records if r.zone == zone]
        records.sort(key=lambda r: hashing.rendezvous_score(zone, r.entry_id, 1.0), reverse=True)
        return records[: zone_reader.MIN_ENTRIES]

    def after(self, delay_ms: float, action: typing.Callable[..., None], *args: object) -> None:
        """Let something happen later."""
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._numbers), action, args))

    def own(
        self, entry: Entry, delay_ms: float, action: typing.Callable[..., None], *args: object
    ) -> None:
        """Let something happen to this life of an entry, after it wakes if it is frozen."""
        self.after(delay_ms, self._deliver, entry, entry.life, action, args)

    def send(
        self,
        to: Entry,
        delay_ms: float,
        from_group: int,
        to_group: int | None,
        action: typing.Callable[..., None],
        *args: object,
    ) -> None:
        """Carry a message to an entry; none passes between the sides of a partition."""
        if from_group == (to.group if to_group is None else to_group):
            self.own(to, delay_ms, action, *args)

    def _deliver(
        self,
        entry: Entry,
        life: int,
        action: typing.Callable[..., None],
        args: tuple[typing.Any, ...],
    ) -> None:
        if not entry.is_alive or entry.life != life:
            return
        if entry.is_frozen:
            entry.inbox.append((action, args))
        else:
            action(*args)

    def delay_ms(self, one: Entry, other: Entry) -> float:
        """Return the time that a message takes."""
        if one.record.region != other.record.region:
            return 55.0
        return 0.1 if one.record.zone == other.record.zone else 1.4

    def run(self, until_ms: float) -> None:
        """Let everything happen up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now_ms = until_ms

    def take_away(self, is_usable: bool = True) -> None:
        """Take a key away; the store confirms it a moment later."""
        revision = self.store.row.revision + 1
        if self.confirmed:
            revision = max(revision, self.confirmed[-1][1] + 1)
        self.store.put(revision, is_usable)
        self.confirmed.append((self.now_ms + CONFIRM_MS, revision))

    def _tick(self) -> None:
        self.after(TICK_MS, self._tick)
        self.ticks += self.is_measuring
        for entry in self.entries:
            if self.check(entry) and self.is_measuring:
                self.served[entry.number] += 1

    def check(self, entry: Entry) -> bool:
        """Send requests with all keys to an entry, and return whether it accepts any."""
        if not entry.is_alive or entry.is_frozen:
            return False
        if not entry.proofs.may_accept(entry.local_ms):
            return False
        for confirmed_ms, revision in reversed(self.confirmed):
            if self.now_ms > confirmed_ms + BOUND_MS:
                if entry.in_force < revision:
                    late_ms = self.now_ms - confirmed_ms
                    self.violations.append(f"{entry.record.entry_id} after {late_ms:.0f} ms")
                break
        return True
