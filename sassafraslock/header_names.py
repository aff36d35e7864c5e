"""Names of the headers spoken with clients and backend servers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class HeaderNames:
    """Header names in lower case; a platform's adapter gives its own.

    ``not_run`` marks a server's answer to a request that it did not run. ``target_server``
    names the only server that may run a request. ``signature`` vouches for a server's whole
    answer; where servers sign nothing, it is empty. ``request_id_echoed`` says that servers repeat the
    request's id. ``error`` and ``refused_not_run`` mark an entry's own refusals, and ``idempotency_key`` the
    requests whose repeats are told apart; empty where clients do not speak of them.
    """

    request_id: bytes = b"sassafraslock-request-id"
    deadline_ms: bytes = b"sassafraslock-deadline-ms"
    object_key: bytes = b"sassafraslock-object"
    target_server: bytes = b"sassafraslock-server"
    not_run: bytes = b"sassafraslock-not-run"
    signature: bytes = b""
    request_id_echoed: bool = False
    error: bytes = b"sassafraslock-error"
    refused_not_run: bytes = b"sassafraslock-not-run"
    idempotency_key: bytes = b"sassafraslock-key"
    load: bytes = b"sassafraslock-load"
    cold_ms: bytes = b"sassafraslock-cold-ms"
    server_id: bytes = b"sassafraslock-server-id"
