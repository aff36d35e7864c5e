"""The closed list of error kinds and the answer that each one gets."""

from __future__ import annotations

import dataclasses
import enum


class ErrorKind(enum.StrEnum):
    """Every reason for which a request or an operation is refused."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_SERVICE = "unknown-service"
    BODY_TOO_LARGE = "body-too-large"
    KEY_MISSING = "key-missing"
    KEY_MALFORMED = "key-malformed"
    KEY_EXPIRED = "key-expired"
    KEY_REUSED = "key-reused"
    IN_PROGRESS = "in-progress"
    MAY_HAVE_RUN = "may-have-run"
    TIMED_OUT = "timed-out"
    NO_CAPACITY = "no-capacity"
    LINK_FULL = "link-full"
    NO_SERVER = "no-server"
    STORE_UNAVAILABLE = "store-unavailable"
    QUARANTINED = "quarantined"
    NOT_READY = "not-ready"
    LEAVING = "leaving"
    SERVER_FAILED = "server-failed"
    UNAUTHORIZED = "unauthorized"
    CONFLICT = "conflict"
    INVALID_SETTINGS = "invalid-settings"
    NOT_FOUND = "not-found"
    HISTORY_LOST = "history-lost"


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """How a kind is shown to the outside.

    ``not_run`` is true only where the request certainly did not run.
    """

    status: int
    not_run: bool
    exit_code: int
    retry_after_ms: int = 0


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, True, 2),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, True, 3),
    ErrorKind.BODY_TOO_LARGE: Answer(413, True, 2),
    ErrorKind.KEY_MISSING: Answer(400, True, 2),
    ErrorKind.KEY_MALFORMED: Answer(400, True, 2),
    ErrorKind.KEY_EXPIRED: Answer(409, False, 4),
    ErrorKind.KEY_REUSED: Answer(422, True, 4),
    ErrorKind.IN_PROGRESS: Answer(409, False, 4, 500),
    ErrorKind.MAY_HAVE_RUN: Answer(409, False, 4),
    ErrorKind.TIMED_OUT: Answer(504, False, 5),
    ErrorKind.NO_CAPACITY: Answer(503, True, 6, 200),
    ErrorKind.LINK_FULL: Answer(503, True, 6, 200),
    ErrorKind.NO_SERVER: Answer(503, True, 6, 1000),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, True, 7, 1000),
    ErrorKind.QUARANTINED: Answer(503, True, 8, 1000),
    ErrorKind.NOT_READY: Answer(503, True, 7, 500),
    ErrorKind.LEAVING: Answer(503, True, 7, 100),
    ErrorKind.SERVER_FAILED: Answer(502, False, 5),
    ErrorKind.UNAUTHORIZED: Answer(401, True, 9),
    ErrorKind.CONFLICT: Answer(409, True, 10),
    ErrorKind.INVALID_SETTINGS: Answer(422, True, 2),
    ErrorKind.NOT_FOUND: Answer(404, True, 3),
    ErrorKind.HISTORY_LOST: Answer(503, True, 7, 500),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """A sentinel result: the kind of the error and its reason in words."""

    kind: ErrorKind
    reason: str
    retry_after_ms: int = 0

    @property
    def answer(self) -> Answer:
        """The table's answer for this kind."""
        return ANSWERS[self.kind]

    @property
    def effective_retry_after_ms(self) -> int:
        """The time after which a retry may succeed, 0 when a retry cannot help."""
        return self.retry_after_ms or self.answer.retry_after_ms
