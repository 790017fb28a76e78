"""Open connections of clients, and which of them are closed for want of room.

A connection costs a descriptor whether its client sends requests or not. When
no more are left, those make room that have been without a whole request for
longest: a client that is served has one within milliseconds.
"""

import resource
from collections.abc import Callable
from typing import Protocol

from ryelatch_node.listener import BACKLOG

_FILES_FRACTION = 0.25
_MAX_FILES_RESERVE = 200
"""Descriptors for files, listening sockets, the store and other nodes."""

_CLIENT_FRACTION = 0.5
"""Part of the other descriptors for clients and their requests.

The rest is for connections that are kept to upstreams, or about to be closed.
"""

STUCK_SECONDS = 1.0
"""Time without reading after which a client's connection makes room."""


class ClientConnection(Protocol):
    """One connection of a client."""

    @property
    def taken(self) -> int:
        """Estimated memory of what it has received and isn't served yet."""

    def evict(self) -> None:
        """Close it, as others need the room."""

    def check(self, now: float) -> None:
        """Close it if it has stood still for too long.

        :param now: in monotonic seconds.
        """


def compute_max_descriptors(max_files: int) -> int:
    """Compute how many descriptors clients and their requests may use.

    :param max_files: descriptors that the VM allows a process; the process's
        own limit counts if it is lower.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = max_files if soft == resource.RLIM_INFINITY else soft
    allowed = min(max_files, allowed)
    reserve = min(_MAX_FILES_RESERVE, int(allowed * _FILES_FRACTION))
    return int((allowed - reserve) * _CLIENT_FRACTION)


def compute_backlog(max_descriptors: int) -> int:
    """Compute how many connections may wait to be accepted."""
    return min(BACKLOG, max_descriptors)


class ConnectionTable:
    """The open connections of clients.

    :param max_descriptors: connections and requests in progress together; a
        request uses another connection, to its upstream.
    :param clock: returns monotonic seconds.
    :ivar now: the same clock.
    :ivar requests: requests in progress.
    """

    def __init__(
        self, max_descriptors: int, clock: Callable[[], float]
    ) -> None:
        self.max_descriptors = max_descriptors
        self.now = clock
        self.requests = 0
        self._open: dict[ClientConnection, None] = {}
        # In the order in which they last had a whole request.
        self._waiting: dict[ClientConnection, None] = {}
        # Since when their clients have read nothing of an answer.
        self._unread: dict[ClientConnection, float] = {}

    def __len__(self) -> int:
        """Count the open connections."""
        return len(self._open)

    def add(self, connection: ClientConnection) -> None:
        """Add a connection, which waits for its first request."""
        self._open[connection] = None
        self._waiting[connection] = None

    def discard(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed."""
        self._open.pop(connection, None)
        self._waiting.pop(connection, None)
        self._unread.pop(connection, None)

    def record_reading(
        self, connection: ClientConnection, *, unread: bool
    ) -> None:
        """Set whether the client of a connection leaves an answer unread."""
        if unread and connection in self._open:
            self._unread[connection] = self.now()
        else:
            self._unread.pop(connection, None)

    def record_serving(
        self, connection: ClientConnection, *, serving: bool
    ) -> None:
        """Set whether a connection has a whole request in progress."""
        self._waiting.pop(connection, None)
        if not serving and connection in self._open:
            self._waiting[connection] = None

    def make_room(self) -> bool:
        """Find room for a connection or a request, if need be by closing one.

        :returns: whether there is room.
        """
        while len(self._open) + self.requests >= self.max_descriptors:
            if not self._evict(next(iter(self._waiting), None)):
                return False
        return True

    def free_memory(self, owner: object) -> bool:
        """Close a connection that takes memory and isn't served.

        :param owner: the connection that needs it.
        :returns: whether there was one; not if the owner itself has been
            without a whole request for longest.
        """
        incomplete = (each for each in self._waiting if each.taken)
        oldest = next(incomplete, None)
        return oldest is not owner and self._evict(oldest)

    def check(self) -> None:
        """Close the connections that have stood still for too long."""
        now = self.now()
        for connection in tuple(self._open):
            connection.check(now)

    def _evict(self, connection: ClientConnection | None) -> bool:
        """Close a connection, or else one whose client reads nothing.

        :param connection: has been without a whole request for longest.
        :returns: whether there is one.
        """
        evicted = connection or self._find_unread()
        if evicted is None:
            return False
        self.discard(evicted)
        evicted.evict()
        return True

    def _find_unread(self) -> ClientConnection | None:
        """Find the connection whose client has read nothing for longest."""
        first = next(iter(self._unread.items()), None)
        if first is None or self.now() - first[1] < STUCK_SECONDS:
            return None
        return first[0]
