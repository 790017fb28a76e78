"""Limits on the size and duration of request headers.

The HTTP library accepts headers of any size and waits for them without a
timeout. A client that sends a byte now and then would hold a file descriptor
and memory indefinitely, and some thousands of such clients stop a node; a
header that never ends fills its memory.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

from starlette.types import Scope

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.routing import ClientLimits
from ryelatch_node.client_protocol import ClientProtocol
from ryelatch_node.connections import has_ended
from ryelatch_node.relay._disconnect import set_departure_check

_REJECTION = (
    'HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n'
)
_TOO_SLOW = '408 Request Timeout'
_TOO_LARGE = '431 Request Header Fields Too Large'

DEPARTURE_CHECK_SECONDS = 0.2
"""Interval of looks for the end of a connection of which nothing is read."""


class BoundedProtocol(ClientProtocol):
    """The HTTP protocol of one client connection, with the client limits.

    :param read_limits: returns the limits of the configuration in force;
        ``None`` before the node has a configuration.
    """

    def __init__(
        self,
        *arguments: Any,
        read_limits: Callable[[], ClientLimits | None],
        log: LineLog,
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self._read_limits = read_limits
        self._log = log
        self._header_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(
        self,
        transport: asyncio.Transport,  # type: ignore[override]
    ) -> None:
        """Start the idle timer for the first request."""
        super().connection_made(transport)
        limits = self._read_limits()
        if limits is not None:
            self._start_timer(limits.idle_seconds, self.transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer that is running, and tell the running request."""
        self._cancel_timer()
        super().connection_lost(exc)
        running = self._running
        if running is not None and not running.response_complete:
            # The base class tells the request that arrived last.
            running.disconnected = True
            running.message_event.set()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and reject a header that is too large."""
        if self.transport.is_closing():
            return
        self._header_bytes += len(data)
        super().data_received(data)
        limits = self._read_limits()
        if limits is None or not self._header_bytes:
            return
        if self._header_bytes > limits.header_bytes:
            self._reject(_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Start the timer for the header of a request."""
        super().on_message_begin()
        set_departure_check(cast('Scope', self.scope), self._has_left)
        self._await_header()

    def on_headers_complete(self) -> None:
        """Check the size of a complete header.

        ``data_received`` compares only headers that are still incomplete; the
        count of a complete one has been reset by then.
        """
        self._cancel_timer()
        self._header_bytes = 0
        limits = self._read_limits()
        size = sum(len(name) + len(text) for name, text in self.headers)
        if limits is not None and size > limits.header_bytes:
            self._reject(_TOO_LARGE)
            return
        super().on_headers_complete()
        if self.flow.read_paused:
            self._look_for_departure()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of a body, which doesn't count as header bytes."""
        self._header_bytes = 0
        if not self.transport.is_closing():
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Reset the count of header bytes for the next request."""
        self._header_bytes = 0
        if not self.transport.is_closing():
            super().on_message_complete()

    def _look_for_departure(self) -> None:
        """Look for the end of the connection until it is read again.

        Nothing is read while a request waits until the one before is answered.
        """
        if self.flow.read_paused and not self._has_left():
            self.loop.call_later(
                DEPARTURE_CHECK_SECONDS, self._look_for_departure
            )

    def _has_left(self) -> bool:
        """Close the connection if its client has.

        :returns: whether it is closed.
        """
        if not has_ended(self.transport):
            return False
        self.transport.close()
        return True

    def _start_timer(
        self, seconds: float, on_expiry: Callable[[], None]
    ) -> None:
        self._cancel_timer()
        self._timer = self.loop.call_later(seconds, on_expiry)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _reject_slow(self) -> None:
        if self._is_responding():
            # A pipelined request may wait until the response is complete.
            self._await_header()
        else:
            self._reject(_TOO_SLOW)

    def _await_header(self) -> None:
        limits = self._read_limits()
        if limits is not None:
            self._start_timer(limits.header_seconds, self._reject_slow)

    def _is_responding(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _reject(self, status: str) -> None:
        self._cancel_timer()
        if self.transport.is_closing():
            return
        if self._is_responding():
            # A rejection written in the middle of a response would be read as
            # part of it; an aborted connection is recognized as a failure.
            self.transport.abort()
            return
        self._log.record(
            catalogue.CALLER_REFUSED, status=status, client=self.client
        )
        self.transport.write(_REJECTION.format(status=status).encode())
        self.transport.close()
