"""First stage: what a request says of itself."""

from __future__ import annotations

import dataclasses
import uuid

from sassafraslock import header_names, http_messages


@dataclasses.dataclass(slots=True)
class IncomingRequest:
    """A request with its id, object and time limit; ``limit_ms`` is 0 where it names none."""

    request: http_messages.Request
    request_id: bytes
    key: str
    host: str
    limit_ms: int


def read(request: http_messages.Request, names: header_names.HeaderNames) -> IncomingRequest:
    """Return a request with what its headers say.

    :param request: the whole request.
    :param names: the header names in use.
    """
    found = dict(request.headers)
    return IncomingRequest(
        request=request,
        request_id=found.get(names.request_id) or uuid.uuid4().hex.encode(),
        key=found.get(names.object_key, b"").decode("latin-1"),
        host=found.get(b"host", b"").decode("latin-1").partition(":")[0],
        limit_ms=_limit(found.get(names.deadline_ms, b"")),
    )


def _limit(value: bytes) -> int:
    try:
        return max(0, int(float(value)))
    except (ValueError, OverflowError):
        return 0
