"""What an entry does on signals: SIGTERM and SIGINT stop it, SIGHUP reloads the settings."""

from __future__ import annotations

import signal
import typing

import anyio

from sassafraslock import events, signals

INTERVAL_S = 0.1  # repeated signals within it are handled together


class SignalWatch:
    """Handles the signals of the process, also those that arrived before the event loop ran.

    The first signal to stop is named by :attr:`stop_signal`; later ones do not change the stop.
    ``request_stop`` is called with the monotonic time at which it arrived, since it may be handled
    later.
    Without signals to watch, the caller of the entry handles them.
    """

    __slots__ = ("stop_signal", "_signals", "_request_stop", "_reload")

    def __init__(
        self,
        process_signals: signals.ProcessSignals | None,
        request_stop: typing.Callable[[int | None], None],
        reload: typing.Callable[[], None],
    ) -> None:
        self.stop_signal = ""
        self._signals = process_signals
        self._request_stop = request_stop
        self._reload = reload

    @property
    def stop_reason(self) -> str:
        """The signal that requested the stop, or that none did."""
        return self.stop_signal or "a stop was requested without a signal"

    async def run(self) -> None:
        """Handle signals until cancelled."""
        while self._signals is not None:
            await anyio.wait_readable(self._signals.fileno())
            self.handle_pending()
            await anyio.sleep(INTERVAL_S)

    def handle_pending(self) -> None:
        """Handle the signals that have arrived since the last call, repeated ones once."""
        if self._signals is None:
            return
        for number, count in self._signals.take().items():
            if not count:
                continue
            name = signal.Signals(number).name
            if number not in signals.STOP_SIGNALS:
                _log(name, count, "reload")
                self._reload()
            elif self.stop_signal:
                _log(name, count, "already stopping")
            else:
                _log(name, count, "stop")
                self.stop_signal = name
                self._request_stop(self._signals.stop_requested_ms)


def _log(name: str, count: int, action: str) -> None:
    events.log(
        events.Event.SIGNAL_RECEIVED,
        f"received {name}: {action}",
        signal=name,
        count=count,
        action=action,
    )
