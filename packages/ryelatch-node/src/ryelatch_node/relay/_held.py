"""Bytes of answers that are held back until they are whole.

An answer that is held back can be replaced by that of another replica if it is
lost. A long one is passed on as it arrives, so that no number and no length of
answers fills the memory of a node.
"""

import contextlib
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from typing import Protocol

from ryelatch_core.streams import StreamError
from ryelatch_node.forwarding import HelperLost
from ryelatch_node.ports import Headers
from ryelatch_node.relay._errors import (
    AnswerBroken,
    SendError,
    SendErrorKind,
)
from ryelatch_node.relay._exchange import Exchange

MAX_ANSWER_BYTES = 1_048_576
"""Bytes of one answer that are held back at most."""

MAX_HELD_BYTES = 16_777_216
"""The same for all answers of a node, a fraction of its smallest memory."""


@dataclass(eq=False)
class HeldBytes:
    """Counts what all requests of a node hold back.

    :param held: bytes at present.
    """

    held: int = 0


class _HeldAnswer:
    """The part of one answer that is held back.

    :param total: counts those of all answers.
    """

    def __init__(self, total: HeldBytes) -> None:
        self._total = total
        self._pieces: list[bytes] = []
        self._size = 0

    def add(self, piece: bytes) -> bool:
        """Hold back another piece.

        :returns: whether the answer may be held back further.
        """
        self._pieces.append(piece)
        self._size += len(piece)
        self._total.held += len(piece)
        return (
            self._size <= MAX_ANSWER_BYTES
            and self._total.held <= MAX_HELD_BYTES
        )

    def take(self) -> bytes:
        """Return all pieces, which no longer count."""
        content = b''.join(self._pieces)
        self._total.held -= self._size
        self._pieces = []
        self._size = 0
        return content


class RelayedAnswer(Protocol):
    """The head of an answer."""

    @property
    def status(self) -> int:
        """Its HTTP status."""

    @property
    def headers(self) -> Headers:
        """Its headers."""


async def relay_body(
    total: HeldBytes,
    exchange: Exchange,
    answer: RelayedAnswer,
    pieces: AsyncIterator[bytes],
    *,
    may_pass_on: bool = True,
) -> bytes | None:
    """Hold a body back, or pass a long one on to the client as it arrives.

    :param total: counts what all requests hold back.
    :param pieces: the parts of the body as they arrive.
    :param may_pass_on: whether the answer may be the client's.
    :returns: the complete body; ``None`` if it was passed on.
    :raises SendError: if it is too long, and can't be passed on.
    :raises AnswerBroken: if it ends early after a part was passed on.
    """
    with _hold_answer(total) as held:
        if await _hold_back(held, pieces):
            return held.take()
        if exchange.started or not may_pass_on:
            raise SendError(SendErrorKind.INVALID, 'body without end')
        first = held.take()
    try:
        await _pass_on(exchange, answer, first, pieces)
    except (SendError, HelperLost, StreamError) as error:
        raise AnswerBroken from error
    return None


async def collect(pieces: AsyncIterator[bytes]) -> bytes:
    """Collect the complete body of an error that another node passes on.

    :raises StreamError: if it is too long to be held back.
    """
    with _hold_answer(HeldBytes()) as held:
        if await _hold_back(held, pieces):
            return held.take()
    raise StreamError('a body that does not end')


@contextlib.contextmanager
def _hold_answer(total: HeldBytes) -> Iterator[_HeldAnswer]:
    """Hold back an answer, and count none of it after the block."""
    held = _HeldAnswer(total)
    try:
        yield held
    finally:
        held.take()


async def _hold_back(held: _HeldAnswer, pieces: AsyncIterator[bytes]) -> bool:
    """Hold back pieces until there are no more, or too many.

    :returns: whether there are no more.
    """
    async for piece in pieces:
        if not held.add(piece):
            return False
    return True


async def _pass_on(
    exchange: Exchange,
    answer: RelayedAnswer,
    first: bytes,
    rest: AsyncIterator[bytes],
) -> None:
    await exchange.start(answer.status, answer.headers)
    await exchange.write(first)
    async for piece in rest:
        await exchange.write(piece)
    await exchange.write(b'', more=False)
