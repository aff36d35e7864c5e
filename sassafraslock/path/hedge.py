"""The attempts of one request that are in flight together.

An attempt that passes its soft timeout stays in flight beside the one that is to replace it. No
server's work is given up before another server has answered, since that one may not run the
request at all.
"""

from __future__ import annotations

import asyncio
import types

from sassafraslock import clock
from sassafraslock.path import send


class Hedge:
    """The attempts in flight, the newest last; those left at the end of the block are cancelled.

    ``hedge_at_ms`` is the monotonic time from which the newest one is to be hedged, none if it is
    not.
    """

    __slots__ = ("hedge_at_ms", "_pending")

    def __init__(self) -> None:
        self.hedge_at_ms: int | None = None
        self._pending: list[send.PendingAttempt] = []

    def __enter__(self) -> Hedge:
        """Begin without attempts."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Cancel the attempts that are left.

        :param error_type: the type of the error that ends the block, if one does.
        :param error: that error.
        :param traceback: where it was raised.
        """
        for pending in self._pending:
            pending.cancel()

    @property
    def is_empty(self) -> bool:
        """Whether no attempt is in flight."""
        return not self._pending

    def add(self, pending: send.PendingAttempt, hedge_at_ms: int | None) -> None:
        """Add the newest attempt.

        :param pending: the attempt.
        :param hedge_at_ms: the monotonic time of its soft timeout, none if it has none.
        """
        self._pending.append(pending)
        self.hedge_at_ms = hedge_at_ms

    def is_due(self, now_ms: int) -> bool:
        """Return whether the newest attempt is to be hedged now.

        :param now_ms: the current monotonic time.
        """
        return self.hedge_at_ms is not None and now_ms >= self.hedge_at_ms

    async def wait(self, deadline_ms: int) -> send.Attempt | None:
        """Wait for the first result, until a hedge is due or the deadline of the request.

        :param deadline_ms: the deadline as a monotonic time.
        :returns: the attempt that ended, none if a time limit was reached.
        """
        until_ms = min(deadline_ms, self.hedge_at_ms or deadline_ms)
        timeout_ms = max(0, until_ms - clock.monotonic_ms())
        exchanges = [pending.exchange for pending in self._pending]
        await asyncio.wait(
            exchanges, timeout=timeout_ms / 1000, return_when=asyncio.FIRST_COMPLETED
        )
        for pending in self._pending:
            if pending.exchange.done():
                return self._end(pending)
        return None

    def _end(self, ended: send.PendingAttempt) -> send.Attempt:
        if ended is self._pending[-1]:
            self.hedge_at_ms = None
        self._pending.remove(ended)
        return ended.end(clock.monotonic_ms())

    def end_all(self, now_ms: int, abandoned: bool = False) -> list[send.Attempt]:
        """End all attempts, and return them.

        :param now_ms: the current monotonic time.
        :param abandoned: whether they are ended since another server answered.
        """
        pending, self._pending = self._pending, []
        return [attempt.end(now_ms, abandoned) for attempt in pending]
