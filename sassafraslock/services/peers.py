"""Messages to and from the other entries: heartbeats, requests and replies."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
import itertools
import logging
import random
import typing

import anyio
import anyio.abc

from sassafraslock import clock, errors, events, messages, settings
from sassafraslock.decisions import membership
from sassafraslock.services import transport

MAC_BYTES = 16
FANOUT = 16

Handler = typing.Callable[[typing.Any], typing.Coroutine[typing.Any, typing.Any, None]]


@dataclasses.dataclass(slots=True)
class _Waiter:
    event: anyio.Event
    reply: messages.Reply | None = None


class Describe(typing.Protocol):
    """Builds the next heartbeat."""

    def __call__(self, sequence: int) -> messages.Heartbeat:
        """Return the heartbeat with this sequence number."""


class PeerService:
    """Sends heartbeats, calls peers and hands their messages to the services.

    Every message carries a keyed digest, so that a damaged message or one from a stranger is
    dropped and counted.
    """

    __slots__ = (
        "table",
        "rejected",
        "late_replies",
        "sent_bytes",
        "_settings",
        "_key",
        "_transport",
        "_handlers",
        "_late_replies",
        "_observers",
        "_waiters",
        "_ids",
        "_sequence",
        "_describe",
        "_wake",
    )

    def __init__(self, process: settings.Settings, carrier: transport.Transport) -> None:
        self.table = membership.PeerTable()
        self.rejected = 0
        self.late_replies = 0
        self.sent_bytes = 0
        self._settings = process
        self._key = hashlib.blake2b(process.peer_token.encode()).digest()
        self._transport = carrier
        self._handlers: dict[type, Handler] = {messages.Heartbeat: self._on_heartbeat}
        self._late_replies: dict[type, Handler] = {}
        self._observers: list[Handler] = []
        self._waiters: dict[int, _Waiter] = {}
        self._ids = itertools.count(1)
        self._sequence = itertools.count(1)
        self._describe: Describe | None = None
        self._wake = anyio.Event()

    def handle(self, kind: type, handler: Handler) -> None:
        """Name the handler of one type of message.

        :param kind: the message's class.
        :param handler: called with each message, in a task of its own.
        """
        self._handlers[kind] = handler

    def handle_late(self, kind: type, handler: Handler) -> None:
        """Name the handler of replies that nobody waits for any more.

        :param kind: the reply's class.
        :param handler: called with each late reply.
        """
        self._late_replies[kind] = handler

    def describe_with(self, describe: Describe) -> None:
        """Name the function that builds heartbeats.

        :param describe: builds a heartbeat from a sequence number.
        """
        self._describe = describe

    def observe_heartbeats(self, observer: Handler) -> None:
        """Call a function with each heartbeat heard.

        :param observer: the function.
        """
        self._observers.append(observer)

    def next_id(self) -> int:
        """Return a request id not used before by this process."""
        return next(self._ids)

    def wake(self) -> None:
        """Send a heartbeat at once, because something changed."""
        self._wake.set()

    async def run(self, ready: anyio.Event) -> None:
        """Receive and send until cancelled.

        :param ready: set once messages can be received.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._beat)
            await self._transport.run(lambda raw: self._deliver(raw, group), ready)

    def _deliver(self, raw: bytes, group: anyio.abc.TaskGroup) -> None:
        message = self._open(raw)
        if isinstance(message, errors.Refusal):
            self._reject(message)
            return
        if isinstance(message, messages.Reply):
            self._resolve(message, group)
            return
        handler = self._handlers.get(type(message))
        if handler:
            group.start_soon(handler, message)

    def _open(self, raw: bytes) -> messages.AnyMessage | errors.Refusal:
        body, mac = raw[:-MAC_BYTES], raw[-MAC_BYTES:]
        if len(raw) <= MAC_BYTES or not hmac.compare_digest(mac, self._mac(body)):
            return errors.Refusal(
                errors.ErrorKind.PEER_PROTOCOL, "the digest does not fit; check peer_token"
            )
        return messages.decode(body)

    def _mac(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=self._key, digest_size=MAC_BYTES).digest()

    def _reject(self, refusal: errors.Refusal) -> None:
        self.rejected += 1
        events.log(
            events.Event.PEER_MESSAGE_REJECTED,
            refusal.reason,
            logging.WARNING,
            rejected=self.rejected,
        )

    def _resolve(self, reply: messages.Reply, group: anyio.abc.TaskGroup) -> None:
        waiter = self._waiters.pop(reply.request_id, None)
        if waiter:
            waiter.reply = reply
            waiter.event.set()
            return
        self.late_replies += 1
        late = self._late_replies.get(type(reply))
        if late:
            group.start_soon(late, reply)

    def send(self, address: str, message: messages.AnyMessage) -> bool:
        """Send without waiting; a message that cannot be queued is dropped.

        :param address: the peer's address.
        :param message: the message.
        :returns: whether the message was queued.
        """
        body = messages.encode(message)
        if not self._transport.send(address, body + self._mac(body)):
            return False
        self.sent_bytes += len(body) + MAC_BYTES
        return True

    def send_to(self, entry_id: str, message: messages.AnyMessage) -> bool:
        """Send to a peer by its id.

        :param entry_id: the peer.
        :param message: the message.
        """
        peer = self.table.peers.get(entry_id)
        if peer is None:
            return False
        return self.send(peer.heartbeat.peer_address, message)

    async def call(
        self, entry_id: str, request: typing.Any, timeout_ms: float
    ) -> messages.Reply | None:
        """Send a request and wait for its reply.

        :param entry_id: the peer.
        :param request: a message with a ``request_id`` of :meth:`next_id`.
        :param timeout_ms: the longest wait.
        :returns: the reply, or none where none came in time.
        """
        waiter = _Waiter(anyio.Event())
        self._waiters[request.request_id] = waiter
        try:
            if not self.send_to(entry_id, request):
                return None
            with anyio.move_on_after(timeout_ms / 1000):
                await waiter.event.wait()
        finally:
            self._waiters.pop(request.request_id, None)
        return waiter.reply

    async def _beat(self) -> None:
        while True:
            if self._describe:
                self._send_heartbeat(self._describe(next(self._sequence)))
            self._wake = anyio.Event()
            with anyio.move_on_after(self._settings.heartbeat_ms / 1000):
                await self._wake.wait()

    def _send_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        addresses = {str(a) for a in self._settings.peers}
        addresses |= {p.heartbeat.peer_address for p in self.table.peers.values()}
        addresses.discard(str(self._settings.peer))
        chosen = sorted(addresses)
        if len(chosen) > FANOUT:
            chosen = random.sample(chosen, FANOUT)
        for address in chosen:
            self.send(address, heartbeat)

    async def _on_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        if self.table.hear(heartbeat, clock.monotonic_ms()):
            events.log(events.Event.PEER_HEARD, "a peer is heard", peer=heartbeat.sender)
        for observe in self._observers:
            await observe(heartbeat)

    def dump(self) -> dict[str, object]:
        """Return the peers heard and the counters."""
        now_ms = clock.monotonic_ms()
        ages = {e: now_ms - p.heard_ms for e, p in self.table.peers.items()}
        return {
            "heard_ago_ms": ages,
            "rejected": self.rejected,
            "late_replies": self.late_replies,
            "sent_bytes": self.sent_bytes,
        }
