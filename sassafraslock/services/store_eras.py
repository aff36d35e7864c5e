"""Reads the era of a store from its answers, and gives their rows versions of that era."""

from __future__ import annotations

import collections.abc
import typing

from sassafraslock import clock, events, http_messages, store_version
from sassafraslock.services import rejections

MAX_ERA_DIGITS = len(str(store_version.MAX_ERA))
MAX_VALUE_BYTES = 40  # in the log


class Versioned(typing.Protocol):
    """Anything that has the store's number, which becomes a version."""

    ver: int


class Answer(Versioned, typing.Protocol):
    """An answer of the store with its own number, and the rows that it holds."""

    @property
    def rows(self) -> collections.abc.Sequence[Versioned]:
        """The rows."""


AnswerT = typing.TypeVar("AnswerT", bound=Answer)


class EraReader:
    """Reads the header that names the era; an answer without a valid one belongs to the last era.

    :param header: the header's name, in lower case.
    """

    __slots__ = ("_header", "_era", "_invalid")

    def __init__(self, header: bytes) -> None:
        self._header = header
        self._era = 0
        self._invalid = rejections.Rejections()

    def place(self, answer: AnswerT, headers: http_messages.Headers) -> AnswerT:
        """Return the answer, in which numbers of the store are replaced by versions.

        :param answer: the answer.
        :param headers: its headers.
        """
        era = self.read(headers)
        answer.ver = store_version.join(era, answer.ver)
        for row in answer.rows:
            row.ver = store_version.join(era, row.ver)
        return answer

    def read(self, headers: http_messages.Headers) -> int:
        """Return the era that headers name, or the last valid one.

        :param headers: the headers of an answer.
        """
        value = next((v.strip() for n, v in headers if n.lower() == self._header), b"")
        is_number = value.isdigit() and len(value) <= MAX_ERA_DIGITS
        if is_number and int(value) <= store_version.MAX_ERA:
            self._era = int(value)
        elif value or self._era:
            shown = ascii(value[:MAX_VALUE_BYTES].decode("latin-1"))
            reason = f"era {shown} is no number from 0 to {store_version.MAX_ERA}"
            event = events.Event.STORE_ERA_INVALID
            self._invalid.record(event, "store era", reason, clock.monotonic_ms())
        return self._era
