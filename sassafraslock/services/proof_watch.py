"""Logs when this entry gains or loses the proof that requests with keys need."""

from __future__ import annotations

import logging

import anyio

from sassafraslock import clock, events
from sassafraslock.decisions import intents_proof
from sassafraslock.services import routing_state

INTERVAL_S = 0.25


class ProofWatch:
    """Looks at the proof from time to time, and logs each change; no proof is needed by no keys."""

    __slots__ = ("_proofs", "_routing_state", "_was_proven")

    def __init__(
        self, proofs: intents_proof.IntentsProofs, state: routing_state.RoutingState
    ) -> None:
        self._proofs = proofs
        self._routing_state = state
        self._was_proven: bool | None = None

    async def run(self, ready: anyio.Event) -> None:
        """Look until cancelled.

        :param ready: set at once.
        """
        ready.set()
        while True:
            self.observe(clock.monotonic_ms())
            await anyio.sleep(INTERVAL_S)

    def observe(self, now_ms: int) -> None:
        """Log the state of the proof if it has changed.

        :param now_ms: the current monotonic time.
        """
        table = self._routing_state.table
        if self._proofs.revoke_ms is None or table is None or table.workspaces is None:
            self._was_proven = None
            return
        is_proven = self._proofs.may_accept(now_ms)
        if is_proven == self._was_proven:
            return
        self._was_proven = is_proven
        age_ms = self._proofs.age_ms(now_ms)
        if is_proven:
            events.log(events.Event.KEYS_PROVEN, "requests with keys may run", age_ms=age_ms)
            return
        events.log(
            events.Event.KEYS_UNPROVEN,
            "no recent proof that no key was taken away; requests with keys are refused",
            logging.WARNING,
            age_ms=age_ms,
            limit_ms=self._proofs.revoke_ms,
        )

    def dump(self) -> dict[str, object]:
        """Return the proofs and what is known of the store's clock."""
        return self._proofs.dump(clock.monotonic_ms())
