"""The kernel: start and stop order, restarts of failed services, dumps."""

import anyio
import pytest

from sassafraslock import clock, kernel


class Recorder:
    """Records when it runs and stops, after a number of failed runs."""

    def __init__(self, name, log, failures=0):
        self.name, self.log, self.failures = name, log, failures

    async def run(self, ready):
        if self.failures:
            self.failures -= 1
            raise RuntimeError("broken")
        self.log.append(f"run {self.name}")
        ready.set()
        await anyio.sleep_forever()

    async def stop(self):
        self.log.append(f"stop {self.name}")

    def dump(self):
        return {"name": self.name}


async def stop_soon(core, delay_s=0.05):
    await anyio.sleep(delay_s)
    core.request_stop()


def test_services_start_in_order_and_stop_in_reverse():
    async def main():
        core, log = kernel.Kernel(), []
        for name in "abc":
            core.register(name, Recorder(name, log))
        async with anyio.create_task_group() as group:
            group.start_soon(stop_soon, core)
            await core.run(1000)
        assert log == ["run a", "run b", "run c", "stop c", "stop b", "stop a"]
        assert core.dump()["b"] == {"failures": 0, "state": {"name": "b"}}

    anyio.run(main)


def test_a_failed_service_is_restarted_and_its_failures_are_counted(monkeypatch):
    monkeypatch.setattr(kernel, "RESTART_DELAY_S", 0.001)

    async def main():
        core, log = kernel.Kernel(), []
        core.register("a", Recorder("a", log, failures=2))
        async with anyio.create_task_group() as group:
            group.start_soon(stop_soon, core)
            await core.run(1000)
        assert log[0] == "run a"
        assert core.dump()["a"]["failures"] == 2
        assert core.failed_service == ""

    anyio.run(main)


def test_a_service_that_keeps_failing_stops_the_process(monkeypatch):
    monkeypatch.setattr(kernel, "RESTART_DELAY_S", 0.001)

    async def main():
        core = kernel.Kernel()
        core.register("a", Recorder("a", [], failures=99))
        with anyio.fail_after(5):
            await core.run(1000)
        assert core.failed_service == "a"

    anyio.run(main)


class Stubborn(Recorder):
    """Fails from the moment that the stop begins, or in its own ``stop``."""

    def __init__(self, name, log, stopping, fails_in_stop=False):
        super().__init__(name, log)
        self.stopping, self.fails_in_stop = stopping, fails_in_stop

    async def run(self, ready):
        ready.set()
        await self.stopping.wait()
        raise RuntimeError("broken")

    async def stop(self):
        self.log.append(f"stop {self.name}")
        if self.fails_in_stop:
            raise RuntimeError("broken")


class Drainer(Recorder):
    """Drains until another service has failed as often as the kernel restarts it."""

    def __init__(self, name, log, stopping, failures):
        super().__init__(name, log)
        self.stopping, self.failures_of_other = stopping, failures

    async def run(self, ready):
        ready.set()
        await anyio.sleep_forever()

    async def stop(self):
        self.stopping.set()
        await anyio.sleep(0.001)
        while self.failures_of_other() <= kernel.MAX_RESTARTS:
            await anyio.sleep(0.001)
        self.log.append(f"stop {self.name}")


def test_a_service_that_fails_during_a_planned_stop_does_not_make_it_a_failure(monkeypatch):
    """The process ended with the exit code of a failed service."""
    monkeypatch.setattr(kernel, "RESTART_DELAY_S", 0.001)

    async def main():
        core, log, stopping = kernel.Kernel(), [], anyio.Event()
        core.register("failing", Stubborn("failing", log, stopping))
        core.register("front", Drainer("front", log, stopping, failures_of(core, "failing")))
        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(stop_soon, core)
                await core.run(4000)
        assert log == ["stop front", "stop failing"]
        assert core.failed_service == ""

    anyio.run(main)


def failures_of(core, name):
    return lambda: core.dump()[name]["failures"]


def test_a_stop_that_raises_does_not_skip_the_stops_of_other_services():
    """The error left the kernel, ended the process with a traceback and cut all requests."""

    async def main():
        core, log = kernel.Kernel(), []
        core.register("a", Recorder("a", log))
        core.register("b", Stubborn("b", log, anyio.Event(), fails_in_stop=True))
        async with anyio.create_task_group() as group:
            group.start_soon(stop_soon, core)
            await core.run(1000)
        assert log == ["run a", "stop b", "stop a"]

    anyio.run(main)


class Unready(Recorder):
    """Never becomes ready, as a service whose address is in use."""

    async def run(self, ready):
        self.log.append(f"run {self.name}")
        await anyio.sleep_forever()


def test_a_stop_during_the_start_starts_no_further_services():
    """All other services were started, and then stopped as if they had served."""

    async def main():
        core, log = kernel.Kernel(), []
        for service in (Recorder("a", log), Unready("b", log), Recorder("c", log)):
            core.register(service.name, service)
        async with anyio.create_task_group() as group:
            group.start_soon(stop_soon, core)
            with anyio.fail_after(5):
                await core.run(1000)
        assert log == ["run a", "run b", "stop b", "stop a"]

    anyio.run(main)


def test_the_time_limit_of_a_stop_may_change_until_it_begins():
    """A grace period that a reload had made longer did not apply, and stops were cut short."""

    async def main():
        core, log, stopping = kernel.Kernel(), [], anyio.Event()
        core.register("slow", Drainer("slow", log, stopping, lambda: kernel.MAX_RESTARTS + 1))
        async with anyio.create_task_group() as group:
            group.start_soon(core.run, 0)
            while not core.all_ready:
                await anyio.sleep(0.001)
            core.stop_bound_ms = 4000
            core.request_stop()
        assert log == ["stop slow"]

    anyio.run(main)


# Guards against a stop that takes its whole time limit though its signal was handled late.
def test_the_time_limit_of_a_stop_counts_from_its_request():
    async def main():
        core, log, stopping = kernel.Kernel(), [], anyio.Event()
        core.register("slow", Drainer("slow", log, stopping, lambda: kernel.MAX_RESTARTS + 1))
        async with anyio.create_task_group() as group:
            group.start_soon(core.run, 4_000)
            while not core.all_ready:
                await anyio.sleep(0.001)
            core.request_stop(clock.monotonic_ms() - 4_000)
            core.request_stop(clock.monotonic_ms())
        assert log == []

    anyio.run(main)


def test_kill_cancels_services_without_calling_stop():
    async def main():
        core, log = kernel.Kernel(), []
        core.register("a", Recorder("a", log))
        async with anyio.create_task_group() as group:
            group.start_soon(core.run, 1000)
            await anyio.sleep(0.02)
            core.kill()
        assert log == ["run a"]

    anyio.run(main)


def test_a_name_cannot_be_registered_twice():
    async def main():
        core = kernel.Kernel()
        core.register("a", Recorder("a", []))
        with pytest.raises(ValueError, match="registered twice"):
            core.register("a", Recorder("a", []))

    anyio.run(main)
