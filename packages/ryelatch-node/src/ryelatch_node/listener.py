"""Opens the socket for clients before the libraries are loaded.

A killed process restarts within half a second, most of which is spent on
loading libraries. Clients whose streams were cut reconnect at once and try
only once, so that a refused connection loses their request. On a listening
socket, their connections wait until the event loop accepts them.

This module must not import anything slow, because it runs before all others.
"""

import socket
from dataclasses import dataclass

BACKLOG = 1024
"""Maximum number of connections that wait to be accepted.

When the queue is full, the kernel drops SYN packets, and clients resend them
only after a second.
"""


@dataclass(frozen=True)
class Listener:
    """The socket on which clients connect.

    :param front: a socket that already listens, or ``None``.
    """

    front: socket.socket | None = None


def bind_listener(host: str, port: int) -> socket.socket:
    """Bind a socket to an address.

    :raises OSError: if the address isn't available.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, port))
    bound.setblocking(False)
    return bound


def open_listener(host: str, port: int) -> socket.socket:
    """Bind a socket and listen; connections wait until they are accepted.

    :raises OSError: if the address isn't available.
    """
    bound = bind_listener(host, port)
    bound.listen(BACKLOG)
    return bound
