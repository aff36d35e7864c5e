"""Store writes and waiting time of claims, by group commit and by one row for each key."""

from __future__ import annotations

import dataclasses
import heapq
import random

from sassafraslock import messages, platform, shared_settings
from sassafraslock.decisions import claim_records, claims
from sassafraslock.standin import platform as standin

SECONDS = 20
STORE_RTT_MS = 3
RUN_MS = 40
START_MS = 1_000_000
WRITES_PER_KEY = 2


@dataclasses.dataclass(slots=True)
class Line:
    """Writes per filing by either way of counting, and the wait for a claim."""

    way: str
    filings_per_s: int
    transactions_per_filing: float
    rows_per_filing: float
    p50_ms: float
    p99_ms: float


class GroupCommit:
    """Partitions whose owners commit in batches on virtual time."""

    def __init__(self, rate: int, rules: shared_settings.Claims) -> None:
        self.rate = rate
        self.rules = rules
        self.memory = standin.MemoryPlatform()
        self.logs = [self._own(p) for p in range(rules.partitions)]
        self.asked_ms: dict[str, int] = {}
        self.waits_ms: list[int] = []
        self.done: list[tuple[int, str]] = []

    def _own(self, partition: int) -> claims.ClaimLog:
        key = claim_records.head_key(partition)
        self.memory.apply(platform.Transaction(puts=[platform.Put(key, b"owner")]))
        log = claims.ClaimLog(partition, self.rules)
        log.recover([], self.memory.rows[key].version, 1)
        return log

    def run(self, seed: int) -> Line:
        """Send filings at the rate and count what reached the store.

        :param seed: the seed of arrivals.
        """
        source = random.Random(seed)
        self.memory.usage = standin.Usage()
        due = START_MS
        sent = 0
        busy_until = [0] * len(self.logs)
        for now_ms in range(START_MS, START_MS + SECONDS * 1000):
            while due <= now_ms:
                sent += 1
                self._submit(f"key-{sent}", now_ms)
                due += source.expovariate(self.rate / 1000)
            while self.done and self.done[0][0] <= now_ms:
                self._finish(heapq.heappop(self.done)[1])
            for number, log in enumerate(self.logs):
                if now_ms >= busy_until[number] and log.due(now_ms):
                    self._commit(log, now_ms)
                    busy_until[number] = now_ms + STORE_RTT_MS
        usage = self.memory.usage
        waits = sorted(self.waits_ms)
        return Line(
            f"group commit, {len(self.logs)} partitions",
            self.rate,
            usage.write_transactions / sent,
            usage.rows_written / sent,
            waits[len(waits) // 2],
            waits[len(waits) * 99 // 100],
        )

    def _submit(self, key: str, now_ms: int) -> None:
        log = self.logs[claim_records.partition_of(key, len(self.logs))]
        self.asked_ms[key] = now_ms
        request = messages.ClaimRequest(
            sender="e", request_id=0, key=key, nonce=key, body_hash="b", deadline_ms=now_ms + 5000
        )
        log.submit(request, now_ms)

    def _commit(self, log: claims.ClaimLog, now_ms: int) -> None:
        batch = log.next_batch(now_ms, now_ms)
        for verdict in log.settle(self.memory.apply(batch.transaction)) or []:
            key = verdict.request.key
            self.waits_ms.append(now_ms + STORE_RTT_MS - self.asked_ms.pop(key))
            heapq.heappush(self.done, (now_ms + STORE_RTT_MS + RUN_MS, key))

    def _finish(self, key: str) -> None:
        log = self.logs[claim_records.partition_of(key, len(self.logs))]
        answer = messages.RecordedAnswer(200, [], b"ok")
        log.done(messages.ClaimDone(sender="e", key=key, nonce=key, answer=answer))


def measure(seed: int = 1) -> list[Line]:
    """Return a row for each rate and way.

    :param seed: the seed of arrivals.
    """
    lines = []
    for rate in (50, 100, 200, 400):
        rules = shared_settings.Claims(partitions=2, commits_per_s=45)
        lines.append(GroupCommit(rate, rules).run(seed))
        lines.append(
            Line(
                "a row for each key", rate, WRITES_PER_KEY, WRITES_PER_KEY,
                STORE_RTT_MS, STORE_RTT_MS,
            )  # fmt: skip
        )
    return lines
