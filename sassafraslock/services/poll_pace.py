"""How often the store is read: pauses between reads, and how long a long poll may wait."""

from __future__ import annotations

import typing

from sassafraslock import facts

LONG_POLL_MS = 2_500
SERVERS_LONG_POLL_MS = 800  # rows change more often; finds a dead connection sooner
READER_LONG_POLL_MS = 1_000  # with longer calls, followers would treat the reader as cut off
# Where a request with a key needs a proof that is younger than some seconds: with 1 s, one answer
# that is lost (1 s and a time limit of 1 s) leaves proofs under 2.5 s old.
PROOF_LONG_POLL_MS = 1_000
SERVERS_PAUSE_S = 0.5
INTENTS_PAUSE_S = 0.02
ENTRIES_PAUSE_S = 1.0
RETRY_PAUSE_S = 0.25
# While the store is away, one topic looks for its return; the others look as rarely as this.
AWAY_PAUSE_S = 1.0
ENTRIES_AT_BASE_PAUSE = 24
MAX_PAUSE_FACTOR = 2.0

PAUSES_S = {
    facts.Topic.INTENTS: INTENTS_PAUSE_S,
    facts.Topic.SERVERS: SERVERS_PAUSE_S,
    facts.Topic.ENTRIES: ENTRIES_PAUSE_S,
}

LONG_POLLS_MS = {
    facts.Topic.INTENTS: LONG_POLL_MS,
    facts.Topic.SERVERS: SERVERS_LONG_POLL_MS,
    facts.Topic.ENTRIES: LONG_POLL_MS,
}


class PollPace:
    """The pace of reads, by the number of entries, followers, and the need for proofs.

    ``entry_count`` returns the number of entries. Above :data:`ENTRIES_AT_BASE_PAUSE` the pauses
    are stretched in proportion, by at most :data:`MAX_PAUSE_FACTOR`. Reads of intents, and reads
    for followers, keep their pace. ``needs_proofs`` returns whether the intents are to be read
    often, so that their newest version is known. After a call for them that failed, the next one
    does not wait for a change.
    """

    __slots__ = ("entry_count", "needs_proofs", "_failed")

    def __init__(self, needs_proofs: typing.Callable[[], bool]) -> None:
        self.entry_count: typing.Callable[[], int] = lambda: 1
        self.needs_proofs = needs_proofs
        self._failed: set[facts.Topic] = set()

    def record_result(self, topic: facts.Topic, failed: bool) -> None:
        """Record whether a call failed.

        :param topic: the topic that was read.
        :param failed: whether the store gave no answer.
        """
        if failed:
            self._failed.add(topic)
        else:
            self._failed.discard(topic)

    def pause_s(self, topic: facts.Topic, has_followers: bool) -> float:
        """Return the time between two reads.

        :param topic: the topic to read.
        :param has_followers: whether other entries follow this one's copy.
        """
        if has_followers or topic is facts.Topic.INTENTS:
            return PAUSES_S[topic]
        return PAUSES_S[topic] * self._size_factor()

    def retry_pause_s(self) -> float:
        """Return the mean time after a call that failed; all entries call a store that is away."""
        return RETRY_PAUSE_S * self._size_factor()

    def _size_factor(self) -> float:
        return min(MAX_PAUSE_FACTOR, max(1.0, self.entry_count() / ENTRIES_AT_BASE_PAUSE))

    def wait_ms(self, topic: facts.Topic, has_followers: bool) -> int:
        """Return how long the store may wait for a change.

        :param topic: the topic to read.
        :param has_followers: whether other entries follow this one's copy.
        """
        wait_ms = LONG_POLLS_MS[topic]
        if has_followers:
            wait_ms = min(wait_ms, READER_LONG_POLL_MS)
        if topic is facts.Topic.INTENTS and self.needs_proofs():
            wait_ms = 0 if topic in self._failed else min(wait_ms, PROOF_LONG_POLL_MS)
        return wait_ms
