"""HTTP connections that tell an answer's end from a reset."""

import asyncio
import functools
import select

import aiohttp
from aiohttp.client_proto import ResponseHandler


class _StrictHandler(ResponseHandler):
    """Reports a reset connection as an error for bodies without a length.

    A body without a length ends when its connection is closed. After a reset
    the parser would take the part that has arrived for the complete body, and
    so would the client.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Set an error on a body that is incomplete after a reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(str(exc)))
        super().connection_lost(exc)


def report_resets(connector: aiohttp.BaseConnector) -> None:
    """Let the connections of a connector report resets as errors."""
    # The library has no public way to set another protocol class.
    connector._factory = functools.partial(  # type: ignore[assignment]
        _StrictHandler, loop=asyncio.get_running_loop()
    )


def has_arrived(handler: ResponseHandler) -> bool:
    """Whether anything that was not read yet has arrived on a connection.

    On one without a request that is its end, or an answer that nobody waits
    for. A busy process finds out only after it has sent the next request.
    """
    transport = handler.transport
    if transport is None:
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info('socket'), select.POLLIN)
    return bool(poll.poll(0))
