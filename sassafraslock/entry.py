"""An entry on the product's own platform: table service, object store, callers and operators."""

from __future__ import annotations

import typing

from sassafraslock import (
    edge,
    edge_settings,
    header_names,
    http_messages,
    settings,
)
from sassafraslock.decisions import client_blocks
from sassafraslock.services import (
    block_loader,
    caller_api,
    claims,
    log_writer,
    operator_api,
    platform_client,
    settings_source,
    settings_store,
)

NAMES = header_names.HeaderNames()


class Interfaces:
    """What callers and operators speak on an entry's addresses."""

    __slots__ = ("blocks", "_store", "_token")

    def __init__(self, store: settings_store.SettingsStore, token: str) -> None:
        self.blocks = client_blocks.ClientBlocks()
        self._store = store
        self._token = token

    def client_handler(self, entry: edge.Edge) -> http_messages.Handler:
        """Return the handler of the callers' address.

        :param entry: the entry.
        """
        zone = entry.settings.zone
        return caller_api.CallerApi(entry.pipeline, entry.directory, self.blocks, zone, NAMES)

    def directory_handler(self, entry: edge.Edge) -> http_messages.Handler:
        """Return the handler of a directory of its own: the callers' one serves look-ups.

        :param entry: the entry.
        """
        return self.client_handler(entry)

    def readiness_handler(self, entry: edge.Edge) -> http_messages.Handler:
        """Return the handler of a readiness address of its own: operators ask ``/readyz``.

        :param entry: the entry.
        """
        return self.operator_handler(entry)

    def operator_handler(self, entry: edge.Edge) -> http_messages.Handler:
        """Return the handler of the operators' address.

        :param entry: the entry.
        """
        return operator_api.OperatorApi(entry, self._store, self._token)


class Entry:
    """An entry VM's process by its settings file."""

    __slots__ = ("settings", "edge", "source", "_interfaces")

    def __init__(
        self, process: settings.Settings, table: typing.Any, lines: log_writer.BufferedLogHandler
    ) -> None:
        self.settings = process
        self.source = settings_source.SettingsSource(table, process.poll_ms)
        store = settings_store.SettingsStore(table)
        self._interfaces = Interfaces(store, process.operator.token)
        keys = claims.Claims(table, NAMES)
        self.edge = edge.Edge(
            edge_settings_of(process), self.source, self._interfaces, NAMES, lines, keys
        )
        self.edge.kernel.register("platform", table)
        loader = block_loader.BlockLoader(process, table, self._interfaces.blocks)
        self.edge.kernel.register("blocks", loader)

    async def run(self) -> str:
        """Serve until SIGTERM or SIGINT.

        :returns: the name of the service that made the process give up, or nothing.
        """
        return await self.edge.run(lambda signalled: None)


def edge_settings_of(process: settings.Settings) -> edge_settings.EdgeSettings:
    """Return where an entry stands and listens.

    :param process: the process settings.
    """
    bounds = edge_settings.Bounds(
        grace_ms=process.stop_bound_ms, max_validity_ms=process.validity_ms
    )
    return edge_settings.EdgeSettings(
        entry_id=process.entry_id,
        zone=f"{process.region}/{process.zone}",
        region=process.region,
        client_address=str(process.caller),
        directory_address="",
        readiness_address="",
        gossip_address=str(process.peer),
        operator_address=f"{process.operator.host}:{process.operator.port}",
        seeds=tuple(str(peer) for peer in process.peers),
        peer_token=process.peer_token,
        memory_bytes=process.memory_mib << 20,
        bounds=bounds,
    )


async def run_process(process: settings.Settings, lines: log_writer.BufferedLogHandler) -> str:
    """Build an entry and serve until SIGTERM or SIGINT.

    :param process: the process settings.
    :param lines: the buffer of log lines.
    :returns: the name of the service that made the process give up, or nothing.
    """
    table = platform_client.PlatformClient(process.platform)
    return await Entry(process, table, lines).run()
