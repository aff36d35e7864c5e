"""Which servers take new work: intents, the VM list, the server's own signal, failures."""

from __future__ import annotations

import dataclasses

FAILURES_TO_FAIL = 3
PROBE_AFTER_MS = 2_000


@dataclasses.dataclass(slots=True)
class ServerSigns:
    """All signs about one server; any single one of the three drains it."""

    intent: bool = False
    vm_leaving: bool = False
    own_signal: bool = False
    failures: int = 0
    failed_at_ms: int = 0
    load: float = 0.0
    load_at_ms: int = 0

    @property
    def draining(self) -> bool:
        """Whether any source says that the server leaves."""
        return self.intent or self.vm_leaving or self.own_signal

    def accepting(self, now_ms: int) -> bool:
        """Tell whether the server takes new work.

        :param now_ms: the present time.
        """
        if self.draining:
            return False
        failed = self.failures >= FAILURES_TO_FAIL
        return not failed or now_ms - self.failed_at_ms >= PROBE_AFTER_MS

    def note_failure(self, now_ms: int) -> bool:
        """Count a refused or broken connection.

        :param now_ms: the present time.
        :returns: whether the server counts as failed from now on.
        """
        self.failures += 1
        self.failed_at_ms = now_ms
        return self.failures == FAILURES_TO_FAIL

    def note_success(self) -> bool:
        """Count an answer.

        :returns: whether the server counted as failed until now.
        """
        recovered = self.failures >= FAILURES_TO_FAIL
        self.failures = 0
        return recovered
