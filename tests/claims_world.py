"""Owners, entries and a table service in random order, for the claims' decider.

The oracle is simple: it counts the dispatches of each key and the attempts that were told
"not run".
"""

import collections
import dataclasses
import random

import msgspec

from sassafraslock import errors, messages, platform, shared_settings
from sassafraslock.decisions import claim_records, claims
from sassafraslock.standin import platform as standin

RULES = shared_settings.Claims(partitions=1, commits_per_s=1000, retention_ms=3_600_000)
HEAD = claim_records.head_key(0)


@dataclasses.dataclass(slots=True)
class Owner:
    name: str
    log: claims.ClaimLog
    batch: object = None
    sent: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Attempt:
    key: str
    nonce: str
    state: str = "waiting"


class ClaimsWorld:
    """One partition under random deliveries, losses, pauses, take-overs and kills."""

    def __init__(self, seed, take_over_ratio=0.002):
        self.take_over_ratio = take_over_ratio
        self.random = random.Random(seed)
        self.memory = standin.MemoryPlatform()
        self.owners = []
        self.attempts = {}
        self.recent = collections.deque(maxlen=50)
        self.take_overs = 0
        self.requests = []
        self.replies = []
        self.in_flight = []
        self.runs = collections.Counter()
        self.answered = collections.Counter()
        self.now_ms = 1_000_000
        self.keys = []
        self.take_over()

    def take_over(self):
        """Let a new owner fence the others, which may go on believing in their right."""
        self.take_overs += 1
        row = self.memory.apply(platform.Transaction(reads=[HEAD])).row(HEAD)
        epoch = 1 + (msgspec.msgpack.decode(row.value, type=claim_records.Head).epoch if row else 0)
        value = msgspec.msgpack.encode(claim_records.Head(epoch, f"owner-{epoch}", epoch))
        version = row.version if row else 0
        self.memory.apply(
            platform.Transaction([platform.Condition(HEAD, version)], [platform.Put(HEAD, value)])
        )
        scan = platform.Scan(claim_records.ring_prefix(0), limit=1_000_000)
        rows = self.memory.apply(platform.Transaction(reads=[HEAD], scan=scan)).rows
        log = claims.ClaimLog(0, RULES)
        log.recover(rows[1:], rows[0].version, epoch)
        self.owners.append(Owner(f"owner-{epoch}", log))
        self.owners = self.owners[-3:]

    def file(self, repeat):
        """Send a filing, or one sent before once more."""
        key = self.random.choice(self.keys[-20:]) if repeat and self.keys else f"k{len(self.keys)}"
        if key not in self.keys[-20:]:
            self.keys.append(key)
        attempt = Attempt(key, f"n{len(self.attempts)}")
        self.attempts[attempt.nonce] = attempt
        self.recent.append(attempt)
        self.requests.append(self._request(attempt))

    def _request(self, attempt):
        return messages.ClaimRequest(
            sender="entry",
            request_id=0,
            key=attempt.key,
            nonce=attempt.nonce,
            body_hash="body",
            deadline_ms=self.now_ms + 50,
        )

    def deliver_request(self):
        """Hand a request to any owner that believes in its right; it may arrive twice."""
        if not self.requests:
            return
        index = self.random.randrange(len(self.requests))
        request = self.requests[index]
        if self.random.random() < 0.9:
            self.requests.pop(index)
        verdict = self.random.choice(self.owners).log.submit(request, self.now_ms)
        if verdict:
            self.replies.append(verdict)

    def commit(self):
        """Send an owner's batch to the store, where it may take effect late or never."""
        owner = self.random.choice(self.owners)
        if owner.log.due(self.now_ms):
            owner.batch = owner.log.next_batch(self.now_ms, self.now_ms)
            self.in_flight.append((owner, owner.batch))

    def reach_store(self):
        """Let a transaction take effect; its answer may be lost."""
        if not self.in_flight:
            return
        owner, batch = self.in_flight.pop(self.random.randrange(len(self.in_flight)))
        if self.random.random() < 0.1:
            return
        outcome = self.memory.apply(batch.transaction)
        if self.random.random() < 0.3 or owner.batch is not batch:
            return
        verdicts = owner.log.settle(outcome)
        if verdicts is None:
            verdicts = owner.log.abandon()
            self.owners = [o for o in self.owners if o is not owner] or self.owners
        owner.batch = None
        self.replies += verdicts

    def deliver_reply(self):
        """Bring a verdict to its entry, which dispatches unless it gave up before."""
        if not self.replies:
            return
        verdict = self.replies.pop(self.random.randrange(len(self.replies)))
        attempt = self.attempts[verdict.request.nonce]
        if attempt.state != "waiting" or self.random.random() < 0.1:
            return
        if verdict.granted:
            attempt.state = "dispatched"
            self.runs[attempt.key] += 1
        elif verdict.answer:
            attempt.state = "replayed"
            self.answered[attempt.key] += 1
        elif verdict.refusal.kind is not errors.ErrorKind.NOT_READY:
            attempt.state = "refused"
            self._release(attempt)

    def give_up(self):
        """Let a deadline pass at an entry, which tells "not run" and releases the key."""
        waiting = [a for a in self.recent if a.state == "waiting"]
        if waiting:
            attempt = self.random.choice(waiting)
            attempt.state = "not run"
            self._release(attempt)

    def _release(self, attempt):
        message = messages.ClaimRelease(sender="entry", key=attempt.key, nonce=attempt.nonce)
        if self.random.random() < 0.8:
            self.random.choice(self.owners).log.release(message)

    def finish(self):
        """Answer a dispatched request and record it; an entry may be killed before."""
        running = [a for a in self.recent if a.state == "dispatched"]
        if not running:
            return
        attempt = self.random.choice(running)
        attempt.state = "done"
        if self.random.random() < 0.8:
            answer = messages.RecordedAnswer(200, [], attempt.nonce.encode())
            message = messages.ClaimDone(
                sender="entry", key=attempt.key, nonce=attempt.nonce, answer=answer
            )
            self.random.choice(self.owners).log.done(message)

    def resend(self):
        """Send a waiting attempt's request again under the same nonce."""
        waiting = [a for a in self.recent if a.state == "waiting"]
        if waiting:
            self.requests.append(self._request(self.random.choice(waiting)))

    def step(self):
        """Do one random thing."""
        self.now_ms += self.random.randrange(3)
        chance = self.random.random()
        if chance < self.take_over_ratio:
            self.take_over()
        elif chance < 0.12:
            self.file(self.random.random() < 0.3)
        elif chance < 0.15:
            self.give_up()
        elif chance < 0.18:
            self.resend()
        else:
            steps = (
                self.deliver_request,
                self.commit,
                self.reach_store,
                self.deliver_reply,
                self.finish,
            )
            self.random.choice(steps)()

    def check(self):
        """Return the keys that ran twice."""
        return [k for k, count in self.runs.items() if count > 1]
