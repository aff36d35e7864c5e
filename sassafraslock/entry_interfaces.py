"""What an entry needs from the platform it runs on: its settings and its request handlers."""

from __future__ import annotations

import typing

from sassafraslock import edge_settings, errors, http_messages

if typing.TYPE_CHECKING:
    from sassafraslock import edge


class Reload(typing.Protocol):
    """Reads the settings of the process again."""

    def __call__(self, signalled: bool) -> edge_settings.EdgeSettings | errors.Refusal | None:
        """Return the settings, a refusal of faulty ones, or ``None`` if they did not change.

        :param signalled: whether SIGHUP requests the reload.
        """


class HandlerFactory(typing.Protocol):
    """Creates the request handlers for the addresses of an entry."""

    def client_handler(self, entry: edge.Edge) -> http_messages.Handler:
        """Return the handler for the address that clients send requests to.

        :param entry: the entry.
        """

    def directory_handler(self, entry: edge.Edge) -> http_messages.Handler:
        """Return the handler for the address at which clients look up entries.

        :param entry: the entry.
        """

    def readiness_handler(self, entry: edge.Edge) -> http_messages.Handler:
        """Return the handler for the address of the readiness check.

        :param entry: the entry.
        """

    def operator_handler(self, entry: edge.Edge) -> http_messages.Handler:
        """Return the handler for the operators' address.

        :param entry: the entry.
        """
