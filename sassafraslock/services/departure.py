"""Graceful shutdown of an entry."""

from __future__ import annotations

import typing

import anyio
import anyio.lowlevel

from sassafraslock import clock, edge_settings, events

REFUSE_AFTER_MS = 3_200
DRAIN_RATIO = 0.85
STOP_POLL_S = 0.05
SETTLE_TURNS = 20  # of the event loop, for answers that arrived while it was busy


class ClientServer(typing.Protocol):
    """Accepts clients and holds their connections."""

    async def run(self, ready: anyio.Event) -> None:
        """Serve until cancelled.

        :param ready: set once clients are accepted.
        """

    async def close_connections(self) -> None:
        """Close each connection once its requests are answered and its client has the answers."""


class DepartingEntry(typing.Protocol):
    """The part of an entry that its shutdown needs."""

    settings: edge_settings.EdgeSettings

    @property
    def client_server(self) -> ClientServer:
        """The server of the clients' connections."""

    @property
    def in_flight(self) -> int:
        """The number of requests in flight."""

    def begin_leaving(self) -> None:
        """Leave the directory, and ask clients on kept-alive connections to reconnect elsewhere."""

    def refuse_unfinishable_requests(self, finish_by_ms: int) -> None:
        """Refuse requests that arrive from now on and may last too long.

        :param finish_by_ms: the monotonic time at which requests in flight are interrupted.
        """

    def refuse_new_requests(self) -> None:
        """Refuse requests that arrive from now on, so that none is cut off at the end."""

    def interrupt_requests(self) -> None:
        """Answer the requests in flight as failed, since they outlast the stop."""


class Departure:
    """Runs the server of the clients, and drains the entry when the process stops.

    Both are one service, since a stop may begin between the starts of two: no client is accepted
    without the drain that answers it.

    At a stop the entry leaves the directory first, but serves clients that still have its address
    for up to :data:`REFUSE_AFTER_MS`, in the second half of the grace period only those whose
    deadline leaves time enough. Then it refuses new requests and waits for those in flight, until
    :data:`DRAIN_RATIO` of the grace period has passed. What is then still in flight is answered as
    failed. The rest of the stop is for clients to read their answers.
    """

    __slots__ = ("_entry",)

    def __init__(self, entry: DepartingEntry) -> None:
        self._entry = entry

    async def run(self, ready: anyio.Event) -> None:
        """Serve clients until cancelled.

        :param ready: set once clients are accepted.
        """
        await self._entry.client_server.run(ready)

    async def stop(self) -> None:
        """Drain the entry; returns once no request is unanswered and no answer unsent."""
        started_ms = clock.monotonic_ms()
        bounds = self._entry.settings.bounds
        events.log(
            events.Event.PROCESS_STOPPING,
            "entry is shutting down",
            entry=self._entry.settings.entry_id,
            in_flight=self._entry.in_flight,
        )
        self._entry.begin_leaving()
        serving_ms = min(REFUSE_AFTER_MS, bounds.grace_ms // 2 + 200)
        drain_ms = DRAIN_RATIO * bounds.grace_ms
        while True:
            left_s = (started_ms + drain_ms - clock.monotonic_ms()) / 1000
            await anyio.sleep(min(STOP_POLL_S, max(0.0, left_s)))
            elapsed_ms = clock.monotonic_ms() - started_ms
            if elapsed_ms >= bounds.grace_ms // 2:
                self._entry.refuse_unfinishable_requests(started_ms + int(drain_ms))
            if elapsed_ms < serving_ms:
                continue
            self._entry.refuse_new_requests()
            if self._entry.in_flight and elapsed_ms >= drain_ms:
                await _let_others_run()
                self._entry.interrupt_requests()
                break
            if not self._entry.in_flight:
                break
        await self._entry.client_server.close_connections()


async def _let_others_run() -> None:
    for _ in range(SETTLE_TURNS):
        await anyio.lowlevel.checkpoint()
