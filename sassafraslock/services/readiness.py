"""Readiness checks of an entry."""

from __future__ import annotations

import typing

from sassafraslock import http_messages


class ReadinessHandler:
    """Answers readiness checks."""

    def __init__(self, is_ready: typing.Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, request: http_messages.Request) -> http_messages.Response:
        """Return 200 if this entry is ready for clients, 503 if not.

        :param request: the check; its path is ignored.
        """
        return http_messages.Response(200 if self._is_ready() else 503)
