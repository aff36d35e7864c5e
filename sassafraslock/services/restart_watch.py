"""Finds servers that may have started again, and asks them how long they stay cold."""

from __future__ import annotations

import dataclasses
import re

import anyio
import anyio.abc

from sassafraslock import clock, events, header_names, http_messages, routing_table
from sassafraslock.decisions import placement, possible_restart, registry, server_restarts
from sassafraslock.services import replica, routing_state, server_connection, upstream

TICK_S = 0.1
FIRST_PROBE_MS = 100
MAX_PROBE_INTERVAL_MS = 800
# What a peer saw, it usually follows up itself.
PEER_PROBE_DELAY_MS = 1_000
CHECK_FOR_MS = 1_000  # how long to try to check a server of which a peer has weak evidence
MIN_REFRESH_INTERVAL_MS = 2_000
HEALTH_CHECK_INTERVAL_MS = 500
HEALTH_CHECK_TIMEOUT_S = 1.0
MAX_PROBES = 32
HEALTHY = 200  # the status of a health check that succeeds
_MILLISECONDS = re.compile(r"[0-9]{1,8}")


@dataclasses.dataclass(slots=True)
class _Probe:
    """When a server is probed next, and the pause after that."""

    due_ms: int
    interval_ms: int = FIRST_PROBE_MS
    is_running: bool = False


