"""What a connection to another program accepts of its answers."""

import asyncio
import tracemalloc
from collections.abc import Iterator
from typing import Any
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
_UPGRADED = (
    b'HTTP/1.1 101 Switching Protocols\r\n'
    b'Connection: upgrade\r\nUpgrade: websocket\r\n\r\n'
)
_CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_BODILESS = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
_WHOLE_ANSWERS = {
    'length': (_ANSWER, b'ok'),
    'chunks': (b''.join((_CHUNKED, b'2\r\nok\r\n0\r\n\r\n')), b'ok'),
    'length of zero': (_BODILESS, b''),
    'no content': (b'HTTP/1.1 204 No Content\r\n\r\n', b''),
}
_SURPLUS = (_ANSWER, _BODILESS, _INTERIM, b'\r\n', b'HTTP/1.1 200', b'\0')
_MAX_PARSED_BYTES = 8_388_608
"""Memory for what follows an answer in one piece."""

_PEER = ('127.0.0.1', 8080)


def _open() -> tuple[BoundedHandler, Mock, Mock]:
    """Make a connection without a request."""
    transport = Mock()
    transport.is_closing.side_effect = lambda: transport.abort.called
    transport.get_extra_info.side_effect = {'peername': _PEER}.get
    on_surplus = Mock()
    handler = BoundedHandler(asyncio.get_running_loop(), on_surplus)
    handler.connection_made(transport)
    return handler, transport, on_surplus


def _connect(**options: Any) -> tuple[BoundedHandler, Mock]:
    """Make a connection that waits for an answer."""
    handler, transport, _ = _open()
    handler.set_response_params(read_until_eof=True, **options)
    return handler, transport


def _split(content: bytes, size: int) -> Iterator[bytes]:
    for start in range(0, len(content), size):
        yield content[start : start + size]


@pytest.mark.parametrize('size', [1, 7, 100_000])
async def test_interim_answers_are_passed_over(size: int) -> None:
    """An interim answer counts as the answer, or its end is missed."""
    handler, transport = _connect()
    for piece in _split(_INTERIM * 3 + _ANSWER, size):
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
    interim = _INTERIM * (MAX_HEAD_BYTES // len(_INTERIM) // 2)
    for _ in range(5):
        handler.data_received(b''.join((interim, _BODILESS)))
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


@pytest.mark.parametrize('surplus', _SURPLUS)
@pytest.mark.parametrize('kind', _WHOLE_ANSWERS)
async def test_idle_connection_accepts_nothing(
    kind: str, surplus: bytes
) -> None:
    """Answers to no request are kept, or taken for that to the next one."""
    answer, body = _WHOLE_ANSWERS[kind]
    handler, transport, on_surplus = _open()
    handler.set_response_params(read_until_eof=True)
    handler.data_received(answer)
    _, payload = await handler.read()
    assert await payload.read() == body
    assert not transport.abort.called
    handler.data_received(surplus)
    handler.data_received(surplus)
    assert transport.abort.called
    assert handler.should_close
    assert not len(handler)
    on_surplus.assert_called_once_with('127.0.0.1:8080')


@pytest.mark.parametrize('surplus', [_ANSWER, _BODILESS, b'\0', b'junk\r\n'])
@pytest.mark.parametrize('kind', _WHOLE_ANSWERS)
async def test_answer_is_cut_off_behind_its_end(
    kind: str, surplus: bytes
) -> None:
    """Answers that come along with one are kept; the one is still whole."""
    answer, body = _WHOLE_ANSWERS[kind]
    handler, transport, on_surplus = _open()
    handler.set_response_params(read_until_eof=True)
    handler.data_received(b''.join((answer, surplus * 1000)))
    assert transport.abort.called
    assert len(handler) == 1
    handler.connection_lost(None)
    _, payload = await handler.read()
    assert await payload.read() == body
    on_surplus.assert_called_once_with('127.0.0.1:8080')


async def test_body_of_an_answer_to_head_is_cut_off() -> None:
    """The body is taken for the answer to the next request."""
    handler, transport = _connect(skip_payload=True)
    handler.data_received(_ANSWER.removesuffix(b'ok'))
    assert (await handler.read())[0].code == 200
    assert not transport.abort.called
    handler.data_received(_ANSWER)
    assert transport.abort.called
    assert not len(handler)


async def test_answer_before_a_request_is_cut_off() -> None:
    """What a new connection receives is taken for the first answer."""
    handler, transport, on_surplus = _open()
    handler.data_received(_ANSWER)
    assert transport.abort.called
    assert handler.should_close
    assert on_surplus.called


async def test_answers_in_one_piece_take_little_memory() -> None:
    """All that arrived with the end of a body is parsed before it is cut."""
    handler, _ = _connect()
    handler.data_received(_ANSWER.removesuffix(b'k'))
    surplus = _BODILESS * 30_000
    tracemalloc.start()
    try:
        handler.data_received(b''.join((b'k', surplus)))
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < len(surplus) + _MAX_PARSED_BYTES


@pytest.mark.parametrize('size', [7, 100_000])
async def test_upgraded_connection_is_no_surplus(size: int) -> None:
    """A connection that was upgraded is cut off at its first frame."""
    handler, transport = _connect()
    for piece in _split(b''.join((_UPGRADED, b'first')), size):
        handler.data_received(piece)
    assert (await handler.read())[0].code == 101
    frames = Mock(spec_set=['feed_data'])
    frames.feed_data.return_value = (False, b'')
    queue = Mock(spec_set=['is_eof'])
    queue.is_eof.return_value = False
    handler.set_parser(frames, queue)
    handler.data_received(b'frame')
    received = [call.args[0] for call in frames.feed_data.call_args_list]
    assert b''.join(received) == b'firstframe'
    assert not transport.abort.called
