"""Connections that clients keep, at a node that stands still for a while."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from aiohttp import ClientSession

from fleet.node_processes import NodeProcess, start_node, wait_ready
from fleet.running import (
    make_configuration,
    make_non_model_replicas,
    make_request,
    serve_app,
)
from standins.objects import ObjectStore

_LIMITS = {'idleTimeoutMs': 3000, 'headerTimeoutMs': 3000}
_BEFORE_SECONDS = 1
_STILL_SECONDS = 3.5
"""Beyond the limits, when the node goes on."""

_REQUEST = make_request('/ping/x')


@contextlib.asynccontextmanager
async def _run(folder: Path) -> AsyncIterator[NodeProcess]:
    store = ObjectStore()
    store.put('config', 'main', make_configuration(limits=_LIMITS))
    async with contextlib.AsyncExitStack() as stack:
        runner, port = await serve_app(store.make_app())
        stack.push_async_callback(runner.cleanup)
        for replica in make_non_model_replicas(2):
            replica.store = store
            served, replica_port = await serve_app(replica.make_app())
            stack.push_async_callback(served.cleanup)
            replica.address = f'127.0.0.1:{replica_port}'
            replica.register()
        node = await start_node('node-a', f'127.0.0.1:{port}', folder)
        try:
            async with ClientSession() as http:
                await wait_ready(http, node)
            yield node
        finally:
            node.process.kill()
            await node.process.communicate()


async def _read_status(reader: asyncio.StreamReader) -> bytes:
    """Read an answer; returns its status line."""
    head = await reader.readuntil(b'\r\n\r\n')
    _, _, rest = head.lower().partition(b'content-length: ')
    await reader.readexactly(int(rest.split(b'\r\n')[0]))
    return head.split(b'\r\n')[0]


@pytest.mark.parametrize(
    ('first', 'before', 'rest'),
    [
        (_REQUEST, b'', _REQUEST),
        (b'', b'', _REQUEST),
        (b'', _REQUEST[:50], _REQUEST[50:]),
    ],
    ids=['kept', 'new', 'half a header'],
)
async def test_request_that_came_in_time_is_served(
    first: bytes, before: bytes, rest: bytes, tmp_path: Path
) -> None:
    """A request came in time, and its connection is closed unread.

    A node that stood still runs its timers before it reads what has arrived.
    """
    async with _run(tmp_path) as node:
        reader, writer = await asyncio.open_connection(node.host, 8227)
        if first:
            writer.write(first)
            assert await _read_status(reader) == b'HTTP/1.1 200 OK'
        writer.write(before)
        await asyncio.sleep(_BEFORE_SECONDS)
        node.process.send_signal(signal.SIGSTOP)
        writer.write(rest)
        await asyncio.sleep(_STILL_SECONDS)
        node.process.send_signal(signal.SIGCONT)
        async with asyncio.timeout(20):
            assert await _read_status(reader) in {
                b'HTTP/1.1 200 OK',
                b'HTTP/1.1 503 Service Unavailable',
            }
        writer.transport.abort()
