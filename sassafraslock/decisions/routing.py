"""Classes of requests and their deadlines."""

from __future__ import annotations

import fnmatch

from sassafraslock import errors, shared_settings


def is_idempotent(service: shared_settings.Service, method: str, path: str) -> bool:
    """Tell whether a request may run more than once.

    :param service: the service's settings.
    :param method: the HTTP method.
    :param path: the path within the service, without its query.
    """
    if method in service.idempotent_methods:
        return True
    return any(fnmatch.fnmatchcase(f"{method} {path}", p) for p in service.idempotent_paths)


def deadline_of(service: shared_settings.Service, header: str) -> int | errors.Refusal:
    """Return the time that a request may take.

    :param service: the service's settings.
    :param header: the value of the deadline header in milliseconds, or nothing.
    """
    if not header:
        return service.deadline_ms
    if not header.isascii() or not header.isdigit() or int(header) < 1:
        reason = f"the deadline {header[:20]!r} is not a whole number of milliseconds above 0"
        return errors.Refusal(errors.ErrorKind.BAD_REQUEST, reason)
    return min(int(header), service.max_deadline_ms)
