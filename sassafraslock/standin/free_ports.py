"""Allocation of free TCP ports for stand-ins and demonstrations."""

from __future__ import annotations

import socket
import typing

_allocated: set[int] = set()


def free_ports(host: str) -> typing.Iterator[int]:
    """Yield free ports, each at most once within this process.

    A probed port is released before its user binds it, so the operating system may offer it a
    second time.

    :param host: the IP address to probe.
    """
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            port = probe.getsockname()[1]
        if port not in _allocated:
            _allocated.add(port)
            yield port
