"""Crowds of clients that don't behave, at a node that is a real process."""

import asyncio
import contextlib
import signal
import sys
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from aiohttp import ClientError, ClientSession

from fleet.node_processes import NodeProcess, start_node, wait_ready
from fleet.processes import Process, spawn
from fleet.running import make_configuration, make_route, serve_app, wait_until
from standins.crowd import (
    KINDS,
    Address,
    make_body_request,
    make_names,
    make_request,
)
from standins.objects import ObjectStore
from standins.raw_replica import RawReplica

pytestmark = pytest.mark.crowd

_MEMORY_MB = 300
_KB = 1000
_MAX_FILES = 4100
_FEW_FILES = 300
_LIMITS = {
    'maxHeaderBytes': 16_384,
    'maxBodyBytes': 4_194_304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 6000,
}
_CROWD_SECONDS = 9
_SETTLING_SECONDS = 30
_MAX_KEPT_FILES = 8
_MAX_LOG_BYTES = 8_000_000
_ANSWER_SECONDS = 20
_LONG_BYTES = 20_000_000
_REPLICAS = {
    'fast': RawReplica,
    'slow': lambda: RawReplica(pause=3),
    'long': lambda: RawReplica(size=_LONG_BYTES),
}

_CROWDS = (
    ('nothing', 400),
    ('nothing', 4000),
    ('empty lines', 60),
    ('empty line after an answer', 100),
    ('request line without end', 100),
    ('unfinished head', 100),
    ('unfinished long head', 100),
    ('unfinished long head', 4000),
    ('slow head', 100),
    ('endless head', 60),
    ('endless head', 100),
    ('odd lines', 100),
    ('many names', 100),
    ('many names', 300),
    ('pipelined', 5),
    ('pipelined', 100),
    ('pipelined, waiting', 100),
    ('long bodies', 100),
    ('unfinished bodies', 100),
    ('slow bodies', 100),
    ('slow body of a refused request', 100),
    ('chunks of a byte', 60),
    ('chunk extension', 60),
    ('trailers', 60),
    ('unread answers', 100),
    ('unread answers', 1000),
    ('unread answers', 4000),
    ('unread short answers', 100),
    ('paths', 60),
    ('identities', 60),
    ('upgrades', 100),
)
"""Kinds and numbers of clients."""

_OTHER_PORTS = (8220, 9464, 9465)
"""Ports for readiness, metrics and other nodes."""

_HOLDING = ('nothing', 'unfinished head', 'slow head', 'slow bodies')
"""Kinds that hold connections, and cost a node nothing else."""


@dataclass
class _Running:
    """A node with its stand-ins, and clients that behave."""

    node: NodeProcess
    store: ObjectStore
    replicas: dict[str, RawReplica]
    log: Path

    async def send(self, content: bytes) -> int:
        """Send bytes on a new connection; returns 0 without an answer."""
        try:
            async with asyncio.timeout(_ANSWER_SECONDS):
                return await self._send(content)
        except (OSError, TimeoutError):
            return 0

    async def wait_for_files(self, count: int) -> None:
        """Wait until the node has no more than so many open files."""
        await wait_until(
            lambda: self.node.count_files() <= count, _SETTLING_SECONDS
        )

    def check_alive(self) -> None:
        """Check that the process lives, and its memory."""
        assert self.node.process.returncode is None
        assert self.node.read_peak() < _MEMORY_MB * _KB

    async def _send(self, content: bytes) -> int:
        reader, writer = await asyncio.open_connection(self.node.host, 8227)
        try:
            writer.write(content)
            line = await reader.readline()
            return int(line.split()[1]) if line else 0
        finally:
            writer.transport.abort()


def _configure(**limits: int) -> dict[str, Any]:
    configuration = make_configuration(limits={**_LIMITS, **limits})
    configuration['services'] += [{'name': name} for name in _REPLICAS]
    configuration['routes'] = [
        make_route('ping', service='fast', timeoutMs=20_000),
        make_route('wait', service='slow', timeoutMs=20_000),
        make_route('long', service='long', timeoutMs=20_000),
    ]
    return configuration


def _make_entry(service: str, address: str) -> dict[str, Any]:
    return {
        'service': service,
        'addr': address,
        'zone': 'zone-a',
        'slots': 100,
        'state': 'ready',
        'seq': 1,
        'version': 'v1',
        'coldRemainingMs': 0,
    }


@contextlib.asynccontextmanager
async def _run(
    folder: Path, max_files: int = _MAX_FILES
) -> AsyncIterator[_Running]:
    """Start a node, a store and a replica of each service."""
    store = ObjectStore()
    store.put('config', 'main', _configure())
    log = folder / 'node.log'
    async with contextlib.AsyncExitStack() as stack:
        runner, port = await serve_app(store.make_app())
        stack.push_async_callback(runner.cleanup)
        replicas = {name: make() for name, make in _REPLICAS.items()}
        for name, replica in replicas.items():
            await stack.enter_async_context(replica.serve())
            store.put('servers', name, _make_entry(name, replica.address))
        node = await start_node(
            'node-a',
            f'127.0.0.1:{port}',
            folder,
            limits={'memoryMb': _MEMORY_MB, 'maxFds': max_files},
            max_files=max_files,
            output=log,
        )
        running = _Running(node, store, replicas, log)
        try:
            async with ClientSession() as http:
                await wait_ready(http, node)
            yield running
        finally:
            if node.process.returncode is None:
                node.process.kill()
            await node.process.wait()


