"""One entry: its services registered in the order in which they start."""

from __future__ import annotations

import dataclasses
import signal
import typing

import anyio

from sassafraslock import asgi, clock, events, kernel, messages, settings
from sassafraslock.decisions import client_blocks
from sassafraslock.services import (
    admission,
    block_loader,
    caller_api,
    claim_service,
    forwarder,
    health,
    metrics,
    operator_api,
    peers,
    platform_client,
    request_path,
    settings_sync,
    splits,
    steward,
    suspects,
    transport,
)

STOP_POLL_S = 0.05
LEAVE_FACTOR = 2


@dataclasses.dataclass(slots=True)
class Outside:
    """What an entry meets the outside with; tests put fakes in its place."""

    platform: typing.Any
    transport: transport.Transport
    forwarder: typing.Any


def real_outside(process: settings.Settings) -> Outside:
    """Return the connections of a real process.

    :param process: the process settings.
    """
    return Outside(
        platform_client.PlatformClient(process.platform),
        transport.NngTransport(process.peer),
        forwarder.Forwarder(),
    )


class Entry:
    """An entry VM's process: builds the kernel and stops it gracefully."""

    __slots__ = ("settings", "kernel", "incarnation", "blocks")

    def __init__(self, process: settings.Settings, outside: Outside | None = None) -> None:
        self.settings = process
        self.incarnation = clock.wall_ms()
        self.blocks = client_blocks.ClientBlocks()
        self.kernel = kernel.Kernel()
        self._register_core(outside or real_outside(process))
        if outside is None:
            self._register_servers()
        self.kernel.register("departure", Departure(self))
        self.kernel.find("peers").describe_with(self.heartbeat)

    def _register_core(self, outside: Outside) -> None:
        process, core = self.settings, self.kernel
        peer = peers.PeerService(process, outside.transport)
        config = settings_sync.SettingsService(process, outside.platform, peer)
        holder = steward.StewardService(process, self.incarnation, outside.platform, peer, config)
        signs = health.HealthService(
            process, outside.platform, peer, config, holder, outside.forwarder
        )
        claiming = claim_service.ClaimService(
            process, self.incarnation, outside.platform, peer, config, holder
        )
        admitting = admission.AdmissionService(process, peer, holder, signs)
        dividing = splits.SplitService(process, peer, config, holder, admitting)
        suspected = suspects.SuspectService(process, peer, claiming)
        path = request_path.RequestPath(
            process, peer, config, claiming, dividing, suspected, admitting, outside.forwarder
        )
        core.register("platform", outside.platform)
        core.register("peers", peer)
        core.register("settings", config)
        core.register("steward", holder)
        core.register("health", signs)
        core.register("claims", claiming)
        core.register("admission", admitting)
        core.register("forwarder", outside.forwarder)
        core.register("splits", dividing)
        core.register("suspects", suspected)
        core.register("path", path)
        core.register("blocks", block_loader.BlockLoader(process, outside.platform, self.blocks))

    def _register_servers(self) -> None:
        find = self.kernel.find
        counters = metrics.Metrics()
        callers = caller_api.CallerApi(
            self.settings,
            find("peers"),
            find("steward"),
            find("path"),
            self.blocks,
        )
        callers.observe = counters.observe
        operators = operator_api.OperatorApi(self.settings, self.kernel, counters)
        self.kernel.register("operators", _server(operators, self.settings.operator))
        self.kernel.register("callers", _server(callers, self.settings.caller))

    def heartbeat(self, sequence: int) -> messages.Heartbeat:
        """Return what this entry tells its peers.

        :param sequence: the heartbeat's number.
        """
        find = self.kernel.find
        holder = find("steward")
        return messages.Heartbeat(
            sender=self.settings.entry_id,
            incarnation=self.incarnation,
            sequence=sequence,
            region=self.settings.region,
            zone=self.settings.zone,
            caller_address=str(self.settings.caller),
            peer_address=str(self.settings.peer),
            leaving=holder.leaving,
            ready=find("path").ready,
            in_flight=find("path").in_flight,
            revisions=dict(find("settings").revisions.in_force),
            view_epochs={self.settings.region: holder.view.epoch},
            claim_epochs=find("claims").epochs(),
            services=holder.loads(clock.monotonic_ms()),
            splits=find("splits").splits(),
        )

    async def run(self) -> str:
        """Serve until asked to stop.

        :returns: the name of the service that made the process give up, or nothing.
        """
        events.log(
            events.Event.PROCESS_STARTED,
            "entry started",
            entry=self.settings.entry_id,
            callers=str(self.settings.caller),
        )
        await self.kernel.run(self.settings.stop_bound_ms)
        events.log(events.Event.PROCESS_STOPPED, "entry stopped", entry=self.settings.entry_id)
        return self.kernel.failed_service

    async def run_with_signals(self) -> str:
        """Serve until SIGTERM or SIGINT."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_signals)
            failed = await self.run()
            group.cancel_scope.cancel()
        return failed

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            async for _ in received:
                self.kernel.request_stop()


async def run_process(process: settings.Settings) -> str:
    """Build an entry and serve until SIGTERM or SIGINT.

    :param process: the process settings.
    :returns: the name of the service that made the process give up, or nothing.
    """
    return await Entry(process).run_with_signals()


class Departure:
    """Ends an entry's service without cutting off a request."""

    __slots__ = ("_entry",)

    def __init__(self, entry: Entry) -> None:
        self._entry = entry

    async def run(self, ready: anyio.Event) -> None:
        """Exist until cancelled.

        :param ready: set at once.
        """
        ready.set()
        await anyio.sleep_forever()

    async def stop(self) -> None:
        """Stop being named, serve those that still have the name, and end what is in flight."""
        entry = self._entry
        find = entry.kernel.find
        events.log(events.Event.PROCESS_STOPPING, "entry leaves", entry=entry.settings.entry_id)
        await find("steward").leave()
        find("peers").wake()
        named_ms = entry.settings.validity_ms + LEAVE_FACTOR * entry.settings.heartbeat_ms
        await anyio.sleep(named_ms / 1000)
        while find("path").in_flight:
            await anyio.sleep(STOP_POLL_S)


def _server(app: asgi.App, where: settings.Address | settings.Operator) -> asgi.HttpServer:
    return asgi.HttpServer(app, where.host, where.port)
