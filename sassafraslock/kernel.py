"""The kernel: registers, starts, supervises, stops and dumps the services of a process."""

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
    """A long-running component that owns its sockets and its state."""

    async def run(self, ready: anyio.Event) -> None:
        """Serve until cancelled.

        :param ready: set once services that start later may use this one.
        """


@typing.runtime_checkable
class Dumpable(typing.Protocol):
    """A service whose state appears in the kernel's dump."""

    def dump(self) -> object:
        """Return the state as built-in types that can be encoded as JSON."""


@typing.runtime_checkable
class Stoppable(typing.Protocol):
    """A service that finishes its work before it is cancelled."""

    async def stop(self) -> None:
        """Finish the work in flight; the kernel limits the time that this may take."""


@dataclasses.dataclass(slots=True)
class _SupervisedService:
    service: Service
    ready: anyio.Event
    scope: anyio.CancelScope
    done: anyio.Event
    failures: int = 0
    recent_failures_ms: list[int] = dataclasses.field(default_factory=list)


class Kernel:
    """Registers and supervises the services of one process.

    A service that raises is restarted, at most :data:`MAX_RESTARTS` times within
    :data:`RESTART_WINDOW_MS`. After one more failure the whole process stops, and
    :attr:`failed_service` names the service; in a stop that has begun, the other services go on.
    ``stop_bound_ms`` is the time limit of all ``stop`` calls together, counted from
    ``stop_requested_ms``, the monotonic time of the first request to stop.
    """

    __slots__ = (
        "stop_bound_ms",
        "stop_requested_ms",
        "_services",
        "_started",
        "_stop_requested",
        "_failed",
        "_killed",
    )

    def __init__(self) -> None:
        self.stop_bound_ms = 0
        self.stop_requested_ms = 0
        self._services: dict[str, _SupervisedService] = {}
        self._started: dict[str, _SupervisedService] = {}
        self._stop_requested = anyio.Event()
        self._failed = ""
        self._killed = False

    def register(self, name: str, service: Service) -> None:
        """Add a service; services start in the order of registration.

        :param name: its unique name, which is also its key in the dump.
        :param service: the service.
        """
        if name in self._services:
            raise ValueError(f"service {name} is registered twice; names must be unique")
        self._services[name] = _SupervisedService(
            service, anyio.Event(), anyio.CancelScope(), anyio.Event()
        )

    def find(self, name: str) -> typing.Any:
        """Return a service by its name.

        :param name: the name under which it was registered.
        :raises KeyError: if no service has this name.
        """
        return self._services[name].service

    def request_stop(self, requested_ms: int | None = None) -> None:
        """Request a graceful stop, which :meth:`run` carries out; later requests change nothing.

        :param requested_ms: the monotonic time from which the stop counts, now if none.
        """
        if self._stop_requested.is_set():
            return
        self.stop_requested_ms = clock.monotonic_ms() if requested_ms is None else requested_ms
        self._stop_requested.set()

    @property
    def failed_service(self) -> str:
        """The service whose repeated failures stopped the process, empty if there is none."""
        return self._failed

    @property
    def all_ready(self) -> bool:
        """Whether every service has set its ``ready`` event."""
        return all(supervised.ready.is_set() for supervised in self._services.values())

    def dump(self) -> dict[str, object]:
        """Return the failure count and state of every service by its name.

        The state is ``None`` if the service is not :class:`Dumpable`.
        """
        states: dict[str, object] = {}
        for name, supervised in self._services.items():
            state = supervised.service.dump() if isinstance(supervised.service, Dumpable) else None
            states[name] = {"failures": supervised.failures, "state": state}
        return states

    async def run(self, stop_bound_ms: int) -> None:
        """Start all services in order, wait for a stop request, and stop them in reverse order.

        Once a stop is requested, no further services are started. When the time limit has passed,
        every service is cancelled, whether its ``stop`` has returned or not.

        :param stop_bound_ms: the first value of :attr:`stop_bound_ms`.
        """
        self.stop_bound_ms = stop_bound_ms
        async with anyio.create_task_group() as group:
            for name, supervised in self._services.items():
                if self._stop_requested.is_set():
                    break
                self._started[name] = supervised
                group.start_soon(self._supervise, name, supervised)
                await self._wait_ready(supervised)
            await self._stop_requested.wait()
            if not self._killed:
                passed_ms = clock.monotonic_ms() - self.stop_requested_ms
                with anyio.move_on_after((self.stop_bound_ms - passed_ms) / 1000):
                    await self._stop_services()
            for supervised in reversed(self._started.values()):
                supervised.scope.cancel()
                await supervised.done.wait()
            group.cancel_scope.cancel()

    def kill(self) -> None:
        """Cancel every service at once without calling ``stop``, as a crash would."""
        self._killed = True
        for supervised in self._services.values():
            supervised.scope.cancel()
        self.request_stop()

    async def _wait_ready(self, supervised: _SupervisedService) -> None:
        async with anyio.create_task_group() as group:

            async def cancel_on(event: anyio.Event) -> None:
                await event.wait()
                group.cancel_scope.cancel()

            for event in (supervised.ready, supervised.done, self._stop_requested):
                group.start_soon(cancel_on, event)

    async def _stop_services(self) -> None:
        for name, supervised in reversed(self._started.items()):
            if not isinstance(supervised.service, Stoppable):
                continue
            try:
                await supervised.service.stop()
            except Exception as error:  # noqa: BLE001 - the other services must stop gracefully
                supervised.failures += 1
                _log_failure(name, supervised, f"service {name} failed to stop: {error!r}")

    async def _supervise(self, name: str, supervised: _SupervisedService) -> None:
        try:
            with supervised.scope:
                while not await self._run_once(name, supervised):
                    await anyio.sleep(RESTART_DELAY_S)
        finally:
            supervised.done.set()

    async def _run_once(self, name: str, supervised: _SupervisedService) -> bool:
        """Run a service until it returns or raises; return false if it must be restarted."""
        try:
            await supervised.service.run(supervised.ready)
        except Exception as error:  # noqa: BLE001 - a supervisor handles every failure
            logging.getLogger(__name__).debug("trace", exc_info=error)
            return self._record_failure(name, supervised, error, clock.monotonic_ms())
        return True

    def _record_failure(
        self, name: str, supervised: _SupervisedService, error: Exception, now_ms: int
    ) -> bool:
        supervised.failures += 1
        recent_ms = [t for t in supervised.recent_failures_ms if now_ms - t < RESTART_WINDOW_MS]
        supervised.recent_failures_ms = [*recent_ms, now_ms]
        _log_failure(name, supervised, f"service {name} failed: {error!r}")
        if len(supervised.recent_failures_ms) <= MAX_RESTARTS:
            return False
        if not self._stop_requested.is_set():
            self._failed = name
        events.log(
            events.Event.SERVICE_GAVE_UP,
            f"service {name} failed {len(supervised.recent_failures_ms)} times"
            f" within {RESTART_WINDOW_MS // 1000} s; stopping the process",
            logging.ERROR,
        )
        self.request_stop(now_ms)
        return True


def _log_failure(name: str, supervised: _SupervisedService, message: str) -> None:
    events.log(
        events.Event.SERVICE_FAILED,
        message,
        logging.ERROR,
        service=name,
        failures=supervised.failures,
    )


class PassiveService:
    """Registers a component that runs no task, so that the dump includes its state."""

    __slots__ = ("_component",)

    def __init__(self, component: Dumpable) -> None:
        self._component = component

    async def run(self, ready: anyio.Event) -> None:
        """Sleep until cancelled.

        :param ready: set immediately, since there is nothing to start.
        """
        ready.set()
        await anyio.sleep_forever()

    def dump(self) -> object:
        """Return the component's state."""
        return self._component.dump()
