"""Runs the commands of README's section on real processes, and checks what they print."""

import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pytest

ROOT = pathlib.Path(__file__).parent.parent
READY_ATTEMPTS = 200


def commands():
    """Return the indented commands of the section on real processes."""
    text = (ROOT / "README.md").read_text().partition("## Real processes")[2].partition("\n## ")[0]
    indented = [line.strip() for line in text.splitlines() if line.startswith("    ")]
    return [c.replace(".venv/bin/python", sys.executable) for c in indented]


def with_interpreter(command):
    return command.replace(".venv/bin/sassafraslock", f"{sys.executable} -m sassafraslock")


def wait_until_ready(port):
    for _ in range(READY_ATTEMPTS):
        try:
            urllib.request.urlopen(f"http://127.0.0.1:{port}/readyz", timeout=1)
            return
        except (urllib.error.URLError, OSError):
            time.sleep(0.1)
    raise AssertionError(f"no entry ready on port {port} after {READY_ATTEMPTS} attempts")


@pytest.fixture
def _processes():
    long_running = [c for c in commands() if " standin " in c or " run " in c]
    processes = [
        subprocess.Popen(with_interpreter(c).split(), cwd=ROOT, stderr=subprocess.DEVNULL)
        for c in long_running
    ]
    try:
        for port in (7200, 7201, 7202):
            wait_until_ready(port)
        yield processes
    finally:
        for process in processes:
            process.kill()
            process.wait()


def child_processes(pid):
    tasks = pathlib.Path(f"/proc/{pid}/task").glob("*/children")
    return "".join(t.read_text() for t in tasks).split()


def test_the_commands_work_as_written(_processes):
    script = "set -e\n" + "\n".join(
        with_interpreter(c) for c in commands() if " standin " not in c and " run " not in c
    )
    time.sleep(3)
    result = subprocess.run(
        ["bash", "-c", script], cwd=ROOT, capture_output=True, text=True, timeout=120, check=False
    )
    assert result.returncode == 0, result.stdout + result.stderr
    assert result.stdout.count("200 OK") == 2
    assert "x-server: logbook-" in result.stdout
    assert "draining" in result.stdout
    for process in _processes:
        assert child_processes(process.pid) == []
    entries = _processes[3:]
    for process in entries:
        os.kill(process.pid, signal.SIGTERM)
    assert [process.wait(60) for process in entries] == [0, 0, 0]
