"""Answers to clients of HTTP/1.0, which know no chunks."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import pytest
from aiohttp import ClientSession

from fleet.node_processes import start_node, wait_ready
from fleet.running import (
    make_configuration,
    make_event_stream,
    make_model_replicas,
    make_non_model_replicas,
    make_request,
    run_node,
    serve_app,
    wait_until,
)
from ryelatch_node.relay._held import MAX_ANSWER_BYTES
from standins.objects import ObjectStore
from standins.replica import make_event

_LONG = 3 * MAX_ANSWER_BYTES


@dataclass
class _Received:
    """What a client has received until its connection ended.

    :param reset: whether the connection was reset, and not closed in order.
    """

    head: bytes
    body: bytes
    reset: bool


@contextlib.asynccontextmanager
async def _connect(
    host: str, port: int, path: str
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Connect, and send a request."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(make_request(path, version='1.0'))
    try:
        yield reader, writer
    finally:
        writer.close()


async def _read_until_end(reader: asyncio.StreamReader) -> _Received:
    """Read until the connection ends in some way."""
    pieces: list[bytes] = []
    reset = False
    try:
        async with asyncio.timeout(20):
            while piece := await reader.read(65_536):
                pieces.append(piece)
    except ConnectionResetError:
        reset = True
    head, _, body = b''.join(pieces).partition(b'\r\n\r\n')
    return _Received(head.lower(), body, reset)


async def test_old_client_gets_no_chunks() -> None:
    """A client that knows no chunks gets their sizes as a part of the body."""
    async with run_node(make_model_replicas((0, 8))) as node:
        async with _connect(*node.server.front, '/plan/x') as (reader, _):
            received = await _read_until_end(reader)
        assert b'transfer-encoding' not in received.head
        assert b'connection: close' in received.head
        assert received.body == make_event_stream(5)
        assert not received.reset


async def test_old_client_gets_a_long_answer() -> None:
    """A long answer gets an end that its client can't tell from a failure."""
    replicas = make_non_model_replicas(1)
    replicas[0].padding = _LONG
    async with run_node(replicas) as node:
        async with _connect(*node.server.front, '/ping/x') as (reader, _):
            received = await _read_until_end(reader)
        length = len(b'answer of b-0') + _LONG
        assert f'content-length: {length}'.encode() in received.head
        assert received.body == b''.join((b'answer of b-0', bytes(_LONG)))
        assert not received.reset


async def test_broken_answer_to_old_client_is_reset() -> None:
    """A part of a stream looks whole to a client that knows no chunks."""
    replicas = make_model_replicas((0, 8))
    async with run_node(replicas) as node:
        replicas[0].events = 50
        replicas[0].pause = 0.05
        async with _connect(*node.server.front, '/plan/x') as (reader, _):
            await reader.readuntil(make_event(2))
            await replicas[0].crash()
            node.store.drop('servers', 'm-0')
            received = await _read_until_end(reader)
        assert received.reset
        await wait_until(lambda: node.count('exchange-broken'))


async def test_answer_cut_by_a_stop_is_reset() -> None:
    """A node that stops ends a stream so that it looks whole."""
    replicas = make_model_replicas((0, 8))
    async with run_node(replicas) as node:
        replicas[0].events = 500
        replicas[0].pause = 0.05
        async with _connect(*node.server.front, '/plan/x') as (reader, _):
            await reader.readuntil(make_event(2))
            await node.app.stop()
            received = await _read_until_end(reader)
        assert received.reset


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGTERM])
async def test_answer_of_a_killed_node_is_reset(
    number: signal.Signals, tmp_path: Path
) -> None:
    """The system ends an answer in order when it ends the node's process."""
    store = ObjectStore()
    store.put('config', 'main', make_configuration())
    replica = make_model_replicas((0, 8))[0]
    replica.store = store
    replica.events = 10_000
    replica.pause = 0.05
    store_runner, store_port = await serve_app(store.make_app())
    runner, port = await serve_app(replica.make_app())
    replica.address = f'127.0.0.1:{port}'
    replica.register()
    node = await start_node('node-a', f'127.0.0.1:{store_port}', tmp_path)
    try:
        async with ClientSession() as http:
            await wait_ready(http, node)
        async with _connect(node.host, 8227, '/plan/x') as (reader, _):
            await reader.readuntil(make_event(2))
            node.process.send_signal(number)
            received = await _read_until_end(reader)
        assert received.reset
    finally:
        if node.process.returncode is None:
            node.process.kill()
        await node.process.communicate()
        await runner.cleanup()
        await store_runner.cleanup()
