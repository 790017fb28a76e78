"""Waits until a client disconnects."""

from starlette.types import Receive


async def wait_for_disconnect(receive: Receive) -> None:
    """Return when the client of a completely received request is gone."""
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
