"""Signals from the first instructions of a process to its exit, with real processes."""

import contextlib
import os
import signal
import time

import pytest

from sassafraslock import clock, signals
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


def block_signals():
    signal.pthread_sigmask(signal.SIG_BLOCK, signals.HANDLED_SIGNALS)


def ignore_reload_signal():
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_stop_signal_that_the_starter_blocked_is_delivered(tmp_path, program):
    """A program that left the signals blocked could be stopped by SIGKILL only."""
    with entry_process.EntryProcess(tmp_path, program, prepare=block_signals) as entry:
        assert entry.stop() == 0
        assert entry.logged(1008) == 1


def test_a_reload_signal_that_the_starter_blocked_is_delivered(tmp_path):
    with entry_process.EntryProcess(tmp_path, prepare=block_signals) as entry:
        entry.child.send_signal(signal.SIGHUP)
        entry.wait_for_event(1006)
        assert entry.stop() == 0


def test_a_reload_signal_works_in_a_process_that_was_started_with_it_ignored(tmp_path):
    with entry_process.EntryProcess(tmp_path, prepare=ignore_reload_signal) as entry:
        entry.child.send_signal(signal.SIGHUP)
        entry.wait_until_serving()
        entry.child.send_signal(signal.SIGHUP)
        entry.wait_for_event(1006)
        assert entry.ignores(signal.SIGPIPE)
        assert entry.stop() == 0


def test_signals_are_counted_until_they_are_taken():
    process_signals = signals.ProcessSignals()
    before = {number: signal.getsignal(number) for number in signals.HANDLED_SIGNALS}
    process_signals.install()
    try:
        for _ in range(3):
            os.kill(os.getpid(), signal.SIGHUP)
        assert process_signals.take() == {signal.SIGHUP: 3, signal.SIGTERM: 0, signal.SIGINT: 0}
        assert not any(process_signals.take().values())
        process_signals.ignore()
        os.kill(os.getpid(), signal.SIGTERM)
        assert not any(process_signals.take().values())
    finally:
        signal.set_wakeup_fd(-1)
        for number, handler in before.items():
            signal.signal(number, handler)


def test_a_reader_of_the_log_that_goes_away_does_not_change_the_exit_code(tmp_path):
    """The last lines could not be written then, and the process ended with a traceback."""
    reader, writer = os.pipe()
    with entry_process.EntryProcess(tmp_path, stdout=writer) as entry:
        os.close(writer)
        entry.wait_until_serving()
        os.close(reader)
        assert entry.stop() == 0


def test_a_reader_of_the_log_that_stands_still_does_not_hold_up_the_exit(tmp_path):
    """The write of the log waited for the reader without end, so that only SIGKILL ended it."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"x" * 4_096)
    os.set_blocking(writer, True)
    with entry_process.EntryProcess(tmp_path, stdout=writer) as entry:
        entry.wait_until_serving()
        assert entry.stop() == 0
    os.close(reader)
    os.close(writer)


def test_the_time_of_the_first_signal_to_stop_is_kept(monkeypatch):
    arrived = signals.ProcessSignals()
    for now_ms, number in [(1, signal.SIGHUP), (2, signal.SIGTERM), (3, signal.SIGINT)]:
        monkeypatch.setattr(clock, "monotonic_ms", lambda now_ms=now_ms: now_ms)
        arrived._count(number, None)
    assert arrived.stop_requested_ms == 2