@contextlib.asynccontextmanager
async def _run_crowd(
    running: _Running, kind: str, clients: int, seed: int = 1, port: int = 8227
) -> AsyncIterator[None]:
    """Run a crowd in a process of its own until the block is left."""
    crowd = await spawn(
        'crowd',
        _make_command(kind, clients, (running.node.host, port), seed),
    )
    try:
        await _wait_started(crowd)
        yield
    finally:
        await crowd.kill()


def _make_command(
    kind: str, clients: int, address: Address, seed: int
) -> list[str]:
    host, port = address
    options = {
        '--kind': kind,
        '--clients': str(clients),
        '--host': host,
        '--port': str(port),
        '--seed': str(seed),
    }
    pairs = [text for pair in options.items() for text in pair]
    return [sys.executable, '-m', 'standins.crowd', *pairs]


async def _wait_started(crowd: Process) -> None:
    assert crowd.child.stdout is not None
    assert (await crowd.child.stdout.readline()).startswith(b'READY')


@pytest.mark.parametrize(('kind', 'clients'), _CROWDS)
async def test_crowd_stops_no_node(
    kind: str, clients: int, tmp_path: Path
) -> None:
    """A crowd takes a node's memory, its descriptors, or fills its log."""
    async with _run(tmp_path) as running:
        assert await running.send(make_request('r-first')) == 200
        before = running.node.count_files()
        async with _run_crowd(running, kind, clients):
            await asyncio.sleep(_CROWD_SECONDS)
        running.check_alive()
        await running.wait_for_files(before + _MAX_KEPT_FILES)
        assert await running.send(make_request('r-last')) == 200
        running.check_alive()
        assert running.log.stat().st_size < _MAX_LOG_BYTES


@pytest.mark.parametrize('kind', _HOLDING)
async def test_callers_are_served_beside_idle_ones(
    kind: str, tmp_path: Path
) -> None:
    """Idle connections take all descriptors, and callers are disconnected."""
    async with _run(tmp_path, _FEW_FILES) as running:
        before = running.node.count_files()
        async with _run_crowd(running, kind, _FEW_FILES + 100):
            await asyncio.sleep(1)
            for number in range(8):
                assert await running.send(make_request(f'r-{number}')) == 200
                await asyncio.sleep(0.5)
            assert running.node.count_files() < _FEW_FILES
        running.check_alive()
        await running.wait_for_files(before + _MAX_KEPT_FILES)
        assert await running.send(make_request('r-last')) == 200


@pytest.mark.parametrize('kind', ['nothing', 'unfinished head', 'endless head'])
@pytest.mark.parametrize('port', _OTHER_PORTS)
async def test_crowd_at_another_port_stops_no_node(
    port: int, kind: str, tmp_path: Path
) -> None:
    """Connections at ports that aren't for clients take all descriptors."""
    async with _run(tmp_path, _FEW_FILES) as running:
        before = running.node.count_files()
        async with _run_crowd(running, kind, _FEW_FILES + 100, port=port):
            await asyncio.sleep(1)
            for number in range(8):
                assert await running.send(make_request(f'r-{number}')) == 200
                await asyncio.sleep(0.5)
        running.check_alive()
        await running.wait_for_files(before + _MAX_KEPT_FILES)
        assert await running.send(make_request('r-last')) == 200


@pytest.mark.parametrize('kind', KINDS)
async def test_crowd_has_more_clients_than_descriptors(
    kind: str, tmp_path: Path
) -> None:
    """Descriptors run out, and the node ends, or serves nobody again."""
    async with _run(tmp_path, _FEW_FILES) as running:
        before = running.node.count_files()
        async with _run_crowd(running, kind, _FEW_FILES + 20):
            await asyncio.sleep(_CROWD_SECONDS / 2)
        running.check_alive()
        await running.wait_for_files(before + _MAX_KEPT_FILES)
        assert await running.send(make_request('r-last')) == 200


@pytest.mark.parametrize('seed', range(1, 4))
async def test_mixed_crowd_stops_no_node(seed: int, tmp_path: Path) -> None:
    """Crowds together take what each of them alone doesn't."""
    async with _run(tmp_path) as running:
        before = running.node.count_files()
        async with _run_crowd(running, 'mixed', 200, seed):
            await asyncio.sleep(_CROWD_SECONDS)
        running.check_alive()
        await running.wait_for_files(before + _MAX_KEPT_FILES)
        assert await running.send(make_request('r-last')) == 200


