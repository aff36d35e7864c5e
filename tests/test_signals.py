"""Signals from the first instructions of a process to its exit, with real processes."""

import os
import signal
import time

import pytest

from tests import entry_process

PROGRAMS = list(entry_process.PROGRAMS)
SHOW_IMPORTS = ("-X", "importtime")


def start_importing(folder, program):
    """Start an entry and wait until it is in the middle of its imports."""
    entry = entry_process.EntryProcess(folder, program, SHOW_IMPORTS)
    entry.wait_until(lambda: "anyio" in entry.imports.read_text())
    return entry


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_reload_signal_during_the_start_does_not_end_the_process(tmp_path, program):
    """SIGHUP in the first half second had its default action, which ends a process."""
    with start_importing(tmp_path, program) as entry:
        entry.child.send_signal(signal.SIGHUP)
        entry.wait_until_serving()
        assert entry.stop() == 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("program", PROGRAMS)
def test_a_stop_signal_during_the_start_is_a_planned_stop(tmp_path, program, number):
    """SIGTERM in the first half second ended the process as killed, SIGINT with a traceback."""
    with start_importing(tmp_path, program) as entry:
        assert entry.stop(number) == 0
        assert entry.errors() == []


@pytest.mark.parametrize("program", PROGRAMS)
def test_signals_up_to_the_exit_do_not_change_a_planned_stop(tmp_path, program):
    """SIGHUP at the end of a stop had its default action again."""
    with entry_process.EntryProcess(tmp_path, program) as entry:
        entry.wait_until_serving()
        entry.child.send_signal(signal.SIGTERM)
        numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
        while entry.child.poll() is None:
            for number in numbers:
                entry.child.send_signal(number)
            time.sleep(0.001)
        assert entry.child.returncode == 0
        assert entry.errors() == []
        assert [entry.logged(event) for event in (1002, 1003)] == [1, 1]


def test_a_reader_of_the_log_that_goes_away_does_not_change_the_exit_code(tmp_path):
    """The last lines could not be written then, and the process ended with a traceback."""
    reader, writer = os.pipe()
    with entry_process.EntryProcess(tmp_path, stdout=writer) as entry:
        os.close(writer)
        entry.wait_until_serving()
        os.close(reader)
        assert entry.stop() == 0
