"""A settings file that another program writes, possibly while it is read."""

from __future__ import annotations

import os
import time
import typing

from sassafraslock import edge_settings, errors

MAX_BYTES = 64 << 10  # reading and parsing it may not delay requests
ATTEMPTS = 5
RETRY_PAUSE_S = 0.1

LoadedT = typing.TypeVar("LoadedT")
Content = bytes | errors.Refusal
SettingsResult = edge_settings.EdgeSettings | errors.Refusal


class Parser(typing.Protocol):
    """Converts the content of a settings file."""

    def __call__(self, content: bytes) -> SettingsResult:
        """Return the settings, or a refusal that names the file, the field and the fix.

        :param content: the content of the file.
        """


class SettingsFile:
    """Reads a settings file again when its content has changed, or on a signal.

    The content is compared, since a file that is written in place may be read half written and be
    completed without a change of its modification time.
    """

    __slots__ = ("_path", "_parse", "_content")

    def __init__(self, path: str, parse: Parser) -> None:
        self._path = path
        self._parse = parse
        self._content = read(path)

    def reload(self, signalled: bool) -> SettingsResult | None:
        """Return the settings or a refusal if the content has changed, in any case on a signal.

        :param signalled: whether a signal asked for the settings to be read again.
        """
        content = read(self._path)
        if not signalled and content == self._content:
            return None
        self._content = content
        return content if isinstance(content, errors.Refusal) else self._parse(content)


def read(path: str) -> Content:
    """Return the content of a settings file, or a refusal that names the file.

    :param path: the file; at most :data:`MAX_BYTES` are read.
    """
    try:
        # A named pipe without a writer would block the open call.
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
        try:
            content = os.read(descriptor, MAX_BYTES + 1)
        finally:
            os.close(descriptor)
    except (OSError, ValueError) as error:
        return invalid(path, f"cannot be read: {error}")
    if len(content) > MAX_BYTES:
        return invalid(path, f"is larger than {MAX_BYTES} bytes; shorten it")
    return content


def retry(load: typing.Callable[[], LoadedT | errors.Refusal]) -> LoadedT | errors.Refusal:
    """Load the settings at the start, repeatedly, since the file may be half written.

    :param load: returns the settings, or a refusal that leads to another attempt.
    """
    for _ in range(ATTEMPTS - 1):
        loaded = load()
        if not isinstance(loaded, errors.Refusal):
            return loaded
        time.sleep(RETRY_PAUSE_S)
    return load()


def invalid(path: str, problem: str) -> errors.Refusal:
    """Return the refusal of a settings file.

    :param path: the file.
    :param problem: what is wrong with it, and the fix.
    """
    return errors.Refusal(errors.ErrorKind.INVALID_SETTINGS, f"{path}: {problem}")
