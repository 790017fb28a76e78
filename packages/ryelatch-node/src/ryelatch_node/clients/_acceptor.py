"""Accepts connections of clients, as far as there is room for them."""

import asyncio
import socket
from collections.abc import Callable

from ryelatch_node.clients._connections import ConnectionTable

ACCEPTS_PER_TURN = 8
"""Connections accepted before those that are open get their turn.

A client whose connection was accepted is read soon after, before others that
connect could take its place.
"""

RETRY_SECONDS = 0.1
"""Time until connections are accepted again after the system refused."""


class Acceptor:
    """Accepts connections at a listening socket.

    :param make_protocol: makes the protocol of a connection.
    :param on_error: called with the reason why a connection isn't accepted,
        such as a lack of descriptors.
    """

    def __init__(
        self,
        listening: socket.socket,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        connections: ConnectionTable,
        on_error: Callable[[OSError], None],
    ) -> None:
        self._listening = listening
        self._make_protocol = make_protocol
        self._connections = connections
        self._on_error = on_error
        self._opening: set[asyncio.Task[object]] = set()
        self._retry: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to accept connections."""
        self._retry = None
        asyncio.get_running_loop().add_reader(self._listening, self._accept)

    def close(self) -> None:
        """Accept no more connections, and close the listening socket."""
        if self._retry is not None:
            self._retry.cancel()
        asyncio.get_running_loop().remove_reader(self._listening)
        self._listening.close()

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                accepted, _ = self._listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._pause(error)
                return
            if self._connections.make_room():
                self._open(accepted)
            else:
                # Its client can try another node at once.
                accepted.close()
                self._on_error(OSError('all connections are being served'))

    def _open(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        loop = asyncio.get_running_loop()
        opening = loop.create_task(
            loop.connect_accepted_socket(self._make_protocol, accepted)
        )
        self._opening.add(opening)
        opening.add_done_callback(self._finish)

    def _finish(self, opening: 'asyncio.Task[object]') -> None:
        self._opening.discard(opening)
        if opening.cancelled():
            return
        error = opening.exception()
        if isinstance(error, OSError):
            self._on_error(error)

    def _pause(self, error: OSError) -> None:
        """Accept nothing for a while; the socket stays ready meanwhile."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listening)
        self._retry = loop.call_later(RETRY_SECONDS, self.start)
        self._on_error(error)
