"""Graceful shutdown of an entry."""

from __future__ import annotations

import typing

import anyio
import anyio.lowlevel

from sassafraslock import clock, edge_settings, events
from sassafraslock.decisions import stop_schedule

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
    def stop_requested_ms(self) -> int:
        """The monotonic time at which the stop was requested."""

    @property
    def in_flight(self) -> int:
        """The number of requests in flight."""

    def begin_leaving(self, schedule: stop_schedule.StopSchedule) -> None:
        """Leave the directory, and ask clients on kept-alive connections to reconnect elsewhere.

        :param schedule: the times of the stop, by which requests are accepted from now on.
        """

    def refuse_new_requests(self) -> None:
        """Refuse requests that arrive from now on, so that none is cut off at the end."""

    def interrupt_requests(self) -> None:
        """Answer the requests in flight as failed, since they outlast the stop."""


class Departure:
    """Runs the server of the clients, and drains the entry when the process stops.

    Both are one service, since a stop may begin between the starts of two: no client is accepted
    without the drain that answers it.

    At a stop the entry leaves the directory first, but serves clients that still have its address,
    as :class:`stop_schedule.StopSchedule` accepts their requests. It waits for those in flight
    until the schedule interrupts them: they are answered as failed. The rest of the stop is for
    clients to read their answers.
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
        events.log(
            events.Event.PROCESS_STOPPING,
            "entry is shutting down",
            entry=self._entry.settings.entry_id,
            in_flight=self._entry.in_flight,
            delay_ms=clock.monotonic_ms() - self._entry.stop_requested_ms,
        )
        schedule = stop_schedule.StopSchedule(
            self._entry.stop_requested_ms, self._entry.settings.bounds.grace_ms
        )
        self._entry.begin_leaving(schedule)
        try:
            await self._wait_until_idle(schedule)
        except anyio.get_cancelled_exc_class():
            # The event loop was held up until the time limit of the stop had passed.
            with anyio.CancelScope(shield=True):
                await self._interrupt()
                await _let_others_run()
            raise
        self._entry.refuse_new_requests()
        await self._entry.client_server.close_connections()

    async def _wait_until_idle(self, schedule: stop_schedule.StopSchedule) -> None:
        """Wait for the requests in flight, and interrupt those that outlast the schedule."""
        now_ms = clock.monotonic_ms()
        while now_ms < schedule.idle_end_ms or self._entry.in_flight:
            if now_ms >= schedule.interrupt_ms:
                await self._interrupt()
                return
            left_s = (schedule.interrupt_ms - now_ms) / 1000
            await anyio.sleep(min(STOP_POLL_S, left_s))
            now_ms = clock.monotonic_ms()

    async def _interrupt(self) -> None:
        """Interrupt the requests in flight, but for those whose answers have arrived."""
        self._entry.refuse_new_requests()
        await _let_others_run()
        self._entry.interrupt_requests()


async def _let_others_run() -> None:
    for _ in range(SETTLE_TURNS):
        await anyio.lowlevel.checkpoint()
