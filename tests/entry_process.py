"""Entries as real processes, for tests of signals and of settings files."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

from tests import loopback

ROOT = pathlib.Path(__file__).parent.parent
HOST = loopback.HOST
FRONT_PORT, FREE_PORT = 26_161, 26_199
DEADLINE_S = 60.0  # of a process that hangs; no test waits for it otherwise
POLL_S = 0.005

PLATFORM_SETTINGS = f"""
nodeName = "front-a-1"
ip = "{HOST}"
zone = "a-1"
region = "a"
internalPortRange = [26120, 26135]
[zones]
a-1 = "a"
[listen]
front = "{HOST}:{FRONT_PORT}"
readiness = "{HOST}:26167"
directory = "{HOST}:26164"
control = "{HOST}:26166"
[bounds]
drainS = 0.3
graceS = 0.6
retryBudgetRatio = 0.2
budgetSlack = 58
budgetWindowS = 10
coldOverage = 1.5
coldSlack = 5
ttl_max_s = 5
[platform]
address = "{HOST}:{FREE_PORT}"
"""

RUN_SETTINGS = f"""
entry_id = "entry-a"
region = "a"
zone = "a"
peer_token = "example-peers"
stop_bound_ms = 600
caller = {{ host = "{HOST}", port = {FRONT_PORT} }}
peer = {{ host = "{HOST}", port = 26120 }}
operator = {{ host = "{HOST}", port = 26166, token = "example-operators" }}
platform = {{ host = "{HOST}", port = {FREE_PORT}, region = "a" }}
logging = {{ format = "json" }}
"""

PROGRAMS = {
    "platform": ([str(ROOT / "platform" / "main.py")], PLATFORM_SETTINGS),
    "run": (["-m", "sassafraslock", "run"], RUN_SETTINGS),
}


class EntryProcess:
    """One entry of a program in :data:`PROGRAMS`; its store never answers."""

    def __init__(self, folder, program="platform", options=(), stdout=None, prepare=None):
        arguments, text = PROGRAMS[program]
        self.settings, self.log = folder / "settings.toml", folder / "log"
        self.imports = folder / "imports"
        self.settings.write_text(text)
        path = [str(self.settings)] if program == "run" else []
        environment = {**os.environ, "SASSAFRASLOCK_SETTINGS": str(self.settings)}
        with self.log.open("wb") as log, self.imports.open("wb") as imports:
            self.child = subprocess.Popen(
                [sys.executable, *options, *arguments, *path],
                cwd=ROOT,
                env=environment,
                stdout=log if stdout is None else stdout,
                stderr=imports,
                preexec_fn=prepare,
            )

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.child.kill()
        self.child.wait()

    def wait_until(self, holds):
        """Wait until a condition holds; fail if the process ends before."""
        deadline_s = time.monotonic() + DEADLINE_S
        while not holds():
            assert self.child.poll() is None, (self.child.returncode, self.errors())
            assert time.monotonic() < deadline_s
            time.sleep(POLL_S)

    def wait_until_serving(self):
        self.wait_until(lambda: accepts(FRONT_PORT))

    def wait_for_event(self, event, count=1):
        self.wait_until(lambda: self.logged(event) >= count)

    def logged(self, event):
        return self.log.read_text().count(f'"event":{event},')

    def ignores(self, number):
        status = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
        mask = int(status.partition("SigIgn:")[2].split()[0], 16)
        return bool(mask >> (number - 1) & 1)

    def errors(self):
        lines = self.imports.read_text().splitlines()
        return [line for line in lines if not line.startswith("import time:")]

    def stop(self, number=signal.SIGTERM):
        """Signal the process and return its exit code."""
        self.child.send_signal(number)
        return self.child.wait(DEADLINE_S)


def accepts(port):
    with socket.socket() as probe:
        return probe.connect_ex((HOST, port)) == 0
