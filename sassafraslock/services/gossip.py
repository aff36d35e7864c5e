"""Gossip between entries over UDP: who lives, who is ready, and how far each copy has come."""

from __future__ import annotations

import random
import typing
import zlib

import anyio
import anyio.abc
import msgspec

from sassafraslock import clock, events
from sassafraslock.decisions import gossip_targets, load_reports, message_auth, roster
from sassafraslock.services import poison_watch

INTERVAL_S = 0.5
SILENT_TARGETS = 2
RECORDS_PER_MESSAGE = 12
BEATS_PER_MESSAGE = 300
COMPRESSION_LEVEL = 3
MAX_MESSAGE_BYTES = 256 << 10


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Records of the sender, first, and some others, counters of all, and what crashes servers.

    Entries nearby hear of servers' loads as well.
    """

    records: list[roster.MemberRecord]
    beats: list[roster.Heartbeat] = []
    suspects: list[poison_watch.Suspect] = []
    loads: list[load_reports.LoadReport] = []


class Loads(typing.Protocol):
    """Knows servers' loads, and learns what other entries heard of them."""

    def recent_reports(self, now_ms: int) -> list[load_reports.LoadReport]:
        """Return the loads that entries nearby should hear of.

        :param now_ms: the present time.
        """

    def merge_reports(self, reports: list[load_reports.LoadReport], now_ms: int) -> None:
        """Take in what another entry heard.

        :param reports: the loads.
        :param now_ms: the present time.
        """


class SelfDescription(typing.Protocol):
    """Tells what this entry says of itself."""

    def __call__(self, beat: int) -> roster.MemberRecord:
        """Return this entry's record.

        :param beat: the record's number.
        """


