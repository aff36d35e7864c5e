"""Settings files in every state in which another program may leave them."""

import os

import pytest

from sassafraslock import errors, settings_file


def parse(content):
    refusal = errors.Refusal(errors.ErrorKind.INVALID_SETTINGS, "faulty")
    return refusal if content == b"faulty" else content


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_bytes(b"1")
    return path


def replace_by_directory(path):
    path.unlink()
    path.mkdir()


def replace_by_pipe(path):
    path.unlink()
    os.mkfifo(path)


UNREADABLE = {
    "gone": lambda path: path.unlink(),
    "a directory": replace_by_directory,
    "a pipe without a writer": replace_by_pipe,
    "too large": lambda path: path.write_bytes(b"#" * (settings_file.MAX_BYTES + 1)),
}


@pytest.mark.parametrize("name", list(UNREADABLE))
def test_an_unreadable_file_is_refused_with_its_name_and_leaks_no_descriptor(path, name):
    """A named pipe would have blocked the process, a directory would leak a descriptor a poll."""
    UNREADABLE[name](path)
    before = len(os.listdir("/proc/self/fd"))
    content = settings_file.read(str(path))
    assert len(os.listdir("/proc/self/fd")) == before
    if name == "a pipe without a writer":
        assert content == b""
    else:
        assert content.kind is errors.ErrorKind.INVALID_SETTINGS and str(path) in content.reason


def test_a_state_of_the_file_is_reported_once_without_a_signal(path):
    file = settings_file.SettingsFile(str(path), parse)
    assert file.reload(False) is None
    for content in (b"faulty", b"2"):
        path.write_bytes(content)
        assert file.reload(False) == parse(content)
        assert file.reload(False) is None
        assert file.reload(True) == parse(content)
    path.unlink()
    assert isinstance(file.reload(False), errors.Refusal)
    assert file.reload(False) is None
    path.write_bytes(b"2")
    assert file.reload(False) == b"2"


def test_a_file_that_is_half_written_at_the_start_is_read_again(monkeypatch):
    """A start in the middle of a change of the settings ended with exit code 2."""
    monkeypatch.setattr(settings_file, "RETRY_PAUSE_S", 0)
    refusal = errors.Refusal(errors.ErrorKind.INVALID_SETTINGS, "half written")
    results = [refusal, refusal, "settings"]
    assert settings_file.retry(lambda: results.pop(0)) == "settings"
    assert settings_file.retry(lambda: refusal) == refusal
