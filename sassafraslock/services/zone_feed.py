"""Updates this entry's copy of the store from the zone reader's copy, unless that is too old."""

from __future__ import annotations

import anyio

from sassafraslock import clock, events
from sassafraslock.decisions import roster, zone_reader
from sassafraslock.services import peer_copies, replica

CHANGES_WAIT_MS = 500
RETRY_S = 0.5


class ZoneFeed:
    """Saves calls to the store: one entry of a zone reads it, the others follow that entry.

    If the reader does not answer, or its copy is older than ``zone_reader.MAX_AGE_MS``, this entry
    reads the store itself.
    """

    __slots__ = ("_roster", "_replica", "_selector", "_client", "_followed")

    def __init__(
        self,
        zone: str,
        members: roster.Roster,
        copy: replica.Replica,
        client: peer_copies.CopyClient,
        link_mbps: float = 0.0,
    ) -> None:
        self._roster = members
        self._replica = copy
        self._selector = zone_reader.ZoneReaderSelector(members.own_id, zone, link_mbps)
        self._client = client
        self._followed = ""

    async def run(self, ready: anyio.Event) -> None:
        """Follow the zone reader until cancelled.

        :param ready: set at once.
        """
        ready.set()
        while True:
            if not await self.follow_once():
                await anyio.sleep(RETRY_S)

    async def follow_once(self) -> bool:
        """Merge the zone reader's next changes, or fall back to reading the store.

        :returns: whether the reader's changes were merged.
        """
        now_ms = clock.monotonic_ms()
        live = [m.record for m in self._roster.live(now_ms)]
        reader = self._selector.choose(live, now_ms)
        if reader is None or not self._replica.can_follow(now_ms):
            self._set_reader("")
            return False
        positions = dict(self._replica.positions)
        copy_request = peer_copies.CopyRequest(positions, CHANGES_WAIT_MS, True)
        timeout_s = CHANGES_WAIT_MS / 1000 + peer_copies.ANSWER_MARGIN_S
        sent_ms = clock.monotonic_ms()
        export = await self._client.fetch(reader.gossip_address, copy_request, timeout_s)
        now_ms = clock.monotonic_ms()
        if export is None or export.age_ms > zone_reader.MAX_AGE_MS:
            self._selector.record_failure(reader.entry_id, now_ms)
            self._set_reader("")
            return False
        self._replica.merge_reader_export(export, sent_ms, now_ms)
        self._set_reader(reader.entry_id)
        return True

    def _set_reader(self, entry_id: str) -> None:
        if not entry_id:
            self._replica.read_directly()
        if entry_id == self._followed:
            return
        self._followed = entry_id
        events.log(
            events.Event.STORE_READER_CHANGED,
            "following the zone reader's copy" if entry_id else "reading the store directly",
            reader=entry_id,
            store_version=self._replica.version,
        )

    def dump(self) -> dict[str, object]:
        """Return the id of the zone reader that is followed, empty if there is none."""
        return {"reader": self._followed}
