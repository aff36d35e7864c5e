"""The refusals with which the pipeline ends requests that no server answered."""

from __future__ import annotations

from sassafraslock import errors, http_messages
from sassafraslock.decisions import candidates
from sassafraslock.path import request_context, route

# Clients may take these as not run: timeout of the request, too many requests, unavailable.
NOT_RUN_STATUSES = (408, 429, 503)

STOPPED = errors.Refusal(
    errors.ErrorKind.TIMED_OUT,
    "the entry stopped before a server answered; the request may have run",
)
ENTRY_LEAVING = errors.Refusal(
    errors.ErrorKind.LEAVING, "this entry is shutting down; send the request to another entry"
)
QUARANTINED = errors.Refusal(
    errors.ErrorKind.QUARANTINED,
    "servers crashed while they ran this request, so it is quarantined; change the request or fix"
    " the service",
)


def checked_response(
    routed: route.RoutedRequest, response: http_messages.Response
) -> http_messages.Response | errors.Refusal:
    """Return a server's response, or a failure if it would tell of a run as not run.

    :param routed: the request.
    :param response: the response, of a server that may have run the request.
    """
    if routed.idempotent or response.status not in NOT_RUN_STATUSES:
        return response
    reason = (
        f"the server answered {response.status} and did not say that it has not run the request;"
        " the request may have run"
    )
    return errors.Refusal(errors.ErrorKind.SERVER_FAILED, reason)


def budget_refusal() -> errors.Refusal:
    """Return the refusal of a request that no server ran and that may not be sent again."""
    reason = (
        "no server ran the request, and the retry budget or the limit of attempts is used up; retry"
        " later"
    )
    return errors.Refusal(errors.ErrorKind.NO_CAPACITY, reason, 200)


def link_refusal(choice: candidates.Choice) -> errors.Refusal:
    """Return the refusal of a request for whose answer the link to its server has no capacity.

    :param choice: the chosen server.
    """
    reason = (
        f"this entry's share of the link to region {choice.server.region} is used up; retry later,"
        " or raise the link's limit"
    )
    return errors.Refusal(errors.ErrorKind.LINK_FULL, reason)


def _may_have_run(context: request_context.RequestContext) -> bool:
    return any(not verdict.certainly_not_run for _, verdict in context.attempts)


def deadline_refusal(context: request_context.RequestContext) -> errors.Refusal:
    """Return the refusal of a request whose deadline has passed between two attempts.

    :param context: the state of the request.
    """
    if _may_have_run(context):
        return errors.Refusal(
            errors.ErrorKind.TIMED_OUT,
            f"no server answered before the deadline (attempts: {len(context.attempts)})",
        )
    reason = (
        "the deadline passed before a server ran the request"
        f" (attempts: {len(context.attempts)}); retry later"
    )
    return errors.Refusal(errors.ErrorKind.NO_CAPACITY, reason, 200)


def final_refusal(
    context: request_context.RequestContext, refusal: errors.Refusal | None
) -> errors.Refusal:
    """Return the refusal for a request without a further attempt.

    :param context: the state of the request.
    :param refusal: the reason why there is none, used only if no server may have run the request.
    """
    if not _may_have_run(context):
        return refusal or budget_refusal()
    attempt, verdict = context.attempts[-1]
    if attempt.exchange is None:
        return errors.Refusal(
            errors.ErrorKind.TIMED_OUT,
            f"no server answered before the deadline (attempts: {len(context.attempts)})",
        )
    if verdict.certainly_not_run:
        reason = "the last server did not run the request, but an earlier one may have run it"
    else:
        reason = attempt.exchange.reason or "the server's response is unsigned or invalid"
    return errors.Refusal(errors.ErrorKind.SERVER_FAILED, reason)
