"""Settings files that are faulty while an entry runs, with real processes."""

import signal

from tests import entry_process


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
