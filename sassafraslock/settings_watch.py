"""Applies changed settings to a running entry; faulty ones leave those in force."""

from __future__ import annotations

import dataclasses
import logging
import typing

import anyio

from sassafraslock import edge_settings, entry_interfaces, errors, events

POLL_S = 0.5


def settings_never_change(signalled: bool) -> None:
    """Return no settings, for an entry whose settings are read at its start only.

    :param signalled: whether SIGHUP requests the reload.
    """


@dataclasses.dataclass(slots=True)
class SettingsWatch:
    """Reloads the settings every :data:`POLL_S` and on SIGHUP, and counts the results.

    ``last_rejected`` is the reason of the last refusal, empty if the settings in force are those
    read last.
    """

    apply: typing.Callable[[edge_settings.EdgeSettings], None]
    read: entry_interfaces.Reload = settings_never_change
    applied: int = 0
    rejected: int = 0
    last_rejected: str = ""

    async def run(self) -> None:
        """Look for changed settings until cancelled."""
        while True:
            await anyio.sleep(POLL_S)
            self.reload(False)

    def reload(self, signalled: bool) -> None:
        """Read the settings again, and apply them if they are valid and may have changed.

        :param signalled: whether a signal asked for it; if not, unchanged settings are left out.
        """
        try:
            settings = self.read(signalled)
            if isinstance(settings, edge_settings.EdgeSettings):
                self.apply(settings)
        except Exception as error:  # noqa: BLE001 - no settings may end the process
            logging.getLogger(__name__).debug("trace", exc_info=error)
            settings = errors.Refusal(errors.ErrorKind.INVALID_SETTINGS, repr(error))
        if isinstance(settings, errors.Refusal):
            self._reject(settings.reason)
        elif settings is not None:
            self.applied += 1
            self.last_rejected = ""

    def dump(self) -> object:
        """Return the numbers of settings applied and rejected, for the kernel's dump."""
        return {
            "applied": self.applied,
            "rejected": self.rejected,
            "last_rejected": self.last_rejected,
        }

    def _reject(self, reason: str) -> None:
        self.rejected += 1
        self.last_rejected = reason
        events.log(
            events.Event.SETTINGS_REJECTED,
            f"settings in force stay: {reason}",
            logging.WARNING,
            rejected=self.rejected,
        )
