"""The walk of README through real processes, as it stands there."""

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
TRIES = 200


def commands():
    """Return the indented commands of the section on real processes."""
    text = (ROOT / "README.md").read_text().partition("## Real processes")[2].partition("\n## ")[0]
    found = [line.strip() for line in text.splitlines() if line.startswith("    ")]
    return [c.replace(".venv/bin/python", sys.executable) for c in found]


def program(command):
    return command.replace(".venv/bin/sassafraslock", f"{sys.executable} -m sassafraslock")


def wait_ready(port):
    for _ in range(TRIES):
        try:
            urllib.request.urlopen(f"http://127.0.0.1:{port}/readyz", timeout=1)
            return
        except (urllib.error.URLError, OSError):
            time.sleep(0.1)
    raise AssertionError(f"nothing ready on {port}")


@pytest.fixture
def _processes():
    lasting = [c for c in commands() if " standin " in c or " run " in c]
    started = [
        subprocess.Popen(program(c).split(), cwd=ROOT, stderr=subprocess.DEVNULL) for c in lasting
    ]
    try:
        for port in (7200, 7201, 7202):
            wait_ready(port)
        yield started
    finally:
        for process in started:
            process.kill()
            process.wait()


def children(pid):
    tasks = pathlib.Path(f"/proc/{pid}/task").glob("*/children")
    return "".join(t.read_text() for t in tasks).split()


def test_the_walk_works_as_it_is_written(_processes):
    script = "set -e\n" + "\n".join(
        program(c) for c in commands() if " standin " not in c and " run " not in c
    )
    time.sleep(3)
    done = subprocess.run(
        ["bash", "-c", script], cwd=ROOT, capture_output=True, text=True, timeout=120, check=False
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert done.stdout.count("200 OK") == 2
    assert "x-server: logbook-" in done.stdout
    assert "draining" in done.stdout
    for process in _processes:
        assert children(process.pid) == []
    entries = _processes[3:]
    for process in entries:
        os.kill(process.pid, signal.SIGTERM)
    assert [process.wait(60) for process in entries] == [0, 0, 0]
