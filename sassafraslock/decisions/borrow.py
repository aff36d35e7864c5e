"""Which peers to ask for a slot when this entry's own are in use."""

from __future__ import annotations

from sassafraslock import messages

MAX_ASKED = 2
DENIED_MS = 50


class Borrower:
    """Orders the stewards of a region by what they last said of their free slots.

    A hint never grants anything: only the steward does.
    """

    __slots__ = ("_denied_until_ms", "_taken")

    def __init__(self) -> None:
        self._denied_until_ms: dict[tuple[str, str], int] = {}
        self._taken: dict[tuple[str, str], tuple[int, int]] = {}

    def candidates(
        self, service: str, peers: list[messages.Heartbeat], now_ms: int
    ) -> list[messages.Heartbeat]:
        """Return the peers to ask, the one with most free slots first.

        :param service: the service.
        :param peers: the live peers of the region.
        :param now_ms: the present time.
        """
        fitting = [
            p
            for p in peers
            if service in p.services and now_ms >= self._denied_until_ms.get((p.sender, service), 0)
        ]
        fitting.sort(key=lambda p: -self._free(p, service))
        return fitting[:MAX_ASKED]

    def _free(self, peer: messages.Heartbeat, service: str) -> int:
        sequence, taken = self._taken.get((peer.sender, service), (0, 0))
        used = taken if sequence == peer.sequence else 0
        return peer.services[service].free_slots - used

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
