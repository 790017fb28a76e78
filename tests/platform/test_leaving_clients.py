"""Clients that leave while their node has no processor time."""

import asyncio
import contextlib
import json
import signal
import socket
import struct
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import pytest
from aiohttp import ClientSession, web

from fleet.node_processes import NodeProcess, start_node, wait_ready
from fleet.running import (
    KEY,
    make_configuration,
    make_model_replicas,
    make_non_model_replicas,
    serve_app,
    wait_until,
)
from standins.objects import ObjectStore
from standins.replica import ReplicaStandIn

_LEAVERS = 40
_STAYERS = 5
_STREAMS = 8
"""Streams that the replicas run at once."""

_LEAVE_SECONDS = 0.5
"""Time after which a client leaves whose request wasn't read."""

_LATE_SECONDS = 1.0
"""Time for which the node stands still after its clients have left."""

_SETTLE_SECONDS = 1.0
"""Time in which a request that was sent on reaches its replica."""

_ZERO_LINGER = struct.pack('ii', 1, 0)
_PATHS = ('/ping/x', '/book/x', '/plan/x')


@dataclass(frozen=True)
class _Running:
    """A node that is a process of its own, and its replicas."""

    node: NodeProcess
    replicas: list[ReplicaStandIn]

    async def connect(self) -> '_Client':
        """Open a connection as a client does."""
        reader, writer = await asyncio.open_connection(self.node.host, 8227)
        return _Client(reader, writer)

    @contextlib.asynccontextmanager
    async def stop_node(self) -> AsyncIterator[None]:
        """Let the node stand still within the block."""
        self.node.process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self.node.process.send_signal(signal.SIGCONT)

    def list_arrived(self, prefix: str) -> list[str]:
        """List the requests that a replica received, by their identities."""
        return [
            run.identity
            for replica in self.replicas
            for run in replica.runs
            if run.identity.startswith(prefix)
        ]

    def is_cancelled(self, identity: str) -> bool:
        """Whether all runs of a request were cancelled."""
        return all(
            run.cancelled
            for replica in self.replicas
            for run in replica.runs
            if run.identity == identity
        )


@dataclass(frozen=True)
class _Client:
    """One connection of a client."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, path: str, identity: str) -> None:
        """Send a request with a body."""
        lines = (
            f'POST {path} HTTP/1.1',
            'Host: city.example',
            f'Api-Key: {KEY}',
            f'X-Ryelatch-Request-Id: {identity}',
            'X-Ryelatch-Token-Usage: 100,40',
            'X-Ryelatch-Deadline-Ms: 8000',
            'Content-Length: 8',
            '\r\nquestion',
        )
        self.writer.write('\r\n'.join(lines).encode())

    async def read_status(self) -> int:
        """Read the status of an answer with a length, and its body."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode().lower().split('\r\n')
        lengths = (
            int(line.partition(':')[2])
            for line in lines
            if line.startswith('content-length')
        )
        await self.reader.readexactly(next(lengths, 0))
        return int(first.split()[1])

    def leave(self, *, resets: bool) -> None:
        """Close the connection, in order or with a reset."""
        if resets:
            self.writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER
            )
        self.writer.close()


@contextlib.asynccontextmanager
async def _run(folder: Path) -> AsyncIterator[_Running]:
    """Start a store, replicas and a node."""
    store = ObjectStore()
    store.put('config', 'main', make_configuration())
    runner, port = await serve_app(store.make_app())
    runners = [runner]
    replicas = [
        *make_model_replicas((0, 8), (0, 8)),
        *make_non_model_replicas(2),
    ]
    for replica in replicas:
        runners.append(await _serve_replica(replica, store))
    node = await start_node('node-a', f'127.0.0.1:{port}', folder)
    async with ClientSession() as http:
        try:
            await wait_ready(http, node)
            await _open_upstream_connections(node, http)
            yield _Running(node, replicas)
        finally:
            output = await node.stop(signal.SIGKILL)
            _print_lines(output)
            for runner in runners:
                await runner.cleanup()


async def _open_upstream_connections(
    node: NodeProcess, http: ClientSession
) -> None:
    """Leave a node connections to its replicas, which it needs not open."""

    async def serve(path: str, number: int) -> None:
        async with node.open(http, path, f'before-{number}') as response:
            assert response.status == 200
            await response.read()

    await asyncio.gather(*(serve('/ping/x', item) for item in range(_LEAVERS)))
    await asyncio.gather(*(serve('/plan/x', item) for item in range(_STREAMS)))


async def _serve_replica(
    replica: ReplicaStandIn, store: ObjectStore
) -> web.AppRunner:
    runner, port = await serve_app(replica.make_app())
    replica.store = store
    replica.address = f'127.0.0.1:{port}'
    replica.register()
    return runner


def _print_lines(lines: list[dict[str, object]]) -> None:
    """Print what a failed test needs: what the node knew of its requests."""
    for line in lines:
        if 'request' in line:
            print(json.dumps(line))


async def _open_clients(
    running: _Running, count: int, prefix: str, *, kept: bool
) -> list[_Client]:
    """Open connections.

    :param kept: whether each has served a request before.
    """
    clients = [await running.connect() for _ in range(count)]
    if kept:
        for number, client in enumerate(clients):
            client.send('/ping/x', f'before-{prefix}-{number}')
        statuses = [await client.read_status() for client in clients]
        assert statuses == [200] * count
    return clients


@pytest.mark.parametrize('path', _PATHS)
@pytest.mark.parametrize('resets', [False, True])
@pytest.mark.parametrize('kept', [False, True])
async def test_late_node_sends_nothing_for_leavers(
    path: str, resets: bool, kept: bool, tmp_path: Path
) -> None:
    """Requests are sent on whose clients left before they were read."""
    async with _run(tmp_path) as running:
        leavers = await _open_clients(running, _LEAVERS, 'left', kept=kept)
        stayers = await _open_clients(running, _STAYERS, 'stays', kept=kept)
        async with running.stop_node():
            for number, client in enumerate(leavers):
                client.send(path, f'left-{number}')
            for number, client in enumerate(stayers):
                client.send(path, f'stays-{number}')
            await asyncio.sleep(_LEAVE_SECONDS)
            for client in leavers:
                client.leave(resets=resets)
            await asyncio.sleep(_LATE_SECONDS)
        resumed = time.monotonic()
        statuses = [await client.read_status() for client in stayers]
        print('stayers served', time.monotonic() - resumed, 's after')
        await asyncio.sleep(_SETTLE_SECONDS)
        assert not running.list_arrived('left')
        assert statuses == [200] * _STAYERS


@pytest.mark.parametrize('resets', [False, True])
async def test_leaver_ends_the_first_of_two_requests(
    resets: bool, tmp_path: Path
) -> None:
    """A replica works on for a client that had sent its next request early.

    Nothing is read from its connection until the first one is answered.
    """
    async with _run(tmp_path) as running:
        for replica in running.replicas:
            replica.hang = True
        client = await running.connect()
        client.send('/plan/x', 'first-1')
        client.send('/plan/x', 'second-1')
        await wait_until(lambda: running.list_arrived('first'))
        await asyncio.sleep(_LEAVE_SECONDS)
        client.leave(resets=resets)
        await wait_until(lambda: running.is_cancelled('first-1'), seconds=2)
        assert not running.list_arrived('second')
