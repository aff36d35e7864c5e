"""Ends an entry's service without cutting off a request."""

from __future__ import annotations

import typing

import anyio

from sassafraslock import clock, edge_settings, events

LEAVE_AFTER_MS = 3_200
SERVING_RATIO = 0.85
STOP_POLL_S = 0.05


class Leaver(typing.Protocol):
    """An entry as far as its departure needs it."""

    settings: edge_settings.EdgeSettings

    @property
    def in_flight(self) -> int:
        """The requests being answered."""

    def begin_leaving(self) -> None:
        """Stop being named and tell clients on kept connections to go elsewhere."""

    def refuse_new_requests(self) -> None:
        """Refuse requests that come now, so that none is cut off at the end."""


class Departure:
    """Stops being named, serves those that still have the name, and ends what is in flight."""

    __slots__ = ("_entry",)

    def __init__(self, entry: Leaver) -> None:
        self._entry = entry

    async def run(self, ready: anyio.Event) -> None:
        """Exist until cancelled.

        :param ready: set at once.
        """
        ready.set()
        await anyio.sleep_forever()

    async def stop(self) -> None:
        """Stop being named, serve those that still have the name, and end what is in flight."""
        started_ms = clock.monotonic_ms()
        bounds = self._entry.settings.bounds
        events.log(
            events.Event.PROCESS_STOPPING,
            "entry leaves",
            entry=self._entry.settings.entry_id,
            in_flight=self._entry.in_flight,
        )
        self._entry.begin_leaving()
        named_ms = min(LEAVE_AFTER_MS, bounds.grace_ms // 2 + 200)
        last_ms = SERVING_RATIO * bounds.grace_ms
        while True:
            await anyio.sleep(STOP_POLL_S)
            passed_ms = clock.monotonic_ms() - started_ms
            if passed_ms < named_ms:
                continue
            self._entry.refuse_new_requests()
            if passed_ms >= last_ms or not self._entry.in_flight:
                return
