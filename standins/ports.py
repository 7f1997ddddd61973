"""Reserves loopback ports for servers that are started later.

A reserved port stays bound, without listening, until it is released.
"""

import errno
import random
import socket

HOST = "127.0.0.1"
# Below the default ephemeral port range of Linux.
PORT_RANGE = (10_240, 32_768)


class Reservation:
    """A port that no other reservation can have until it is released.

    A server can listen on the port when it sets ``SO_REUSEADDR``, as
    gevent's servers do, also in another process and after a restart.

    :ivar address: host and port.
    """

    __slots__ = ("_socket", "address")

    def __init__(self, bound: socket.socket) -> None:
        self._socket = bound
        self.address = f"{HOST}:{bound.getsockname()[1]}"

    def release(self) -> None:
        """Allow others to reserve the port."""
        self._socket.close()


def reserve() -> Reservation:
    """Reserve a random port that no process is bound to.

    It lies below the ephemeral range, so that no outgoing connection can
    take it before its server listens.
    """
    generator = random.SystemRandom()
    while True:
        bound = _bind(generator.randrange(*PORT_RANGE))
        if bound is not None:
            return Reservation(bound)


def _bind(port: int) -> socket.socket | None:
    """Return a socket bound to the port, or None if the port is in use."""
    sock = socket.socket()
    try:
        sock.bind((HOST, port))
    except OSError as error:
        sock.close()
        if error.errno != errno.EADDRINUSE:
            raise
        return None
    # Set after the bind, which must fail for a port reserved elsewhere.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return sock
