"""Finds out whether a client has disconnected."""

from collections.abc import Callable
from typing import TypeAlias

from starlette.types import Receive, Scope

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