class GossipService:
    """Owns the UDP socket and the roster."""

    __slots__ = (
        "roster",
        "_address",
        "seeds",
        "_describe",
        "_beat",
        "_encoder",
        "_decoder",
        "_live",
        "_poison",
        "_rng",
        "loads",
        "token",
    )

    def __init__(
        self,
        own_id: str,
        address: str,
        seeds: list[str],
        describe: SelfDescription,
        poison: poison_watch.PoisonWatch,
        token: str = "",
        rng: random.Random | None = None,
    ) -> None:
        self.roster = roster.Roster(own_id)
        self._address = address
        self.seeds = seeds
        self._describe = describe
        self._poison = poison
        self.token = token
        self._rng = rng or random.Random()
        self.loads: Loads | None = None
        self._beat = 0
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Message)
        self._live: set[str] = set()

    async def run(self, ready: anyio.Event) -> None:
        """Send and receive until cancelled.

        :param ready: set once the socket is bound.
        """
        host, _, port = self._address.rpartition(":")
        async with await anyio.create_udp_socket(local_host=host, local_port=int(port)) as bound:
            ready.set()
            async with anyio.create_task_group() as group:
                group.start_soon(self._receive, bound)
                while True:
                    await self.send_round(bound)
                    self._note_losses(clock.monotonic_ms())
                    await anyio.sleep(INTERVAL_S * (0.8 + 0.4 * self._rng.random()))

    async def send_round(self, bound: anyio.abc.UDPSocket) -> None:
        """Send what is known to a few entries.

        :param bound: the socket.
        """
        for address, payload in self.datagrams(clock.monotonic_ms()):
            host, _, port = address.rpartition(":")
            try:
                await bound.sendto(payload, host, int(port))
            except OSError:
                continue

    def datagrams(self, now_ms: int) -> list[tuple[str, bytes]]:
        """Return this round's datagrams with the addresses that they go to.

        :param now_ms: the present time.
        """
        message, targets = self.message(now_ms), self.targets(now_ms)
        loads = self.loads.recent_reports(now_ms) if self.loads is not None else []
        if not loads:
            return self._addressed(message, targets)
        live = [m.record for m in self.roster.live(now_ms)]
        sharing = gossip_targets.load_sharing_peers(message.records[0], live)
        near = [address for address in targets if address in sharing]
        far = [address for address in targets if address not in sharing]
        with_loads = msgspec.structs.replace(message, loads=loads)
        return self._addressed(with_loads, near) + self._addressed(message, far)

    def _addressed(self, message: Message, addresses: list[str]) -> list[tuple[str, bytes]]:
        if not addresses:
            return []
        packed = self.pack(message)
        return [(address, packed) for address in addresses]

    def live_ids(self, region: str = "") -> list[str]:
        """Return the ids of the live entries, this one included.

        :param region: leaves out the entries of other regions.
        """
        live = [m.record for m in self.roster.live(clock.monotonic_ms())]
        live.append(self._describe(self._beat))
        return [r.entry_id for r in live if not region or r.region == region]

    def message(self, now_ms: int) -> Message:
        """Return what this round tells: records of a few live entries and counters of many.

        :param now_ms: the present time.
        """
        self._beat += 1
        members = self.roster.live(now_ms)
        self._rng.shuffle(members)
        records = [m.record for m in members[:RECORDS_PER_MESSAGE]]
        own = self._describe(self._beat)
        others = members[RECORDS_PER_MESSAGE : RECORDS_PER_MESSAGE + BEATS_PER_MESSAGE]
        beats = [m.heartbeat() for m in others]
        return Message([own, *records], beats, self._poison.recent_suspects(now_ms))

    def pack(self, message: Message) -> bytes:
        """Return a message's datagram.

        :param message: the message.
        """
        plain = self._encoder.encode(message)
        return message_auth.sign(self.token, zlib.compress(plain, COMPRESSION_LEVEL))

    def targets(self, now_ms: int) -> list[str]:
        """Return the addresses that this round's datagram goes to.

        :param now_ms: the present time.
        """
        members = [m.record for m in self.roster.live(now_ms)]
        live = {r.gossip_address for r in members}
        silent = [m.record.gossip_address for m in self.roster.known()]
        silent = [a for a in sorted({*silent, *self.seeds} - live) if a != self._address]
        targets = gossip_targets.choose(self._describe(self._beat), members, self._rng)
        return targets + self._rng.sample(silent, min(SILENT_TARGETS, len(silent)))

    async def _receive(self, bound: anyio.abc.UDPSocket) -> None:
        while True:
            try:
                data, _ = await bound.receive()
            except OSError:
                await anyio.sleep(INTERVAL_S)
                continue
            self.merge_datagram(data, clock.monotonic_ms())

    def merge_datagram(self, data: bytes, now_ms: int) -> None:
        """Take in a datagram; one that cannot be read is left out.

        :param data: the datagram.
        :param now_ms: the present time.
        """
        opened = message_auth.verify(self.token, data)
        if opened is None:
            reason = "a datagram does not bear the peers' token; compare peer_token"
            events.log(events.Event.PEER_MESSAGE_REJECTED, reason, size_bytes=len(data))
            return
        try:
            plain = zlib.decompressobj().decompress(opened, MAX_MESSAGE_BYTES)
            message = self._decoder.decode(plain)
        except (zlib.error, msgspec.DecodeError) as error:
            events.log(events.Event.PEER_MESSAGE_REJECTED, str(error), size_bytes=len(data))
            return
        for record in message.records:
            self.roster.merge_record(record, now_ms)
        for beat in message.beats:
            self.roster.merge_heartbeat(beat, now_ms)
        self._poison.merge(message.suspects, now_ms)
        if self.loads is not None:
            self.loads.merge_reports(message.loads, now_ms)

    def _note_losses(self, now_ms: int) -> None:
        live = {m.record.entry_id for m in self.roster.live(now_ms)}
        for entry_id in sorted(live - self._live):
            events.log(events.Event.PEER_HEARD, "a peer is alive", entry=entry_id)
        for entry_id in sorted(self._live - live):
            events.log(events.Event.PEER_LOST, "a peer is silent", entry=entry_id)
        self._live = live
        self.roster.remove_dead(now_ms)

    def dump(self) -> dict[str, object]:
        """Return the members with the age of what is known of them."""
        now_ms = clock.monotonic_ms()
        return {m.record.entry_id: now_ms - m.heard_ms for m in self.roster.known()}
