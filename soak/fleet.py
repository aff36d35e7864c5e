"""Entries of the firm's platform as real processes, beside a store, servers and clients here.

Each entry has a loopback address of its own, so that all use the same ports, as on machines.
"""

from __future__ import annotations

import dataclasses
import os
import pathlib
import random
import signal
import subprocess
import sys

import anyio
import tomli_w

from sassafraslock import clock
from sassafraslock.services import http_server
from soak import platform_server
from tests import platform_standin

ROOT = pathlib.Path(__file__).parent.parent
ZONES = {"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b", "c-1": "c", "c-2": "c"}
FRONT, CONTROL, DIRECTORY, READINESS, GOSSIP, STORE, SERVER = range(8_161, 8_168)
GRACE_S = 6.0
START_DELAY_S = 0.3  # of a process that has ended
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 24, 10.0
SERVICES = {"desk": 9, "ledger": 6}
SLOTS = 3


@dataclasses.dataclass(slots=True)
class Signalled:
    """A signal that an entry got, and when."""

    at_ms: int
    entry: str
    number: signal.Signals


class EntryProcess:
    """One entry: ``platform/main.py`` with a settings file of its own."""

    def __init__(self, name: str, ip: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.settings_path = folder / f"{name}.toml"
        self.stopping = False
        self.signals: list[Signalled] = []
        self.exit_codes: list[int] = []
        self._log = folder / f"{name}.log"
        self._child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process unless it runs."""
        if self.is_running:
            return
        self.stopping = False
        environment = {**os.environ, "SASSAFRASLOCK_SETTINGS": str(self.settings_path)}
        with self._log.open("ab") as log:
            self._child = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "main.py")],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._child is not None and self._child.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs.

        :param number: the signal.
        """
        if self._child is not None and self.is_running:
            self.signals.append(Signalled(clock.monotonic_ms(), self.name, number))
            self._child.send_signal(number)

    async def restart(self) -> None:
        """Stop the process as the platform does, and start it again."""
        self.stopping = True
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(GRACE_S):
            while self.is_running:
                await anyio.sleep(0.01)
        await self.end()
        await anyio.sleep(START_DELAY_S)
        self.start()

    async def end(self) -> None:
        """Kill the process if it still runs, and keep its exit code."""
        if self._child is None:
            return
        if self.is_running:
            self.signal(signal.SIGCONT)
            self._child.kill()
            while self.is_running:
                await anyio.sleep(0.01)
        self.exit_codes.append(self._child.wait())
        self._child = None


class Fleet:
    """The entries, the store and the servers of one run."""

    def __init__(self, folder: pathlib.Path, seed: int, entries_per_zone: int = 2) -> None:
        self._folder = folder
        self._rng = random.Random(seed)
        prefix = f"127.{os.getpid() % 250 + 2}"
        self.store = platform_standin.StoreStandin(STORE, host=f"{prefix}.200.1")
        self.servers: dict[str, platform_server.PlatformServer] = {}
        self.entries: dict[str, EntryProcess] = {}
        for number in range(len(ZONES) * entries_per_zone):
            zone = list(ZONES)[number % len(ZONES)]
            name = f"front-{zone}-{number // len(ZONES) + 1}"
            ip = f"{prefix}.1.{number + 1}"
            self.entries[name] = EntryProcess(name, ip, zone, folder)
        for entry in self.entries.values():
            self.write_settings(entry)
        for service, count in SERVICES.items():
            for number in range(count):
                zone = list(ZONES)[number % len(ZONES)]
                address = f"{prefix}.{2 + list(SERVICES).index(service)}.{number + 1}"
                server_id = f"i-{service}-{number}"
                self.servers[server_id] = platform_server.PlatformServer(
                    server_id, service, zone, f"{address}:{SERVER}", SLOTS, seed + number
                )

    def write_settings(self, entry: EntryProcess) -> None:
        """Write an entry's settings file, replaced as a whole.

        :param entry: the entry.
        """
        seeds = [f"{e.ip}:{CONTROL}" for e in list(self.entries.values())[:3]]
        document = {
            "nodeName": entry.name,
            "zone": entry.zone,
            "region": ZONES[entry.zone],
            "ip": entry.ip,
            "internalPortRange": [GOSSIP, GOSSIP + 15],
            "seeds": seeds,
            "zones": ZONES,
            "listen": {
                "front": f"{entry.ip}:{FRONT}",
                "readiness": f"{entry.ip}:{READINESS}",
                "control": f"{entry.ip}:{CONTROL}",
                "directory": f"{entry.ip}:{DIRECTORY}",
            },
            "limits": {"memoryMb": 300},
            "bounds": {
                "drainS": 2.5,
                "graceS": GRACE_S,
                "retryBudgetRatio": RETRY_RATIO,
                "budgetSlack": RETRY_SLACK,
                "budgetWindowS": RETRY_WINDOW_S,
                "coldOverage": 1.5,
                "coldSlack": 5,
                "ttl_max_s": 5,
            },
            "platform": {"address": self.store.address},
        }
        temporary = self._folder / f"{entry.name}.new"
        temporary.write_text(tomli_w.dumps(document))
        temporary.replace(entry.settings_path)

    def put_intents(self, version: int, extra_routes: int = 0) -> None:
        """Write the intents: a safe and an unsafe route of each service, and unused routes.

        :param version: the version of the intents.
        :param extra_routes: the number of unused routes.
        """
        routes = []
        for service in SERVICES:
            for kind in ("safe", "unsafe"):
                routes.append(
                    {
                        "host": platform_server.HOST_NAME,
                        "prefix": f"/{service}/{kind}/",
                        "routeType": kind,
                        "service": service,
                        "timeoutS": 2.5,
                        "targetLatencyS": 0.3,
                        "maxAttempts": 3,
                    }
                )
        for number in range(extra_routes):
            routes.append({"host": f"h{number}.example", "prefix": "/x/", "service": "desk"})
        row = platform_standin.intents_row(version, routes, services=list(SERVICES))
        self.store.put("op", "config", row)

    async def run_store_and_servers(self, group: anyio.abc.TaskGroup) -> None:
        """Start the store and the servers, and write their rows.

        :param group: runs them until it is cancelled.
        """
        await group.start(_started, self.store)
        for server in self.servers.values():
            host, _, port = server.address.rpartition(":")
            await group.start(_started, http_server.HttpServer(server, host, int(port)))
            row = platform_standin.server_row(
                service=server.service, address=server.address, zone=server.zone, slots=SLOTS
            )
            self.store.put("servers", server.server_id, row)
        self.put_intents(1)

    async def end(self) -> None:
        """Kill all processes of this run."""
        for entry in self.entries.values():
            await entry.end()


async def _started(service: http_server.HttpServer, *, task_status: anyio.abc.TaskStatus) -> None:
    ready = anyio.Event()

    async def report() -> None:
        await ready.wait()
        task_status.started()

    async with anyio.create_task_group() as group:
        group.start_soon(report)
        await service.run(ready)
