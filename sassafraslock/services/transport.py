"""Carries messages between entries as bytes, over pynng."""

from __future__ import annotations

import typing

import anyio
import pynng

from sassafraslock import messages, settings

SEND_QUEUE_MESSAGES = 512
RECONNECT_MAX_MS = 500

Deliver = typing.Callable[[bytes], None]


class Transport(typing.Protocol):
    """Moves messages; may lose, delay or reorder them."""

    def send(self, address: str, raw: bytes) -> bool:
        """Send without waiting, and tell whether the message was queued.

        :param address: the peer's address.
        :param raw: the message.
        """

    async def run(self, deliver: Deliver, ready: anyio.Event) -> None:
        """Receive until cancelled.

        :param deliver: called with each message.
        :param ready: set once messages can be received.
        """


class NngTransport:
    """Owns one listening socket and one dialing socket for each peer."""

    __slots__ = ("_address", "_dialers")

    def __init__(self, address: settings.Address) -> None:
        self._address = address
        self._dialers: dict[str, pynng.Push0] = {}

    def send(self, address: str, raw: bytes) -> bool:
        """Send without waiting; a message that cannot be queued is dropped.

        :param address: the peer's address.
        :param raw: the message.
        """
        try:
            self._dialer(address).send(raw, block=False)
        except pynng.NNGException:
            return False
        return True

    async def run(self, deliver: Deliver, ready: anyio.Event) -> None:
        """Receive until cancelled.

        :param deliver: called with each message.
        :param ready: set once the listening socket is bound.
        """
        listener = pynng.Pull0(
            listen=f"tcp://{self._address}", recv_max_size=messages.MAX_MESSAGE_BYTES
        )
        try:
            ready.set()
            while True:
                deliver(await listener.arecv())
        finally:
            listener.close()
            for dialer in self._dialers.values():
                dialer.close()
            self._dialers.clear()

    def _dialer(self, address: str) -> pynng.Push0:
        dialer = self._dialers.get(address)
        if dialer is None:
            dialer = pynng.Push0(
                send_buffer_size=SEND_QUEUE_MESSAGES, reconnect_time_max=RECONNECT_MAX_MS
            )
            dialer.dial(f"tcp://{address}", block=False)
            self._dialers[address] = dialer
        return dialer
