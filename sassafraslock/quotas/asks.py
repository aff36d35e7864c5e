"""An entry's asks for tokens: whom it asks, how long it waits, and what it makes of answers."""

from __future__ import annotations

import collections.abc
import dataclasses

from sassafraslock.quotas import collector_choice, limits, messages, outbox

NEXT_AFTER_MS = 60
ABROAD_AFTER_MS = 160  # 55 ms each way between regions, and a busy event loop
GIVE_UP_MS = 250
PENDING_GIVE_UP_MS = 400  # where a collector has answered that it asks others
# A late answer's token is returned; the number of its ask is kept until then.
LATE_MS = 2_000
MAX_SENT = 20_000


@dataclasses.dataclass(slots=True)
class Ask:
    """One request's ask. ``verdict`` is none until it is settled.

    ``collector`` decided, or was asked last, ``number`` names the ask there, and ``decided_ms`` is
    when its answer arrived. ``wait_ms`` is the collector's time until the next token.
    """

    limit: limits.Limit
    started_ms: int
    on_settled: collections.abc.Callable[[], None] | None = None
    verdict: messages.Verdict | None = None
    collector: str = ""
    number: int = 0
    sent_ms: int = 0
    decided_ms: int = 0
    wait_ms: int = 0
    is_pending: bool = False
    tried: set[str] = dataclasses.field(default_factory=set)


class Asks:
    """The asks of this entry's requests. Each is sent to one collector after the other."""

    __slots__ = ("voided", "_choice", "_outbox", "_numbers", "_sent", "_open")

    def __init__(
        self,
        choice: collector_choice.CollectorChoice,
        box: outbox.Outbox,
        numbers: collections.abc.Iterator[int],
    ) -> None:
        self.voided = 0
        self._choice = choice
        self._outbox = box
        self._numbers = numbers
        self._sent: dict[int, tuple[Ask, str, int]] = {}
        self._open: dict[int, Ask] = {}

    def __len__(self) -> int:
        return len(self._open)

    def start(
        self,
        limit: limits.Limit,
        now_ms: int,
        on_settled: collections.abc.Callable[[], None] | None = None,
    ) -> Ask:
        """Ask for a token for one request.

        :param limit: the limit.
        :param now_ms: the current monotonic time.
        :param on_settled: called once the verdict is known.
        """
        ask = Ask(limit, now_ms, on_settled)
        self._open[id(ask)] = ask
        self._send_next(ask, now_ms)
        return ask

    def _send_next(self, ask: Ask, now_ms: int) -> None:
        candidates = [i for i in self._choice.for_asks(now_ms) if i not in ask.tried]
        if not candidates or len(self._sent) >= MAX_SENT:
            if not self._is_awaited(ask):
                self._settle(ask, messages.Verdict.UNKNOWN, now_ms)
            return
        ask.collector, ask.number = candidates[0], next(self._numbers)
        ask.tried.add(ask.collector)
        ask.sent_ms, ask.is_pending = now_ms, False
        self._sent[ask.number] = (ask, ask.collector, now_ms)
        limit = ask.limit
        item = messages.AskItem(ask.number, limit.key, limit.rate_per_s, limit.burst)
        self._outbox.ask(ask.collector, False, item)

    def _is_awaited(self, ask: Ask) -> bool:
        return any(sent is ask for sent, _, _ in self._sent.values())

    def _settle(self, ask: Ask, verdict: messages.Verdict, now_ms: int) -> None:
        ask.verdict, ask.decided_ms = verdict, now_ms
        self._open.pop(id(ask), None)
        if ask.on_settled is not None:
            ask.on_settled()

    def take_answer(self, sender: str, item: messages.AnswerItem, now_ms: int) -> None:
        """Take a collector's answer; one that is not expected, or a copy, is ignored.

        :param sender: the collector.
        :param item: the answer.
        :param now_ms: the current monotonic time.
        """
        ask, collector, sent_ms = self._sent.get(item.number, (None, "", 0))
        if ask is None or collector != sender:
            return
        if item.verdict is messages.Verdict.PENDING:
            ask.is_pending = ask.is_pending or ask.number == item.number
            return
        del self._sent[item.number]
        is_granted = item.verdict is messages.Verdict.GRANTED and item.count > 0
        if is_granted and now_ms >= sent_ms + item.valid_ms:
            self.voided += 1
            is_granted = False
        if ask.verdict is not None:
            if is_granted:
                self._outbox.give_back(sender, item.number)
            return
        if is_granted:
            ask.collector, ask.number = sender, item.number
            self._settle(ask, messages.Verdict.GRANTED, now_ms)
        elif item.verdict in (messages.Verdict.USED_UP, messages.Verdict.GRANTED):
            ask.collector, ask.wait_ms = sender, item.wait_ms
            self._settle(ask, messages.Verdict.USED_UP, now_ms)
        else:
            if item.verdict is messages.Verdict.NOT_COLLECTING:
                self._choice.avoid(sender, collector_choice.DECLINED_MS, now_ms)
            else:
                # The shares of this region are with nobody yet; one more collector would only
                # compete for them.
                ask.tried.update(self._choice.near())
            if ask.number == item.number:
                self._send_next(ask, now_ms)

    def abandon(self, ask: Ask, now_ms: int) -> None:
        """End an ask whose request is gone, and return its token if it has one.

        :param ask: the ask.
        :param now_ms: the current monotonic time.
        """
        if ask.verdict is messages.Verdict.GRANTED:
            self._outbox.give_back(ask.collector, ask.number)
        elif ask.verdict is None:
            ask.on_settled = None
            self._settle(ask, messages.Verdict.UNKNOWN, now_ms)

    def tick(self, now_ms: int) -> None:
        """Ask the next collector where one does not answer, and give up what takes too long.

        :param now_ms: the current monotonic time.
        """
        for ask in list(self._open.values()):
            if ask.verdict is not None:
                continue
            give_up_ms = PENDING_GIVE_UP_MS if ask.is_pending else GIVE_UP_MS
            if now_ms - ask.started_ms >= give_up_ms:
                self._settle(ask, messages.Verdict.UNKNOWN, now_ms)
            elif not ask.is_pending and now_ms - ask.sent_ms >= self._patience_ms(ask.collector):
                self._choice.avoid(ask.collector, collector_choice.SUSPECT_MS, now_ms)
                ask.sent_ms = now_ms
                self._send_next(ask, now_ms)
        for number in [n for n, (_, _, t) in self._sent.items() if now_ms - t >= LATE_MS]:
            del self._sent[number]

    def _patience_ms(self, collector: str) -> int:
        return ABROAD_AFTER_MS if self._choice.is_abroad(collector) else NEXT_AFTER_MS
