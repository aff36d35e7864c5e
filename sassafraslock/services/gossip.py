"""Gossip between entries over UDP.

It spreads which entries are alive and ready, the store version that each has reached, suspected
poison requests, servers' reported loads and rate limits, which of them leave or may have started
again, and which objects they have handled.
"""

from __future__ import annotations

import random
import typing
import zlib

import anyio
import anyio.abc
import msgspec

from sassafraslock import clock, events, field_types
from sassafraslock.decisions import (
    departing_servers,
    entry_capacity,
    gossip_targets,
    intents_proof,
    load_reports,
    message_auth,
    object_memory,
    report_exchange,
    roster,
    server_limits,
    server_restarts,
    work_pace,
)
from sassafraslock.decisions.objects import newcomers
from sassafraslock.services import (
    gossip_messages,
    list_decoder,
    poison_watch,
    rejections,
)

INTERVAL_S = 0.5
URGENT_INTERVAL_S = 0.15  # between rounds while there is something urgent to tell
SILENT_TARGETS = 2
RECORDS_PER_MESSAGE = 12
HEARTBEATS_PER_MESSAGE = 300
COMPRESSION_LEVEL = 3
MAX_MESSAGE_BYTES = 256 << 10


class RecordBuilder(typing.Protocol):
    """Builds this entry's own record."""

    def __call__(self, beat: int) -> roster.MemberRecord:
        """Return this entry's record with its current state.

        :param beat: the heartbeat counter, which orders the records of one run.
        """


class DatagramHandler(typing.Protocol):
    """Receives the datagrams of another service that shares the socket."""

    def __call__(self, payload: bytes, now_ms: int) -> None:
        """Handle a datagram whose signature was right.

        :param payload: the datagram, without its mark.
        :param now_ms: the monotonic time at which it was read.
        """


