"""Limits on the size and the duration of what clients send."""

import asyncio
import contextlib

from fleet.running import (
    RunningNode,
    make_configuration,
    make_model_replicas,
    make_non_model_replicas,
    make_request,
    run_node,
)
from standins.replica import make_event

_LIMITS = {
    'maxHeaderBytes': 2000,
    'maxBodyBytes': 10_000,
    'headerTimeoutMs': 300,
    'idleTimeoutMs': 600,
}
_HEADER_START = b'POST /ping/x HTTP/1.1\r\nHost: city.example\r\n'


async def _send(node: RunningNode, *parts: bytes) -> bytes:
    """Send bytes and read until the node closes the connection."""
    port = node.server.front.port
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    for part in parts:
        writer.write(part)
        await writer.drain()
    async with asyncio.timeout(20):
        answer = await reader.read()
    writer.close()
    return answer


def _configure() -> dict[str, object]:
    return make_configuration(limits=_LIMITS)


async def test_header_without_an_end_is_refused() -> None:
    """A client that never ends its header fills the memory of the node."""
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        answer = await _send(node, _HEADER_START, b'X-Long: ', b'x' * 3000)
        assert answer.startswith(b'HTTP/1.1 431 ')
        assert node.find('caller-refused')['status'].startswith('431')


async def test_large_whole_header_is_refused() -> None:
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        lines = (_HEADER_START, b'X-Long: ', b'x' * 3000, b'\r\n\r\n')
        answer = await _send(node, b''.join(lines))
        assert answer.startswith(b'HTTP/1.1 431 ')
        assert not node.replicas['b-0'].runs


async def test_slow_header_is_refused() -> None:
    """Clients that send a part of a header use up all file descriptors.

    The node refuses them, with the promise that nothing ran, and closes the
    connection.
    """
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        answer = await _send(node, _HEADER_START)
        assert answer.startswith(b'HTTP/1.1 408 ')


async def test_slow_body_is_refused() -> None:
    """A client that sends a part of a body occupies the node for good."""
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        rest = b'Content-Length: 10\r\n\r\nhalf'
        answer = await _send(node, _HEADER_START, rest)
        assert answer.startswith(b'HTTP/1.1 408 ')
        assert b'connection: close' in answer
        assert not node.replicas['b-0'].runs


async def test_connection_without_a_request_is_closed() -> None:
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        assert await _send(node) == b''


async def test_large_body_is_no_header() -> None:
    """A body beyond the size limit of headers is refused."""
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        body = b'x' * 9000
        lines = (
            b'Api-Key: ward-1-key\r\nConnection: close\r\n',
            b'X-Ryelatch-Request-Id: r-1\r\n',
            b'Content-Length: 9000\r\n\r\n',
        )
        answer = await _send(
            node, _HEADER_START, *lines, body[:4000], body[4000:]
        )
        assert answer.startswith(b'HTTP/1.1 200 ')
        assert node.replicas['b-0'].runs[0].body == body


async def test_stray_bytes_break_an_answer_off() -> None:
    """An error for what follows a request is a part of its answer's body."""
    replicas = make_model_replicas((0, 8))
    async with run_node(replicas) as node:
        replicas[0].events = 1000
        replicas[0].pause = 0.05
        reader, writer = await asyncio.open_connection(*node.server.front)
        writer.write(make_request('/plan/x'))
        await reader.readuntil(make_event(2))
        writer.write(b'\0 no request\r\n\r\n')
        pieces: list[bytes] = []
        with contextlib.suppress(ConnectionResetError):
            async with asyncio.timeout(20):
                while piece := await reader.read(65_536):
                    pieces.append(piece)
        writer.close()
        rest = b''.join(pieces)
        assert b'HTTP/1.1' not in rest
        assert not rest.endswith(b'0\r\n\r\n')
