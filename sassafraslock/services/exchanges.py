"""One request with everything that was decided about it, and its headers."""

from __future__ import annotations

import dataclasses

from sassafraslock import asgi, shared_settings
from sassafraslock.services import admission

KEY_HEADER = b"sassafraslock-key"
DEADLINE_HEADER = b"sassafraslock-deadline-ms"
CLIENT_HEADER = b"sassafraslock-client"
HOP_HEADER = b"sassafraslock-hop"
PEER_TOKEN_HEADER = b"sassafraslock-peer-token"
ERROR_HEADER = b"sassafraslock-error"
OWN_HEADERS = frozenset([HOP_HEADER, PEER_TOKEN_HEADER, DEADLINE_HEADER, CLIENT_HEADER])


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request with everything that was decided about it."""

    service: str
    rules: shared_settings.Service
    request: asgi.Request
    target: str
    body: bytes
    idempotent: bool
    deadline_ms: int
    mark: str
    hop_region: str = ""
    key: str = ""
    nonce: str = ""
    attempts: int = 0
    trial: str = ""
    trial_nonce: str = ""

    def left_ms(self, now_ms: int) -> int:
        """Return the time left to the deadline.

        :param now_ms: the present time.
        """
        return self.deadline_ms - now_ms


def split_path(request: asgi.Request) -> tuple[str, str]:
    """Return the service and the target of a request's path.

    :param request: the request's head.
    """
    parts = request.path.split("/", 3)
    service = "/".join(parts[1:3])
    target = "/" + (parts[3] if len(parts) > 3 else "")
    return service, f"{target}?{request.query}" if request.query else target


def size_bytes(headers: asgi.Headers, body: bytes) -> int:
    """Return the bytes that a message takes on a link.

    :param headers: its headers.
    :param body: its body.
    """
    return admission.OVERHEAD_BYTES + sum(len(n) + len(v) + 4 for n, v in headers) + len(body)
