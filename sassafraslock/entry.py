"""One entry: its services registered in the order in which they start."""

from __future__ import annotations

import signal
import time

import anyio

from sassafraslock import asgi, clock, events, kernel, messages, settings
from sassafraslock.decisions import client_blocks
from sassafraslock.services import (
    admission,
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
    steward,
)

STOP_POLL_S = 0.05
LEAVE_FACTOR = 2


class Entry:
    """An entry VM's process: builds the kernel and stops it gracefully."""

    __slots__ = ("settings", "kernel", "incarnation", "blocks")

    def __init__(self, process: settings.Settings) -> None:
        self.settings = process
        self.incarnation = time.time_ns() // 1_000_000
        self.blocks = client_blocks.ClientBlocks()
        self.kernel = core = kernel.Kernel()
        platform = platform_client.PlatformClient(process.platform)
        peer = peers.PeerService(process)
        config = settings_sync.SettingsService(process, platform, peer)
        holder = steward.StewardService(process, self.incarnation, platform, peer, config)
        signs = health.HealthService(process, platform, peer, config, holder)
        claiming = claim_service.ClaimService(
            process, self.incarnation, platform, peer, config, holder
        )
        admitting = admission.AdmissionService(process, peer, holder, signs)
        forwarding = forwarder.Forwarder()
        path = request_path.RequestPath(process, peer, config, claiming, admitting, forwarding)
        counters = metrics.Metrics()
        callers = caller_api.CallerApi(process, peer, holder, config, path, self.blocks)
        callers.observe = counters.observe
        operators = operator_api.OperatorApi(process, core, counters)
        core.register("platform", platform)
        core.register("peers", peer)
        core.register("settings", config)
        core.register("steward", holder)
        core.register("health", signs)
        core.register("claims", claiming)
        core.register("admission", admitting)
        core.register("forwarder", forwarding)
        core.register("path", path)
        core.register("blocks", _BlockLoader(self))
        core.register("operators", _server(operators, process.operator))
        core.register("callers", _server(callers, process.caller))
        core.register("departure", Departure(self))
        peer.describe_with(self.heartbeat)

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
            ready=find("settings").current,
            in_flight=find("path").in_flight,
            revisions=dict(find("settings").revisions.in_force),
            view_epochs={self.settings.region: holder.view.epoch},
            claim_epochs=find("claims").epochs(),
            services=holder.loads(clock.monotonic_ms()),
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


class _BlockLoader:
    """Loads the client blocks from the object store and keeps them current."""

    __slots__ = ("_entry",)

    def __init__(self, entry: Entry) -> None:
        self._entry = entry

    async def run(self, ready: anyio.Event) -> None:
        """Look for a newer table until cancelled.

        :param ready: set at once.
        """
        ready.set()
        await anyio.sleep_forever()


def _server(app: asgi.App, where: settings.Address | settings.Operator) -> asgi.HttpServer:
    return asgi.HttpServer(app, where.host, where.port)
