"""An entry that decides alone from shared facts: its services and how it starts and stops."""

from __future__ import annotations

import signal
import typing

import anyio

import sassafraslock
from sassafraslock import (
    clock,
    edge_settings,
    errors,
    events,
    facts,
    header_names,
    http_messages,
    kernel,
    logs,
    routing_table,
)
from sassafraslock.decisions import cold_start, placement, registry, retry_budget, roster
from sassafraslock.path import journey_log, line, send
from sassafraslock.services import (
    belief,
    claims,
    directory,
    gossip,
    http_server,
    log_writer,
    metrics,
    operator_api,
    planner,
    poison_watch,
    replica,
    upstream,
)

LEAVE_AFTER_MS = 3_200
STOP_MARGIN_MS = 400
STOP_POLL_S = 0.05
REGISTER_RETRY_S = 0.5
STOP_SLACK_MS = 300


class Interfaces(typing.Protocol):
    """What is spoken on an entry's addresses."""

    def client_handler(self, entry: Edge) -> http_messages.Handler:
        """Return the handler of the clients' address.

        :param entry: the entry.
        """

    def directory_handler(self, entry: Edge) -> http_messages.Handler:
        """Return the handler of the directory's address.

        :param entry: the entry.
        """

    def readiness_handler(self, entry: Edge) -> http_messages.Handler:
        """Return the handler of the readiness address.

        :param entry: the entry.
        """

    def operator_handler(self, entry: Edge) -> http_messages.Handler:
        """Return the handler of the operators' address.

        :param entry: the entry.
        """


class Edge:
    """Builds the services of one entry and stops them gracefully."""

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        source: facts.FactSource,
        interfaces: Interfaces,
        names: header_names.HeaderNames,
        log_lines: log_writer.BulkHandler,
        keys: claims.Claims | None = None,
    ) -> None:
        self.settings = settings
        self.boot_ms = clock.wall_ms()
        self.leaving = False
        self.kernel = kernel.Kernel()
        self.log_lines = log_lines
        self._source = source
        self.upstream = upstream.Upstream(names.request_id if names.echoed else b"")
        self.poison = poison_watch.PoisonWatch(self.upstream)
        self.gossip = gossip.GossipService(
            settings.entry_id,
            settings.gossip_address,
            list(settings.seeds),
            self.describe,
            self.poison,
            settings.peer_token,
        )
        servers = registry.Registry()
        self.belief = belief.Belief(servers, self.gossip.roster)
        self.replica = replica.Replica(source, self.belief)
        self.belief.judge_gaps_by(self.replica.store_gap)
        self.replica.relay_through(gossip.PeerCopyReader(self.gossip, lambda: self.replica.version))
        self.metrics = metrics.Metrics()
        self.line = self._build_line(servers, names, keys)
        self.planner = planner.Planner(settings, self.belief, self.line.placer, self.gossip.roster)
        self.line.note_work = self.planner.note_work
        self.directory = directory.Directory(settings, self.gossip.roster)
        self.front = _server(
            interfaces.client_handler(self), settings.client_address, self.line.may_overlap
        )
        self._register(interfaces)
        if keys is not None:
            keys.purges = self._is_first
            self.kernel.register("claims", keys)
        self.belief.listeners.append(self._note_table)
        self.belief.note_joined = self.line.placer.note_joined

    def _build_line(
        self,
        servers: registry.Registry,
        names: header_names.HeaderNames,
        keys: claims.Claims | None,
    ) -> line.RequestLine:
        bounds = self.settings.bounds
        cold = cold_start.ColdStart(self.settings.entry_id, bounds.cold_overage, bounds.cold_slack)
        placer = placement.Placer(self.settings.region, servers, self.gossip, cold)
        budget = retry_budget.RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_ms
        )
        log = journey_log.JourneyLog(
            self.metrics, lambda now_ms: now_ms - self.replica.last_answer_ms
        )
        return line.RequestLine(
            self.belief,
            placer,
            budget,
            send.Sender(self.upstream, names),
            names,
            log,
            self.poison,
            lambda: self.gossip.roster.entry_count(clock.monotonic_ms()),
            self._region_entries,
            keys,
        )

    def _register(self, interfaces: Interfaces) -> None:
        settings = self.settings
        self.kernel.register("log", log_writer.LogWriter(self.log_lines))
        self.kernel.register("beliefs", Still(self.belief))
        self.kernel.register("replica", self.replica)
        self.kernel.register("gossip", self.gossip)
        self.kernel.register("planner", self.planner)
        self.kernel.register("upstream", self.upstream)
        self.kernel.register("poison", self.poison)
        copies = gossip.PeerApi(self.replica, settings.peer_token)
        self.kernel.register("copies", _server(copies, settings.gossip_address))
        self.kernel.register("registration", Registrar(settings, self._source))
        addresses = {
            "operators": (settings.operator_address, interfaces.operator_handler),
            "directory": (settings.directory_address, interfaces.directory_handler),
            "readiness": (settings.readiness_address, interfaces.readiness_handler),
        }
        for name, (address, handler_for) in addresses.items():
            if address:
                self.kernel.register(name, _server(handler_for(self), address))
        self.kernel.register("front", self.front)
        self.kernel.register("departure", Departure(self))

    def _region_entries(self) -> int:
        """Return the number of live entries of the own region, this one included."""
        live = self.gossip.roster.live(clock.monotonic_ms())
        return 1 + sum(m.record.region == self.settings.region for m in live)

    def _is_first(self) -> bool:
        """Tell whether this entry does what one entry does for all."""
        return min(self.gossip.live_ids()) == self.settings.entry_id

    def status(self, now_ms: int) -> operator_api.Status:
        """Return a summary of this entry.

        :param now_ms: the present time.
        """
        table = self.belief.table
        return operator_api.Status(
            entry_id=self.settings.entry_id,
            version=sassafraslock.VERSION,
            region=self.settings.region,
            zone=self.settings.zone,
            ready=self.serves,
            leaving=self.leaving,
            revision=table.version if table else 0,
            facts_age_ms=now_ms - self.replica.last_answer_ms,
            members=sorted(self.gossip.live_ids()),
            servers=len(self.belief.registry.servers),
            evacuated=sorted(self.belief.registry.evacuated),
            in_flight=self.line.in_flight,
            splits=self.planner.splits(),
        )

    def dump(self) -> dict[str, object]:
        """Return every service's state and failure count."""
        return self.kernel.dump()

    def render_metrics(self) -> bytes:
        """Return every metric as text."""
        status = self.status(clock.monotonic_ms())
        labels = {"entry": self.settings.entry_id}
        self.metrics.gauge("ready", "1 if the entry takes clients.", labels, status.ready)
        self.metrics.gauge(
            "facts_age_ms", "Time since the store answered.", labels, status.facts_age_ms
        )
        self.metrics.gauge("servers", "Servers known.", labels, status.servers)
        self.metrics.gauge("in_flight", "Requests being answered.", labels, status.in_flight)
        return self.metrics.render()

    @property
    def serves(self) -> bool:
        """Whether this entry takes clients."""
        known = self.belief.table is not None and bool(self.belief.registry.servers)
        self.directory.own_serves = known and not self.leaving
        return self.directory.own_serves

    def describe(self, beat: int) -> roster.MemberRecord:
        """Return what this entry says of itself.

        :param beat: the record's number.
        """
        return roster.MemberRecord(
            entry_id=self.settings.entry_id,
            boot_ms=self.boot_ms,
            beat=beat,
            region=self.settings.region,
            zone=self.settings.zone,
            gossip_address=self.settings.gossip_address,
            client_address=self.settings.client_address,
            ready=self.serves,
            leaving=self.leaving,
            replica_version=self.replica.version,
            demand=self.planner.demand(clock.monotonic_ms()),
        )

    def _note_table(self, table: routing_table.RoutingTable) -> None:
        self.front.limits = table.limits
        self.planner.update(clock.monotonic_ms())
        self.line.splitter.forget()

    def begin_leaving(self) -> None:
        """Stop being named and tell clients on kept connections to go elsewhere."""
        self.leaving = True
        self.front.begin_closing()

    async def run(self, reload: typing.Callable[[], None]) -> str:
        """Serve until SIGTERM or SIGINT.

        :param reload: reads the settings again, on SIGHUP.
        :returns: the name of the service that made the process give up, or nothing.
        """
        settings = self.settings
        events.log(
            events.Event.PROCESS_STARTED,
            "entry started",
            entry=settings.entry_id,
            zone=settings.zone,
            clients=settings.client_address,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_signals, reload)
            await self.kernel.run(settings.bounds.grace_ms - STOP_SLACK_MS)
            group.cancel_scope.cancel()
        events.log(events.Event.PROCESS_STOPPED, "entry stopped", entry=settings.entry_id)
        return self.kernel.failed_service

    async def _watch_signals(self, reload: typing.Callable[[], None]) -> None:
        watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*watched) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    reload()
                else:
                    self.kernel.request_stop()


