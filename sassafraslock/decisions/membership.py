"""Liveness of peers: heartbeats heard, suspicion, and certain absence."""

from __future__ import annotations

import dataclasses

from sassafraslock import messages, platform

SUSPECT_AFTER_MS = 2_000
READERS = 2
EVICT_AFTER_MS = 10_000
EVICT_UNLISTED_AFTER_MS = 120_000
ISOLATED_AFTER_MS = 5_000


@dataclasses.dataclass(slots=True)
class Peer:
    """The last heartbeat of a peer and when it was heard."""

    heartbeat: messages.Heartbeat
    heard_ms: int


class PeerTable:
    """What this entry last heard of each peer. Suspicion only ever reduces use."""

    __slots__ = ("peers", "listed", "_first_list_ms", "_absent_since_ms")

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}
        self.listed: set[str] = set()
        self._first_list_ms: int | None = None
        self._absent_since_ms: dict[str, int] = {}

    def hear(self, heartbeat: messages.Heartbeat, now_ms: int) -> bool:
        """Note a heartbeat; one of an older incarnation or out of order is ignored.

        :param heartbeat: what the peer sent.
        :param now_ms: the present time.
        :returns: whether the peer is new or was suspected before.
        """
        known = self.peers.get(heartbeat.sender)
        if known and _order(heartbeat) <= _order(known.heartbeat):
            return False
        fresh = known is None or now_ms - known.heard_ms > SUSPECT_AFTER_MS
        self.peers[heartbeat.sender] = Peer(heartbeat, now_ms)
        return fresh

    def live(self, now_ms: int) -> list[messages.Heartbeat]:
        """Return the last heartbeats of the peers not suspected.

        :param now_ms: the present time.
        """
        return [p.heartbeat for p in self.peers.values() if self._is_live(p, now_ms)]

    def in_region(self, region: str, now_ms: int) -> list[messages.Heartbeat]:
        """Return the last heartbeats of a region's peers not suspected.

        :param region: the region.
        :param now_ms: the present time.
        """
        return [h for h in self.live(now_ms) if h.region == region]

    def is_reader(self, entry_id: str, region: str, now_ms: int) -> bool:
        """Tell whether an entry is one of the few of its region that read the store at each poll.

        :param entry_id: the entry.
        :param region: its region.
        :param now_ms: the present time.
        """
        return sum(h.sender < entry_id for h in self.in_region(region, now_ms)) < READERS

    def is_live(self, entry_id: str, now_ms: int) -> bool:
        """Tell whether a peer was heard lately.

        :param entry_id: the peer.
        :param now_ms: the present time.
        """
        peer = self.peers.get(entry_id)
        return peer is not None and self._is_live(peer, now_ms)

    def _is_live(self, peer: Peer, now_ms: int) -> bool:
        return now_ms - peer.heard_ms <= SUSPECT_AFTER_MS

    def note_vms(self, vms: list[platform.Vm], now_ms: int) -> None:
        """Take in the platform's VM list, which lags.

        :param vms: the list as read.
        :param now_ms: the present time.
        """
        if self._first_list_ms is None:
            self._first_list_ms = now_ms
        before, self.listed = self.listed, {vm.vm_id for vm in vms}
        for vm_id in before - self.listed:
            self._absent_since_ms[vm_id] = now_ms

    def certainly_gone(self, entry_id: str, was_listed: bool, now_ms: int) -> bool:
        """Tell whether an entry's VM is gone: off the list, and silent, both for long enough.

        A member that the list never named may be too new for a list that lags, so it is given
        more time.

        :param entry_id: the entry, whose id is its VM's.
        :param was_listed: whether the member was on the list since it joined.
        :param now_ms: the present time.
        """
        if self._first_list_ms is None or entry_id in self.listed:
            return False
        wait_ms = EVICT_AFTER_MS if was_listed else EVICT_UNLISTED_AFTER_MS
        absent_ms = self._absent_since_ms.get(entry_id, self._first_list_ms)
        peer = self.peers.get(entry_id)
        heard_ms = peer.heard_ms if peer else self._first_list_ms
        return now_ms - max(absent_ms, heard_ms) >= wait_ms

    def may_act(self, region: str, members: int, store_age_ms: int, now_ms: int) -> bool:
        """Tell whether this entry may hand out what the frozen view gives it.

        An entry that reaches neither the store nor any peer of its region cannot know whether
        it was removed, unless it is the only member.

        :param region: this entry's region.
        :param members: the number of members in the region's view.
        :param store_age_ms: the time since the store last answered.
        :param now_ms: the present time.
        """
        if members <= 1 or store_age_ms < ISOLATED_AFTER_MS:
            return True
        return any(
            p.heartbeat.region == region and now_ms - p.heard_ms < ISOLATED_AFTER_MS
            for p in self.peers.values()
        )


def _order(heartbeat: messages.Heartbeat) -> tuple[int, int]:
    return heartbeat.incarnation, heartbeat.sequence
