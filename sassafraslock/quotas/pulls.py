"""A collector's asks to the collectors of other regions."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from sassafraslock.quotas import limits, messages, outbox

ANSWER_MS = 200  # 55 ms each way between regions, and a busy event loop
SILENT_MS = 1_000
MIN_DRY_MS = 20
MAX_DRY_MS = 250
LEFT_AGE_MS = 400


@dataclasses.dataclass(slots=True)
class _Pull:
    peer: str
    key: str
    count: float
    sent_ms: int


@dataclasses.dataclass(slots=True)
class _PeerTokens:
    """What a peer said of one limit: what it could still give, or until when it has nothing."""

    left: float = 0.0
    left_ms: int = -LEFT_AGE_MS
    dry_until_ms: int = 0


class Pulls:
    """Asks that are open, and what the peers said when they answered earlier ones."""

    __slots__ = ("peers", "_outbox", "_numbers", "_open", "_peer_tokens", "_silent", "_heard_ms")

    def __init__(self, box: outbox.Outbox, numbers: collections.abc.Iterator[int]) -> None:
        self.peers: list[str] = []
        self._outbox = box
        self._numbers = numbers
        self._open: dict[int, _Pull] = {}
        self._peer_tokens: dict[tuple[str, str], _PeerTokens] = {}
        self._silent: dict[str, int] = {}
        self._heard_ms: int | None = None

    def open_count(self, key: str) -> float:
        """Return how many tokens of a limit are asked for and not answered.

        :param key: the limit.
        """
        return sum(p.count for p in self._open.values() if p.key == key)

    def was_heard(self, now_ms: int) -> bool:
        """Return whether any peer answered lately.

        :param now_ms: the current monotonic time.
        """
        return self._heard_ms is not None and now_ms - self._heard_ms < SILENT_MS

    def start(self, limit: limits.Limit, needed: float, now_ms: int) -> bool:
        """Ask peers that may have tokens, and return whether any ask is open.

        :param limit: the limit.
        :param needed: how many tokens are needed beside those asked for already.
        :param now_ms: the current monotonic time.
        """
        asked = {p.peer for p in self._open.values() if p.key == limit.key}
        unknown: list[str] = []
        for peer in self.peers:
            said = self._peer_tokens.get((limit.key, peer), _PeerTokens())
            if peer in asked or now_ms < max(said.dry_until_ms, self._silent.get(peer, 0)):
                continue
            if now_ms - said.left_ms >= LEFT_AGE_MS:
                unknown.append(peer)
            elif needed > 0 and said.left >= min(needed, 1):
                count = needed if said.left >= needed else int(said.left)
                self._send(peer, limit, count, now_ms)
                needed -= count
        if needed > 0:
            self._ask_unknown(unknown, limit, needed, now_ms)
        return any(p.key == limit.key for p in self._open.values())

    def _ask_unknown(
        self, peers: list[str], limit: limits.Limit, needed: float, now_ms: int
    ) -> None:
        """Ask peers of which it is not known what they have, each for a part.

        A small need goes to one of them, since tokens that both send would become void.
        """
        if needed < 2 * len(peers):
            peers = peers[:1]
        for peer in peers:
            self._send(peer, limit, needed / len(peers), now_ms)

    def _send(self, peer: str, limit: limits.Limit, count: float, now_ms: int) -> None:
        number = next(self._numbers)
        self._open[number] = _Pull(peer, limit.key, count, now_ms)
        item = messages.AskItem(number, limit.key, limit.rate_per_s, limit.burst, count)
        self._outbox.ask(peer, True, item)

    def take_answer(
        self, sender: str, item: messages.AnswerItem, now_ms: int
    ) -> tuple[str, float, int] | None:
        """Return the limit, the number of tokens and their end, none for an answer not expected.

        :param sender: the peer.
        :param item: its answer.
        :param now_ms: the current monotonic time.
        """
        pull = self._open.get(item.number)
        if pull is None or pull.peer != sender:
            return None
        del self._open[item.number]
        self._heard_ms = now_ms
        self._silent.pop(sender, None)
        said = self._peer_tokens.setdefault((pull.key, sender), _PeerTokens())
        count = min(item.count, pull.count) if item.verdict is messages.Verdict.GRANTED else 0.0
        said.left, said.left_ms = item.left, now_ms
        if count < pull.count:
            wait_ms = min(MAX_DRY_MS, max(MIN_DRY_MS, item.wait_ms))
            said.dry_until_ms = now_ms + wait_ms
            said.left_ms = -LEFT_AGE_MS
        return pull.key, count, pull.sent_ms + item.valid_ms

    def expire(self, now_ms: int) -> set[str]:
        """Give up asks without an answer, and return the limits that they were for.

        :param now_ms: the current monotonic time.
        """
        late = [n for n, p in self._open.items() if now_ms - p.sent_ms >= ANSWER_MS]
        keys = set()
        for number in late:
            pull = self._open.pop(number)
            self._silent[pull.peer] = now_ms + SILENT_MS
            keys.add(pull.key)
        return keys

    def forget(self, keep: typing.Container[str]) -> None:
        """Forget what was said of limits that are gone.

        :param keep: the keys of the limits that are known.
        """
        known = self._peer_tokens
        self._peer_tokens = {
            (k, p): said for (k, p), said in known.items() if k in keep and p in self.peers
        }
        self._silent = {p: t for p, t in self._silent.items() if p in self.peers}
