"""Invalid input gets a clear error, and no resources leak."""

import asyncio
import itertools
import os
from pathlib import Path

import pytest

from fleet.caller import StreamedAnswer, ask, read_answer
from fleet.checks import check_streams_freed
from fleet.fleet import Fleet, make_shape, run_fleet

_KEY = {'Authorization': 'Bearer ward-1-key'}
_CHAT = '/v1/chat/completions'
_BAD_BODIES = (
    (b'{"model": ', 400, 'invalid_json'),
    (b'\xff\xfe', 400, 'invalid_json'),
    (b'[' * 50_000, 400, 'invalid_'),
    (b'{"model": 5, "messages": []}', 400, 'invalid_type'),
    (b'{"model": "textile-care"}', 400, 'missing_field'),
    (b'{"model": "textile-care", "messages": [{}]}', 400, 'invalid_type'),
    (
        b'{"model": "x", "messages": [{"role": "user", "content": "y"}]}',
        404,
        'model_not_found',
    ),
    (
        b'{"model": "textile-care", "n": 2,'
        b' "messages": [{"role": "user", "content": "y"}]}',
        400,
        'unsupported_value',
    ),
    (
        b'{"model": "textile-care", "max_tokens": -1,'
        b' "messages": [{"role": "user", "content": "y"}]}',
        400,
        'invalid_value',
    ),
    (b'x' * 3_000_000, 413, 'body_too_large'),
)


def _count_descriptors(fleet: Fleet) -> int:
    pid = fleet.nodes[0].child.pid
    return len(os.listdir(Path('/proc') / str(pid) / 'fd'))


async def _post(fleet: Fleet, body: bytes) -> tuple[int, str]:
    async with fleet.http.post(
        f'{fleet.nodes[0].url}{_CHAT}', data=body, headers=_KEY
    ) as response:
        error = (await response.json())['error']
        assert response.headers['x-ryelatch-outcome'] == 'not-run'
        return response.status, error['code']


async def test_malformed_bodies() -> None:
    """Clients send bodies that are cut off, mistyped, too large or nested.

    Each response names the mistake, and no such request reaches an engine.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        for body, status, code in _BAD_BODIES:
            answer = await _post(fleet, body)
            assert answer[0] == status, (body[:40], answer)
            assert answer[1].startswith(code), (body[:40], answer)
        async with fleet.http.get(
            f'{fleet.nodes[0].url}/v1/models',
            headers=_KEY
            | {'X-Long': 'x' * 7000}
            | {f'X-{index}': 'y' * 7000 for index in range(6)},
        ) as response:
            assert response.status == 431


async def _disconnect(fleet: Fleet, moment: str) -> None:
    """Send a request, and reset the connection at a given moment of it."""
    host, port = fleet.nodes[0].address.split(':')
    body = (
        b'{"model": "textile-care", "stream": true, "max_tokens": 8000,'
        b' "messages": [{"role": "user", "content": "y"}]}'
    )
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
        b'Authorization: Bearer ward-1-key\r\n'
        b'Content-Length: %d\r\n\r\n' % len(body)
    )
    if moment == 'body':
        writer.write(body[:20])
        await writer.drain()
    else:
        writer.write(body)
    if moment == 'stream':
        await reader.read(64)
    writer.transport.abort()


@pytest.mark.parametrize('moment', ['body', 'first-token', 'stream'])
async def test_disconnects_leak_nothing(moment: str) -> None:
    """Clients on bad links disconnect at every moment of a request.

    After each round of disconnects, no answer, request or engine stream
    remains open. File descriptors may grow at first, until the node has
    opened those that it keeps, but not from each round to the next.
    """

    def lengthen(tree: dict[str, dict[str, object]]) -> None:
        tree['policy']['max_tokens'] = 8000

    async with run_fleet(make_shape(nodes=1, tweak=lengthen)) as fleet:

        async def is_clean() -> bool:
            status = await fleet.status(fleet.nodes[0])
            return status['answers'] == 0 and status['requests'] == 1

        counts = []
        for _ in range(5):
            for _ in range(20):
                await _disconnect(fleet, moment)
            await fleet.wait_for(is_clean)
            await check_streams_freed(fleet)
            counts.append(_count_descriptors(fleet))
        assert any(
            later <= earlier for earlier, later in itertools.pairwise(counts)
        )


async def test_client_that_does_not_read() -> None:
    """A client requests a long answer and never reads it.

    The unread text accumulates. Other clients are served meanwhile, and when
    the client disconnects, its streams are closed and freed.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        slow = StreamedAnswer()
        slow_request = asyncio.create_task(
            ask(fleet.http, fleet.nodes[0], 'ward-1-key', 'y', 1000, slow)
        )
        await fleet.wait_until(lambda: slow.text)
        other = await ask(fleet.http, fleet.nodes[0], 'ward-3-key', 'x', 5)
        assert other.done
        slow_request.cancel()
        await asyncio.wait([slow_request])
        await check_streams_freed(fleet)


async def test_slow_sender() -> None:
    """A client sends part of a body and then nothing more.

    Without a time limit it would occupy a connection and memory without end.
    The node answers that the body was too slow, and closes the connection.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        host, port = fleet.nodes[0].address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
            b'Authorization: Bearer ward-1-key\r\n'
            b'Content-Length: 100\r\n\r\n{'
        )
        head, body = await read_answer(reader)
        assert head.startswith(b'HTTP/1.1 408')
        assert b'body_too_slow' in body
        writer.close()
