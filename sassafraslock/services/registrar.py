"""Registration of this entry's addresses in the store."""

from __future__ import annotations

import random

import anyio

from sassafraslock import edge_settings, errors, facts

REGISTER_RETRY_S = 0.5
RENEW_SPREAD_S = 1.0  # a restored store may have lost the registrations of all entries


class Registrar:
    """Writes this entry's region, zone and addresses to the store after the start.

    It writes them once more if a restored store has lost them.
    """

    __slots__ = ("_settings", "_source", "_is_lost")

    def __init__(self, settings: edge_settings.EdgeSettings, source: facts.FactSource) -> None:
        self._settings = settings
        self._source = source
        self._is_lost = anyio.Event()

    def check(self, topic: facts.Topic, keys: set[str]) -> None:
        """Register once more if this entry's row is lost.

        :param topic: the topic that was read from a restored store.
        :param keys: the keys that the store has of it.
        """
        if topic is facts.Topic.ENTRIES and self._settings.entry_id not in keys:
            self._is_lost.set()

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
        while True:
            while isinstance(await self._source.register(registration), errors.Refusal):
                await anyio.sleep(REGISTER_RETRY_S)
            self._is_lost = anyio.Event()
            await self._is_lost.wait()
            await anyio.sleep(RENEW_SPREAD_S * random.random())
