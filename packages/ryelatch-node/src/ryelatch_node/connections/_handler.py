"""A connection that bounds what the other side sends."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeAlias

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD

from ryelatch_node.connections._answers import EndlessAnswer
from ryelatch_node.connections._sockets import discard_unconfirmed

MAX_HEAD_BYTES = 65_536
"""Bytes until the head of an answer is complete, with interim answers."""

MAX_FRAMING_BYTES = 16_384
"""Bytes in a row of an answer's framing, such as the size of a chunk."""

_HEAD_END = b'\r\n\r\n'
_HEAD_SLICE_BYTES = 4096
"""Bytes that are parsed at once until the head of an answer is complete.

Each of them may begin an answer of its own, which takes more memory than it.
"""

_BODY_SLICE_BYTES = 16_384
"""Bytes of a body that are parsed at once; answers may follow its end."""

SurplusHook: TypeAlias = Callable[[str], None]
"""Handles that a program has sent what no request waits for.

It is called with the program's address; its connection is closed.
"""


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
        if self.transport is not None and discard_unconfirmed(self.transport):
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
