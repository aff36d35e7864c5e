"""The closed list of error kinds, and the HTTP status and exit code of each."""

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
    SERVER_RATE_LIMIT = "server-rate-limit"
    SERVER_PAUSED = "server-paused"
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
    KEY_UNKNOWN = "key-unknown"
    KEY_UNPROVEN = "key-unproven"
    REGION_FORBIDDEN = "region-forbidden"
    QUOTA_USED_UP = "quota-used-up"
    QUOTA_UNKNOWN = "quota-unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class ErrorProperties:
    """What clients and the command line see of an error kind.

    ``status`` is the HTTP status and ``exit_code`` that of the command line. ``not_run`` is true
    only if the request certainly did not run on any server, so that a client may send it again.
    ``retry_after_ms`` is the default time after which a retry may succeed; 0 means that a retry
    cannot help.
    """

    status: int
    not_run: bool
    exit_code: int
    retry_after_ms: int = 0


ERROR_PROPERTIES: dict[ErrorKind, ErrorProperties] = {
    ErrorKind.BAD_REQUEST: ErrorProperties(400, True, 2),
    ErrorKind.UNKNOWN_SERVICE: ErrorProperties(404, True, 3),
    ErrorKind.BODY_TOO_LARGE: ErrorProperties(413, True, 2),
    ErrorKind.KEY_MISSING: ErrorProperties(400, True, 2),
    ErrorKind.KEY_MALFORMED: ErrorProperties(400, True, 2),
    ErrorKind.KEY_EXPIRED: ErrorProperties(409, False, 4),
    ErrorKind.KEY_REUSED: ErrorProperties(422, True, 4),
    ErrorKind.IN_PROGRESS: ErrorProperties(409, False, 4, 500),
    ErrorKind.MAY_HAVE_RUN: ErrorProperties(409, False, 4),
    ErrorKind.TIMED_OUT: ErrorProperties(504, False, 5),
    ErrorKind.NO_CAPACITY: ErrorProperties(503, True, 6, 200),
    ErrorKind.LINK_FULL: ErrorProperties(503, True, 6, 200),
    ErrorKind.NO_SERVER: ErrorProperties(503, True, 6, 1000),
    ErrorKind.SERVER_RATE_LIMIT: ErrorProperties(503, True, 6, 1000),
    ErrorKind.SERVER_PAUSED: ErrorProperties(503, True, 6, 1000),
    ErrorKind.STORE_UNAVAILABLE: ErrorProperties(503, True, 7, 1000),
    ErrorKind.QUARANTINED: ErrorProperties(503, True, 8, 1000),
    ErrorKind.NOT_READY: ErrorProperties(503, True, 7, 500),
    ErrorKind.LEAVING: ErrorProperties(503, True, 7, 100),
    ErrorKind.SERVER_FAILED: ErrorProperties(502, False, 5),
    ErrorKind.UNAUTHORIZED: ErrorProperties(401, True, 9),
    ErrorKind.CONFLICT: ErrorProperties(409, True, 10),
    ErrorKind.INVALID_SETTINGS: ErrorProperties(422, True, 2),
    ErrorKind.NOT_FOUND: ErrorProperties(404, True, 3),
    ErrorKind.HISTORY_LOST: ErrorProperties(503, True, 7, 500),
    ErrorKind.KEY_UNKNOWN: ErrorProperties(401, True, 9),
    ErrorKind.KEY_UNPROVEN: ErrorProperties(503, True, 7, 500),
    ErrorKind.REGION_FORBIDDEN: ErrorProperties(403, True, 9),
    ErrorKind.QUOTA_USED_UP: ErrorProperties(429, True, 6, 500),
    ErrorKind.QUOTA_UNKNOWN: ErrorProperties(503, True, 6, 500),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """An error that is returned as a result, not raised: its kind, and its reason for people.

    ``retry_after_ms`` 0 leaves the retry time to the default of the kind.
    """

    kind: ErrorKind
    reason: str
    retry_after_ms: int = 0

    @property
    def properties(self) -> ErrorProperties:
        """The status, exit code and default retry time of this kind."""
        return ERROR_PROPERTIES[self.kind]

    @property
    def effective_retry_after_ms(self) -> int:
        """The time after which a retry may succeed; 0 if a retry cannot help."""
        return self.retry_after_ms or self.properties.retry_after_ms
