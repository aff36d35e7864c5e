"""This entry's view of routes and servers, built from the replica's changes."""

from __future__ import annotations

import logging
import typing

import msgspec

from sassafraslock import events, facts, routing_table
from sassafraslock.decisions import registry, roster
from sassafraslock.services import rejections


class RoutingState:
    """Holds routing table and server registry; logs each change of where requests may go.

    A row that cannot be used costs what it held, and nothing else: its server gets no more
    requests, while intents in force stay in force.

    ``listeners`` are called with each new routing table. ``on_server_joined`` is called for each
    new start of a server after the first full read, be its id new or not, ``on_server_restarted``
    for each new start of a known one. ``restarts`` counts the latter.
    """

    __slots__ = (
        "table",
        "registry",
        "rejections",
        "restarts",
        "_roster",
        "_hold_until_ms",
        "listeners",
        "on_server_joined",
        "on_server_restarted",
    )

    def __init__(self, servers: registry.Registry, members: roster.Roster) -> None:
        self.table: routing_table.RoutingTable | None = None
        self.registry = servers
        self.rejections = rejections.Rejections()
        self.restarts = 0
        self._roster = members
        self._hold_until_ms: typing.Callable[[int], int] = lambda now_ms: 0
        self.listeners: list[typing.Callable[[routing_table.RoutingTable], None]] = []
        self.on_server_joined: typing.Callable[[str, int], None] = lambda server_id, now_ms: None
        self.on_server_restarted: typing.Callable[[registry.Server, int], None] = (
            lambda server, now_ms: None
        )

    def set_removal_hold(self, hold_until_ms: typing.Callable[[int], int]) -> None:
        """Set how long a removed server stays in use; without it, the removal applies at once.

        :param hold_until_ms: returns the end of the hold, given the current monotonic time.
        """
        self._hold_until_ms = hold_until_ms

    def apply(self, change: facts.Change, first_read: bool, now_ms: int) -> None:
        """Apply one change; a row that cannot be used is counted and logged.

        :param change: the newest state of a row.
        :param first_read: whether the row comes from the first full read of this process.
        :param now_ms: the current monotonic time.
        """
        if change.unreadable is not None:
            self._reject(events.Event.ROW_UNREADABLE, change, change.unreadable.reason, now_ms)
        try:
            self._apply_fact(change, first_read, now_ms)
        except Exception as error:  # noqa: BLE001 - whatever a row raises costs that row alone
            logging.getLogger(__name__).debug("trace", exc_info=error)
            self._reject(events.Event.ROW_FAILED, change, f"{error!r}", now_ms)
            if change.topic is facts.Topic.SERVERS:
                self.registry.apply_removal(change.key, now_ms, 0)

    def _reject(self, event: events.Event, change: facts.Change, reason: str, now_ms: int) -> None:
        self.rejections.record(
            event, change.topic, reason, now_ms, key=change.key, version=change.version
        )

    def _apply_fact(self, change: facts.Change, first_read: bool, now_ms: int) -> None:
        if change.topic is facts.Topic.INTENTS:
            self._apply_intents(change, now_ms)
        elif change.topic is facts.Topic.SERVERS:
            self._apply_server(change, first_read, now_ms)
        elif change.registration is not None:
            self._apply_registration(change.registration, now_ms)

    def _apply_intents(self, change: facts.Change, now_ms: int) -> None:
        if change.intents is not None:
            self._set_table(change.intents, change.version)
        elif change.evacuation is not None:
            self._set_evacuation(change.evacuation.zone, True, change.version, now_ms)
        elif change.is_removed and change.key in self.registry.evacuated_zones:
            self._set_evacuation(change.key, False, change.version, now_ms)

    def _set_table(self, intents: routing_table.Intents, version: int) -> None:
        if self.table is not None and intents.version <= self.table.version:
            return
        self.table = routing_table.RoutingTable(intents)
        self._log_faults(intents, self.table, version)
        events.log(
            events.Event.SETTINGS_IN_FORCE,
            "routing intents applied",
            revision=intents.version,
            routes=len(intents.routes),
            store_version=version,
        )
        for listener in self.listeners:
            listener(self.table)

    def _log_faults(
        self, intents: routing_table.Intents, table: routing_table.RoutingTable, version: int
    ) -> None:
        """Log the workspaces that cannot be used."""
        faults = [] if intents.faults is msgspec.UNSET else list(intents.faults)
        for name in table.workspaces.shared_by if table.workspaces is not None else ():
            faults.append(f"workspace {name}: holds a key that another workspace holds too")
        for fault in faults:
            events.log(
                events.Event.WORKSPACE_INVALID, fault, logging.WARNING, store_version=version
            )

    def _set_evacuation(self, zone: str, evacuated: bool, version: int, now_ms: int) -> None:
        self.registry.apply_evacuation(zone, evacuated, now_ms)
        events.log(
            events.Event.EVACUATION_CHANGED,
            (
                "availability zone evacuated; its servers get no new requests"
                if evacuated
                else "evacuation of availability zone ended; its servers get requests again"
            ),
            zone=zone,
            store_version=version,
        )

    def _apply_server(self, change: facts.Change, first_read: bool, now_ms: int) -> None:
        report = change.report
        if report is None:
            hold_until_ms = 0 if change.unreadable else self._hold_until_ms(now_ms)
            if self.registry.apply_removal(change.key, now_ms, hold_until_ms):
                events.log(
                    events.Event.SERVER_GONE,
                    "server removed from the store",
                    server=change.key,
                    store_version=change.version,
                    held_ms=max(0, hold_until_ms - now_ms),
                )
            return
        previous = self.registry.servers.get(change.key)
        was_draining = previous is not None and previous.draining
        previous_born_ms = previous.report.born_ms if previous is not None else report.born_ms
        cold_ms = self.cold_start_ms(report.service)
        self.registry.apply_report(report, now_ms, not first_read, cold_ms)
        is_new_start = self.registry.servers[report.server_id] is not previous
        if is_new_start and not first_read:
            self.on_server_joined(report.server_id, now_ms)
        if previous_born_ms != report.born_ms:
            self._record_restart(change, previous_born_ms, first_read, now_ms)
        self._log_server(report, previous is None, was_draining, change.version)

    def _record_restart(
        self, change: facts.Change, previous_born_ms: int, first_read: bool, now_ms: int
    ) -> None:
        server = self.registry.servers[change.key]
        self.restarts += 1
        self.on_server_restarted(server, now_ms)
        events.log(
            events.Event.SERVER_RESTARTED,
            "server started again under its id",
            server=server.server_id,
            service=server.report.service,
            born_ms=server.report.born_ms,
            previous_born_ms=previous_born_ms,
            cold_ms=server.report.cold_ms,
            cold_for_ms=max(0, server.cold_until_ms - now_ms),
            first_read=first_read,
            store_version=change.version,
        )

    def _log_server(
        self, report: registry.ServerReport, joined: bool, was_draining: bool, version: int
    ) -> None:
        draining = report.state is registry.ServerState.DRAINING
        if not joined and draining == was_draining:
            return
        event = events.Event.SERVER_DRAINING if draining else events.Event.SERVER_JOINED
        events.log(
            event,
            (
                "server draining; it gets no new requests"
                if draining
                else "server ready for requests"
            ),
            server=report.server_id,
            service=report.service,
            born_ms=report.born_ms,
            cold_ms=report.cold_ms,
            store_version=version,
        )

    def cold_start_ms(self, service: str) -> int:
        """Return how long servers of a service are cold after a start, 0 if it is unknown.

        :param service: the service.
        """
        if self.table is None or service not in self.table.services:
            return 0
        return self.table.services[service].cold_start_ms

    def _apply_registration(self, registration: facts.Registration, now_ms: int) -> None:
        record = roster.MemberRecord(
            entry_id=registration.entry_id,
            boot_ms=0,
            beat=0,
            region=registration.region,
            zone=registration.zone,
            gossip_address=registration.gossip_address,
            client_address=registration.client_address,
        )
        self._roster.apply_registration(record, now_ms)

    def dump(self) -> dict[str, object]:
        """Return the intents' revision, the number of servers and the evacuated zones."""
        return {
            "revision": self.table.version if self.table else None,
            "servers": len(self.registry.servers),
            "evacuated": sorted(self.registry.evacuated_zones),
        }
