"""Finds out whether a client has disconnected."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from starlette.types import Receive, Scope

from ryelatch_node.clients._flow import HeldFlow
from ryelatch_node.connections import has_ended

DEPARTURE_CHECK_SECONDS = 0.2
"""Interval of looks for the end of a connection of which nothing is read."""

HasLeft: TypeAlias = Callable[[], bool]
"""Whether the end of a client's connection has arrived, read or not."""

_EXTENSION = 'ryelatch.client'


async def wait_for_disconnect(receive: Receive) -> None:
    """Return when the client of a completely received request is gone."""
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()


def set_departure_check(scope: Scope, has_left: HasLeft) -> None:
    """Let the application of a request ask whether its client has left."""
    extensions = scope.setdefault('extensions', {})
    extensions[_EXTENSION] = {'has_left': has_left}


def get_departure_check(scope: Scope) -> HasLeft:
    """Return what ``set_departure_check`` has set.

    Without it, the end of a connection is known once it has been read.
    """
    extension = scope.get('extensions', {}).get(_EXTENSION, {})
    has_left: HasLeft = extension.get('has_left', bool)
    return has_left


@dataclass(eq=False)
class DepartureWatch:
    """Looks for the end of a connection, which reading alone doesn't tell.

    Nothing is read while requests wait for their turn.
    """

    loop: asyncio.AbstractEventLoop
    transport: asyncio.Transport
    flow: HeldFlow
    _is_scheduled: bool = False

    def look(self) -> None:
        """Look now and then until the connection is read again.

        It is held again with each request that waits, so this may be called
        many times meanwhile.
        """
        if not self._is_scheduled:
            self._look()

    def has_left(self) -> bool:
        """Close the connection if its client has.

        :returns: whether it is closed.
        """
        if not has_ended(self.transport):
            return False
        self.transport.close()
        return True

    def _look(self) -> None:
        self._is_scheduled = self.flow.read_paused and not self.has_left()
        if self._is_scheduled:
            self.loop.call_later(DEPARTURE_CHECK_SECONDS, self._look)
