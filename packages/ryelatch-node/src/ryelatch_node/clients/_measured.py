"""Bounds on the requests of one connection, and on the time that they take.

The HTTP library accepts headers of any size and waits for them without a
timeout. It knows their size once it has made an object of each line, and reads
on while requests wait behind another one.
"""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, cast

from starlette.types import Scope

from ryelatch_core.events import catalogue
from ryelatch_core.routing import ClientLimits
from ryelatch_node.client_protocol import ClientProtocol
from ryelatch_node.clients._departure import (
    DepartureWatch,
    set_departure_check,
)
from ryelatch_node.clients._flow import HeldFlow
from ryelatch_node.clients._refusals import render_refusal
from ryelatch_node.clients._splitting import RequestSplitter
from ryelatch_node.clients._timer import ConnectionTimer

LINGER_SECONDS = 1.0
"""Time for which a refused client may still send, so that it can read why.

A connection that is closed before everything was read is reset.
"""

_LENGTH = b'content-length'


class MeasuredProtocol(ClientProtocol):
    """One connection of a client.

    It serves one request at a time and parses one ahead. Of what follows, one
    piece is kept; the rest stays with the system, so that its client waits.

    :param read_limits: returns the limits that are in force.
    :param record: writes an event with its details into the log.
    """

    flow: HeldFlow
    _deliver_body = ClientProtocol.on_body

    def __init__(
        self,
        *arguments: Any,
        read_limits: Callable[[], ClientLimits],
        record: Callable[..., object],
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self._read_limits = read_limits
        self._record = record
        self._splitter = RequestSplitter()
        self._parts: list[bytes] = []
        self._timer = ConnectionTimer(self.loop)
        self._lingering = False

    def connection_made(
        self,
        transport: asyncio.Transport,  # type: ignore[override]
    ) -> None:
        """Start the idle timer for the first request."""
        super().connection_made(transport)
        self.flow = HeldFlow(transport)
        self._departure = DepartureWatch(self.loop, transport, self.flow)
        idle_seconds = self._read_limits().idle_seconds
        self._timer.start(idle_seconds, self.transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer that is running, and tell the running request."""
        self._timer.cancel()
        super().connection_lost(exc)
        self._splitter.unread = b''
        self._disconnect_running()

    def data_received(self, data: bytes) -> None:
        """Parse until a request waits behind the one that is served.

        Without data, go on with what was kept.
        """
        splitter = self._splitter
        splitter.unread += data
        while splitter.unread and not (self.is_over or self.pipeline):
            if self._is_last_received():
                splitter.unread = b''
                self._hold()
                return
            piece = splitter.take()
            if piece:
                super().data_received(piece)
            self.pass_body()
            self._check_size()
        self._read_or_hold()

    def on_message_begin(self) -> None:
        """Start the timer for the header of a request."""
        super().on_message_begin()
        self._splitter.begin()
        set_departure_check(cast('Scope', self.scope), self._departure.has_left)
        self._await_header()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a line to the header of a request; trailers are dropped."""
        if not self._splitter.has_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the size of a complete header, and serve its request."""
        self._timer.cancel()
        self._check_size()
        lengths = (int(text) for name, text in self.headers if name == _LENGTH)
        body_bytes = next(lengths, 0)
        if self.parser.should_upgrade() and self._has_body(body_bytes):
            # The parser takes such a body for the next request.
            self.reject(HTTPStatus.BAD_REQUEST, 'an upgrade with a body')
        self._splitter.end_head(body_bytes)
        if self.is_over:
            return
        super().on_headers_complete()
        if self.flow.read_paused:
            self._departure.look()

    def on_body(self, body: bytes) -> None:
        """Collect a part of a body; a read may consist of thousands."""
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """Prepare for the next request."""
        self.pass_body()
        self._splitter.end()
        if not self.is_over:
            super().on_message_complete()

    def on_response_complete(self) -> None:
        """Go on with the requests behind the one that was answered."""
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if self.cycle.response_complete and self._splitter.has_head:
            # The rest of a refused request isn't wanted.
            self._linger()
        elif self._splitter.unread:
            self.loop.call_soon(self.data_received, b'')

    def pass_body(self) -> None:
        """Pass on what was received of a body."""
        body = b''.join(self._parts)
        self._parts.clear()
        self._splitter.count_body(len(body))
        if body and not self.is_over:
            self._deliver_body(body)

    @property
    def is_over(self) -> bool:
        """Whether nothing more is read from the client."""
        return self._lingering or self.transport.is_closing()

    @property
    def is_answering(self) -> bool:
        """Whether a request that was received whole has no whole answer."""
        running = self._running
        if running is None or running.response_complete:
            return False
        return running.response_started or not running.more_body

    def reject(self, status: HTTPStatus, reason: str) -> None:
        """Refuse what the client sends, and close its connection."""
        self._timer.cancel()
        if self.is_over:
            return
        if self.is_answering:
            # A rejection written in the middle of a response would be read as
            # part of it; an aborted connection is recognized as a failure.
            self.transport.abort()
            return
        self.record_refusal(status, reason)
        self.transport.write(render_refusal(status, reason))
        self._linger()

    def record_refusal(self, status: HTTPStatus, reason: str) -> None:
        """Log that the client is refused."""
        self._record(
            catalogue.CALLER_REFUSED,
            status=f'{status.value} {status.phrase}',
            reason=reason,
            client=self.client,
        )

    def _read_or_hold(self) -> None:
        """Read on, unless something is left that can't be parsed yet."""
        if self.is_over:
            self._splitter.unread = b''
        elif self._splitter.unread:
            self._hold()
        elif self.flow.held:
            self.flow.let_go()

    def _is_last_received(self) -> bool:
        """Whether no request may follow the last one on this connection."""
        if self.cycle is None or self._splitter.has_begun:
            return False
        return not self.cycle.keep_alive

    def _check_size(self) -> None:
        """Refuse a header that is too large, or something else without end."""
        limit = self._read_limits().header_bytes
        path_bytes = len(self.url) if self._splitter.has_begun else 0
        if self._splitter.is_excessive(path_bytes, limit):
            self.reject(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'the header is too large',
            )

    def _has_body(self, body_bytes: int) -> bool:
        names = {name for name, _ in self.headers}
        return body_bytes > 0 or b'transfer-encoding' in names

    def _hold(self) -> None:
        """Read nothing until the requests before are answered."""
        self.flow.hold()
        self._departure.look()

    def _await_header(self) -> None:
        header_seconds = self._read_limits().header_seconds
        self._timer.start(header_seconds, self._reject_slow)

    def _reject_slow(self) -> None:
        if self.is_answering:
            # A pipelined request may wait until the response is complete.
            self._await_header()
        else:
            self.reject(HTTPStatus.REQUEST_TIMEOUT, 'the header stands still')

    def _disconnect_running(self) -> None:
        """Tell the running request that its client is gone.

        The base class tells the request that arrived last.
        """
        running = self._running
        if running is not None and not running.response_complete:
            running.disconnected = True
            running.message_event.set()

    def _linger(self) -> None:
        """Close the connection once its client can have read the answer."""
        self._lingering = True
        self._splitter.unread = b''
        self._disconnect_running()
        self._unset_keepalive_if_required()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.flow.let_go()
        self._timer.start(LINGER_SECONDS, self.transport.close)
