"""Asks the entries of a collector's region for their shares, and renews the leases."""

from __future__ import annotations

import collections.abc
import dataclasses

from sassafraslock.quotas import lease_book, messages, outbox, share_size

RENEW_MS = 500
RENEWALS = 3  # a lease outlasts two renewals that are lost
MAX_ASKS_PER_S = 400
HOLDER_AGE_MS = 3_000
AGREEMENT_MS = 1_500  # the age of the asks by whose answers entries agree


@dataclasses.dataclass(slots=True, frozen=True)
class _Round:
    sent_ms: int
    lease_ms: int


class ShareGatherer:
    """Sends rounds of asks for shares, and records in the book what owners answer."""

    __slots__ = (
        "_own_id",
        "_run",
        "_outbox",
        "_numbers",
        "_start_ms",
        "_rounds",
        "_released",
        "_holders_ms",
        "_renewed_ms",
        "_digests",
        "_is_agreed",
        "has_news",
    )

    def __init__(
        self,
        own_id: str,
        run: int,
        box: outbox.Outbox,
        numbers: collections.abc.Iterator[int],
        now_ms: int,
    ) -> None:
        self._own_id = own_id
        self._run = run
        self._outbox = box
        self._numbers = numbers
        self._start_ms = now_ms
        self._rounds: dict[int, _Round] = {}
        self._released = 0
        # Entries that hold shares of this region by what owners said, and when they said so.
        self._holders_ms: dict[str, int] = {}
        self._renewed_ms: int | None = None
        # The digest that each entry answered last, and when it was asked.
        self._digests: dict[str, tuple[int, int]] = {}
        self._is_agreed = False
        self.has_news = False

    def renew(
        self,
        owners: collections.abc.Sequence[str],
        abroad: collections.abc.Sequence[str],
        now_ms: int,
    ) -> None:
        """Ask all entries of the region for their shares, if it is time to.

        In a large region leases are longer, so that renewals stay few.

        :param owners: these entries, the own one included.
        :param abroad: entries of other regions, to be asked which entries they know.
        :param now_ms: the current monotonic time.
        """
        interval_ms = max(RENEW_MS, 1_000 * len(owners) // MAX_ASKS_PER_S)
        if self._renewed_ms is not None and now_ms - self._renewed_ms < interval_ms:
            return
        self._renewed_ms = now_ms
        number = next(self._numbers)
        lease_ms = min(messages.MAX_LEASE_MS, RENEWALS * interval_ms)
        self._rounds = {
            n: r for n, r in self._rounds.items() if now_ms - r.sent_ms < r.lease_ms
        } | {number: _Round(now_ms, lease_ms)}
        ask = messages.LeaseAsk(self._own_id, self._run, number, lease_ms)
        for owner in owners:
            self._outbox.send(owner, ask)
        question = messages.LeaseAsk(self._own_id, self._run, number, 0)
        for entry_id in abroad:
            self._outbox.send(entry_id, question)

    def take_answer(
        self, answer: messages.LeaseAnswer, book: lease_book.LeaseBook, now_ms: int
    ) -> None:
        """Record the lease that an owner granted, or who holds it instead.

        :param answer: the owner's answer.
        :param book: the leases.
        :param now_ms: the current monotonic time.
        """
        asked = self._rounds.get(answer.number)
        if answer.run != self._run or asked is None:
            return
        if self._digests.get(answer.sender, (None, 0))[0] != answer.digest:
            self.has_news = True
        self._digests[answer.sender] = (answer.digest, asked.sent_ms)
        if answer.granted and answer.number > self._released:
            until_ms = asked.sent_ms + asked.lease_ms
            if until_ms > now_ms:
                book.add(answer.sender, answer.share, answer.number, until_ms)
        elif answer.holder and answer.holder != self._own_id:
            self._holders_ms[answer.holder] = now_ms

    def check_agreement(
        self, known: collections.abc.Sequence[str], digest: int, now_ms: int
    ) -> None:
        """Note whether all known entries know the same entries, so that each counts each.

        :param known: all known entries, this one included.
        :param digest: the digest of their ids.
        :param now_ms: the current monotonic time.
        """
        self.has_news = False
        since_ms = now_ms - AGREEMENT_MS
        told = self._digests
        self._digests = {i: told[i] for i in known if i in told and told[i][1] >= since_ms}
        agreeing = sum(told_digest == digest for told_digest, _ in self._digests.values())
        self._is_agreed = agreeing == len(known)

    def holders(self, now_ms: int) -> list[str]:
        """Return the other entries that hold shares of this region.

        :param now_ms: the current monotonic time.
        """
        known = self._holders_ms
        self._holders_ms = {i: t for i, t in known.items() if now_ms - t < HOLDER_AGE_MS}
        return list(self._holders_ms)

    def release(self, owners: collections.abc.Iterable[str]) -> None:
        """Tell owners that their shares are not used any more.

        Answers to earlier asks that arrive later are void, as the owner may lend anew.

        :param owners: the owners; the book of leases is empty already.
        """
        self._released = next(self._numbers)
        self._rounds.clear()
        self._renewed_ms = None
        message = messages.Release(self._own_id, self._run, self._released)
        for owner in owners:
            self._outbox.send(owner, message)

    def weight(self, owner: str, share: float, size: share_size.ShareSize, now_ms: int) -> float:
        """Return what may be used of a share that is lent to this entry.

        :param owner: the owner.
        :param share: the share by what the owner knows.
        :param size: this entry's view, by which no share may be greater than its own.
        :param now_ms: the current monotonic time.
        """
        if self._is_agreed:
            is_counted = True
        elif owner == self._own_id:
            is_counted = now_ms - self._start_ms >= share_size.KNOWN_AFTER_MS
        else:
            is_counted = size.is_counted(owner, now_ms)
        return min(share, size.unit) if is_counted else 0.0
