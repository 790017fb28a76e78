"""Connections between nodes that end before a forwarded answer does."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from ryelatch_node.forwarding import ForwardedAnswer, HelperLost
from ryelatch_node.peer_sync import (
    ForwardPiece,
    ForwardRefused,
    ForwardStart,
    PeerConnection,
    encode,
    read_body,
)
from virtual.loop import VirtualClock

_START = encode(ForwardStart(200, ((b'content-type', b'text/plain'),)))
_ANSWER = b''.join(
    (
        _START,
        encode(ForwardPiece(b'first', last=False)),
        encode(ForwardPiece(b'second', last=False)),
        encode(ForwardPiece(b'', last=True)),
    )
)
_REFUSED = encode(ForwardRefused(503, 'no room', 0, reaches=True, ran=0))


async def _read(received: bytes) -> bytes:
    """Read an answer of which some bytes arrive before an orderly end."""
    reader = asyncio.StreamReader()
    reader.feed_data(received)
    reader.feed_eof()
    writer: Any = SimpleNamespace()
    connection = PeerConnection('node-b:1', reader, writer)
    answer = ForwardedAnswer(connection, VirtualClock(), patient=True)
    try:
        await answer.read_head()
        return b''.join([piece async for piece in answer.iterate()])
    finally:
        assert answer.complete == (received in {_ANSWER, _REFUSED})


async def test_end_before_the_last_piece_is_none() -> None:
    """The part of an answer that another node has sent is taken for all."""
    for size, _ in enumerate(_ANSWER):
        with pytest.raises(HelperLost):
            await _read(_ANSWER[:size])
    assert await _read(_ANSWER) == b'firstsecond'


async def test_part_of_a_refusal_is_none() -> None:
    """A refusal that was cut off counts as one, and as the end."""
    for size, _ in enumerate(_REFUSED):
        with pytest.raises(HelperLost):
            await _read(_REFUSED[:size])


async def test_part_of_a_frame_is_none() -> None:
    """A frame that was cut off is decoded as far as it came."""
    for size, _ in enumerate(_START):
        reader = asyncio.StreamReader()
        reader.feed_data(_START[:size])
        reader.feed_eof()
        with pytest.raises(EOFError):
            await read_body(reader)
