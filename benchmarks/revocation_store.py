"""A model of the store, for keys that are taken away amid trouble: one row, and long polls."""

from __future__ import annotations

import dataclasses
import typing

from sassafraslock import store_version
from sassafraslock.decisions import intents_proof

if typing.TYPE_CHECKING:
    from benchmarks import revocation_world

CALL_LOSS = 0.01
STORE_DELAY_MS = 4


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """The row of the intents; ``revision`` rises with each key that is taken away."""

    version: int = 0
    revision: int = 0
    is_usable: bool = True


@dataclasses.dataclass(slots=True)
class Call:
    """A call that is under way; only the first outcome counts."""

    sent_ms: int
    life: int
    after: int = 0
    is_done: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Copy:
    """A peer's answer."""

    row: Row
    era: int
    age_ms: int
    position_ms: int
    proofs: list[intents_proof.ProofReport]
    clock: intents_proof.ClockRange | None


class Store:
    """One row, long polls, a steady clock, and outages."""

    def __init__(self, world: revocation_world.World) -> None:
        self.world = world
        self.row = Row(1, 1)
        self.era = 0
        self.clock_offset_ms = 5_000_000
        self.state = "up"
        self.turned_away: set[int] = set()
        self._polls: list[tuple[revocation_world.Entry, Call]] = []

    def put(self, revision: int, is_usable: bool = True) -> None:
        """Write the row; a revision that is not usable stands for a row that cannot be decoded."""
        number = store_version.number(self.row.version) + self.world.random.randint(1, 50)
        self.row = Row(store_version.join(self.era, number), revision, is_usable)
        self._settle_polls(self._answer)

    def restore(self, row: Row) -> None:
        """Go back to an older row in a new era, as after a restore from a backup."""
        self.era += 1
        number = store_version.number(row.version)
        self.row = dataclasses.replace(row, version=store_version.join(self.era, number))
        self._settle_polls(self._answer)

    def set_state(self, state: str) -> None:
        """Set the state: ``up``, ``down`` (calls are refused) or ``silent`` (none is answered)."""
        self.state = state
        if state != "up":
            self._settle_polls(self._refuse)

    def receive(self, entry: revocation_world.Entry, call: Call, wait_ms: int) -> None:
        """Answer a call at once, at the next change, or when it has waited for its time."""
        if self.state != "up" or entry.number in self.turned_away:
            self._refuse(entry, call)
        elif self.row.version != call.after or not wait_ms:
            self._answer(entry, call)
        else:
            self._polls.append((entry, call))
            self.world.after(wait_ms, self._expire, entry, call)

    def _expire(self, entry: revocation_world.Entry, call: Call) -> None:
        if (entry, call) in self._polls:
            self._polls.remove((entry, call))
            self._answer(entry, call)

    def _settle_polls(self, settle: typing.Callable[[revocation_world.Entry, Call], None]) -> None:
        polls, self._polls = self._polls, []
        for entry, call in polls:
            settle(entry, call)

    def _answer(self, entry: revocation_world.Entry, call: Call) -> None:
        if self.world.random.random() < CALL_LOSS:
            return
        clock_ms = int(self.world.now_ms) + self.clock_offset_ms
        answer = self.row, self.era, clock_ms, self.world.now_ms
        self.world.send(entry, STORE_DELAY_MS, entry.group, 0, entry.take_answer, call, *answer)

    def _refuse(self, entry: revocation_world.Entry, call: Call) -> None:
        if self.state != "silent":
            self.world.send(entry, STORE_DELAY_MS, entry.group, 0, entry.fail_call, call)