class Departure:
    """Ends an entry's service without cutting off a request."""

    __slots__ = ("_edge",)

    def __init__(self, edge: Edge) -> None:
        self._edge = edge

    async def run(self, ready: anyio.Event) -> None:
        """Exist until cancelled.

        :param ready: set at once.
        """
        ready.set()
        await anyio.sleep_forever()

    async def stop(self) -> None:
        """Stop being named, serve those that still have the name, and end what is in flight."""
        started_ms = clock.monotonic_ms()
        bounds = self._edge.settings.bounds
        events.log(
            events.Event.PROCESS_STOPPING,
            "entry leaves",
            entry=self._edge.settings.entry_id,
            in_flight=self._edge.line.in_flight,
        )
        self._edge.begin_leaving()
        named_ms = min(LEAVE_AFTER_MS, bounds.grace_ms // 2 + 200)
        last_ms = bounds.grace_ms - STOP_MARGIN_MS
        while True:
            await anyio.sleep(STOP_POLL_S)
            passed_ms = clock.monotonic_ms() - started_ms
            if passed_ms >= last_ms or (passed_ms >= named_ms and not self._edge.line.in_flight):
                return


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


class Still:
    """Shows the state of a part that has no task of its own."""

    __slots__ = ("_part",)

    def __init__(self, part: kernel.Dumpable) -> None:
        self._part = part

    async def run(self, ready: anyio.Event) -> None:
        """Exist until cancelled.

        :param ready: set at once.
        """
        ready.set()
        await anyio.sleep_forever()

    def dump(self) -> object:
        """Return the part's state as plain data."""
        return self._part.dump()


def configure_logs(log_format: logs.LogFormat, level: str) -> log_writer.BulkHandler:
    """Send all logs through a bounded buffer to standard output, and return the buffer.

    :param log_format: ``text`` or ``json``.
    :param level: the lowest level that is written.
    """
    handler = log_writer.BulkHandler()
    handler.setFormatter(logs.formatter(log_format))
    logs.install(handler, level)
    return handler


def _server(
    handler: http_messages.Handler,
    address: str,
    ordering: http_messages.Ordering | None = None,
) -> http_server.HttpServer:
    host, _, port = address.rpartition(":")
    return http_server.HttpServer(handler, host, int(port), ordering)
