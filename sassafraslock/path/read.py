"""First stage: parses the request headers that affect routing."""

from __future__ import annotations

import dataclasses
import uuid

from sassafraslock import header_names, http_messages

MAX_TIMEOUT_MS = 86_400_000


@dataclasses.dataclass(slots=True)
class IncomingRequest:
    """A client's request with the values of its headers.

    ``request_id`` is generated if the header is missing. ``object_key`` and ``host`` are empty,
    and ``timeout_ms`` is 0, if their header is missing; ``host`` has no port. ``credential`` is the
    key of a workspace, which must not be logged.
    """

    request: http_messages.Request
    request_id: bytes
    object_key: str
    host: str
    timeout_ms: int
    credential: bytes = dataclasses.field(default=b"", repr=False)


def read(request: http_messages.Request, names: header_names.HeaderNames) -> IncomingRequest:
    """Parse the headers of a request; a timeout that is not a finite number counts as missing.

    :param request: the complete request.
    :param names: the configured header names.
    """
    headers = dict(request.headers)
    return IncomingRequest(
        request=request,
        request_id=headers.get(names.request_id) or uuid.uuid4().hex.encode(),
        object_key=headers.get(names.object_key, b"").decode("latin-1"),
        host=headers.get(b"host", b"").decode("latin-1").partition(":")[0],
        timeout_ms=_parse_timeout(headers.get(names.deadline_ms, b"")),
        credential=headers.get(names.credential, b""),
    )


def _parse_timeout(value: bytes) -> int:
    try:
        return max(0, min(MAX_TIMEOUT_MS, int(float(value))))
    except (ValueError, OverflowError):
        return 0
