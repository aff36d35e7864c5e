"""Entries of the firm's platform as real processes, beside a store, servers and clients here.

Each entry has a loopback address of its own, so that all use the same ports, as on machines.
"""

from __future__ import annotations

import dataclasses
import enum
import os
import pathlib
import signal
import sys

import anyio
import tomli_w

from sassafraslock import clock
from sassafraslock.services import http_server
from soak import faults, platform_server, stage
from tests import platform_standin

ROOT = pathlib.Path(__file__).parent.parent
ZONES = {"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b", "c-1": "c", "c-2": "c"}
FRONT, CONTROL, DIRECTORY, READINESS, GOSSIP, STORE, SERVER = range(8_161, 8_168)
GRACE_S = 6.0
START_DELAY_S = 0.3  # of a process that has ended
POLL_S = 0.02
INTERPRETER_START_MS = 250  # in which a program cannot handle signals yet
READINESS_REQUEST = b"GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 24, 10.0
SERVICES = {"desk": 9, "ledger": 6}
SLOTS = 3
TIMEOUT_S = 2.5
MAX_ATTEMPTS = 3
SEEDS = 3


class Writing(enum.StrEnum):
    """How a settings file is written; only the first two leave a whole one."""

    REPLACED = "replaced"
    IN_PLACE = "in place"
    BAD = "bad"
    HALF = "half"
    GONE = "gone"


@dataclasses.dataclass(slots=True)
class Change:
    """What versions of the intents may change: time limits of connections, and target latencies."""

    idle_s: float = 15.0
    header_s: float = 3.0
    target_s: float = 0.3


@dataclasses.dataclass(slots=True)
class Signalled:
    """A signal that an entry got, and when."""

    at_ms: int
    entry_ip: str
    number: signal.Signals


@dataclasses.dataclass(slots=True)
class Exit:
    """The end of a process: its code, and whether signals that should end it were sent before.

    ``age_ms`` is the time since its start.
    """

    at_ms: int
    entry: str
    code: int
    asked: bool
    killed: bool
    age_ms: int = 0

    @property
    def is_expected(self) -> bool:
        """Whether the process ended as it was asked to."""
        return (self.asked and self.code == 0) or (self.killed and self.code == -signal.SIGKILL)


class EntryProcess(stage.Process):
    """One entry: ``platform/main.py`` with a settings file of its own.

    ``harmed`` holds the spans in which it was killed or suspended, and ``overran`` the stops that
    outlasted the grace period.
    """

    def __init__(self, name: str, ip: str, zone: str, folder: pathlib.Path, code: pathlib.Path):
        self.settings_path = folder / f"{name}.toml"
        environment = {**os.environ, "SASSAFRASLOCK_SETTINGS": str(self.settings_path)}
        program = str(code / "platform" / "main.py")
        super().__init__(name, [sys.executable, program], folder, environment)
        self.ip = ip
        self.zone = zone
        self.started_ms = 0
        self.stopping = False
        self.listening = False
        self.signals: list[Signalled] = []
        self.exits: list[Exit] = []
        self.harmed: list[faults.Span] = []
        self.overran: list[Signalled] = []

    def start(self) -> None:
        """Start the process unless it runs."""
        if not self.running:
            self.stopping = self.listening = False
            self.started_ms = clock.monotonic_ms()
        super().start()

    def harm(self, number: signal.Signals, for_s: float) -> None:
        """Kill or suspend the process.

        :param number: the signal that does it.
        :param for_s: how long the process will not run.
        """
        now_ms = clock.monotonic_ms()
        self.harmed.append(faults.Span(self.ip, now_ms, now_ms + int(1_000 * for_s)))
        self.signal(number)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs.

        :param number: the signal.
        """
        if self.running:
            self.signals.append(Signalled(clock.monotonic_ms(), self.ip, number))
        super().signal(number)

    async def stop(self) -> None:
        """Stop the process as the platform does."""
        if self.stopping:
            return
        self.stopping = True
        stop_ms = clock.monotonic_ms()
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(GRACE_S):
            while self.running and self.started_ms <= stop_ms:
                await anyio.sleep(POLL_S)
            return
        if all(span.until_ms < stop_ms for span in self.harmed):
            self.overran.append(Signalled(stop_ms, self.ip, signal.SIGTERM))
        self.signal(signal.SIGKILL)

    @property
    def takes_signals(self) -> bool:
        """Whether the program can have begun, after the start of its interpreter."""
        return clock.monotonic_ms() - self.started_ms > INTERPRETER_START_MS

    @property
    def is_calm(self) -> bool:
        """Whether the process has started and is not asked to stop."""
        return self.running and self.listening and not self.stopping

    async def readiness(self) -> int:
        """Return the status of the process's readiness, 0 if there is no answer."""
        try:
            with anyio.fail_after(1):
                async with await anyio.connect_tcp(self.ip, READINESS) as stream:
                    await stream.send(READINESS_REQUEST)
                    head = await stream.receive()
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            return 0
        return int(head.split()[1])

    def take_exit(self) -> bool:
        """Note the end of the process and return true, or return false if it runs."""
        if self._child is None or self.running:
            return False
        sent = {s.number for s in self.signals if s.at_ms >= self.started_ms}
        asked = bool(sent & {signal.SIGTERM, signal.SIGINT})
        code = self._child.returncode
        killed = signal.SIGKILL in sent
        now_ms = clock.monotonic_ms()
        age_ms = now_ms - self.started_ms
        self.exits.append(Exit(now_ms, self.name, code, asked, killed, age_ms))
        return True


