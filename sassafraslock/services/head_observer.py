"""The interface through which the heads of servers' responses are observed."""

from __future__ import annotations

import typing

from sassafraslock import http_messages


class HeadObserver(typing.Protocol):
    """Observes the heads of a server's responses, whichever request they answer."""

    def __call__(self, status: int, headers: http_messages.Headers) -> None:
        """Observe one complete head.

        :param status: the HTTP status, not of an interim response.
        :param headers: the headers, with names in lower case.
        """

    def may_send(self) -> bool:
        """Return whether the server may still get the request, which is about to be written."""
