"""Names of the headers that the proxy exchanges with clients and backend servers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class HeaderNames:
    """Header names in lower case; the adapter of a platform supplies its own.

    A feature whose name is empty is not used.

    ``target_server``: in a request, the id of the only server that may run it.
    ``entry``: in a request to a server, the id of the entry that sends it.
    ``object_key``: in a request, its affinity key.
    ``deadline_ms``: in a request, the time until its deadline.
    ``idempotency_key``: in a request, the key by which repeats are recognized.
    ``not_run``: in a server's response, present if the server did not run the request.
    ``signature``: in a server's response, present if the server itself produced all of it.
    ``load``: in a server's response, its reported load.
    ``rate_limit``: in a server's response, the requests per second that it takes from all entries.
    ``leaving``: in a server's response, ``1`` if the server is about to end and wants no requests.
    ``cold_ms``: in a server's response, the remaining time of its cold start.
    ``error``: in a refusal by the proxy, the kind of the error.
    ``refused_not_run``: in a refusal by the proxy, whether the request was certainly not run.
    ``credential``: in a request by a client, the key of its workspace; servers never get it.
    ``workspace``: in a request to a server, the name of the workspace.
    ``request_id_echoed``: whether servers repeat ``request_id`` in their responses.
    """

    request_id: bytes = b"sassafraslock-request-id"
    deadline_ms: bytes = b"sassafraslock-deadline-ms"
    object_key: bytes = b"sassafraslock-object"
    target_server: bytes = b"sassafraslock-server"
    entry: bytes = b"sassafraslock-entry"
    not_run: bytes = b"sassafraslock-not-run"
    signature: bytes = b""
    request_id_echoed: bool = True
    error: bytes = b"sassafraslock-error"
    refused_not_run: bytes = b"sassafraslock-not-run"
    idempotency_key: bytes = b"sassafraslock-key"
    load: bytes = b"sassafraslock-load"
    rate_limit: bytes = b"sassafraslock-limit"
    leaving: bytes = b"sassafraslock-leaving"
    cold_ms: bytes = b"sassafraslock-cold-ms"
    server_id: bytes = b"sassafraslock-server-id"
    credential: bytes = b"sassafraslock-credential"
    workspace: bytes = b"sassafraslock-workspace"
