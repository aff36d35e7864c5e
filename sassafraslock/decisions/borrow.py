"""Which peers to ask for a slot when this entry's own are in use."""

from __future__ import annotations

import collections

from sassafraslock import messages

MAX_OUTSTANDING = 2
DENIED_MS = 50


class Borrower:
    """Orders the stewards of a region by what they last said of their free slots.

    A hint never grants anything: only the steward does.
    """

    __slots__ = ("_denied_until_ms", "_taken", "_outstanding")

    def __init__(self) -> None:
        self._denied_until_ms: dict[tuple[str, str], int] = {}
        self._outstanding: collections.Counter[tuple[str, str]] = collections.Counter()
        self._taken: dict[tuple[str, str], tuple[int, int]] = {}

    def choose(
        self, service: str, peers: list[messages.Heartbeat], queued: bool, now_ms: int
    ) -> messages.Heartbeat | None:
        """Return the steward to ask, the one with the largest free part.

        A request that is queued at home too asks only where few of this entry's requests wait:
        most of what it is granted twice would go back unused.

        :param service: the service.
        :param peers: the live peers of the region.
        :param queued: whether the request waits in this entry's own queue as well.
        :param now_ms: the present time.
        """
        fitting = [
            p
            for p in peers
            if service in p.services
            and now_ms >= self._denied_until_ms.get((p.sender, service), 0)
            and not (queued and self._outstanding[(p.sender, service)] >= MAX_OUTSTANDING)
        ]
        return max(fitting, key=lambda p: self._room(p, service), default=None)

    def note_asked(self, service: str, peer: messages.Heartbeat) -> None:
        """Count a request that a steward has not answered yet.

        :param service: the service.
        :param peer: the steward.
        """
        self._outstanding[(peer.sender, service)] += 1

    def note_ended(self, service: str, peer: messages.Heartbeat) -> None:
        """Count a request that was answered or given up.

        :param service: the service.
        :param peer: the steward.
        """
        self._outstanding[(peer.sender, service)] -= 1

    def _room(self, peer: messages.Heartbeat, service: str) -> float:
        """Return the free part of a steward's slots, below 0 where requests wait."""
        load = peer.services[service]
        sequence, taken = self._taken.get((peer.sender, service), (0, 0))
        used = taken if sequence == peer.sequence else 0
        return (load.free_slots - used - load.waiting) / max(1, load.slots)

    def note_granted(self, service: str, peer: messages.Heartbeat) -> None:
        """Lower the hint of a peer that granted a slot.

        :param service: the service.
        :param peer: the peer's last heartbeat.
        """
        key = (peer.sender, service)
        sequence, taken = self._taken.get(key, (0, 0))
        self._taken[key] = (peer.sequence, taken + 1 if sequence == peer.sequence else 1)

    def note_denied(self, service: str, peer: messages.Heartbeat, now_ms: int) -> None:
        """Leave a peer alone for a moment after it had no slot.

        :param service: the service.
        :param peer: the peer's last heartbeat.
        :param now_ms: the present time.
        """
        self._denied_until_ms[(peer.sender, service)] = now_ms + DENIED_MS
