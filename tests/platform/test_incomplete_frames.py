"""Connections to the port for nodes that begin frames and don't end them."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import pytest
from aiohttp import ClientSession

from fleet.node_processes import NodeProcess, start_node, wait_ready
from fleet.running import (
    make_configuration,
    make_non_model_replicas,
    serve_app,
)
from ryelatch_node.peer_sync._frames import MAX_FRAME_BYTES
from ryelatch_node.peer_sync._incoming import FRAME_SECONDS
from ryelatch_platform._settings import PEERS_PORT
from standins.objects import ObjectStore

_CONNECTIONS = 60
_REQUESTS = 20
_PIECE = bytes(65_536)
_MAX_GROWTH_KB = 65_536
_TRICKLE_SECONDS = 0.05
_MARGIN_SECONDS = 5.0


@dataclass(frozen=True)
class _Running:
    """A node that is a process of its own."""

    node: NodeProcess
    http: ClientSession

    async def ask(self, number: int) -> int:
        """Send a sound request; returns its status."""
        async with self.node.open(
            self.http, '/ping/x', f'r-{number}'
        ) as response:
            await response.read()
            return int(response.status)

    async def open_frame(self, *, trickles: bool) -> bool:
        """Send a long frame less its end; returns whether it was ended."""
        reader, writer = await asyncio.open_connection(
            self.node.host, PEERS_PORT
        )
        writer.write(MAX_FRAME_BYTES.to_bytes(4))
        sending = asyncio.create_task(_send(writer, trickles=trickles))
        try:
            async with asyncio.timeout(FRAME_SECONDS + _MARGIN_SECONDS):
                return not await reader.read(1)
        except ConnectionError:
            return True
        except TimeoutError:
            return False
        finally:
            sending.cancel()
            writer.transport.abort()


async def _send(writer: asyncio.StreamWriter, *, trickles: bool) -> None:
    """Send all of a body but its last byte, or a byte now and then."""
    with contextlib.suppress(OSError):
        if trickles:
            while True:
                writer.write(b'\0')
                await asyncio.sleep(_TRICKLE_SECONDS)
        for _ in range(MAX_FRAME_BYTES // len(_PIECE) - 1):
            writer.write(_PIECE)
            await writer.drain()
        writer.write(_PIECE[1:])
        await writer.drain()


@contextlib.asynccontextmanager
async def _run(folder: Path) -> AsyncIterator[_Running]:
    """Start a store, a replica and a node."""
    store = ObjectStore()
    store.put('config', 'main', make_configuration())
    runner, port = await serve_app(store.make_app())
    replica = make_non_model_replicas(1)[0]
    replica_runner, replica_port = await serve_app(replica.make_app())
    replica.store = store
    replica.address = f'127.0.0.1:{replica_port}'
    replica.register()
    node = await start_node('node-a', f'127.0.0.1:{port}', folder)
    async with ClientSession() as http:
        try:
            await wait_ready(http, node)
            yield _Running(node, http)
        finally:
            await node.stop(signal.SIGKILL)
            await runner.cleanup()
            await replica_runner.cleanup()


@pytest.mark.parametrize('trickles', [False, True])
async def test_frames_without_end_take_no_memory(
    trickles: bool, tmp_path: Path
) -> None:
    """Frames that are never complete fill a node's memory, and are kept."""
    async with _run(tmp_path) as running:
        assert await running.ask(0) == 200
        before = running.node.read_peak()
        opening = asyncio.gather(
            *(
                running.open_frame(trickles=trickles)
                for _ in range(_CONNECTIONS)
            )
        )
        statuses = [await running.ask(number) for number in range(_REQUESTS)]
        assert statuses == [200] * _REQUESTS
        assert await opening == [True] * _CONNECTIONS
        assert running.node.read_peak() - before < _MAX_GROWTH_KB
