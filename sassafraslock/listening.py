"""Listening TCP sockets."""

from __future__ import annotations

import socket


def listen(host: str, port: int) -> socket.socket:
    """Return a socket bound to an address.

    The socket names its protocol, since asyncio turns Nagle's algorithm off only for sockets
    whose protocol is ``IPPROTO_TCP``.

    :param host: the IP address to listen on.
    :param port: the port.
    :raises OSError: if the address cannot be used; the message names it.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        listener.close()
        raise OSError(f"cannot listen on {host}:{port}: {error}") from error
    return listener
