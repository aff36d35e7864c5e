"""Ports on loopback for stand-ins and demonstrations."""

from __future__ import annotations

import socket
import typing

_given: set[int] = set()


def free_ports(host: str) -> typing.Iterator[int]:
    """Return ports that are free now, none of them twice within this process.

    A port is free again once it was probed, so the system may name it a second time.

    :param host: the IP number to listen on.
    """
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            port = probe.getsockname()[1]
        if port not in _given:
            _given.add(port)
            yield port
