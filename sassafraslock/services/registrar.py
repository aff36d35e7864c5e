"""Registration of this entry's addresses in the store."""

from __future__ import annotations

import anyio

from sassafraslock import edge_settings, errors, facts

REGISTER_RETRY_S = 0.5


class Registrar:
    """Writes this entry's region, zone and addresses to the store once after the start."""

    __slots__ = ("_settings", "_source")

    def __init__(self, settings: edge_settings.EdgeSettings, source: facts.FactSource) -> None:
        self._settings = settings
        self._source = source

    async def run(self, ready: anyio.Event) -> None:
        """Retry until the store accepts the registration, then wait until cancelled.

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
