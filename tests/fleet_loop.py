"""Many event loops in one virtual time, with connections and datagrams in memory.

Each loop stands for one process. Only :class:`Network` moves the time, and it runs a loop when
that has something to do, unless the process is held.
"""

import asyncio
import heapq
import itertools
import socket

from sassafraslock import clock

START_S = 1_000.0
WALL_MS = 1_800_000_000_000
DELAY_S = 0.002
RETRANSMISSION_S = 0.02


class Network:
    """The virtual time, what happens in it, and who listens at which address."""

    __slots__ = ("now_s", "delay_s", "servers", "sockets", "_events", "_numbers", "_ready")

    def __init__(self):
        self.now_s = START_S
        self.delay_s = DELAY_S
        self.servers = {}
        self.sockets = {}
        self._events = []
        self._numbers = itertools.count()
        self._ready = {}

    def now_ms(self):
        return int(1_000 * self.now_s)

    def wall_ms(self):
        return WALL_MS + self.now_ms()

    def at(self, when_s, callback, *args):
        heapq.heappush(self._events, (when_s, next(self._numbers), callback, args))

    def after(self, delay_s, callback, *args):
        self.at(self.now_s + delay_s, callback, *args)

    def wake(self, loop):
        """Let a loop run before the time moves on."""
        self._ready[loop] = None

    def run_until(self, until_s):
        while True:
            self._run_loops()
            if not self._events or self._events[0][0] > until_s:
                break
            when_s, _, callback, args = heapq.heappop(self._events)
            self.now_s = max(self.now_s, when_s)
            callback(*args)
        self.now_s = until_s

    def _run_loops(self):
        while self._ready:
            loop = next(iter(self._ready))
            del self._ready[loop]
            if not loop.is_held and not loop.is_closed():
                loop.run_ready()


class _NoSelector:
    """Finds no events, since nothing in this process is a real socket."""

    def select(self, timeout=None):
        return []


class EntryLoop(asyncio.BaseEventLoop):
    """The event loop of one process; while held, all that happens to the process waits."""

    def __init__(self, network, name):
        super().__init__()
        self.name = name
        self._selector = _NoSelector()
        self.network = network
        self.is_held = False
        self.transports = set()

    def time(self):
        return self.network.now_s

    def _process_events(self, event_list):
        pass

    def _write_to_self(self):
        pass

    def call_soon(self, callback, *args, context=None):
        self.network.wake(self)
        return super().call_soon(callback, *args, context=context)

    def call_at(self, when, callback, *args, context=None):
        self.network.at(when, self.network.wake, self)
        return super().call_at(when, callback, *args, context=context)

    def run_ready(self):
        """Run all callbacks that are due, and those that these make due."""
        while True:
            super().call_soon(self.stop)
            self.run_forever()
            if not self._ready:
                return

    def hold(self):
        self.is_held = True

    def release(self):
        self.is_held = False
        self.network.wake(self)

    def end(self):
        """End the process: its connections close, and nothing of it runs any more."""
        for transport in list(self.transports):
            transport.abort()
        self.is_held = False
        for _ in range(3):
            for task in asyncio.all_tasks(self):
                task.cancel()
            self.run_ready()
        self.close()

    async def getaddrinfo(self, host, port, **_):
        name = host.decode() if isinstance(host, bytes) else host
        return [(socket.AF_INET, socket.SOCK_DGRAM, 0, "", (name, port))]

    async def create_datagram_endpoint(self, protocol_factory, local_addr=None, **_):
        protocol = protocol_factory()
        transport = _DatagramTransport(self, protocol, local_addr)
        protocol.connection_made(transport)
        return transport, protocol

    async def create_connection(self, protocol_factory, host=None, port=None, **_):
        opened = self.create_future()
        address = f"{host}:{port}"
        self.network.after(
            2 * self.network.delay_s, self._connect, address, protocol_factory, opened
        )
        return await opened

    def _connect(self, address, protocol_factory, opened):
        if opened.done() or self.is_closed():
            return
        machine = self.network.servers[address]
        if machine.process is None and not machine.refuses:
            again = (self._connect, address, protocol_factory, opened)
            self.network.after(RETRANSMISSION_S, *again)
            return
        if machine.process is None:
            machine.refused_entries.add(self.name)
            opened.set_exception(ConnectionRefusedError(111, f"connection to {address} refused"))
            return
        protocol = protocol_factory()
        transport = _Transport(self, protocol, machine.process)
        protocol.connection_made(transport)
        opened.set_result((transport, protocol))


class _DatagramTransport(asyncio.DatagramTransport):
    def __init__(self, loop, protocol, address):
        super().__init__()
        self._loop, self._protocol, self._address = loop, protocol, address
        self._closing = False
        loop.transports.add(self)
        loop.network.sockets[address] = self

    def sendto(self, data, addr=None):
        network = self._loop.network
        network.after(network.delay_s, self._arrive, network, data, addr, self._address)

    @staticmethod
    def _arrive(network, data, addr, source):
        receiver = network.sockets.get(addr)
        if receiver is not None and not receiver._loop.is_closed():
            receiver._loop.call_soon(receiver._protocol.datagram_received, data, source)

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def is_closing(self):
        return self._closing

    def close(self):
        self.abort()

    def abort(self):
        self._closing = True
        self._loop.transports.discard(self)
        if self._loop.network.sockets.get(self._address) is self:
            del self._loop.network.sockets[self._address]


class _Transport(asyncio.Transport):
    """One side of a connection; ``peer`` gets whole requests, the protocol whole answers."""

    def __init__(self, loop, protocol, peer):
        super().__init__()
        self.entry = loop.name
        self._loop, self._protocol, self._peer = loop, protocol, peer
        self._closing = False
        loop.transports.add(self)
        peer.connections.add(self)

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self._closing

    def write(self, data):
        network = self._loop.network
        sent_s = network.now_s
        network.after(network.delay_s, self._peer.receive, self, bytes(data), sent_s)

    def answer(self, data):
        """Carry the peer's answer to the protocol."""
        network = self._loop.network
        network.after(network.delay_s, self._deliver, data)

    def _deliver(self, data):
        if not self._closing and not self._loop.is_closed():
            self._loop.call_soon(self._receive, data)

    def _receive(self, data):
        if not self._closing:
            self._protocol.data_received(data)

    def peer_ended(self):
        """Carry the end of the peer's process to the protocol."""
        self._loop.network.after(self._loop.network.delay_s, self._lose)

    def _lose(self):
        if not self._closing and not self._loop.is_closed():
            self._loop.call_soon(self._end, ConnectionResetError(104, "connection reset by peer"))

    def _end(self, error):
        if self._closing:
            return
        self._closing = True
        self._loop.transports.discard(self)
        self._protocol.connection_lost(error)

    def close(self):
        self.abort()

    def abort(self):
        if self._closing:
            return
        self._closing = True
        self._loop.transports.discard(self)
        network = self._loop.network
        network.after(network.delay_s, self._peer.drop, self)
        self._loop.call_soon(self._protocol.connection_lost, None)


class VirtualClock:
    """Shows the time of a network as the clocks of this machine, within a ``with`` block."""

    __slots__ = ("_network", "_saved")

    def __init__(self, network):
        self._network = network

    def __enter__(self):
        self._saved = clock.monotonic_ms, clock.wall_ms
        clock.monotonic_ms, clock.wall_ms = self._network.now_ms, self._network.wall_ms

    def __exit__(self, *_):
        clock.monotonic_ms, clock.wall_ms = self._saved
