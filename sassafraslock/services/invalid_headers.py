"""Counts invalid headers of servers, and logs them once for each start of a server."""

from __future__ import annotations

import logging

from sassafraslock import events
from sassafraslock.decisions import registry

MAX_LOGGED = 4_096  # starts of servers; those of further ones are only counted
MAX_VALUES = 4  # in a log line
MAX_VALUE_CHARS = 40


class InvalidHeaders:
    """The invalid values of one header; ``count`` is the number of heads that had any.

    :param event: the event that is logged.
    :param message: its text.
    """

    __slots__ = ("count", "_event", "_message", "_logged")

    def __init__(self, event: events.Event, message: str) -> None:
        self.count = 0
        self._event = event
        self._message = message
        self._logged: set[str] = set()

    def record(self, server: registry.Server, values: list[bytes]) -> None:
        """Count a head with invalid values, and log the first one of each start.

        :param server: the server.
        :param values: the values.
        """
        self.count += 1
        start_id = registry.start_id(server)
        if start_id in self._logged or len(self._logged) >= MAX_LOGGED:
            return
        self._logged.add(start_id)
        events.log(
            self._event,
            self._message,
            logging.WARNING,
            server=server.server_id,
            values=[value[:MAX_VALUE_CHARS].decode("latin-1") for value in values[:MAX_VALUES]],
        )
