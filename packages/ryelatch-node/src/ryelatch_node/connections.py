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
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeAlias

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD

from ryelatch_core.events import LineLog, Timeline, catalogue

MAX_HEAD_BYTES = 65_536
"""Bytes until the head of an answer is complete, with interim answers."""

MAX_FRAMING_BYTES = 16_384
"""Bytes in a row of an answer's framing, such as the size of a chunk."""

_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))

_HEAD_END = b'\r\n\r\n'
_HEAD_SLICE_BYTES = 4096
"""Bytes that are parsed at once until the head of an answer is complete.

Each of them may begin an answer of its own, which takes more memory than it.
"""

_BODY_SLICE_BYTES = 16_384
"""Bytes of a body that are parsed at once; answers may follow its end."""

_NO_LINGER = struct.pack('ii', 1, 0)
"""Value of ``SO_LINGER`` with which a close resets the connection."""

_ORDERLY = struct.pack('ii', 0, 0)
"""Value of ``SO_LINGER`` with which a close ends the connection in order."""


SurplusHook: TypeAlias = Callable[[str], None]
"""Handles that a program has sent what no request waits for.

It is called with the program's address; its connection is closed.
"""


def _take_head(data: bytes, start: int) -> bytes:
    """Take what is parsed at once of a head, to its end at most.

    An error behind an answer, parsed along with its head, would hide it.
    """
    piece = data[start : start + _HEAD_SLICE_BYTES]
    head, end, _ = piece.partition(_HEAD_END)
    return head + end


def _take_body(data: bytes, start: int) -> bytes:
    """Take what is parsed at once of a body."""
    return data[start : start + _BODY_SLICE_BYTES]


def make_surplus_hook(log: LineLog | Timeline) -> SurplusHook:
    """Make a hook that records what no request waits for."""

    def record(address: str) -> None:
        log.record(catalogue.SURPLUS_RECEIVED, address=address)

    return record


class EndlessAnswer(aiohttp.ClientPayloadError):
    """A part of an answer is longer than it may be."""


class BoundedHandler(ResponseHandler):
    """A connection that is closed if a part of an answer has no end.

    It is also closed by whatever arrives while no request waits for it: before
    the first request, or after the end of an answer. Nobody would read that,
    and the next request would take it for its answer.

    It also reports a reset as an error for bodies without a length, which end
    when their connection is closed. The parser would take the part that has
    arrived for the complete body, and so would the client.

    :param on_surplus: called if it is closed for what no request waits for.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_surplus: SurplusHook
    ) -> None:
        super().__init__(loop)
        self._on_surplus = on_surplus
        self._is_unused = True
        self._has_surplus = False
        self._head_bytes = 0
        self._has_head = False
        self._body_bytes = 0
        self._framing_bytes = 0

    def set_response_params(self, **options: Any) -> None:
        """Begin to read the answer to a request."""
        self._is_unused = False
        self._head_bytes = 0
        self._has_head = False
        self._body_bytes = 0
        self._framing_bytes = 0
        super().set_response_params(**options)

    def feed_data(self, message: Any, size: int = 0) -> None:
        """Queue the head of an answer; drop interim and further ones."""
        code = message[0].code
        if self._has_head:
            self._has_surplus = True
        elif code >= HTTPStatus.OK or code == HTTPStatus.SWITCHING_PROTOCOLS:
            self._has_head = True
            super().feed_data(message, size)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, unless a part of the answer is too long.

        Without data, the parser goes on with what it has. What belongs to
        another protocol has its own bounds.
        """
        start = 0
        while start < len(data) and self._awaits_answer():
            had_head = self._has_head
            piece = (
                _take_body(data, start) if had_head else _take_head(data, start)
            )
            start += len(piece)
            super().data_received(piece)
            self._count(len(piece), had_head=had_head)
        rest = data[start:]
        if self._upgraded or not data:
            super().data_received(rest)
        elif rest and self._is_open():
            self._has_surplus = True
        if self._has_surplus:
            self._end_surplus()

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Fail the answer; behind a complete one, it was no part of it."""
        super().set_exception(exc, *cause)
        if isinstance(exc, HttpProcessingError) and self._is_complete():
            self._has_surplus = True

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

    def _awaits_answer(self) -> bool:
        """Whether what arrives next belongs to an answer."""
        return self._is_open() and not (self._upgraded or self._is_complete())

    def _is_complete(self) -> bool:
        """Whether no request was sent, or its answer has ended."""
        if not self._has_head:
            return self._is_unused
        payload = self._payload
        return payload is None or payload.is_eof()

    def _count(self, size: int, *, had_head: bool) -> None:
        if had_head:
            self._count_framing(size)
        else:
            self._count_head(size)

    def _end_surplus(self) -> None:
        """Close the connection at once; an answer before that is complete."""
        self._has_surplus = False
        if self.transport is None:
            return
        peer = self.transport.get_extra_info('peername') or ('?', 0)
        self.force_close()
        self.transport.abort()
        self._on_surplus(f'{peer[0]}:{peer[1]}')

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


class BoundedConnector(aiohttp.TCPConnector):
    """A pool of connections that bound what they receive.

    :param on_surplus: called for each connection that is closed for what no
        request waits for.
    :param options: of the pool.
    """

    def __init__(self, on_surplus: SurplusHook, **options: Any) -> None:
        super().__init__(**options)
        # The library has no public way to set another protocol class.
        self._factory = functools.partial(  # type: ignore[assignment]
            BoundedHandler, loop=self._loop, on_surplus=on_surplus
        )

    async def _get(self, key: Any, traces: Any) -> Any:
        """Choose a kept connection, but none on which anything has arrived.

        That is its end, or what no request waits for.
        """
        for handler, _ in self._conns.get(key, ()):
            if handler.is_connected() and not has_arrived(handler):
                break
            handler.close()
        return await super()._get(key, traces)


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
    if transport.is_closing():
        # The number of its socket may be that of another one soon.
        return
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
