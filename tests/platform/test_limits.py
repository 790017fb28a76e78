"""Clients that send too much, or too slowly, cost the node nothing."""

import asyncio

from fleet.running import RunningNode, make_configuration, make_non_model_replicas, run_node

_LIMITS = {
    'maxHeaderBytes': 2000,
    'maxBodyBytes': 10_000,
    'headerTimeoutMs': 300,
    'idleTimeoutMs': 600,
}
_HEAD = b'POST /ping/x HTTP/1.1\r\nHost: city.example\r\n'


async def _send(node: RunningNode, *parts: bytes) -> bytes:
    """Send bytes and read all that comes until the node closes."""
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
    """A client sends header lines and never an empty one.

    Taken in, they would fill the memory of the node.
    """
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        answer = await _send(node, _HEAD, b'X-Long: ', b'x' * 3000)
        assert answer.startswith(b'HTTP/1.1 431 ')
        assert node.find('caller-refused')['status'].startswith('431')


async def test_large_whole_header_is_refused() -> None:
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        lines = (_HEAD, b'X-Long: ', b'x' * 3000, b'\r\n\r\n')
        answer = await _send(node, b''.join(lines))
        assert answer.startswith(b'HTTP/1.1 431 ')
        assert not node.replicas['b-0'].runs


async def test_slow_header_is_refused() -> None:
    """A client sends a part of a header and falls silent.

    Thousands of them would take all descriptors. The node says that nothing
    ran, which is true, and closes.
    """
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        answer = await _send(node, _HEAD)
        assert answer.startswith(b'HTTP/1.1 408 ')


async def test_slow_body_is_refused() -> None:
    """A client sends a part of a body and falls silent."""
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        rest = b'Content-Length: 10\r\n\r\nhalf'
        answer = await _send(node, _HEAD, rest)
        assert answer.startswith(b'HTTP/1.1 408 ')
        assert b'connection: close' in answer
        assert not node.replicas['b-0'].runs


async def test_connection_without_a_request_is_closed() -> None:
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        assert await _send(node) == b''


async def test_large_body_is_no_header() -> None:
    """A body may be larger than a header may be."""
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        body = b'x' * 9000
        lines = (
            b'Api-Key: ward-1-key\r\nConnection: close\r\n',
            b'X-Ryelatch-Request-Id: r-1\r\n',
            b'Content-Length: 9000\r\n\r\n',
        )
        answer = await _send(node, _HEAD, *lines, body[:4000], body[4000:])
        assert answer.startswith(b'HTTP/1.1 200 ')
        assert node.replicas['b-0'].runs[0].body == body
