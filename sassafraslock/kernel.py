"""The micro-kernel: services by name, start and stop order, supervision and dumps."""

from __future__ import annotations

import dataclasses
import logging
import typing

import anyio
import anyio.abc

from sassafraslock import clock, events

MAX_RESTARTS = 3
RESTART_WINDOW_MS = 60_000
RESTART_DELAY_S = 0.2


class Service(typing.Protocol):
    """A long-running part of the process, which owns its sockets and its state."""

    async def run(self, ready: anyio.Event) -> None:
        """Serve until cancelled.

        :param ready: set once other services may rely on this one.
        """


@typing.runtime_checkable
class Dumpable(typing.Protocol):
    """A service that can show its state."""

    def dump(self) -> object:
        """Return the state as plain data."""


@typing.runtime_checkable
class Stoppable(typing.Protocol):
    """A service that has work to end before it is cancelled."""

    async def stop(self) -> None:
        """End the work in flight; the kernel bounds the time."""


@dataclasses.dataclass(slots=True)
class _Entry:
    service: Service
    ready: anyio.Event
    scope: anyio.CancelScope
    done: anyio.Event
    failures: int = 0
    recent_failures_ms: list[int] = dataclasses.field(default_factory=list)


class Kernel:
    """Registry and supervisor of one process's services.

    A service that raises is restarted, at most :data:`MAX_RESTARTS` times within
    :data:`RESTART_WINDOW_MS`; after that the whole process stops with a failure.
    """

    __slots__ = ("_entries", "_stop_requested", "_failed", "_killed")

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._stop_requested = anyio.Event()
        self._failed = ""
        self._killed = False

    def register(self, name: str, service: Service) -> None:
        """Add a service; services start in the order of registration.

        :param name: the unique name by which others find it.
        :param service: the service.
        """
        if name in self._entries:
            raise ValueError(f"service {name} is registered twice")
        self._entries[name] = _Entry(service, anyio.Event(), anyio.CancelScope(), anyio.Event())

    def find(self, name: str) -> typing.Any:
        """Return the service with this name.

        :param name: a registered name.
        """
        return self._entries[name].service

    def request_stop(self) -> None:
        """Ask for a graceful stop."""
        self._stop_requested.set()

    @property
    def failed_service(self) -> str:
        """The name of the service that made the process give up, or nothing."""
        return self._failed

    @property
    def all_ready(self) -> bool:
        """Whether every service serves."""
        return all(entry.ready.is_set() for entry in self._entries.values())

    def dump(self) -> dict[str, object]:
        """Return every service's state and failure count, by name."""
        shown: dict[str, object] = {}
        for name, entry in self._entries.items():
            state = entry.service.dump() if isinstance(entry.service, Dumpable) else None
            shown[name] = {"failures": entry.failures, "state": state}
        return shown

    async def run(self, stop_bound_ms: int) -> None:
        """Start all services, wait for a stop request, and stop them in reverse order.

        :param stop_bound_ms: the longest time that the graceful stop may take.
        """
        async with anyio.create_task_group() as group:
            for name, entry in self._entries.items():
                group.start_soon(self._supervise, name, entry)
                await self._wait_ready(entry)
            await self._stop_requested.wait()
            if not self._killed:
                with anyio.move_on_after(stop_bound_ms / 1000):
                    await self._stop_services()
            for entry in reversed(self._entries.values()):
                entry.scope.cancel()
                await entry.done.wait()
            group.cancel_scope.cancel()

    def kill(self) -> None:
        """Cancel every task at once, without a goodbye, as a crash would."""
        self._killed = True
        for entry in self._entries.values():
            entry.scope.cancel()
        self._stop_requested.set()

    async def _wait_ready(self, entry: _Entry) -> None:
        async with anyio.create_task_group() as group:

            async def on(event: anyio.Event) -> None:
                await event.wait()
                group.cancel_scope.cancel()

            for event in (entry.ready, entry.done, self._stop_requested):
                group.start_soon(on, event)

    async def _stop_services(self) -> None:
        for entry in reversed(self._entries.values()):
            if isinstance(entry.service, Stoppable):
                await entry.service.stop()

    async def _supervise(self, name: str, entry: _Entry) -> None:
        with entry.scope:
            while not await self._run_once(name, entry):
                await anyio.sleep(RESTART_DELAY_S)
        entry.done.set()

    async def _run_once(self, name: str, entry: _Entry) -> bool:
        """Run a service once and tell whether it is over for good."""
        try:
            await entry.service.run(entry.ready)
        except Exception as error:  # noqa: BLE001 - the supervisor's job is to catch all
            logging.getLogger(__name__).debug("trace", exc_info=error)
            return self._note_failure(name, entry, error, clock.monotonic_ms())
        return True

    def _note_failure(self, name: str, entry: _Entry, error: Exception, now_ms: int) -> bool:
        entry.failures += 1
        recent = [t for t in entry.recent_failures_ms if now_ms - t < RESTART_WINDOW_MS]
        entry.recent_failures_ms = [*recent, now_ms]
        events.log(
            events.Event.SERVICE_FAILED,
            f"service {name} failed: {error!r}",
            logging.ERROR,
            service=name,
            failures=entry.failures,
        )
        if len(entry.recent_failures_ms) <= MAX_RESTARTS:
            return False
        self._failed = name
        events.log(events.Event.SERVICE_GAVE_UP, f"service {name} keeps failing", logging.ERROR)
        self._stop_requested.set()
        return True


class PassiveService:
    """Shows the state of a part that has no task of its own."""

    __slots__ = ("_part",)

    def __init__(self, part: Dumpable) -> None:
        self._part = part

    async def run(self, ready: anyio.Event) -> None:
        """Exist until cancelled.

        :param ready: set at once.
        """
        ready.set()
        await anyio.sleep_forever()

    def dump(self) -> object:
        """Return the part's state as plain data."""
        return self._part.dump()
