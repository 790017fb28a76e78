"""Bounds what a client may send, and how long it may take.

The HTTP library takes headers of any size for any time. A client that sends a
byte now and then would keep a descriptor and memory for good, and some
thousands of them stop a node; a header without an end fills its memory.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.routing import ClientLimits

_REJECTION = (
    'HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n'
)
_TOO_SLOW = '408 Request Timeout'
_TOO_LARGE = '431 Request Header Fields Too Large'


class BoundedProtocol(HttpToolsProtocol):
    """A client's connection.

    :param read_limits: reads what the configuration allows now; nothing
        before there is one.
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
        """Begin to wait for the first request."""
        super().connection_made(transport)
        limits = self._read_limits()
        if limits is not None:
            self._arm(limits.idle_seconds, self.transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Wait for nothing more."""
        self._disarm()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take bytes, unless the header they belong to is too large."""
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
        """Begin to count the time that a header takes."""
        super().on_message_begin()
        self._await_header()

    def on_headers_complete(self) -> None:
        """Check the size of a header that came with what follows it."""
        self._disarm()
        self._header_bytes = 0
        limits = self._read_limits()
        size = sum(len(name) + len(text) for name, text in self.headers)
        if limits is not None and size > limits.header_bytes:
            self._reject(_TOO_LARGE)
            return
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of a body, which is no part of a header."""
        self._header_bytes = 0
        if not self.transport.is_closing():
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Begin anew with the next header."""
        self._header_bytes = 0
        if not self.transport.is_closing():
            super().on_message_complete()

    def _arm(self, seconds: float, act: Callable[[], None]) -> None:
        self._disarm()
        self._timer = self.loop.call_later(seconds, act)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _reject_slow(self) -> None:
        if self._is_answering():
            # A header that is sent ahead of an answer may wait for its end.
            self._await_header()
        else:
            self._reject(_TOO_SLOW)

    def _await_header(self) -> None:
        limits = self._read_limits()
        if limits is not None:
            self._arm(limits.header_seconds, self._reject_slow)

    def _is_answering(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _reject(self, status: str) -> None:
        self._disarm()
        if self.transport.is_closing():
            return
        if self._is_answering():
            # An answer of this node in the middle of another one would be
            # read as part of it; a cut is seen for what it is.
            self.transport.abort()
            return
        self._log.record(
            catalogue.CALLER_REFUSED, status=status, client=self.client
        )
        self.transport.write(_REJECTION.format(status=status).encode())
        self.transport.close()
