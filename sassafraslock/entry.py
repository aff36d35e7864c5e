"""An entry on the product's own platform, with a table service and an object store."""

from __future__ import annotations

import typing

from sassafraslock import (
    edge,
    edge_settings,
    entry_interfaces,
    header_names,
    http_messages,
    settings,
    settings_file,
    settings_watch,
    signals,
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

HEADER_NAMES = header_names.HeaderNames()


class HandlerFactory:
    """The handlers of an entry's addresses on the product's own platform."""

    __slots__ = ("blocks", "_store", "_token")

    def __init__(self, store: settings_store.SettingsStore, token: str) -> None:
        self.blocks = client_blocks.ClientBlocks()
        self._store = store
        self._token = token

    def client_handler(self, entry: edge.Edge) -> http_messages.Handler:
        """Return the handler of callers' requests, for servers and for lists of entries.

        :param entry: the entry that serves the address.
        """
        zone = entry.settings.zone
        return caller_api.CallerApi(
            entry.pipeline, entry.directory, self.blocks, zone, HEADER_NAMES
        )

    def directory_handler(self, entry: edge.Edge) -> http_messages.Handler:
        """Return the callers' handler, which also answers look-ups of entries.

        :param entry: the entry that serves the address.
        """
        return self.client_handler(entry)

    def readiness_handler(self, entry: edge.Edge) -> http_messages.Handler:
        """Return the operators' handler, which also answers ``/readyz``.

        :param entry: the entry that serves the address.
        """
        return self.operator_handler(entry)

    def operator_handler(self, entry: edge.Edge) -> http_messages.Handler:
        """Return the handler of the operators' interface.

        :param entry: the entry that serves the address.
        """
        return operator_api.OperatorApi(entry, self._store, self._token)


class Entry:
    """The process of one entry, built from its process settings."""

    __slots__ = ("settings", "edge", "source", "_handler_factory")

    def __init__(
        self,
        process: settings.Settings,
        table: typing.Any,
        log_lines: log_writer.BufferedLogHandler,
    ) -> None:
        self.settings = process
        self.source = settings_source.SettingsSource(table, process.poll_ms)
        store = settings_store.SettingsStore(table)
        self._handler_factory = HandlerFactory(store, process.operator.token)
        key_claims = claims.Claims(table, HEADER_NAMES)
        loader = block_loader.BlockLoader(process, table, self._handler_factory.blocks)
        self.edge = edge.Edge(
            convert_settings(process),
            self.source,
            self._handler_factory,
            HEADER_NAMES,
            log_lines,
            key_claims,
            {"platform": table, "blocks": loader},
        )

    async def run(
        self,
        reload: entry_interfaces.Reload = settings_watch.settings_never_change,
        process_signals: signals.ProcessSignals | None = None,
    ) -> str:
        """Serve until SIGTERM or SIGINT, or until the kernel is asked to stop.

        :param reload: reads the settings again.
        :param process_signals: the signals of the process, none to leave them to the caller.
        :returns: the name of the service whose repeated failures ended the process, or empty.
        """
        return await self.edge.run(reload, process_signals)


def convert_settings(process: settings.Settings) -> edge_settings.EdgeSettings:
    """Convert process settings; bounds that they do not name keep their defaults.

    :param process: the process settings.
    """
    bounds = edge_settings.Bounds(
        grace_ms=process.stop_bound_ms,
        max_validity_ms=process.validity_ms,
        revoke_ms=process.keys.revoke_ms,
        quota_window_ms=process.quotas.window_ms,
        quota_overage=process.quotas.overage,
        quota_slack=process.quotas.slack,
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
        object_homes_by_demand=process.object_homes_by_demand,
        bounds=bounds,
    )


def parse_settings(path: str, content: bytes) -> settings_file.SettingsResult:
    """Convert the content of a file of process settings.

    :param path: the file, which a refusal names.
    :param content: its content.
    """
    try:
        loaded = settings.load(content.decode())
    except (ValueError, RecursionError) as error:
        return settings_file.invalid(path, f"cannot be read: {error}; write TOML in UTF-8")
    if isinstance(loaded, settings.Settings):
        return convert_settings(loaded)
    return settings_file.invalid(path, "; ".join(map(str, loaded)))


async def run_process(
    process: settings.Settings,
    log_lines: log_writer.BufferedLogHandler,
    reload: entry_interfaces.Reload,
    process_signals: signals.ProcessSignals,
) -> str:
    """Build an entry and serve until SIGTERM or SIGINT.

    :param process: the process settings.
    :param log_lines: the buffer that log lines are written from.
    :param reload: reads the settings again.
    :param process_signals: the signals of the process.
    :returns: the name of the service whose repeated failures ended the process, or empty.
    """
    table = platform_client.PlatformClient(process.platform)
    return await Entry(process, table, log_lines).run(reload, process_signals)
