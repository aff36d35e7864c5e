"""An entry: builds, starts and stops the services of one instance of the proxy.

Each entry routes requests by its own copy of the facts, without a central controller.
"""

from __future__ import annotations

import dataclasses
import typing

import anyio

from sassafraslock import (
    clock,
    edge_decisions,
    edge_settings,
    entry_gauges,
    entry_interfaces,
    entry_status,
    events,
    facts,
    header_names,
    http_messages,
    kernel,
    routing_table,
    settings_watch,
    signal_watch,
    signals,
)
from sassafraslock.decisions import (
    backpressure,
    intents_proof,
    message_quota,
    placement,
    registry,
    roster,
    stop_schedule,
)
from sassafraslock.path import access_log, attempt_recorder, forwarder, identify, pipeline, send
from sassafraslock.quotas import limits
from sassafraslock.services import (
    backpressure_watch,
    capacity_watch,
    claims,
    cold_limit_watch,
    departure,
    directory,
    gossip,
    http_server,
    log_writer,
    metrics,
    operator_api,
    peer_copies,
    planner,
    poison_watch,
    proof_watch,
    registrar,
    restart_watch,
    routing_state,
    server_connection,
    upstream,
    zone_feed,
)

STOPPING_RATIO = 0.9  # share of the grace period that the graceful stop may take


