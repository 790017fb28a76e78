"""Requests of clients whose connections end before their bodies do."""

import asyncio

import pytest

from fleet.running import (
    KEY,
    ask,
    make_model_replicas,
    make_non_model_replicas,
    run_node,
)

_HEAD = (
    'POST {path} HTTP/{version}\r\nHost: city.example\r\n'
    'X-Ryelatch-Request-Id: r-cut\r\nX-Ryelatch-Token-Usage: 100,40\r\n'
    f'Api-Key: {KEY}\r\n'
)
_LENGTH = 'Content-Length: 20\r\n\r\nhalf'
_CHUNKS = 'Transfer-Encoding: chunked\r\n\r\n'


@pytest.mark.parametrize(
    ('version', 'rest'),
    [
        ('1.1', _LENGTH),
        ('1.0', _LENGTH),
        ('1.1', f'{_CHUNKS}4\r\nhalf\r\n'),
        ('1.1', f'{_CHUNKS}14\r\nhalf'),
        ('1.1', f'{_CHUNKS}4\r\nhalf\r\n0\r\n'),
    ],
)
@pytest.mark.parametrize('path', ['/ping/x', '/book/x', '/plan/x'])
async def test_part_of_a_body_is_not_relayed(
    path: str, version: str, rest: str
) -> None:
    """A replica runs a request with the part of its body that came."""
    async with run_node(
        [*make_model_replicas((0, 8)), *make_non_model_replicas(1)]
    ) as node:
        reader, writer = await asyncio.open_connection(*node.server.front)
        head = _HEAD.format(path=path, version=version)
        writer.write(f'{head}{rest}'.encode())
        writer.write_eof()
        async with asyncio.timeout(10):
            assert not await reader.read()
        writer.close()
        # What was sent before has been handled by then.
        status, _, _ = await ask(node, '/ping/x', identity='r-whole')
        assert status == 200
        identities = [
            run.identity
            for replica in node.replicas.values()
            for run in replica.runs
        ]
        assert identities == ['r-whole']
