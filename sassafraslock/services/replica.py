"""This entry's copy of the store: follows the feeds, and peers' copies while the store is away."""

from __future__ import annotations

import random
import typing

import anyio
import msgspec

from sassafraslock import clock, errors, events, facts

FEED_WAIT_MS = 2_500
SERVERS_WAIT_MS = 800  # servers report more often; a call on a dead connection is noticed sooner
SERVERS_PAUSE_S = 0.5
INTENTS_PAUSE_S = 0.02
ENTRIES_PAUSE_S = 1.0
RETRY_PAUSE_S = 0.25
STORE_GAP_MS = 1_000
AWAY_AFTER_MS = STORE_GAP_MS + FEED_WAIT_MS
REMOVAL_HOLD_MS = 2_100
PEERS_AFTER_MS = 700
PEERS_PAUSE_S = 0.4
CROWD_ENTRIES = 24
MAX_CROWD = 2.0
REMOVALS_KEPT_VERSIONS = 20_000
RELAY_WAIT_MS = 1_000  # followers take a reader whose calls take longer for one cut off
RELAYING_MS = 2_000
CALM_MS = 4_000

_PAUSES_S = {
    facts.Topic.INTENTS: INTENTS_PAUSE_S,
    facts.Topic.SERVERS: SERVERS_PAUSE_S,
    facts.Topic.ENTRIES: ENTRIES_PAUSE_S,
}

_WAITS_MS = {
    facts.Topic.INTENTS: FEED_WAIT_MS,
    facts.Topic.SERVERS: SERVERS_WAIT_MS,
    facts.Topic.ENTRIES: FEED_WAIT_MS,
}


class ChangeSink(typing.Protocol):
    """Takes changes in as they become known."""

    def apply(self, change: facts.Change, first_read: bool, now_ms: int) -> None:
        """Take in one change.

        :param change: the newest state of a row.
        :param first_read: whether it stems from the first full read of this process.
        :param now_ms: the present time.
        """


class PeerCopies(typing.Protocol):
    """Reads other entries' copies."""

    async def fetch(self, positions: dict[str, int]) -> Export | None:
        """Return what a peer that is ahead knows beyond some versions, if there is one.

        :param positions: the version reached, by topic.
        """


class Export(msgspec.Struct, frozen=True, array_like=True):
    """Changes as one entry passes them to another, and how old its knowledge of the store is.

    Of the topics in ``whole`` all rows are told: what is missing there has left the store.
    """

    positions: dict[str, int]
    changes: list[facts.Change]
    age_ms: int = 0
    whole: list[facts.Topic] = []


