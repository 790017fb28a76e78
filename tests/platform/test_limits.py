"""Limits on the size and the duration of what clients send."""

import asyncio
import contextlib
import socket

import pytest

from fleet.running import (
    RunningNode,
    make_configuration,
    make_model_replicas,
    make_non_model_replicas,
    make_request,
    run_node,
    wait_until,
)
from ryelatch_node.clients import _measured
from ryelatch_node.clients._protocol import REQUEST_BYTES
from standins.replica import make_event

_LIMITS = {
    'maxHeaderBytes': 2000,
    'maxBodyBytes': 10_000,
    'headerTimeoutMs': 300,
    'idleTimeoutMs': 600,
}
_HEADER_START = b'POST /ping/x HTTP/1.1\r\nHost: city.example\r\n'
_KEYED = b''.join(
    (
        _HEADER_START,
        b'Api-Key: ward-1-key\r\n',
        b'X-Ryelatch-Request-Id: r-1\r\n',
        b'X-Ryelatch-Deadline-Ms: 1000\r\n',
    )
)


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


async def _trickle(node: RunningNode, start: bytes, again: bytes) -> bytes:
    """Send some bytes now and then until the node closes the connection."""
    reader, writer = await asyncio.open_connection(*node.server.front)
    writer.write(start)
    reading = asyncio.create_task(reader.read())
    async with asyncio.timeout(20):
        while not reading.done():
            await asyncio.sleep(0.1)
            writer.write(again)
    writer.transport.abort()
    return reading.result()


async def test_slow_body_is_refused_at_the_deadline() -> None:
    """A byte of a body now and then holds a request for good."""
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        start = b'%bContent-Length: 9000\r\n\r\n' % _KEYED
        answer = await _trickle(node, start, b'x')
        assert answer.startswith(b'HTTP/1.1 408 ')
        assert not node.replicas['b-0'].runs


async def test_rest_of_a_large_body_is_not_awaited() -> None:
    """A client that is refused for its body goes on sending it."""
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        start = b'%bTransfer-Encoding: chunked\r\n\r\n' % _KEYED
        chunk = b'2000\r\n%b\r\n' % (b'x' * 0x2000)
        answer = await _trickle(node, start, chunk)
        assert answer.startswith(b'HTTP/1.1 413 ')
        assert answer.count(b'HTTP/1.1') == 1


async def test_empty_lines_keep_no_connection() -> None:
    """An empty line after an answer takes the idle timer away."""
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        start = b'%bContent-Length: 0\r\n\r\n' % _KEYED
        answer = await _trickle(node, start, b'\r\n')
        assert answer.startswith(b'HTTP/1.1 200 ')


async def test_trailers_are_no_headers() -> None:
    """A line behind a body is forwarded as a header."""
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        start = b'%bTransfer-Encoding: chunked\r\n' % _KEYED
        body = b'Connection: close\r\n\r\n1\r\nx\r\n0\r\nA: b\r\n\r\n'
        answer = await _send(node, start, body)
        assert answer.startswith(b'HTTP/1.1 200 ')
        assert 'A' not in node.replicas['b-0'].runs[0].headers


async def test_refused_client_can_read_why(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The refusal is lost, as the connection is reset while bytes arrive."""
    monkeypatch.setattr(_measured, 'LINGER_SECONDS', 20)
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        loop = asyncio.get_running_loop()
        with socket.create_connection(node.server.front) as client:
            client.setblocking(False)
            start = b'%bX-Long: ' % _HEADER_START
            await loop.sock_sendall(client, b'%b%b' % (start, b'x' * 8_000_000))
            async with asyncio.timeout(20):
                answer = await loop.sock_recv(client, 2000)
        assert answer.startswith(b'HTTP/1.1 431 ')
        assert answer.endswith(b'}')


async def test_pipelined_requests_are_served_in_turn() -> None:
    """Requests that arrive at once are lost, or answered in another order."""
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        requests = [
            b'%bContent-Length: 1' % _KEYED.replace(b'r-1', b'r-%d' % number)
            for number in range(50)
        ]
        content = b'\r\n\r\nx'.join((*requests, b''))
        last = b'%bConnection: close\r\nContent-Length: 0\r\n\r\n' % _KEYED
        answer = await _send(node, content, last)
        assert answer.count(b'HTTP/1.1 200 ') == 51
        order = [run.identity for run in node.replicas['b-0'].runs]
        assert order == [f'r-{number}' for number in range(50)] + ['r-1']


async def test_body_of_an_upgrade_is_no_request() -> None:
    """A request runs without its body, which is served as a request."""
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        inner = b'%bConnection: close\r\nContent-Length: 0\r\n\r\n' % _KEYED
        length = b'Content-Length: %d\r\n\r\n' % len(inner)
        head = b'%bConnection: upgrade\r\nUpgrade: x\r\n' % _KEYED
        answer = await _send(node, head, length, inner)
        assert answer.startswith(b'HTTP/1.1 400 ')
        assert answer.count(b'HTTP/1.1') == 1
        assert not node.replicas['b-0'].runs


async def test_upgrade_without_a_body_is_served() -> None:
    """A client that offers another protocol is refused."""
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        upgrade = b'%bConnection: upgrade, close\r\nUpgrade: x\r\n\r\n'
        answer = await _send(node, upgrade % _KEYED)
        assert answer.startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize(
    'start',
    [
        _KEYED.replace(b'/ping/x', b'/ping/%b' % (b'x' * 1500)),
        b'%bA: %b\r\n' % (_KEYED, b'x' * 1500),
        b'%b%b' % (_KEYED, b'a:\r\n' * 100),
    ],
    ids=['path', 'value', 'lines'],
)
async def test_request_without_room_is_refused(start: bytes) -> None:
    """Requests that are small one by one take more memory than there is."""
    async with run_node(make_non_model_replicas(1), _configure()) as node:
        content = b'%bConnection: close\r\nContent-Length: 0\r\n\r\n'
        resources = node.server.resources
        resources.memory.capacity = REQUEST_BYTES + 6000
        answer = await _send(node, content % _KEYED)
        assert answer.startswith(b'HTTP/1.1 200 ')
        answer = await _send(node, content % start)
        assert answer.startswith(b'HTTP/1.1 503 ')
        assert b'retry-after: ' in answer
        assert len(node.replicas['b-0'].runs) == 1
        await wait_until(lambda: not resources.memory.used)


async def test_idle_connections_make_room() -> None:
    """A caller is disconnected, as others hold all descriptors."""
    limits = {**_LIMITS, 'idleTimeoutMs': 20_000, 'headerTimeoutMs': 20_000}
    async with run_node(
        make_non_model_replicas(1),
        make_configuration(limits=limits),
        max_files=40,
    ) as node:
        opened = [
            await asyncio.open_connection(*node.server.front) for _ in range(40)
        ]
        content = b'%bConnection: close\r\nContent-Length: 0\r\n\r\n' % _KEYED
        assert (await _send(node, content)).startswith(b'HTTP/1.1 200 ')
        assert node.count('connection-evicted') >= 40 - 15
        assert len(node.server.resources.connections) <= 15
        for _, writer in opened:
            writer.transport.abort()