@pytest.mark.parametrize('kind', ['empty line after an answer', 'upgrades'])
async def test_connection_without_a_request_is_closed(
    kind: str, tmp_path: Path
) -> None:
    """Bytes that begin no request take away the idle timer."""
    behaviour = KINDS[kind]
    async with _run(tmp_path) as running:
        reader, writer = await asyncio.open_connection(running.node.host, 8227)
        writer.write(behaviour.first('r-1'))
        assert behaviour.again is not None
        sending = asyncio.create_task(_repeat_slowly(writer, behaviour.again))
        async with asyncio.timeout(_ANSWER_SECONDS):
            with contextlib.suppress(ConnectionError):
                while await reader.read(_KB):
                    """Read until the node closes the connection."""
        sending.cancel()
        writer.transport.abort()


async def _repeat_slowly(
    writer: asyncio.StreamWriter, make: Callable[[str], bytes]
) -> None:
    while True:
        await asyncio.sleep(0.5)
        writer.write(make('r'))


async def test_whole_head_is_measured(tmp_path: Path) -> None:
    """A head of four times the limit is forwarded, as its names are short."""
    async with _run(tmp_path) as running:
        content = KINDS['odd lines'].first('r-1')
        assert await running.send(content) == 431
        assert running.replicas['fast'].heads == 0


_FILLED = 'x' * 15_500
_REQUESTS = {
    'path': make_request('r', path=f'/ping/{_FILLED}'),
    'query': make_request('r', path=f'/ping/x?{_FILLED}'),
    'value': make_request('r', f'A: {_FILLED}'),
    'name': make_request('r', f'{_FILLED}: a'),
    'names': make_request('r', *make_names(2200)),
    'same name': make_request('r', *['a:'] * 3900),
    'cookies': make_request('r', *['Cookie: a=b'] * 1150),
    'identity': make_request('r', identity='x' * 8200),
    'longest identity': make_request('r', identity=_FILLED),
    'body': make_body_request('r', b'x' * 4_194_304),
    'chunks': KINDS['chunks of a byte'].first('r')
    + b'1\r\nx\r\n' * 20_000
    + b'0\r\n\r\n',
    'one chunk': KINDS['chunks of a byte'].first('r')
    + b'400000\r\n'
    + b'x' * 4_194_304
    + b'\r\n0\r\n\r\n',
    'empty lines before': b'\r\n' * 100 + make_request('r'),
    'pipelined': make_request('r') * 10,
    'upgrade': make_request('r', 'Connection: upgrade', 'Upgrade: x'),
    'head': make_request('r', method='HEAD'),
}


@pytest.mark.parametrize('kind', _REQUESTS)
async def test_request_inside_the_limits_is_served(
    kind: str, tmp_path: Path
) -> None:
    """A bound refuses, or fails, a request that the limits allow."""
    async with _run(tmp_path) as running:
        assert await running.send(_REQUESTS[kind]) == 200
        assert len(set(running.replicas['fast'].identities)) == 1


@pytest.mark.parametrize(
    'kind', ['nothing', 'pipelined, waiting', 'unfinished bodies']
)
async def test_node_stops_beside_a_crowd(kind: str, tmp_path: Path) -> None:
    """A planned stop hangs on connections that don't end."""
    async with _run(tmp_path) as running, _run_crowd(running, kind, 100):
        await asyncio.sleep(2)
        running.node.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_SETTLING_SECONDS):
            assert await running.node.process.wait() == 0


async def test_lower_limits_hold_for_open_connections(tmp_path: Path) -> None:
    """Connections keep the limits under which they were opened."""
    async with _run(tmp_path) as running:
        reader, writer = await asyncio.open_connection(running.node.host, 8227)
        running.store.put(
            'config', 'main', {**_configure(maxHeaderBytes=1000), 'version': 2}
        )
        async with asyncio.timeout(_ANSWER_SECONDS):
            while await running.send(make_request('r', f'A: {_FILLED}')) != 431:
                await asyncio.sleep(0.1)
        writer.write(make_request('r', f'A: {_FILLED}'))
        assert b' 431 ' in await reader.readline()
        writer.transport.abort()


async def test_crowd_comes_before_the_configuration(tmp_path: Path) -> None:
    """Without a configuration, a node has no limits."""
    node = await start_node(
        'node-a',
        '127.0.0.1:1',
        tmp_path,
        limits={'memoryMb': _MEMORY_MB, 'maxFds': _MAX_FILES},
        output=tmp_path / 'node.log',
    )
    running = _Running(node, ObjectStore(), {}, tmp_path / 'node.log')
    try:
        async with ClientSession() as http:
            await wait_until(lambda: node.count_files() > 10)
            async with _run_crowd(running, 'endless head', 60):
                await asyncio.sleep(_CROWD_SECONDS)
            running.check_alive()
            assert await running.send(make_request('r-last')) == 503
            with contextlib.suppress(ClientError):
                await http.get(f'http://{node.host}:8220/readyz')
        running.check_alive()
    finally:
        node.process.kill()
        await node.process.wait()
