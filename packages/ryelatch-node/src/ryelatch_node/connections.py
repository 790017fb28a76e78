"""HTTP connections of a client that bound what the other side sends."""

import array
import asyncio
import contextlib
import fcntl
import functools
import select
import socket
import struct
import termios
from http import HTTPStatus
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.streams import EMPTY_PAYLOAD

MAX_HEAD_BYTES = 65_536
"""Bytes until the head of an answer is complete, with interim answers."""

MAX_FRAMING_BYTES = 16_384
"""Bytes in a row of an answer's framing, such as the size of a chunk."""

_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))

_SLICE_BYTES = 4096
"""Bytes that are parsed at once until the head of an answer is complete.

Each of them may begin an answer of its own, which takes more memory than it.
"""

_NO_LINGER = struct.pack('ii', 1, 0)
"""Value of ``SO_LINGER`` with which a close resets the connection."""

_ORDERLY = struct.pack('ii', 0, 0)
"""Value of ``SO_LINGER`` with which a close ends the connection in order."""


class EndlessAnswer(aiohttp.ClientPayloadError):
    """A part of an answer is longer than it may be."""


class BoundedHandler(ResponseHandler):
    """A connection that is closed if a part of an answer has no end.

    It also reports a reset as an error for bodies without a length, which end
    when their connection is closed. The parser would take the part that has
    arrived for the complete body, and so would the client.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._head_bytes = 0
        self._has_head = False
        self._body_bytes = 0
        self._framing_bytes = 0

    def set_response_params(self, **options: Any) -> None:
        """Begin to read the answer to a request."""
        self._head_bytes = 0
        self._has_head = False
        self._body_bytes = 0
        self._framing_bytes = 0
        super().set_response_params(**options)

    def feed_data(self, message: Any, size: int = 0) -> None:
        """Queue the head of an answer, and drop interim ones."""
        code = message[0].code
        if code >= HTTPStatus.OK or code == HTTPStatus.SWITCHING_PROTOCOLS:
            self._has_head = True
            super().feed_data(message, size)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, unless a part of the answer is too long.

        Without data, the parser goes on with what it has.
        """
        if not data:
            super().data_received(data)
        while data and not self._has_head and self._is_open():
            piece, data = data[:_SLICE_BYTES], data[_SLICE_BYTES:]
            super().data_received(piece)
            self._count_head(len(piece))
        if data and self._is_open():
            super().data_received(data)
            self._count_framing(len(data))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Set an error on a body that is incomplete after a reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(str(exc)))
        super().connection_lost(exc)

    def abort(self) -> None:
        """Close the connection at once; a body in progress is incomplete."""
        self._fail_body()
        super().abort()

    def close(self) -> None:
        """Close the connection; what was not confirmed is not delivered.

        A body in progress is incomplete. The parser would take the end of the
        connection for that of a body without a length.
        """
        self._fail_body()
        if self.transport is not None and _discard_unconfirmed(self.transport):
            self.abort()
        else:
            super().close()

    def _fail_body(self) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError('closed here'))

    def _is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if not self._has_head and self._head_bytes > MAX_HEAD_BYTES:
            self._end('head without end')

    def _count_framing(self, size: int) -> None:
        """Count what arrives while the body gets no byte of it."""
        payload = self._payload
        if payload is None or payload is EMPTY_PAYLOAD or payload.is_eof():
            return
        if payload.total_bytes == self._body_bytes:
            self._framing_bytes += size
        else:
            self._framing_bytes = 0
            self._body_bytes = payload.total_bytes
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._end('framing without end')

    def _end(self, reason: str) -> None:
        """Close the connection at once, so that the sender stops."""
        error = EndlessAnswer(reason)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


def bound_answers(connector: aiohttp.BaseConnector) -> None:
    """Let the connections of a connector bound what they receive."""
    # The library has no public way to set another protocol class.
    connector._factory = functools.partial(  # type: ignore[assignment]
        BoundedHandler, loop=asyncio.get_running_loop()
    )


async def read_bounded(response: aiohttp.ClientResponse, size: int) -> bytes:
    """Read a complete body.

    :param size: bytes that it may have.
    :raises EndlessAnswer: if it is longer; the connection is then closed.
    """
    pieces: list[bytes] = []
    async for piece in response.content.iter_any():
        pieces.append(piece)
        size -= len(piece)
        if size < 0:
            response.close()
            raise EndlessAnswer('body without end')
    return b''.join(pieces)


def has_framing(response: aiohttp.ClientResponse) -> bool:
    """Whether an answer states where its body ends, or has no body.

    Any other ends with its connection. So does a part of it if the process
    that sends it is killed: its system closes the connection in order.
    """
    if response.method == 'HEAD' or response.status in _WITHOUT_BODY:
        return True
    coding = response.headers.get('Transfer-Encoding')
    if coding is None:
        return 'Content-Length' in response.headers
    return coding.lower().rpartition(',')[2].strip() == 'chunked'


def _discard_unconfirmed(transport: asyncio.BaseTransport) -> bool:
    """Let the system discard what the other side has not confirmed yet.

    It would deliver that before the close, seconds later if a link was cut
    meanwhile: a request that was given up would still reach its upstream.

    :returns: whether there is any; then the connection has to be aborted.
    """
    sock = transport.get_extra_info('socket')
    if transport.is_closing() or not _count_unconfirmed(sock):
        return False
    set_reset_at_close(transport, resets=True)
    return True


def set_reset_at_close(
    transport: asyncio.BaseTransport, *, resets: bool
) -> None:
    """Let the end of a connection be a reset, or an orderly end again.

    The system acts on it also when it ends this process.
    """
    sock = transport.get_extra_info('socket')
    linger = _NO_LINGER if resets else _ORDERLY
    # The other side may have reset the connection already.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _count_unconfirmed(sock: socket.socket) -> int:
    """Count the bytes that a system holds for the other side."""
    count = array.array('i', (0,))
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    return count[0]


def has_ended(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side of a connection has closed or reset it.

    A busy process reads that end only after what has arrived before it.
    """
    if transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info('socket'), select.POLLRDHUP)
    return bool(poll.poll(0))


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
