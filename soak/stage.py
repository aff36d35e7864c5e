"""The processes of a soak: platform, servers and entries, with proxies between them."""

from __future__ import annotations

import itertools
import pathlib
import signal
import subprocess
import sys
import urllib.error
import urllib.request

import tomli_w

from sassafraslock import client, errors, workspaces
from sassafraslock.standin import free_ports
from soak import proxy

ENTRIES = 5  # enough in a zone that one reads the store for the others
SERVERS = 4
SLOTS = 3
WORK_MS = 15
MEMORY_MIB = 200  # the memory of the smallest entry VMs
TOKEN = "soak-operators"
PEER_TOKEN = "soak-peers"
REGION = "gorenjska"
SERVICE = "kocar/logbook"
KEYS = {"office": "soak-key-of-the-office", "night": "soak-key-of-the-night"}


class Process:
    """One child process, which is started, signalled and killed by its process id."""

    def __init__(
        self,
        name: str,
        command: list[str],
        folder: pathlib.Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self._command = command
        self._environment = environment
        self._log = folder / f"{name}.log"
        self._child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the program unless it runs."""
        if self.running:
            return
        with self._log.open("ab") as log:
            self._child = subprocess.Popen(
                self._command, env=self._environment, stdout=log, stderr=log
            )

    @property
    def running(self) -> bool:
        """Whether the program runs."""
        return self._child is not None and self._child.poll() is None

    def memory_mib(self, field: str) -> float:
        """Return a memory figure of the process in MiB, 0 if it does not run.

        :param field: ``VmRSS`` for the present value, ``VmHWM`` for the peak since its start.
        """
        if self._child is None or not self.running:
            return 0.0
        try:
            lines = pathlib.Path(f"/proc/{self._child.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        matching = [line for line in lines if line.startswith(f"{field}:")]
        return int(matching[0].split()[1]) / 1024 if matching else 0.0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the program runs.

        :param number: the signal.
        """
        if self._child is not None and self.running:
            self._child.send_signal(number)

    def kill(self) -> None:
        """Kill the process, also if it is paused, and wait for its exit."""
        if self._child is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self._child.wait()


class Cluster:
    """All processes and proxies, with their settings files, logs and run journals."""

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.proxies: dict[str, proxy.Proxy] = {}
        self.caller_ports = _free_ports(ENTRIES)
        self._operator_ports = _free_ports(ENTRIES)
        self._peer_ports = _free_ports(ENTRIES)
        self._add_platform()
        self._add_servers(seed)
        for number in range(ENTRIES):
            self._add_entry(number, seed)

    def _add_platform(self) -> None:
        self._platform_port = _free_ports(1)[0]
        shared = self.folder / "shared"
        shared.mkdir()
        arguments = ["standin", "platform", "--port", str(self._platform_port)]
        rows = self.folder / "platform.rows"
        self._add("platform", [*arguments, "--shared", str(shared), "--journal", str(rows)])

    def _add_servers(self, seed: int) -> None:
        servers = {}
        for number, (port, proxy_port) in enumerate(
            zip(_free_ports(SERVERS), _free_ports(SERVERS), strict=True)
        ):
            name = f"server-{number}"
            arguments = ["standin", "backend", name, "--port", str(port), "--slots", str(SLOTS)]
            arguments += ["--work-ms", str(WORK_MS), "--journal", str(self.journal(name))]
            arguments += ["--limit-seed", str(seed * 10 + number)]
            self._add(name, [*arguments, "--limit-journal", str(self.limit_journal(name))])
            self.proxies[name] = proxy.Proxy(proxy_port, port, seed + number)
            servers[name] = {"region": REGION, "zone": "a", "host": proxy.HOST, "port": proxy_port}
        digests = {name: workspaces.digest_key(key.encode()).hex() for name, key in KEYS.items()}
        known = {name: {"key_digests": [digest]} for name, digest in digests.items()}
        regions = {REGION: {"max_in_flight": 100}}
        self._write("shared/system.toml", {"regions": regions, "workspaces": known})
        self._write("shared/kocar.toml", {"services": {"logbook": {"servers": servers}}})

    def _add_entry(self, number: int, seed: int) -> None:
        name = f"entry-{number}"
        port = _free_ports(1)[0]
        self.proxies[f"{name}-store"] = proxy.Proxy(port, self._platform_port, seed + 100 + number)
        self._write(
            f"{name}.toml",
            {
                "entry_id": name,
                "region": REGION,
                "zone": "a",
                "peer_token": PEER_TOKEN,
                "peers": [{"host": proxy.HOST, "port": p} for p in self._peer_ports],
                "poll_ms": 100,
                "stop_bound_ms": 5_000,
                "memory_mib": MEMORY_MIB,
                "caller": {"host": proxy.HOST, "port": self.caller_ports[number]},
                "peer": {"host": proxy.HOST, "port": self._peer_ports[number]},
                "operator": {
                    "host": proxy.HOST,
                    "port": self._operator_ports[number],
                    "token": TOKEN,
                },
                "platform": {
                    "host": proxy.HOST,
                    "port": port,
                    "region": REGION,
                    "timeout_ms": 500,
                },
                "logging": {"format": "json"},
            },
        )
        self._add(name, ["run", str(self.folder / f"{name}.toml")])

    def _add(self, name: str, arguments: list[str]) -> None:
        command = [sys.executable, "-m", "sassafraslock", *arguments]
        self.processes[name] = Process(name, command, self.folder)

    def _write(self, name: str, document: dict[str, object]) -> None:
        (self.folder / name).write_text(tomli_w.dumps(document))

    def journal(self, name: str) -> pathlib.Path:
        """Return the file to which a server appends the time and key of each run.

        :param name: the server.
        """
        return self.folder / f"{name}.runs"

    def limit_journal(self, name: str) -> pathlib.Path:
        """Return the file to which a server appends each request with the limit that it names.

        :param name: the server.
        """
        return self.folder / f"{name}.limits"

    def caller_port(self, entry: str) -> int:
        """Return an entry's port for callers.

        :param entry: the entry's name.
        """
        return self.caller_ports[int(entry.rpartition("-")[2])]

    def entry_memory_mib(self, field: str) -> dict[str, float]:
        """Return a memory figure in MiB by entry name.

        :param field: as for :meth:`Process.memory_mib`.
        """
        entries = (p for name, p in self.processes.items() if name.startswith("entry"))
        return {entry.name: entry.memory_mib(field) for entry in entries}

    def is_ready(self, number: int) -> bool:
        """Return whether an entry is ready, false if it does not answer.

        :param number: the number of the entry.
        """
        url = f"http://{proxy.HOST}:{self._operator_ports[number]}/readyz"
        try:
            with urllib.request.urlopen(url, timeout=1) as answer:
                return bool(answer.status == 200)
        except (urllib.error.URLError, OSError):
            return False

    def set_state(self, server: str, state: str, number: int) -> bool:
        """Set a server's state through the operator interface of an entry.

        :param server: the server.
        :param state: ``draining`` or ``active``.
        :param number: the number of that entry.
        :returns: whether the change was accepted.
        """
        operator = client.Client(f"{proxy.HOST}:{self._operator_ports[number]}", TOKEN)
        path = f"/kocar/services/logbook/servers/{server}/state"
        return not isinstance(operator.change(path, lambda value: state), errors.Refusal)

    def kill_all(self) -> None:
        """Kill all processes of this cluster."""
        for process in self.processes.values():
            process.kill()


def _free_ports(count: int) -> list[int]:
    return list(itertools.islice(free_ports.free_ports(proxy.HOST), count))