class GossipService:
    """Sends and receives gossip datagrams; owns the UDP socket and the roster."""

    __slots__ = (
        "roster",
        "_address",
        "seeds",
        "_build_record",
        "_beat",
        "_encoder",
        "_decoder",
        "_last_live",
        "_poison",
        "_rng",
        "loads",
        "paces",
        "capacities",
        "objects",
        "limits",
        "newcomers",
        "departures",
        "restarts",
        "proofs",
        "token",
        "on_datagram",
        "_bound",
        "_sending",
        "_is_urgent",
        "rejections",
    )

    def __init__(
        self,
        own_id: str,
        address: str,
        seeds: list[str],
        build_record: RecordBuilder,
        poison: poison_watch.PoisonWatch,
        token: str = "",
        rng: random.Random | None = None,
    ) -> None:
        self.roster = roster.Roster(own_id)
        self._address = address
        self.seeds = seeds
        self._build_record = build_record
        self._poison = poison
        self.token = token
        self._rng = rng or random.Random()
        self.loads: report_exchange.ReportExchange[load_reports.LoadReport] | None = None
        self.paces: report_exchange.ReportExchange[work_pace.PaceReport] | None = None
        self.capacities: report_exchange.ReportExchange[entry_capacity.CapacityReport] | None = None
        self.objects: object_memory.ObjectMemory | None = None
        self.newcomers: newcomers.Newcomers | None = None
        self.limits: report_exchange.ReportExchange[server_limits.LimitReport] | None = None
        self.rejections = rejections.Rejections()
        self.departures: (
            report_exchange.ReportExchange[departing_servers.DepartureReport] | None
        ) = None
        self.restarts: report_exchange.ReportExchange[server_restarts.RestartReport] | None = None
        self.proofs: report_exchange.ReportExchange[intents_proof.ProofReport] | None = None
        self.on_datagram: DatagramHandler | None = None
        self._bound: anyio.abc.UDPSocket | None = None
        self._sending = anyio.Lock()
        self._is_urgent = anyio.Event()
        self._beat = 0
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = list_decoder.ListDecoder(gossip_messages.ExtendedMessage)
        self._last_live: set[str] = set()

    async def run(self, ready: anyio.Event) -> None:
        """Send and receive until cancelled.

        :param ready: set once the socket is bound.
        """
        host, _, port = self._address.rpartition(":")
        async with await anyio.create_udp_socket(local_host=host, local_port=int(port)) as bound:
            self._bound = bound
            ready.set()
            async with anyio.create_task_group() as group:
                group.start_soon(self._receive, bound)
                while True:
                    await self.send_round(bound)
                    self._log_liveness_changes(clock.monotonic_ms())
                    await self._pause()

    def send_soon(self) -> None:
        """Send the next round earlier, since there is something urgent to tell."""
        self._is_urgent.set()

    async def _pause(self) -> None:
        await anyio.sleep(URGENT_INTERVAL_S)
        left_s = INTERVAL_S * (0.8 + 0.4 * self._rng.random()) - URGENT_INTERVAL_S
        with anyio.move_on_after(left_s):
            await self._is_urgent.wait()
        self._is_urgent = anyio.Event()

    async def send_round(self, bound: anyio.abc.UDPSocket) -> None:
        """Send one round of datagrams; an address that cannot be reached is skipped.

        :param bound: the socket.
        """
        for address, payload in self.datagrams(clock.monotonic_ms()):
            await self._send(bound, address, payload)

    async def send_datagram(self, address: str, payload: bytes) -> None:
        """Send a datagram of another service; an address that cannot be reached is skipped.

        :param address: the peer's gossip address.
        :param payload: what the peer's :attr:`on_datagram` gets.
        """
        if self._bound is None:
            return
        signed = message_auth.sign(self.token, gossip_messages.DATAGRAM_MARK + payload)
        await self._send(self._bound, address, signed)

    async def _send(self, bound: anyio.abc.UDPSocket, address: str, payload: bytes) -> None:
        async with self._sending:  # anyio raises where two tasks send at once
            try:
                await bound.sendto(payload, *field_types.split_address(address))
            except (OSError, ValueError, OverflowError):
                return

    def datagrams(self, now_ms: int) -> list[tuple[str, bytes]]:
        """Return one round's pairs of address and datagram.

        :param now_ms: the current monotonic time.
        """
        message, targets = self.message(now_ms), self.targets(now_ms)
        live = [m.record for m in self.roster.live(now_ms)]
        near = gossip_targets.load_sharing_peers(message.records[0], live)
        region = gossip_targets.region_peers(message.records[0], live)
        objects = self.objects.recent_reports(now_ms) if self.objects is not None else []
        capacities = self.capacities.recent_reports(now_ms) if self.capacities is not None else []
        in_region = msgspec.structs.replace(message, objects=objects)
        in_region = gossip_messages.extended(in_region, capacities=capacities)
        loads = self.loads.recent_reports(now_ms) if self.loads is not None else []
        paces = self.paces.recent_reports(now_ms) if self.paces is not None else []
        nearby = gossip_messages.extended(
            msgspec.structs.replace(in_region, loads=loads), paces=paces
        )
        return [
            *self._addressed(nearby, [a for a in targets if a in near]),
            *self._addressed(in_region, [a for a in targets if a in region - near]),
            *self._addressed(message, [a for a in targets if a not in region]),
            *self._to_newcomers(message, live, now_ms),
        ]

    def _to_newcomers(
        self, message: gossip_messages.Message, live: list[roster.MemberRecord], now_ms: int
    ) -> list[tuple[str, bytes]]:
        if self.newcomers is None or self.objects is None:
            return []
        reports = self.newcomers.reports(message.records[0], live, self.objects, now_ms)
        own = message.records[:1]
        return [
            (to, self.pack(gossip_messages.Message(own, objects=objects)))
            for to, objects in reports
        ]

    def _addressed(
        self, message: gossip_messages.Message, addresses: list[str]
    ) -> list[tuple[str, bytes]]:
        if not addresses:
            return []
        datagram = self.pack(message)
        return [(address, datagram) for address in addresses]

    def live_ids(self, region: str = "") -> list[str]:
        """Return the ids of the live entries, this one included.

        :param region: if given, only entries of this region are returned.
        """
        live = [m.record for m in self.roster.live(clock.monotonic_ms())]
        live.append(self._build_record(self._beat))
        return [r.entry_id for r in live if not region or r.region == region]

    def known_ids(self, region: str = "") -> list[str]:
        """Return the ids of all entries that are not leaving, this and silent ones included.

        :param region: if given, only entries of this region are returned.
        """
        known = [m.record for m in self.roster.known()]
        known.append(self._build_record(self._beat))
        return [r.entry_id for r in known if not r.leaving and (not region or r.region == region)]

    def message(self, now_ms: int) -> gossip_messages.Message:
        """Return one round's message without loads, and increment the heartbeat counter.

        It holds the records of a few live entries, drawn at random, and the counters of many.

        :param now_ms: the current monotonic time.
        """
        self._beat += 1
        members = self.roster.live(now_ms)
        self._rng.shuffle(members)
        records = [m.record for m in members[:RECORDS_PER_MESSAGE]]
        own = self._build_record(self._beat)
        others = members[RECORDS_PER_MESSAGE : RECORDS_PER_MESSAGE + HEARTBEATS_PER_MESSAGE]
        heartbeats = [m.heartbeat() for m in others]
        limits = self.limits.recent_reports(now_ms) if self.limits is not None else []
        departures = self.departures.recent_reports(now_ms) if self.departures is not None else []
        restarts = self.restarts.recent_reports(now_ms) if self.restarts is not None else []
        message = gossip_messages.Message(
            [own, *records],
            heartbeats,
            self._poison.recent_reports(now_ms),
            limits=limits,
            departures=departures,
            restarts=restarts,
        )
        proofs = self.proofs.recent_reports(now_ms) if self.proofs is not None else []
        return gossip_messages.extended(message, proofs=proofs)

    def pack(self, message: gossip_messages.Message) -> bytes:
        """Encode and compress a message, and sign it with the peer token.

        :param message: the message.
        """
        plain = self._encoder.encode(message)
        return message_auth.sign(self.token, zlib.compress(plain, COMPRESSION_LEVEL))

    def targets(self, now_ms: int) -> list[str]:
        """Return the addresses for one round.

        They are live entries, chosen by zone and region, and up to :data:`SILENT_TARGETS` silent
        entries or seeds, so that entries which lost contact find each other again.

        :param now_ms: the current monotonic time.
        """
        members = [m.record for m in self.roster.live(now_ms)]
        live = {r.gossip_address for r in members}
        silent = [m.record.gossip_address for m in self.roster.known()]
        silent = [a for a in sorted({*silent, *self.seeds} - live) if a != self._address]
        targets = gossip_targets.choose(self._build_record(self._beat), members, self._rng)
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
        """Merge a datagram; one that is wrongly signed or cannot be decoded is logged and dropped.

        So is each entry of it that is out of bounds, while the others are merged.

        :param data: the datagram.
        :param now_ms: the current monotonic time.
        """
        verified = message_auth.verify(self.token, data)
        if verified is None:
            reason = "gossip datagram not signed with this entry's peer_token; compare the settings"
            self._reject_message(reason, now_ms)
            return
        if verified[:1] == gossip_messages.DATAGRAM_MARK:
            if self.on_datagram is not None:
                self.on_datagram(verified[1:], now_ms)
            return
        try:
            plain = zlib.decompressobj().decompress(verified, MAX_MESSAGE_BYTES)
            message, invalid = self._decoder.decode(plain)
        except (zlib.error, msgspec.DecodeError) as error:
            self._reject_message(field_types.describe(error), now_ms)
            return
        for item in invalid:
            event = events.Event.PEER_ENTRY_INVALID
            self.rejections.record(event, f"gossip {item.list_name}", item.reason, now_ms)
        for record in message.records:
            self.roster.merge_record(record, now_ms)
        for heartbeat in message.beats:
            self.roster.merge_heartbeat(heartbeat, now_ms)
        self._poison.merge(message.suspects, now_ms)
        if self.loads is not None:
            self.loads.merge_reports(message.loads, now_ms)
        if self.paces is not None:
            self.paces.merge_reports(message.paces, now_ms)
        if self.capacities is not None:
            self.capacities.merge_reports(message.capacities, now_ms)
        if self.objects is not None:
            self.objects.merge_reports(message.objects, now_ms)
        if self.limits is not None:
            self.limits.merge_reports(message.limits, now_ms)
        if self.departures is not None:
            self.departures.merge_reports(message.departures, now_ms)
        if self.restarts is not None:
            self.restarts.merge_reports(message.restarts, now_ms)
        if self.proofs is not None:
            self.proofs.merge_reports(message.proofs, now_ms)

    def _reject_message(self, reason: str, now_ms: int) -> None:
        event = events.Event.PEER_MESSAGE_REJECTED
        self.rejections.record(event, "gossip message", reason, now_ms)

    def _log_liveness_changes(self, now_ms: int) -> None:
        live = {m.record.entry_id for m in self.roster.live(now_ms)}
        for entry_id in sorted(live - self._last_live):
            events.log(events.Event.PEER_HEARD, "peer is alive", entry=entry_id)
        for entry_id in sorted(self._last_live - live):
            events.log(
                events.Event.PEER_LOST,
                "peer has not been heard from; treated as dead",
                entry=entry_id,
            )
        self._last_live = live
        self.roster.remove_dead(now_ms)

    def dump(self) -> dict[str, object]:
        """Return the milliseconds since each entry's counter last rose, by entry id."""
        now_ms = clock.monotonic_ms()
        return {m.record.entry_id: now_ms - m.heard_ms for m in self.roster.known()}
