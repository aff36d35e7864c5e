"""Who told this entry what a server asks for."""

from __future__ import annotations

import enum


class HeardFrom(enum.StrEnum):
    """The server itself, in an answer to this entry, or a peer."""

    SERVER = "server"
    PEER = "peer"
