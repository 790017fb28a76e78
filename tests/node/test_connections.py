"""What a connection to another program accepts of its answers."""

import asyncio
from collections.abc import Iterator
from unittest.mock import Mock

import aiohttp
import pytest

from ryelatch_node.connections import (
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    BoundedHandler,
    EndlessAnswer,
)

_INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'
_CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


def _connect() -> tuple[BoundedHandler, Mock]:
    """Make a connection that waits for an answer."""
    transport = Mock()
    transport.is_closing.side_effect = lambda: transport.abort.called
    handler = BoundedHandler(asyncio.get_running_loop())
    handler.connection_made(transport)
    handler.set_response_params(read_until_eof=True)
    return handler, transport


def _split(content: bytes, size: int) -> Iterator[bytes]:
    for start in range(0, len(content), size):
        yield content[start : start + size]


@pytest.mark.parametrize('size', [1, 7, 100_000])
async def test_interim_answers_are_passed_over(size: int) -> None:
    """An interim answer counts as the answer, or its end is missed."""
    handler, transport = _connect()
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    for piece in _split(_INTERIM * 3 + answer, size):
        handler.data_received(piece)
    head, payload = await handler.read()
    assert head.code == 200
    assert await payload.read() == b'ok'
    assert not transport.abort.called


async def test_interim_answers_without_end_are_cut_off() -> None:
    """Interim answers are collected, and nothing else runs meanwhile."""
    handler, transport = _connect()
    handler.data_received(_INTERIM * MAX_HEAD_BYTES)
    assert transport.abort.called
    with pytest.raises(EndlessAnswer, match='head'):
        await handler.read()


async def test_next_answer_has_its_own_bound() -> None:
    """A connection that is kept open is closed after some answers."""
    handler, transport = _connect()
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    interim = _INTERIM * (MAX_HEAD_BYTES // len(_INTERIM) // 2)
    for _ in range(5):
        handler.data_received(b''.join((interim, answer)))
        head, _ = await handler.read()
        assert head.code == 200
        handler.set_response_params(read_until_eof=True)
    assert not transport.abort.called


@pytest.mark.parametrize('framing', [b'0', b'1;a'])
async def test_framing_without_end_is_cut_off(framing: bytes) -> None:
    """The size of a chunk has no end, and the body never comes."""
    handler, transport = _connect()
    handler.data_received(_CHUNKED)
    _, payload = await handler.read()
    handler.data_received(framing)
    for piece in _split(framing[-1:] * 4 * MAX_FRAMING_BYTES, 1000):
        handler.data_received(piece)
    assert transport.abort.called
    with pytest.raises(aiohttp.ClientPayloadError):
        await payload.read()


async def test_small_chunks_are_no_endless_framing() -> None:
    """A body in chunks of one byte is cut off for its framing."""
    handler, transport = _connect()
    count = MAX_FRAMING_BYTES
    handler.data_received(_CHUNKED)
    _, payload = await handler.read()
    body = b''.join((b'1\r\na\r\n' * count, b'0\r\n\r\n'))
    for piece in _split(body, 3):
        handler.data_received(piece)
    assert await payload.read() == b'a' * count
    assert not transport.abort.called
