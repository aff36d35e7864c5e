"""Last stage: builds the response to the client."""

from __future__ import annotations

import msgspec

from sassafraslock import errors, header_names, http_messages


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON body of every refusal."""

    error: str
    reason: str
    not_run: bool
    retry_after_ms: int


def forwarded_response(response: http_messages.Response) -> http_messages.Response:
    """Return a server's response without its hop-by-hop headers and otherwise unchanged.

    :param response: the server's complete response.
    """
    return http_messages.Response(
        response.status, http_messages.end_to_end_headers(response.headers), response.body
    )


def refusal_response(
    refusal: errors.Refusal, request_id: bytes, names: header_names.HeaderNames
) -> http_messages.Response:
    """Return the error response for a refusal.

    :param refusal: the kind of the error and its reason.
    :param request_id: the id of the request; if empty, its header is left out.
    :param names: the configured header names.
    """
    headers: http_messages.Headers = [(b"content-type", b"application/json")]
    if request_id:
        headers.append((names.request_id, request_id))
    if names.error:
        headers.append((names.error, refusal.kind.value.encode()))
        headers.append((names.refused_not_run, b"true" if refusal.properties.not_run else b"false"))
    if refusal.properties.not_run and refusal.effective_retry_after_ms:
        headers.append((b"retry-after", b"%.3f" % (refusal.effective_retry_after_ms / 1000)))
    body = ErrorBody(
        refusal.kind.value,
        refusal.reason,
        refusal.properties.not_run,
        refusal.effective_retry_after_ms,
    )
    return http_messages.Response(refusal.properties.status, headers, msgspec.json.encode(body))
