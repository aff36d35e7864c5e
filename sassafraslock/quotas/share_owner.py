"""Lends an entry's share of all limits to one collector at a time."""

from __future__ import annotations

import dataclasses

from sassafraslock.quotas import messages


@dataclasses.dataclass(slots=True)
class _Loan:
    holder: str
    run: int
    number: int
    until_ms: int


class ShareOwner:
    """Decides to whom this entry's share is lent.

    A former process of this entry may have lent the share until just before its end, so nothing is
    lent for one lease after the start. The same holds after this process stood still, when its
    number of entries may be old.
    """

    __slots__ = ("_own_id", "_closed_since_ms", "_loan")

    def __init__(self, own_id: str, now_ms: int) -> None:
        self._own_id = own_id
        self._closed_since_ms = now_ms
        self._loan: _Loan | None = None

    def hold_back(self, now_ms: int) -> None:
        """Lend nothing new for the time of one lease from now on.

        :param now_ms: the current monotonic time.
        """
        self._closed_since_ms = now_ms

    @property
    def holder(self) -> str:
        """The collector that got the share last, empty if it was released."""
        return self._loan.holder if self._loan is not None else ""

    def answer(self, ask: messages.LeaseAsk, share: float, now_ms: int) -> messages.LeaseAnswer:
        """Return the answer to a collector, which tells the lease if it is granted.

        :param ask: the collector's message.
        :param share: the size of this entry's share.
        :param now_ms: the current monotonic time.
        """
        loan, holder = self._loan, ""
        granted = now_ms >= self._closed_since_ms + ask.lease_ms
        if loan is not None and now_ms < loan.until_ms:
            holder = loan.holder
            granted = granted and (loan.holder, loan.run) == (ask.sender, ask.run)
            granted = granted and ask.number > loan.number
        granted = granted and ask.lease_ms > 0
        if granted:
            holder = ask.sender
            until_ms = max(now_ms + ask.lease_ms, loan.until_ms if loan is not None else 0)
            self._loan = _Loan(ask.sender, ask.run, ask.number, until_ms)
        return messages.LeaseAnswer(self._own_id, ask.run, ask.number, share, granted, holder)

    def release(self, message: messages.Release) -> None:
        """End a lease early, unless the collector got a later one since.

        :param message: the collector's message.
        """
        loan = self._loan
        if loan is None or (loan.holder, loan.run) != (message.sender, message.run):
            return
        if message.number >= loan.number:
            self._loan = None
