"""Listens for clients before the libraries are loaded.

A process that was killed starts again within half a second, most of which
goes into loading libraries. Clients whose streams were cut come back at once
and have one try; refused a connection, they have lost their request. A socket
that listens keeps them waiting until the loop takes them.

Kept free of imports that take long, as it runs ahead of all others.
"""

import socket
from dataclasses import dataclass

BACKLOG = 1024
"""New connections that wait while the loop is busy.

A packet that opens a connection is dropped when the queue is full, and is
sent again only a second later.
"""


@dataclass(frozen=True)
class Listener:
    """Where clients connect.

    :param front: a socket that listens already; nothing if none does.
    """

    front: socket.socket | None = None


def bind_listener(host: str, port: int) -> socket.socket:
    """Bind a socket for clients.

    :raises OSError: if the address can't be had.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, port))
    bound.setblocking(False)
    return bound


def open_listener(host: str, port: int) -> socket.socket:
    """Bind a socket for clients, and let them wait there from now on.

    :raises OSError: if the address can't be had.
    """
    bound = bind_listener(host, port)
    bound.listen(BACKLOG)
    return bound
