"""An event loop whose time passes at once whenever all tasks wait, for tests of long waits."""

import asyncio
import selectors

import anyio

from sassafraslock import clock


class _Selector(selectors.DefaultSelector):
    """Advances the loop's time in place of waiting."""

    loop = None

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("all tasks wait forever")
        self.loop.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        selector = _Selector()
        selector.loop = self
        self.now_s = 1_000.0
        super().__init__(selector)

    def time(self):
        return self.now_s


def now_ms():
    """Return the virtual time."""
    return int(1_000 * asyncio.get_running_loop().time())


def run(monkeypatch, main, *args):
    """Run a coroutine function in virtual time, which :mod:`clock` shows too."""
    monkeypatch.setattr(clock, "monotonic_ms", now_ms)
    return anyio.run(main, *args, backend_options={"loop_factory": VirtualLoop})
