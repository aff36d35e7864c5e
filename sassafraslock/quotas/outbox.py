"""Collects what one turn of the event loop has to send, several items to a datagram."""

from __future__ import annotations

import collections
import typing

from sassafraslock.quotas import messages

ItemT = typing.TypeVar("ItemT")


def _chunks(items: list[ItemT]) -> list[list[ItemT]]:
    return [items[i : i + messages.MAX_ITEMS] for i in range(0, len(items), messages.MAX_ITEMS)]


class Outbox:
    """Messages to other entries, by the id of the receiver."""

    __slots__ = ("_own_id", "_run", "_whole", "_asks", "_answers", "_returns")

    def __init__(self, own_id: str, run: int) -> None:
        self._own_id = own_id
        self._run = run
        self._whole: list[tuple[str, messages.AnyMessage]] = []
        self._asks: dict[tuple[str, bool], list[messages.AskItem]] = collections.defaultdict(list)
        self._answers: dict[tuple[str, int], list[messages.AnswerItem]] = collections.defaultdict(
            list
        )
        self._returns: dict[str, list[int]] = collections.defaultdict(list)

    def __bool__(self) -> bool:
        return bool(self._whole or self._asks or self._answers or self._returns)

    def send(self, receiver: str, message: messages.AnyMessage) -> None:
        """Add a whole message.

        :param receiver: the entry.
        :param message: the message.
        """
        self._whole.append((receiver, message))

    def ask(self, receiver: str, is_pull: bool, item: messages.AskItem) -> None:
        """Add an ask for tokens.

        :param receiver: the collector.
        :param is_pull: whether this collector asks for the other's surplus.
        :param item: the ask.
        """
        self._asks[receiver, is_pull].append(item)

    def answer(self, receiver: str, run: int, item: messages.AnswerItem) -> None:
        """Add the answer to an ask.

        :param receiver: the entry that asked.
        :param run: the entry's process.
        :param item: the answer.
        """
        self._answers[receiver, run].append(item)

    def give_back(self, receiver: str, number: int) -> None:
        """Add the return of the token that a collector granted.

        :param receiver: the collector.
        :param number: the number of the ask.
        """
        self._returns[receiver].append(number)

    def drain(self) -> list[tuple[str, messages.AnyMessage]]:
        """Return all messages with their receivers, and forget them."""
        drained, self._whole = self._whole, []
        for (receiver, is_pull), asks in self._asks.items():
            for some in _chunks(asks):
                ask = messages.TokenAsk(self._own_id, self._run, is_pull, some)
                drained.append((receiver, ask))
        for (receiver, run), answers in self._answers.items():
            for chunk in _chunks(answers):
                drained.append((receiver, messages.TokenAnswer(self._own_id, run, chunk)))
        for receiver, numbers in self._returns.items():
            for part in _chunks(numbers):
                drained.append((receiver, messages.TokenReturn(self._own_id, self._run, part)))
        self._asks.clear()
        self._answers.clear()
        self._returns.clear()
        return drained
