"""Signals of the process, remembered from its first instructions to its exit.

A program installs the handlers before it imports anything else, so this module imports little.
"""

from __future__ import annotations

import contextlib
import os
import signal
import types

from sassafraslock import clock

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
HANDLED_SIGNALS = (RELOAD_SIGNAL, *STOP_SIGNALS)
READ_BYTES = 65_536  # the capacity of a pipe

SignalCounts = dict[int, int]


class ProcessSignals:
    """Counts the signals that arrive until :meth:`take` is called.

    The handlers stay when an event loop ends. For each signal a byte is written to a pipe, which
    wakes an event loop that waits for :meth:`fileno`. ``stop_requested_ms`` is the monotonic time
    at which the first signal to stop arrived.
    """

    __slots__ = ("stop_requested_ms", "_counts", "_pipe")

    def __init__(self) -> None:
        self.stop_requested_ms: int | None = None
        self._counts = _no_signals()
        self._pipe: tuple[int, int] | None = None

    def install(self) -> None:
        """Set the handlers; further calls do nothing.

        Signals that the parent process blocked before it started this one are delivered then.
        """
        if self._pipe is not None:
            return
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._count)
        self._pipe = os.pipe()
        for descriptor in self._pipe:
            os.set_blocking(descriptor, False)
        signal.set_wakeup_fd(self._pipe[1], warn_on_full_buffer=False)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

    def fileno(self) -> int:
        """Return the descriptor that becomes readable when a signal arrives."""
        if self._pipe is None:
            raise RuntimeError("the handlers are not installed")
        return self._pipe[0]

    def take(self) -> SignalCounts:
        """Return how often each signal arrived since the last call."""
        with contextlib.suppress(BlockingIOError):  # if none has arrived since
            os.read(self.fileno(), READ_BYTES)
        counts, self._counts = self._counts, _no_signals()
        return counts

    def ignore(self) -> None:
        """Ignore the signals from now on.

        The interpreter sets handlers to the default action as it ends, but leaves ignored signals
        ignored.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _count(self, number: int, frame: types.FrameType | None) -> None:
        self._counts[number] += 1
        if number in STOP_SIGNALS and self.stop_requested_ms is None:
            self.stop_requested_ms = clock.monotonic_ms()


def _no_signals() -> SignalCounts:
    return dict.fromkeys(map(int, HANDLED_SIGNALS), 0)


PROCESS = ProcessSignals()