class RestartWatch:
    """Observes connections to servers, and probes those that may have ended until they are up.

    A server that is up again is asked for its remaining cold time, by the entries that may send to
    it while it is cold. Others hear of it from these, or wait until it is warm at the latest.
    """

    __slots__ = (
        "_restarts",
        "_placer",
        "_connections",
        "_state",
        "_names",
        "_replica",
        "_probes",
        "_checks",
        "_refreshed_ms",
    )

    def __init__(
        self,
        placer: placement.Placer,
        connections: upstream.Upstream,
        state: routing_state.RoutingState,
        names: header_names.HeaderNames,
        copy: replica.Replica,
    ) -> None:
        self._restarts = restarts = placer.cold.restarts
        self._placer = placer
        self._connections = connections
        self._state = state
        self._names = names
        self._replica = copy
        self._probes: dict[str, _Probe] = {}
        connections.observer = self
        self._refreshed_ms = -MIN_REFRESH_INTERVAL_MS
        self._checks: dict[str, int] = {}  # until when, by the server's id
        restarts.connected_before = connections.connected_before
        restarts.cold_start_ms = state.cold_start_ms

    async def run(self, ready: anyio.Event) -> None:
        """Probe servers that may have ended, until cancelled.

        :param ready: set at once.
        """
        ready.set()
        self._probes.clear()
        async with anyio.create_task_group() as group:
            while True:
                now_ms = clock.monotonic_ms()
                if self._restarts.tick(now_ms):
                    self._refresh(now_ms)
                self._start_probes(group, now_ms)
                self._start_checks(group, now_ms)
                await anyio.sleep(TICK_S)

    def _refresh(self, now_ms: int) -> None:
        """Ask the store for what happened while this entry was paused."""
        if now_ms - self._refreshed_ms < MIN_REFRESH_INTERVAL_MS:
            return
        self._refreshed_ms = now_ms
        events.log(
            events.Event.ENTRY_RESUMED, "this entry was paused; it reads the rows of servers again"
        )
        self._replica.refresh_servers()

    def _start_probes(self, group: anyio.abc.TaskGroup, now_ms: int) -> None:
        waiting = [s for s in self._state.registry.servers.values() if _is_unsettled(s, now_ms)]
        unsettled = {registry.start_id(s): s for s in waiting}
        self._probes = {
            name: probe
            for name, probe in self._probes.items()
            if name in unsettled or probe.is_running
        }
        for name, server in unsettled.items():
            if name not in self._probes:
                self._probes[name] = _Probe(_first_probe_ms(server, now_ms))
        running = sum(probe.is_running for probe in self._probes.values())
        waiting_names = [n for n, p in self._probes.items() if not p.is_running and n in unsettled]
        waiting_names.sort(key=lambda name: self._probes[name].due_ms)
        for name in waiting_names[: max(0, MAX_PROBES - running)]:
            probe = self._probes[name]
            if now_ms >= probe.due_ms:
                probe.is_running = True
                group.start_soon(self._probe, unsettled[name], probe)

    def _start_checks(self, group: anyio.abc.TaskGroup, now_ms: int) -> None:
        """Ask servers of which a peer has weak evidence, if this entry may send to them."""
        self._checks = {i: until_ms for i, until_ms in self._checks.items() if now_ms < until_ms}
        for server_id in list(self._checks):
            server = self._state.registry.servers.get(server_id)
            if server is None or self._try_acquire_check(server, now_ms):
                del self._checks[server_id]
            if server is not None and server_id not in self._checks:
                group.start_soon(self._check_health, server, now_ms)

    async def _probe(self, server: registry.Server, probe: _Probe) -> None:
        try:
            if server.is_down:
                await self._connections.probe(server.report.address)
            if server.is_down:
                probe.interval_ms = min(MAX_PROBE_INTERVAL_MS, 2 * probe.interval_ms)
                probe.due_ms = clock.monotonic_ms() + probe.interval_ms
                return
            now_ms = clock.monotonic_ms()
            if self._try_acquire_check(server, now_ms):
                await self._check_health(server, now_ms)
            probe.due_ms = now_ms + HEALTH_CHECK_INTERVAL_MS
        finally:
            probe.is_running = False

    def _try_acquire_check(self, server: registry.Server, now_ms: int) -> bool:
        """Return whether this entry may ask a server for its cold time, and count that if so.

        A health check is a request, which servers of evacuated zones do not get, and cold ones
        from the entries alone that may send to them.
        """
        service = self._service_of(server)
        if service is None or not service.health_path or not self._names.cold_ms:
            return False
        if server.report.zone in self._state.registry.evacuated_zones:
            return False
        return self._placer.cold.try_acquire(server, service.cold_per_s, now_ms)

    async def _check_health(self, server: registry.Server, sent_ms: int) -> None:
        service = self._service_of(server)
        if service is None:
            return
        with anyio.move_on_after(HEALTH_CHECK_TIMEOUT_S):
            exchange = await self._connections.exchange(
                server.report.address, lambda: self._encode(server, service), b"", False
            )
            warm_in_ms = self._warm_in_ms(server, exchange)
            if warm_in_ms is not None:
                self._record_warm_in(server, warm_in_ms, sent_ms)

    def _record_warm_in(self, server: registry.Server, warm_in_ms: int, sent_ms: int) -> None:
        restart = server.restart
        if warm_in_ms:
            self._placer.forget_start(server, sent_ms)
        elif restart is not None and restart.idle_ms:
            self._connections.record_idle_close(restart.idle_ms)
        self._restarts.record_warm_in(server, warm_in_ms, sent_ms)
        self._log(server, f"server tells that it is warm in {warm_in_ms} ms")

    def _service_of(self, server: registry.Server) -> routing_table.Service | None:
        table = self._state.table
        return table.services.get(server.report.service) if table is not None else None

    def _encode(self, server: registry.Server, service: routing_table.Service) -> bytes:
        target = (self._names.target_server, server.server_id.encode("latin-1"))
        host = (b"host", server.report.address.encode())
        return http_messages.encode_request("GET", service.health_path, [host, target], b"")

    def _warm_in_ms(
        self, server: registry.Server, exchange: server_connection.Exchange
    ) -> int | None:
        """Return the remaining cold time that a health answer tells, ``None`` if it tells none.

        A good answer of the server without the header is one of a warm server.
        """
        response = exchange.response
        if response is None or response.status != HEALTHY:
            return None
        if response.header(self._names.server_id) != server.server_id.encode("latin-1"):
            return None
        value = response.header(self._names.cold_ms).decode("latin-1")
        if not value:
            return 0
        return int(value) if _MILLISECONDS.fullmatch(value) else None

    # observer of connections

    def on_connected(self, address: str) -> None:
        """Record that the server at an address is up.

        :param address: the IP address and port.
        """
        now_ms = clock.monotonic_ms()
        for server in self._servers_at(address):
            if self._restarts.record_up(server, now_ms):
                self._placer.health_of(server).end_ejection()
                self._log(server, "server is up; it may have started again and counts as cold")

    def on_not_connected(self, address: str, reachability: upstream.Reachability) -> None:
        """Record that the server at an address may have ended.

        :param address: the IP address and port.
        :param reachability: whether it refused it, or could not be reached.
        """
        evidence = possible_restart.Evidence.UNREACHABLE
        if reachability is upstream.Reachability.REFUSES:
            evidence = possible_restart.Evidence.REFUSED
        self._record_end(address, evidence)

    def on_disconnected(self, address: str, idle_ms: int) -> None:
        """Record that the server at an address may have ended.

        :param address: the IP address and port.
        :param idle_ms: how long the connection was idle that ended.
        """
        self._record_end(address, possible_restart.Evidence.DISCONNECTED, idle_ms)

    def on_answered(self, address: str, opened_ms: int) -> None:
        """Record that the server at an address has not ended since a connection was opened.

        :param address: the IP address and port.
        :param opened_ms: when the connection was opened.
        """
        for server in self._servers_at(address):
            if self._restarts.record_answer(server, opened_ms):
                self._log(server, "server did not end: it answered on an older connection")

    def _record_end(
        self, address: str, evidence: possible_restart.Evidence, idle_ms: int = 0
    ) -> None:
        now_ms = clock.monotonic_ms()
        for server in self._servers_at(address):
            if self._restarts.record_end(server, evidence, now_ms, idle_ms):
                self._log(server, "server may have ended")
            if evidence is possible_restart.Evidence.REFUSED:
                self._placer.forget_start(server, now_ms)

    def recent_reports(self, now_ms: int) -> list[server_restarts.RestartReport]:
        """Return what entries observed lately, to send to other entries.

        :param now_ms: the current monotonic time.
        """
        return self._restarts.recent_reports(now_ms)

    def merge_reports(self, reports: list[server_restarts.RestartReport], now_ms: int) -> None:
        """Merge what another entry knows of servers that may have started again.

        :param reports: the observations.
        :param now_ms: the current monotonic time.
        """
        merged = self._restarts.merge_reports(reports, now_ms)
        for server in merged.to_check:
            self._checks.setdefault(server.server_id, now_ms + CHECK_FOR_MS)
        for server in merged.suspected:
            self._placer.forget_start(server, now_ms)
            self._log(server, "a peer saw that the server may have ended")

    def _servers_at(self, address: str) -> list[registry.Server]:
        return self._state.registry.servers_at(address)

    def _log(self, server: registry.Server, message: str) -> None:
        restart = server.restart
        events.log(
            events.Event.SERVER_RESTART_SUSPECTED,
            message,
            server=server.server_id,
            service=server.report.service,
            born_ms=server.report.born_ms,
            evidence=restart.evidence if restart is not None else None,
            is_up=not server.is_down,
        )

    def dump(self) -> dict[str, object]:
        """Return what is known of each server that may have started again, by its id."""
        return {
            s.server_id: dataclasses.asdict(s.restart)
            for s in self._state.registry.servers.values()
            if s.restart is not None
        }


def _is_unsettled(server: registry.Server, now_ms: int) -> bool:
    """Return whether a server may be up again, or cold for a time that it has not told."""
    restart = server.restart
    if restart is None or server.draining:
        return False
    return restart.warm_at_ms is None and restart.is_cold(now_ms)


def _first_probe_ms(server: registry.Server, now_ms: int) -> int:
    restart = server.restart
    if restart is not None and restart.evidence is possible_restart.Evidence.PEER:
        return now_ms + PEER_PROBE_DELAY_MS
    return now_ms
