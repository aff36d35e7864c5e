"""Measures how much of its machine's limits this entry uses, once a second."""

from __future__ import annotations

import pathlib
import time
import typing

import anyio

from sassafraslock import clock
from sassafraslock.decisions import entry_capacity, message_quota

INTERVAL_S = 1.0
BITS_PER_MBIT = 1_000_000
_NETWORK_FILE = pathlib.Path("/proc/net/dev")  # bytes of each interface, on Linux only
_RECEIVED_FIELD, _SENT_FIELD = 0, 8


class SocketCount(typing.Protocol):
    """Counts the sockets that this entry has open."""

    def __call__(self) -> int:
        """Return the number."""


class CapacityWatch:
    """Passes the parts in use of the entry's link, processors, descriptors and memory on."""

    __slots__ = ("capacities", "use", "_quota", "_count_sockets", "_last", "_last_ms")

    def __init__(
        self,
        capacities: entry_capacity.EntryCapacities,
        quota: message_quota.MessageQuota,
        count_sockets: SocketCount,
    ) -> None:
        self.capacities = capacities
        self.use = entry_capacity.Use()
        self._quota = quota
        self._count_sockets = count_sockets
        self._last = _Totals.read()
        self._last_ms = clock.monotonic_ms()

    async def run(self, ready: anyio.Event) -> None:
        """Measure until cancelled.

        :param ready: set at once.
        """
        ready.set()
        while True:
            await anyio.sleep(INTERVAL_S)
            self.measure(clock.monotonic_ms())

    def measure(self, now_ms: int) -> None:
        """Measure the use since the last time.

        :param now_ms: the current monotonic time.
        """
        totals, passed_s = _Totals.read(), (now_ms - self._last_ms) / 1_000
        if passed_s <= 0:
            return
        limits = self.capacities.resources
        bits = 8 * max(
            totals.received_bytes - self._last.received_bytes,
            totals.sent_bytes - self._last.sent_bytes,
        )
        self.use = entry_capacity.Use(
            _ratio(bits / passed_s / BITS_PER_MBIT, limits.link_mbps),
            _ratio((totals.cpu_s - self._last.cpu_s) / passed_s, limits.cores),
            _ratio(self._count_sockets(), limits.descriptors),
            _ratio(self._quota.held_bytes, self._quota.limit_bytes),
        )
        self.capacities.record_use(self.use, now_ms)
        self._last, self._last_ms = totals, now_ms

    def dump(self) -> dict[str, object]:
        """Return the parts in use and what this entry says that it can carry."""
        return {
            "link_use_ratio": self.use.link_ratio,
            "cpu_use_ratio": self.use.cpu_ratio,
            "descriptors_use_ratio": self.use.descriptors_ratio,
            "memory_use_ratio": self.use.memory_ratio,
            "carried_per_s": self.capacities.own_per_s(),
            "named_factor": self.capacities.own_factor,
        }


class _Totals:
    """What the machine's interfaces carried and this process computed since their start."""

    __slots__ = ("received_bytes", "sent_bytes", "cpu_s")

    def __init__(self, received_bytes: int, sent_bytes: int, cpu_s: float) -> None:
        self.received_bytes = received_bytes
        self.sent_bytes = sent_bytes
        self.cpu_s = cpu_s

    @classmethod
    def read(cls) -> _Totals:
        received, sent = parse_network(_read_network())
        return cls(received, sent, time.process_time())


def _read_network() -> str:
    try:
        return _NETWORK_FILE.read_text()
    except OSError:
        return ""


def parse_network(text: str) -> tuple[int, int]:
    """Return the bytes that all interfaces but the loopback received and sent.

    :param text: the content of ``/proc/net/dev``; lines of another form are skipped.
    """
    received = sent = 0
    for line in text.splitlines():
        name, separator, rest = line.partition(":")
        fields = rest.split()
        if not separator or name.strip() == "lo" or len(fields) <= _SENT_FIELD:
            continue
        if fields[_RECEIVED_FIELD].isdigit() and fields[_SENT_FIELD].isdigit():
            received += int(fields[_RECEIVED_FIELD])
            sent += int(fields[_SENT_FIELD])
    return received, sent


def _ratio(used: float, limit: float) -> float:
    return used / limit if limit else 0.0