class Fleet:
    """The entries, the store and the servers of one run.

    The settings of an entry name only entries of its own group, of which there are ``groups``.
    ``timeout_s`` is the time limit of the routes.
    """

    def __init__(
        self, folder: pathlib.Path, seed: int, entries_per_zone: int = 2, code: pathlib.Path = ROOT
    ) -> None:
        self._folder = folder
        # Addresses of this run alone, since others may run beside it.
        self._prefix = f"127.{os.getpid() % 90 + 2}.{os.getpid() // 90 % 15 * 16}"
        self.store = platform_standin.StoreStandin(STORE, host=self._address(0, 0))
        self.servers: dict[str, platform_server.PlatformServer] = {}
        self.entries: list[EntryProcess] = []
        self.groups = 1
        self.timeout_s = TIMEOUT_S
        self.version = 0
        for number in range(len(ZONES) * entries_per_zone):
            zone = list(ZONES)[number % len(ZONES)]
            name = f"front-{zone}-{number // len(ZONES) + 1}"
            self.entries.append(EntryProcess(name, self._address(1, number), zone, folder, code))
        for service, count in SERVICES.items():
            for number in range(count):
                zone = list(ZONES)[number % len(ZONES)]
                address = f"{self._address(2 + list(SERVICES).index(service), number)}:{SERVER}"
                server_id = f"i-{service}-{number}"
                self.servers[server_id] = platform_server.PlatformServer(
                    server_id, service, zone, address, SLOTS, seed + number
                )

    def _address(self, kind: int, number: int) -> str:
        first, second, third = self._prefix.split(".")
        return f"{first}.{second}.{int(third) + kind}.{number + 1}"

    def write_settings(self, entry: EntryProcess, how: Writing = Writing.REPLACED) -> None:
        """Write an entry's settings file.

        :param entry: the entry.
        :param how: how, and whether it is whole.
        """
        if how is Writing.GONE:
            entry.settings_path.unlink(missing_ok=True)
            return
        text = tomli_w.dumps(self._settings(entry))
        if how is Writing.REPLACED:
            temporary = self._folder / f"{entry.name}.new"
            temporary.write_text(text)
            temporary.replace(entry.settings_path)
            return
        texts = {Writing.BAD: "nodeName = [", Writing.HALF: text[: len(text) // 2]}
        entry.settings_path.write_text(texts.get(how, text))

    def _settings(self, entry: EntryProcess) -> dict[str, object]:
        group = self.entries.index(entry) % self.groups
        return {
            "nodeName": entry.name,
            "zone": entry.zone,
            "region": ZONES[entry.zone],
            "ip": entry.ip,
            "internalPortRange": [GOSSIP, GOSSIP + 15],
            "seeds": [f"{e.ip}:{CONTROL}" for e in self.entries[group :: self.groups][:SEEDS]],
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

    def put_server(self, server: platform_server.PlatformServer, state: str = "ready") -> None:
        """Write the row of a server.

        :param server: the server.
        :param state: ``ready`` or ``draining``.
        """
        row = platform_standin.server_row(
            service=server.service,
            address=server.address,
            zone=server.zone,
            slots=SLOTS,
            state=state,
        )
        self.store.put("servers", server.server_id, row)

    def replace_server(self, server: platform_server.PlatformServer) -> None:
        """End a server and start another one at its address.

        :param server: the server.
        """
        self.store.drop("servers", server.server_id)
        del self.servers[server.server_id]
        server.break_connections()
        server.server_id += "n"
        self.servers[server.server_id] = server
        self.put_server(server)

    def put_intents(self, extra_routes: int = 0, change: Change | None = None) -> None:
        """Write a new version of the intents: two routes of each service, and unused routes.

        :param extra_routes: the number of unused routes.
        :param change: what differs from the usual intents.
        """
        change = change or Change()
        used = {"host": platform_server.HOST_NAME, "targetLatencyS": change.target_s}
        used["timeoutS"] = self.timeout_s
        used["maxAttempts"] = MAX_ATTEMPTS
        routes: list[dict[str, object]] = [
            {**used, "prefix": f"/{service}/{kind}/", "routeType": kind, "service": service}
            for service in SERVICES
            for kind in ("safe", "unsafe")
        ]
        for number in range(extra_routes):
            routes.append({"host": f"h{number}.example", "prefix": "/x/", "service": "desk"})
        self.version += 1
        limits = {"headerTimeoutS": change.header_s, "idleTimeoutS": change.idle_s}
        row = platform_standin.intents_row(self.version, routes, list(SERVICES), limits)
        self.store.put("op", "config", row)

    async def run_store_and_servers(self, group: anyio.abc.TaskGroup) -> None:
        """Start the store and the servers, and write their rows.

        :param group: runs them until it is cancelled.
        """
        await group.start(_started, self.store)
        for server in self.servers.values():
            await group.start(_started, server.listener)
            self.put_server(server)
        self.put_intents()

    async def run_entry(self, entry: EntryProcess) -> None:
        """Start an entry, and start it again after each end, until cancelled.

        :param entry: the entry.
        """
        while True:
            self.write_settings(entry)
            entry.start()
            while not entry.take_exit():
                entry.listening = entry.listening or await entry.readiness() > 0
                await anyio.sleep(POLL_S)
            await anyio.sleep(START_DELAY_S)

    def kill_all(self) -> None:
        """Kill all processes of this run."""
        for entry in self.entries:
            entry.kill()


async def _started(service: http_server.HttpServer, *, task_status: anyio.abc.TaskStatus) -> None:
    ready = anyio.Event()

    async def report() -> None:
        await ready.wait()
        task_status.started()

    async with anyio.create_task_group() as group:
        group.start_soon(report)
        await service.run(ready)
