"""Follows the copy of the entry that reads the store for this availability zone."""

from __future__ import annotations

import anyio

from sassafraslock import clock, events
from sassafraslock.decisions import roster, zone_reader
from sassafraslock.services import peer_copies, replica

NEWS_WAIT_MS = 500
CHECK_S = 0.5


class ZoneFeed:
    """Saves calls to the store: one entry of a zone reads it, the others follow that entry.

    An entry follows only while the reader's copy is fresh; otherwise it reads the store itself.
    """

    __slots__ = ("_roster", "_replica", "_readers", "_client", "_followed")

    def __init__(
        self,
        zone: str,
        members: roster.Roster,
        copy: replica.Replica,
        client: peer_copies.CopyClient,
    ) -> None:
        self._roster = members
        self._replica = copy
        self._readers = zone_reader.ZoneReaderSelector(members.own_id, zone)
        self._client = client
        self._followed = ""

    async def run(self, ready: anyio.Event) -> None:
        """Follow the zone's reader until cancelled.

        :param ready: set at once.
        """
        ready.set()
        while True:
            if not await self.follow_once():
                await anyio.sleep(CHECK_S)

    async def follow_once(self) -> bool:
        """Take in the reader's next news, or see to it that this entry reads the store itself.

        :returns: whether the reader's copy was taken in.
        """
        now_ms = clock.monotonic_ms()
        live = [m.record for m in self._roster.live(now_ms)]
        reader = self._readers.choose(live, now_ms)
        if reader is None or not self._replica.may_be_relayed(now_ms):
            self._note_reader("")
            return False
        wanted = peer_copies.CopyRequest(dict(self._replica.positions), NEWS_WAIT_MS)
        timeout_s = NEWS_WAIT_MS / 1000 + peer_copies.ANSWER_MARGIN_S
        export = await self._client.fetch(reader.gossip_address, wanted, timeout_s)
        now_ms = clock.monotonic_ms()
        if export is None or export.age_ms > zone_reader.MAX_AGE_MS:
            self._readers.record_failure(reader.entry_id, now_ms)
            self._note_reader("")
            return False
        self._replica.take_in_relayed(export, now_ms)
        self._note_reader(reader.entry_id)
        return True

    def _note_reader(self, entry_id: str) -> None:
        if not entry_id:
            self._replica.read_directly()
        if entry_id == self._followed:
            return
        self._followed = entry_id
        events.log(
            events.Event.STORE_READER_CHANGED,
            "another entry reads the store for this one" if entry_id else "reads the store itself",
            reader=entry_id,
            store_version=self._replica.version,
        )

    def dump(self) -> dict[str, object]:
        """Return the entry that reads the store for this one."""
        return {"reader": self._followed}
