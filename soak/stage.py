"""The real processes of a soak: platform, servers and entries, each behind proxies."""

from __future__ import annotations

import itertools
import pathlib
import signal
import subprocess
import sys
import urllib.error
import urllib.request

import tomli_w

from sassafraslock import client, errors
from sassafraslock.standin import free_ports
from soak import proxy

ENTRIES = 5  # so many in a zone that one reads the store for the others
SERVERS = 4
SLOTS = 3
WORK_MS = 15
MEMORY_MIB = 200  # the smallest entry VMs have no more
TOKEN = "soak-operators"
PEER_TOKEN = "soak-peers"
REGION = "gorenjska"
SERVICE = "kocar/logbook"


class Process:
    """One process of the stage, which it starts, signals and ends by its own id."""

    def __init__(self, name: str, arguments: list[str], folder: pathlib.Path) -> None:
        self.name = name
        self._arguments = arguments
        self._log = folder / f"{name}.log"
        self._child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the program unless it runs."""
        if self.running:
            return
        with self._log.open("ab") as log:
            command = [sys.executable, "-m", "sassafraslock", *self._arguments]
            self._child = subprocess.Popen(command, stdout=log, stderr=log)

    @property
    def running(self) -> bool:
        """Whether the program runs."""
        return self._child is not None and self._child.poll() is None

    def memory_mib(self, field: str) -> float:
        """Return a figure of the program's memory, 0 if it does not run.

        :param field: ``VmRSS`` for the present, ``VmHWM`` for the most since its start.
        """
        if self._child is None or not self.running:
            return 0.0
        try:
            lines = pathlib.Path(f"/proc/{self._child.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        found = [line for line in lines if line.startswith(f"{field}:")]
        return int(found[0].split()[1]) / 1024 if found else 0.0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the program runs.

        :param number: the signal.
        """
        if self._child is not None and self.running:
            self._child.send_signal(number)

    def end(self) -> None:
        """Kill the program and wait for its end."""
        if self._child is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self._child.wait()


class Stage:
    """All processes and proxies, with the files that they read and write."""

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
        self._add("platform", [*arguments, "--shared", str(shared)])

    def _add_servers(self, seed: int) -> None:
        servers = {}
        for number, (port, front) in enumerate(
            zip(_free_ports(SERVERS), _free_ports(SERVERS), strict=True)
        ):
            name = f"server-{number}"
            arguments = ["standin", "backend", name, "--port", str(port), "--slots", str(SLOTS)]
            arguments += ["--work-ms", str(WORK_MS), "--journal", str(self.journal(name))]
            self._add(name, arguments)
            self.proxies[name] = proxy.Proxy(front, port, seed + number)
            servers[name] = {"region": REGION, "zone": "a", "host": proxy.HOST, "port": front}
        self._write("shared/system.toml", {"regions": {REGION: {"max_in_flight": 100}}})
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
        self.processes[name] = Process(name, arguments, self.folder)

    def _write(self, name: str, document: dict[str, object]) -> None:
        (self.folder / name).write_text(tomli_w.dumps(document))

    def journal(self, name: str) -> pathlib.Path:
        """Return the file in which a server writes the keys that it runs.

        :param name: the server.
        """
        return self.folder / f"{name}.runs"

    def caller_port(self, entry: str) -> int:
        """Return the port of an entry's callers.

        :param entry: the entry's name.
        """
        return self.caller_ports[int(entry.rpartition("-")[2])]

    def entry_memory_mib(self, field: str) -> dict[str, float]:
        """Return a figure of the memory of each entry.

        :param field: as for :meth:`Process.memory_mib`.
        """
        entries = (p for name, p in self.processes.items() if name.startswith("entry"))
        return {entry.name: entry.memory_mib(field) for entry in entries}

    def is_ready(self, number: int) -> bool:
        """Tell whether an entry takes callers.

        :param number: the entry.
        """
        url = f"http://{proxy.HOST}:{self._operator_ports[number]}/readyz"
        try:
            with urllib.request.urlopen(url, timeout=1) as answer:
                return bool(answer.status == 200)
        except (urllib.error.URLError, OSError):
            return False

    def set_state(self, server: str, state: str, number: int) -> bool:
        """Ask an entry's operators' interface to drain a server or to take it back.

        :param server: the server.
        :param state: ``draining`` or ``active``.
        :param number: the entry that is asked.
        :returns: whether the change was accepted.
        """
        operator = client.Client(f"{proxy.HOST}:{self._operator_ports[number]}", TOKEN)
        path = f"/kocar/services/logbook/servers/{server}/state"
        return not isinstance(operator.change(path, lambda value: state), errors.Refusal)

    def end(self) -> None:
        """End all processes that this stage started."""
        for process in self.processes.values():
            process.end()


def _free_ports(count: int) -> list[int]:
    return list(itertools.islice(free_ports.free_ports(proxy.HOST), count))
