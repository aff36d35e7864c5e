"""Settings that are faulty while an entry runs."""

import signal

import pytest

from sassafraslock import edge_settings, errors, settings_watch
from tests import entry_process

REFUSAL = errors.Refusal(errors.ErrorKind.INVALID_SETTINGS, "faulty")
SETTINGS = edge_settings.EdgeSettings("e", "a-1", "a", "h:1", "", "h:2", "h:3")


def test_faulty_settings_do_not_end_a_process(tmp_path):
    """A file that raised what the reader did not expect ended the process at its next reading."""
    with entry_process.EntryProcess(tmp_path) as entry:
        entry.wait_until_serving()
        good = entry.settings.read_text()
        faulty = [
            good.replace("[26120, 26135]", "[]"),
            good.replace("graceS = 0.6", "graceS = inf"),
            f"a = {'[' * 5_000}{']' * 5_000}\n{good}",
        ]
        for number, text in enumerate(faulty, 1):
            entry.settings.write_text(text)
            entry.child.send_signal(signal.SIGHUP)
            entry.wait_for_event(4002, number)
        entry.settings.unlink()
        entry.settings.mkdir()
        entry.child.send_signal(signal.SIGHUP)
        entry.wait_for_event(4002, len(faulty) + 1)
        entry.settings.rmdir()
        entry.settings.write_text(good)
        entry.child.send_signal(signal.SIGHUP)
        entry.wait_for_event(1006)
        assert entry.stop() == 0


def raising(error):
    def read(signalled):
        raise error

    return read


@pytest.mark.parametrize(
    "read",
    [
        lambda signalled: REFUSAL,
        raising(IndexError("list index out of range")),
        raising(OverflowError("cannot convert float infinity to integer")),
        raising(RecursionError("maximum recursion depth exceeded")),
        raising(MemoryError()),
    ],
)
def test_whatever_the_reading_raises_is_counted_and_settings_in_force_stay(read):
    applied = []
    watch = settings_watch.SettingsWatch(applied.append, read)
    watch.reload(True)
    watch.reload(False)
    assert watch.rejected == 2 and watch.last_rejected and not applied
    watch.read = lambda signalled: SETTINGS
    watch.reload(False)
    assert applied == [SETTINGS]
    assert watch.dump() == {"applied": 1, "rejected": 2, "last_rejected": ""}


def test_settings_that_cannot_be_applied_are_rejected():
    watch = settings_watch.SettingsWatch(raising(ValueError("unusable")), lambda s: SETTINGS)
    watch.reload(True)
    assert (watch.applied, watch.rejected) == (0, 1)


def test_settings_that_did_not_change_are_left_alone():
    watch = settings_watch.SettingsWatch(raising(AssertionError()))
    watch.reload(True)
    assert (watch.applied, watch.rejected) == (0, 0)