class Edge:
    """Builds the services of an entry, runs them, and stops them gracefully."""

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        source: facts.FactSource,
        handlers: entry_interfaces.HandlerFactory,
        names: header_names.HeaderNames,
        log_buffer: log_writer.BufferedLogHandler,
        keys: claims.Claims | None = None,
        platform_services: typing.Mapping[str, kernel.Service] | None = None,
    ) -> None:
        self.settings = settings
        self.boot_ms = clock.wall_ms()
        self.leaving = False
        self.kernel = kernel.Kernel()
        self.settings_watch = settings_watch.SettingsWatch(self.apply_settings)
        self._log_buffer = log_buffer
        self._source = source
        self.quota = message_quota.MessageQuota(settings.memory_bytes)
        request_id = names.request_id if names.request_id_echoed else b""
        self.upstream = upstream.Upstream(request_id, self.quota)
        servers = registry.Registry()
        self.poison = poison_watch.PoisonWatch(self.upstream, servers)
        self.gossip = self._build_gossip()
        self.routing_state = routing_state.RoutingState(servers, self.gossip.roster)
        self.key_proof = intents_proof.IntentsProofs(settings.bounds.revoke_ms)
        self.replica = edge_decisions.build_replica(source, self.routing_state, self.key_proof)
        self.metrics = metrics.Metrics()
        self.backpressure = backpressure.Backpressure(
            settings.entry_id, servers, self.gossip, clock.monotonic_ms()
        )
        self.watch = backpressure_watch.BackpressureWatch(self.backpressure, servers, names)
        self.pipeline = self._build_pipeline(names, keys)
        placer = self.pipeline.placer
        self.restart_watch = restart_watch.RestartWatch(
            placer, self.upstream, self.routing_state, names, self.replica
        )
        self.planner = planner.Planner(settings, self.routing_state, placer, self.gossip.roster)
        self.pipeline.record_demand = self.planner.record_demand
        self.capacity_watch, self.directory = self._build_directory()
        handler, policy = handlers.client_handler(self), self.pipeline.may_run_concurrently
        self.client_server = self._http_server(handler, settings.client_address, policy)
        self.quotas = edge_decisions.build_quotas(
            settings, self.gossip, self.member_record, clock.monotonic_ms()
        )
        self._register_services(handlers)
        self._register_request_services(keys, platform_services or {})
        self._subscribe(placer)

    def _build_gossip(self) -> gossip.GossipService:
        settings = self.settings
        return gossip.GossipService(
            settings.entry_id,
            settings.gossip_address,
            list(settings.seeds),
            self.member_record,
            self.poison,
            settings.peer_token,
        )

    def _build_directory(self) -> tuple[capacity_watch.CapacityWatch, directory.Directory]:
        settings, members = self.settings, self.gossip.roster
        capacities = edge_decisions.build_capacities(settings, self.boot_ms, members)
        self.gossip.capacities = capacities
        watch = capacity_watch.CapacityWatch(
            capacities, self.quota, lambda: entry_gauges.connection_count(self)
        )
        return watch, directory.Directory(settings, members, lambda: self.is_ready, capacities)

    def _subscribe(self, placer: placement.Placer) -> None:
        self.routing_state.set_removal_hold(self.replica.hold_until_ms)
        self.replica.set_entry_count(self.gossip.roster.entry_count)
        self.replica.set_fallback(peer_copies.PeerCopyReader(self.gossip))
        edge_decisions.tell_peers(self.gossip, placer, self.settings)
        self.gossip.limits = self.watch.limits
        self.gossip.departures = self.watch.departing
        self.gossip.restarts = self.restart_watch
        self.gossip.proofs = self.key_proof
        self.pipeline.forwarder.key_proof = self.key_proof
        placer.cold.restarts.on_observed = self.gossip.send_soon
        self.routing_state.listeners.append(self._apply_table)
        if self.quotas is not None:
            self.pipeline.quotas = self.quotas
            self.routing_state.listeners.append(self.quotas.apply_table)
        self.routing_state.on_server_joined = placer.record_join
        self.routing_state.on_server_restarted = placer.cold.restarts.record_start
        placer.cold.limiter.on_asked = cold_limit_watch.ColdLimitWatch().record

    def _build_pipeline(
        self, names: header_names.HeaderNames, keys: claims.Claims | None
    ) -> pipeline.RequestPipeline:
        settings, now_ms = self.settings, clock.monotonic_ms()
        placer = edge_decisions.build_placer(
            settings, self.gossip, self.backpressure, self.routing_state.registry, now_ms
        )
        log = access_log.AccessLog(
            settings.region,
            self.metrics,
            lambda now_ms: now_ms - self.replica.last_answer_ms,
        )
        request_forwarder = forwarder.Forwarder(
            placer,
            edge_decisions.build_retry_gate(settings, self.gossip.roster, now_ms),
            attempt_recorder.AttemptRecorder(placer, names, self.poison, self.watch),
            send.Sender(self.upstream, names, self.watch, placer.cold, settings.entry_id),
            names,
            self.poison.quarantine,
            self._region_entry_count,
        )
        entry_count = self.gossip.roster.entry_count
        return pipeline.RequestPipeline(
            self.routing_state, request_forwarder, names, log, entry_count, keys
        )

    def _register_services(self, handlers: entry_interfaces.HandlerFactory) -> None:
        settings = self.settings
        self.kernel.register("log", log_writer.LogWriter(self._log_buffer))
        self.kernel.register("beliefs", kernel.PassiveService(self.routing_state))
        self.kernel.register("settings", kernel.PassiveService(self.settings_watch))
        self.kernel.register("backpressure", kernel.PassiveService(self.watch))
        self.kernel.register("messages", kernel.PassiveService(self.quota))
        self.kernel.register("capacity", self.capacity_watch)
        self.kernel.register("replica", self.replica)
        self.kernel.register("gossip", self.gossip)
        if self.quotas is not None:
            self.kernel.register("quotas", self.quotas)
        self.kernel.register("proofs", proof_watch.ProofWatch(self.key_proof, self.routing_state))
        self.kernel.register("planner", self.planner)
        self.kernel.register("upstream", self.upstream)
        self.kernel.register("poison", self.poison)
        self.kernel.register("restarts", self.restart_watch)
        link_mbps = settings.link_mbps
        copies = peer_copies.PeerApi(self.replica, settings.peer_token, link_mbps)
        self.kernel.register("copies", self._http_server(copies, settings.gossip_address))
        client = peer_copies.CopyClient(settings.peer_token, self.gossip.rejections)
        members = self.gossip.roster
        feed = zone_feed.ZoneFeed(settings.zone, members, self.replica, client, link_mbps)
        self.kernel.register("zone feed", feed)
        registration = registrar.Registrar(settings, self._source)
        self.replica.on_restored = registration.check
        self.kernel.register("registration", registration)
        addresses = {
            "operators": (settings.operator_address, handlers.operator_handler),
            "directory": (settings.directory_address, handlers.directory_handler),
            "readiness": (settings.readiness_address, handlers.readiness_handler),
            "metrics": (settings.metrics_address, _metrics_handler),
        }
        for name, (address, create_handler) in addresses.items():
            if address:
                self.kernel.register(name, self._http_server(create_handler(self), address))

    def _register_request_services(
        self,
        keys: claims.Claims | None,
        platform_services: typing.Mapping[str, kernel.Service],
    ) -> None:
        """Register what requests need; the server of the clients starts last and stops first."""
        for name, service in platform_services.items():
            self.kernel.register(name, service)
        if keys is not None:
            # One entry performs this task for all.
            keys.may_purge = lambda: min(self.gossip.live_ids()) == self.settings.entry_id
            self.kernel.register("claims", keys)
        self.kernel.register("front", departure.Departure(self))

    def _http_server(
        self,
        handler: http_messages.Handler,
        address: str,
        policy: http_messages.PipeliningPolicy | None = None,
    ) -> http_server.HttpServer:
        host, _, port = address.rpartition(":")
        return http_server.HttpServer(handler, host, int(port), policy, self.quota)

    def _region_entry_count(self) -> int:
        """Return the number of entries in this entry's region, itself and silent ones included."""
        return len(self.gossip.known_ids(self.settings.region))

    def status(self, now_ms: int) -> operator_api.Status:
        """Return a summary of this entry.

        :param now_ms: the current monotonic time.
        """
        return entry_status.summarize(self, now_ms)

    def dump(self) -> dict[str, object]:
        """Return the state and failure count of every service by its name."""
        return self.kernel.dump()

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format, with the gauges brought up to date."""
        entry_gauges.update(self, clock.monotonic_ms())
        return self.metrics.render()

    @property
    def in_flight(self) -> int:
        """The number of requests in progress."""
        return self.pipeline.in_flight

    @property
    def is_ready(self) -> bool:
        """Whether this entry can serve any route, has started and is not stopping."""
        state = self.routing_state
        serves = bool(state.registry.servers) and identify.serves_any(
            state.table, self.key_proof, clock.monotonic_ms()
        )
        return serves and self.kernel.all_ready and not self.leaving

    def member_record(self, beat: int) -> roster.MemberRecord:
        """Return the record of this entry that gossip spreads.

        :param beat: the heartbeat number of the record.
        """
        return roster.MemberRecord(
            entry_id=self.settings.entry_id,
            boot_ms=self.boot_ms,
            beat=beat,
            region=self.settings.region,
            zone=self.settings.zone,
            gossip_address=self.settings.gossip_address,
            client_address=self.settings.client_address,
            ready=self.is_ready,
            leaving=self.leaving,
            replica_version=self.replica.version,
            demand=self.planner.demand(clock.monotonic_ms()),
            link_mbps=self.settings.link_mbps,
        )

    def _apply_table(self, table: routing_table.RoutingTable) -> None:
        self.client_server.limits = table.limits
        self.upstream.limits.max_head_bytes = (
            table.limits.max_header_bytes + server_connection.SERVER_HEADERS_BYTES
        )
        self.pipeline.forwarder.links.limits = table.link_bytes_per_s(self.settings.region)
        self.planner.update(clock.monotonic_ms())
        self.pipeline.splitter.reset()
        known = table.workspaces.workspaces if table.workspaces is not None else ()
        self.pipeline.placer.fairness.apply_workspaces(known, table.services)

    @property
    def stop_requested_ms(self) -> int:
        """The monotonic time at which a stop was requested."""
        return self.kernel.stop_requested_ms

    def begin_leaving(self, schedule: stop_schedule.StopSchedule) -> None:
        """Leave the directory and close clients' connections after their next responses.

        :param schedule: the times of the stop, by which requests are accepted from now on.
        """
        self.leaving = True
        self.pipeline.begin_leaving(schedule)
        self.client_server.begin_closing()

    def interrupt_requests(self) -> None:
        """Answer the requests in flight as failed, since they outlast the stop."""
        self.pipeline.stop()

    def refuse_new_requests(self) -> None:
        """Refuse requests that arrive from now on, since the stop could interrupt them."""
        self.pipeline.closed = True

    def apply_settings(self, settings: edge_settings.EdgeSettings) -> None:
        """Apply new bounds, seeds and memory size; addresses change only at the next start.

        :param settings: the settings as read again.
        """
        self.settings = dataclasses.replace(
            self.settings,
            bounds=settings.bounds,
            seeds=settings.seeds,
            memory_bytes=settings.memory_bytes,
        )
        bounds = settings.bounds
        self.directory.settings = self.settings
        self.key_proof.revoke_ms = bounds.revoke_ms
        self.quota.resize(settings.memory_bytes)
        edge_decisions.apply_bounds(self.pipeline, bounds, clock.monotonic_ms())
        if self.quotas is not None and bounds.quota_window_ms > 0:
            self.quotas.set_terms(limits.terms_of(bounds))
        self.gossip.seeds = list(settings.seeds)
        self.kernel.stop_bound_ms = self._stop_bound_ms()
        events.log(events.Event.SETTINGS_RELOADED, "reloaded settings are in force")

    async def run(
        self,
        reload: entry_interfaces.Reload = settings_watch.settings_never_change,
        process_signals: signals.ProcessSignals | None = None,
    ) -> str:
        """Serve until SIGTERM or SIGINT, or until the kernel is asked to stop.

        :param reload: reads the settings again; called from time to time and on SIGHUP.
        :param process_signals: the signals of the process, none to leave them to the caller.
        :returns: the service whose repeated failures stopped the process, empty if there is none.
        """
        settings = self.settings
        events.log(
            events.Event.PROCESS_STARTED,
            "entry started",
            entry=settings.entry_id,
            zone=settings.zone,
            clients=settings.client_address,
        )
        self.settings_watch.read = reload
        watch = signal_watch.SignalWatch(
            process_signals, self.kernel.request_stop, lambda: self.settings_watch.reload(True)
        )
        watch.handle_pending()
        async with anyio.create_task_group() as group:
            group.start_soon(watch.run)
            group.start_soon(self.settings_watch.run)
            await self.kernel.run(self._stop_bound_ms())
            group.cancel_scope.cancel()
        events.log(events.Event.PROCESS_STOPPED, "entry stopped", entry=settings.entry_id)
        failed_service = self.kernel.failed_service
        reason = f"{failed_service} failed repeatedly" if failed_service else watch.stop_reason
        events.log(events.Event.PROCESS_ENDING, f"the process ends: {reason}", reason=reason)
        return failed_service

    def _stop_bound_ms(self) -> int:
        return int(STOPPING_RATIO * self.settings.bounds.grace_ms)


def _metrics_handler(entry: Edge) -> http_messages.Handler:
    return metrics.MetricsHandler(entry.render_metrics)
