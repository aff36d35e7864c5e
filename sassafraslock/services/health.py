"""Signs of backend servers: load reports, drain signals, the VM list and failures."""

from __future__ import annotations

import dataclasses
import logging
import typing

import anyio
import msgspec

from sassafraslock import clock, errors, events, settings, shared_settings
from sassafraslock.decisions import drain, retry
from sassafraslock.services import forwarder

REPORT_TIMEOUT_MS = 500
MAX_REPORT_BYTES = 64 << 10
REPORT_INTERVAL_S = 1.0
REPORT_PATH = "/healthz"

ServerKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class Report:
    """What a backend server says of itself."""

    load: float = 0.0
    draining: bool = False


class HealthService:
    """Owns the signs of the servers that this entry hands out, and acts on its pools."""

    __slots__ = (
        "signs",
        "vm_list",
        "_settings",
        "_platform",
        "_peers",
        "_config",
        "_steward",
        "_forwarder",
    )

    def __init__(
        self,
        process: settings.Settings,
        platform_client: typing.Any,
        peers: typing.Any,
        settings_service: typing.Any,
        steward: typing.Any,
        reporting: typing.Any,
    ) -> None:
        self.signs: dict[ServerKey, drain.ServerSigns] = {}
        self.vm_list: dict[str, bool] = {}
        self._settings = process
        self._platform = platform_client
        self._peers = peers
        self._config = settings_service
        self._steward = steward
        self._forwarder = reporting
        steward.attempt_observer = self.note_attempt
        settings_service.on_change(self._on_settings)

    def _on_settings(self, shared: shared_settings.SharedSettings) -> None:
        now_ms = clock.monotonic_ms()
        for service, rules in shared.services.items():
            for server_id, server in rules.servers.items():
                signs = self.signs.setdefault((service, server_id), drain.ServerSigns())
                signs.intent = server.state == "draining"
        self._apply(now_ms)

    async def run(self, ready: anyio.Event) -> None:
        """Read reports and the VM list until cancelled.

        :param ready: set at once.
        """
        ready.set()
        while True:
            async with anyio.create_task_group() as group:
                group.start_soon(self._read_vms)
                for service, pool in self._steward.pools.items():
                    for server_id in pool.servers:
                        group.start_soon(self._read_report, (service, server_id))
            self._apply(clock.monotonic_ms())
            await anyio.sleep(REPORT_INTERVAL_S)

    async def _read_vms(self) -> None:
        vms = await self._platform.list_vms()
        if isinstance(vms, errors.Refusal):
            return
        self._peers.table.note_vms(vms, clock.monotonic_ms())
        self.vm_list = {vm.vm_id: vm.leaving for vm in vms}
        for (_, server_id), signs in self.signs.items():
            signs.vm_leaving = self.vm_list.get(server_id, False)

    async def _read_report(self, key: ServerKey) -> None:
        service, server_id = key
        rules = self._config.shared.services.get(service)
        server = rules.servers.get(server_id) if rules else None
        if server is None:
            return
        asked = forwarder.Outgoing("GET", REPORT_PATH, [], b"")
        attempt = await self._forwarder.attempt(
            f"{server.host}:{server.port}", 1, asked, REPORT_TIMEOUT_MS, MAX_REPORT_BYTES
        )
        if attempt.end is not retry.AttemptEnd.ANSWERED:
            return
        try:
            report = msgspec.json.decode(attempt.body, type=Report)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return
        signs = self.signs.setdefault(key, drain.ServerSigns())
        signs.load, signs.load_at_ms = report.load, clock.monotonic_ms()
        signs.own_signal = report.draining

    def _apply(self, now_ms: int) -> None:
        for (service, server_id), signs in self.signs.items():
            pool = self._steward.pools.get(service)
            server = pool.servers.get(server_id) if pool else None
            if pool is None or server is None:
                continue
            server.reported_load = signs.load
            accepting = signs.accepting(now_ms)
            if server.accepting and not accepting:
                events.log(
                    events.Event.SERVER_DRAINING,
                    "a server takes no new work",
                    server=f"{service}/{server_id}",
                    draining=signs.draining,
                )
            pool.set_accepting(server_id, accepting, now_ms)

    def note_attempt(self, key: ServerKey, failed: bool, now_ms: int) -> None:
        """Take in how an attempt on a server ended.

        :param key: the service and the server.
        :param failed: whether its connection failed or broke.
        :param now_ms: the present time.
        """
        signs = self.signs.setdefault(key, drain.ServerSigns())
        name = "/".join(key)
        if failed and signs.note_failure(now_ms):
            events.log(
                events.Event.SERVER_FAILED, "a server keeps failing", logging.WARNING, server=name
            )
            self._apply(now_ms)
        if not failed and signs.note_success():
            events.log(events.Event.SERVER_RECOVERED, "a server answers again", server=name)

    def dump(self) -> dict[str, object]:
        """Return the signs of each server."""
        return {"/".join(key): signs for key, signs in self.signs.items()}
