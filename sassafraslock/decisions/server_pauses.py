"""The pauses that servers ask for when they reject requests, and the slow start after each."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import email.utils
import math
import re

from sassafraslock.decisions import hashing

MAX_PAUSE_MS = 366 * 24 * 3_600 * 1_000
SLOW_START_ANSWERS = 8  # after so many answers the server gets all requests again
LOST_AFTER_MS = 1_000  # a request of the slow start that is not answered for so long is given up
SLOW_START_WAIT_MS = 200  # in which a request of the slow start is usually answered
# Entries end the same pause at times that are spread over this share of it.
SPREAD_RATIO = 0.25
MAX_SPREAD_MS = 1_000

# Digits with an optional fraction: no sign, exponent or list, and of a bounded length.
_SECONDS = re.compile(rb"[0-9]{1,18}(\.[0-9]{1,20})?")
_DATE = re.compile(
    rb"[A-Z][a-z]{2}, [0-9]{2} [A-Z][a-z]{2} [0-9]{4} [0-9]{2}:[0-9]{2}:[0-9]{2} GMT"
)


def parse(value: bytes, wall_ms: int) -> int | None:
    """Return the milliseconds that a ``Retry-After`` header asks for, ``None`` if it is invalid.

    :param value: the value: seconds as a plain decimal number, or an HTTP date.
    :param wall_ms: the current wall clock time.
    """
    stripped = value.strip(b" \t")
    if _SECONDS.fullmatch(stripped):
        return min(MAX_PAUSE_MS, math.ceil(float(stripped) * 1_000))
    if not _DATE.fullmatch(stripped):
        return None
    try:
        date = email.utils.parsedate_to_datetime(stripped.decode("ascii"))
    except ValueError:
        return None
    until_ms = int(date.replace(tzinfo=datetime.UTC).timestamp() * 1_000)
    return min(MAX_PAUSE_MS, max(0, until_ms - wall_ms))


@dataclasses.dataclass(slots=True)
class _Pause:
    """A pause, and the requests sent and answered in the slow start after it."""

    until_ms: int
    sent: int = 0
    answered: int = 0
    last_sent_ms: int = 0

    def may_send(self, now_ms: int) -> bool:
        """Return whether the pause has ended and the slow start has room for a request."""
        if now_ms < self.until_ms:
            return False
        has_room = self.sent - self.answered <= self.answered
        return has_room or now_ms - self.last_sent_ms >= LOST_AFTER_MS


class ServerPauses:
    """The pauses that starts of servers asked this entry for, by the hashes of the starts.

    When a pause has ended, one request goes first, and each answer lets one more run at a time
    until there were :data:`SLOW_START_ANSWERS`. Entries that were asked at the same time end their
    pauses at different times, never early. Pauses are recorded for registered servers only, which
    bounds them.
    """

    __slots__ = ("_own_id", "_pauses")

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._pauses: dict[int, _Pause] = {}

    def __len__(self) -> int:
        return len(self._pauses)

    def __iter__(self) -> collections.abc.Iterator[int]:
        return iter(self._pauses)

    def record(self, start_hash: int, pause_ms: int, now_ms: int) -> bool:
        """Record that a server asked for a pause; of several, the one that ends last holds.

        :param start_hash: the hash of the id of the server's start.
        :param pause_ms: the length of the pause, which begins now.
        :param now_ms: the current monotonic time.
        :returns: whether the server was not in a pause before.
        """
        if pause_ms <= 0:
            return False
        until_ms = now_ms + pause_ms + self._spread_ms(start_hash, pause_ms)
        known = self._pauses.get(start_hash)
        if known is not None and now_ms < known.until_ms:
            known.until_ms = max(known.until_ms, until_ms)
            return False
        self._pauses[start_hash] = _Pause(until_ms)
        return True

    def _spread_ms(self, start_hash: int, pause_ms: int) -> int:
        most_ms = min(MAX_SPREAD_MS, SPREAD_RATIO * pause_ms)
        return int(most_ms * hashing.fraction(f"{self._own_id}|{start_hash}"))

    def is_paused(self, start_hash: int, now_ms: int) -> bool:
        """Return whether a server's pause has not ended.

        :param start_hash: the hash of the id of the server's start.
        :param now_ms: the current monotonic time.
        """
        pause = self._pauses.get(start_hash)
        return pause is not None and now_ms < pause.until_ms

    def left_ms(self, start_hash: int, now_ms: int) -> int:
        """Return the time until a server's pause ends, 0 if it is in none.

        :param start_hash: the hash of the id of the server's start.
        :param now_ms: the current monotonic time.
        """
        pause = self._pauses.get(start_hash)
        return max(0, pause.until_ms - now_ms) if pause is not None else 0

    def may_send(self, start_hash: int, now_ms: int) -> bool:
        """Return whether a server may get a request now.

        :param start_hash: the hash of the id of the server's start.
        :param now_ms: the current monotonic time.
        """
        pause = self._pauses.get(start_hash)
        return pause is None or pause.may_send(now_ms)

    def wait_ms(self, start_hash: int, now_ms: int) -> int:
        """Return the time until a server may get a request, 0 if it may get one now.

        :param start_hash: the hash of the id of the server's start.
        :param now_ms: the current monotonic time.
        """
        if self.may_send(start_hash, now_ms):
            return 0
        return self.left_ms(start_hash, now_ms) or SLOW_START_WAIT_MS

    def acquire(self, start_hash: int, now_ms: int) -> None:
        """Count a request that is sent to a server; call it only if :meth:`may_send` is true.

        :param start_hash: the hash of the id of the server's start.
        :param now_ms: the current monotonic time.
        """
        pause = self._pauses.get(start_hash)
        if pause is None:
            return
        if pause.sent - pause.answered > pause.answered:
            pause.sent = pause.answered  # the earlier ones are given up
        pause.sent += 1
        pause.last_sent_ms = now_ms

    def record_answer(self, start_hash: int, sent_ms: int) -> None:
        """Record an answer other than a rejection, which advances the slow start.

        :param start_hash: the hash of the id of the server's start.
        :param sent_ms: when the request was sent; those sent before the pause ended do not count.
        """
        pause = self._pauses.get(start_hash)
        if pause is None or sent_ms < pause.until_ms:
            return
        pause.answered += 1
        pause.sent = max(pause.sent, pause.answered)
        if pause.answered >= SLOW_START_ANSWERS:
            del self._pauses[start_hash]

    def forget_start(self, start_hash: int) -> None:
        """Forget the pause of a start, since another one may run by now, which asked for none.

        :param start_hash: the hash of the id of the server's start.
        """
        self._pauses.pop(start_hash, None)

    def paused_count(self, now_ms: int) -> int:
        """Return how many servers are in a pause.

        :param now_ms: the current monotonic time.
        """
        return sum(now_ms < pause.until_ms for pause in self._pauses.values())

    def retain(self, start_hashes: collections.abc.Set[int]) -> None:
        """Discard the pauses of all servers except the given ones.

        :param start_hashes: the hashes of the ids of the starts to keep.
        """
        self._pauses = {h: p for h, p in self._pauses.items() if h in start_hashes}
