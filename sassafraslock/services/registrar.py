"""Tells the store once where this entry is reached."""

from __future__ import annotations

import anyio

from sassafraslock import edge_settings, errors, facts

REGISTER_RETRY_S = 0.5


class Registrar:
    """Writes once, after the start, where this entry is reached."""

    __slots__ = ("_settings", "_source")

    def __init__(self, settings: edge_settings.EdgeSettings, source: facts.FactSource) -> None:
        self._settings = settings
        self._source = source

    async def run(self, ready: anyio.Event) -> None:
        """Write until the store took it, then exist until cancelled.

        :param ready: set at once.
        """
        ready.set()
        registration = facts.Registration(
            self._settings.entry_id,
            self._settings.region,
            self._settings.zone,
            self._settings.gossip_address,
            self._settings.client_address,
        )
        while isinstance(await self._source.register(registration), errors.Refusal):
            await anyio.sleep(REGISTER_RETRY_S)
        await anyio.sleep_forever()