class Replica:
    """Rows by topic and key with their versions; nothing in it ever goes back."""

    __slots__ = (
        "positions",
        "regained_ms",
        "last_answer_ms",
        "rows",
        "_source",
        "_sink",
        "_peers",
        "_entries",
        "_lost",
        "_complete",
        "_calls",
        "_changed_versions",
        "_complete_since",
        "_answered_ms",
        "_news",
        "_direct",
        "_relays_until_ms",
    )

    def __init__(self, source: facts.FactSource, sink: ChangeSink) -> None:
        self.positions: dict[str, int] = {}
        self.rows: dict[tuple[facts.Topic, str], facts.Change] = {}
        self.regained_ms = -REMOVAL_HOLD_MS
        self.last_answer_ms = clock.monotonic_ms()
        self._source = source
        self._sink = sink
        self._peers: PeerCopies | None = None
        self._entries: typing.Callable[[], int] = lambda: 1
        self._lost = False
        self._complete: set[facts.Topic] = set()
        self._calls: dict[facts.Topic, anyio.CancelScope] = {}
        self._changed_versions: dict[tuple[facts.Topic, str], int] = {}
        self._complete_since: dict[facts.Topic, int] = {}
        self._answered_ms: dict[facts.Topic, int] = {}
        self._news = anyio.Event()
        self._direct = anyio.Event()
        self._direct.set()
        self._relays_until_ms = 0

    def set_entry_count(self, entries: typing.Callable[[], int]) -> None:
        """Name what tells how many entries read the store; many of them read less often.

        :param entries: returns the number of entries.
        """
        self._entries = entries

    def _pause_s(self, topic: facts.Topic) -> float:
        if self._relays:
            return _PAUSES_S[topic]
        crowd = min(MAX_CROWD, max(1.0, self._entries() / CROWD_ENTRIES))
        return _PAUSES_S[topic] * (1.0 if topic is facts.Topic.INTENTS else crowd)

    def set_fallback(self, peers: PeerCopies) -> None:
        """Name who is asked while the store does not answer.

        :param peers: reads other entries' copies.
        """
        self._peers = peers

    async def run(self, ready: anyio.Event) -> None:
        """Follow the store until cancelled.

        :param ready: set at once; the copy fills as the store answers.
        """
        ready.set()
        async with anyio.create_task_group() as group:
            for topic in facts.Topic:
                group.start_soon(self._follow, topic)
            group.start_soon(self._follow_peers)

    def hold_until_ms(self, now_ms: int) -> int:
        """Return until when rows that lapsed while the store was away may come back.

        It is :data:`REMOVAL_HOLD_MS` after the store's return, whenever the removal is seen.

        :param now_ms: the present time.
        """
        away = now_ms - self.last_answer_ms > AWAY_AFTER_MS
        returned_ms = now_ms if self._lost or away else self.regained_ms
        return returned_ms + REMOVAL_HOLD_MS

    @property
    def version(self) -> int:
        """The version up to which servers are known."""
        return self.positions.get(facts.Topic.SERVERS, 0)

    def export(self, positions: dict[str, int]) -> Export:
        """Return what is known beyond some versions.

        :param positions: the version reached, by topic.
        """
        since = self._complete_since
        whole = [topic for topic in since if positions.get(topic, 0) < since[topic]]
        changes = [
            change
            for name, change in self.rows.items()
            if change.topic in whole
            or self._changed_versions[name] > positions.get(change.topic, 0)
        ]
        age_ms = self._age_ms(clock.monotonic_ms())
        return Export(dict(self.positions), changes, age_ms, whole)

    def _age_ms(self, now_ms: int) -> int:
        """Return how long ago the store last answered for the topic that waits longest."""
        followed = (facts.Topic.INTENTS, facts.Topic.SERVERS)
        return now_ms - min(self._answered_ms.get(topic, 0) for topic in followed)

    @property
    def relayed(self) -> bool:
        """Whether another entry reads the store for this one."""
        return not self._direct.is_set()

    @property
    def _relays(self) -> bool:
        """Whether this entry reads the store for others."""
        return clock.monotonic_ms() < self._relays_until_ms

    async def wait_for_news(self, positions: dict[str, int], wait_ms: int) -> None:
        """Wait until something is known beyond some versions, for a follower of this entry.

        :param positions: the version that the follower reached, by topic.
        :param wait_ms: the longest time to wait.
        """
        self._relays_until_ms = clock.monotonic_ms() + RELAYING_MS
        with anyio.move_on_after(wait_ms / 1000):
            while not self._knows_beyond(positions):
                await self._news.wait()

    def _knows_beyond(self, positions: dict[str, int]) -> bool:
        return any(
            version > positions.get(topic, 0)
            for (topic, _), version in self._changed_versions.items()
        )

    def may_be_relayed(self, now_ms: int) -> bool:
        """Tell whether the copy is whole and the store has answered without a gap for a while.

        :param now_ms: the present time.
        """
        calm = not self._lost and now_ms - self.regained_ms > CALM_MS
        return calm and self._complete.issuperset(facts.Topic)

    def take_in_relayed(self, export: Export, now_ms: int) -> None:
        """Take in what the entry that reads for this one knows, and leave the store alone.

        :param export: the reader's changes.
        :param now_ms: the present time.
        """
        if self._direct.is_set():
            self._direct = anyio.Event()
        self._take_in_export(export, False, now_ms)
        heard_ms = now_ms - export.age_ms
        self.last_answer_ms = max(self.last_answer_ms, heard_ms)

    def read_directly(self) -> None:
        """Read the store from now on."""
        self._direct.set()

    async def _follow(self, topic: facts.Topic) -> None:
        while True:
            await self._direct.wait()
            result = await self._read(topic)
            now_ms = clock.monotonic_ms()
            if result is None:
                continue
            if isinstance(result, errors.Refusal):
                await self._note_refusal(topic, result, now_ms)
                continue
            self._note_answer(topic, now_ms)
            self._take_in(topic, result, now_ms)
            await anyio.sleep(self._pause_s(topic))

    async def _read(self, topic: facts.Topic) -> facts.BatchResult | None:
        """Call the store, or return none where the call was given up to be made anew."""
        with anyio.CancelScope() as scope:
            self._calls[topic] = scope
            if topic not in self._complete:
                return await self._source.read_all(topic)
            after = self.positions[topic]
            wait_ms = min(_WAITS_MS[topic], RELAY_WAIT_MS) if self._relays else _WAITS_MS[topic]
            return await self._source.read_changes(topic, after, wait_ms)
        return None

    async def _note_refusal(self, topic: facts.Topic, refusal: errors.Refusal, now_ms: int) -> None:
        if refusal.kind is errors.ErrorKind.HISTORY_LOST:
            self._note_answer(topic, now_ms)
            self._complete.discard(topic)
            events.log(events.Event.HISTORY_LOST, "the store's history is gone", topic=topic)
            return
        if not self._lost and now_ms - self.last_answer_ms > PEERS_AFTER_MS:
            self._lost = True
            events.log(
                events.Event.STORE_DOWN,
                "the store does not answer",
                reason=refusal.reason,
                silent_ms=now_ms - self.last_answer_ms,
            )
        await anyio.sleep(RETRY_PAUSE_S * (0.5 + random.random()))

    def _note_answer(self, topic: facts.Topic, now_ms: int) -> None:
        away_ms = now_ms - self.last_answer_ms
        self.last_answer_ms = now_ms
        self._answered_ms[topic] = now_ms
        if self._lost or away_ms > AWAY_AFTER_MS:
            self._lost = False
            self.regained_ms = now_ms
            events.log(events.Event.STORE_UP, "the store answers again", away_ms=away_ms)
            self._give_up_old_calls(topic)

    def _give_up_old_calls(self, answered: facts.Topic) -> None:
        """Make the other topics' calls anew: those begun before may never be answered."""
        for topic, scope in self._calls.items():
            if topic is not answered:
                scope.cancel()

    def _take_in(self, topic: facts.Topic, batch: facts.Batch, now_ms: int) -> None:
        first_read = topic not in self.positions
        if topic not in self._complete:
            self._complete.add(topic)
            self._complete_since[topic] = batch.version
            self._remove_missing(topic, batch, now_ms)
        for change in batch.changes:
            self._apply(change, first_read, now_ms)
        self.positions[topic] = max(self.positions.get(topic, 0), batch.version)
        self._forget_removals(topic)

    def _forget_removals(self, topic: facts.Topic) -> None:
        """Drop removals so old that no peer asks for them any more."""
        oldest = self.positions[topic] - REMOVALS_KEPT_VERSIONS
        removed = [k for k, row in self.rows.items() if row.is_removed and row.version < oldest]
        for name in removed:
            if name[0] is topic:
                del self.rows[name]
                del self._changed_versions[name]
                self._complete_since[topic] = oldest

    def _remove_missing(self, topic: facts.Topic, batch: facts.Batch, now_ms: int) -> None:
        """Find the rows that left while no history tells of it."""
        present = {change.key for change in batch.changes}
        for (row_topic, key), row in list(self.rows.items()):
            missing = row_topic is topic and key not in present and not row.is_removed
            if missing and row.version < batch.version:
                self._apply(facts.Change(topic, key, batch.version), False, now_ms)

    def _apply(self, change: facts.Change, first_read: bool, now_ms: int) -> None:
        known = self.rows.get((change.topic, change.key))
        if known is not None and known.version >= change.version:
            return
        self.rows[(change.topic, change.key)] = change
        if known is not None and change.is_unchanged_from(known):
            return
        self._changed_versions[(change.topic, change.key)] = change.version
        self._sink.apply(change, first_read, now_ms)
        self._news.set()
        self._news = anyio.Event()

    async def _follow_peers(self) -> None:
        while True:
            await anyio.sleep(PEERS_PAUSE_S)
            away_ms = clock.monotonic_ms() - self.last_answer_ms
            if self._peers is None or (
                not self._lost and self.positions and away_ms < PEERS_AFTER_MS + FEED_WAIT_MS
            ):
                continue
            export = await self._peers.fetch(self.positions)
            if export is None:
                continue
            self._take_in_export(export, not self.positions, clock.monotonic_ms())

    def _take_in_export(self, export: Export, first_read: bool, now_ms: int) -> None:
        for topic in export.whole:
            told = tuple(c for c in export.changes if c.topic is topic)
            batch = facts.Batch(told, export.positions.get(topic, 0))
            self._remove_missing(topic, batch, now_ms)
            self._complete_since[topic] = max(self._complete_since.get(topic, 0), batch.version)
        for change in sorted(export.changes, key=lambda c: c.version):
            self._apply(change, first_read, now_ms)
        for reached, version in export.positions.items():
            if version > self.positions.get(reached, 0):
                self.positions[reached] = version

    def dump(self) -> dict[str, object]:
        """Return how far each topic is known."""
        return {"positions": dict(self.positions), "rows": len(self.rows), "lost": self._lost}
