"""Listening TCP sockets."""

from __future__ import annotations

import socket


def listen(host: str, port: int) -> socket.socket:
    """Return a bound socket, with its protocol named so that Nagle's algorithm stays off.

    :param host: the IP number to listen on.
    :param port: the port.
    :raises OSError: names the address that cannot be used.
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
