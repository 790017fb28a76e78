"""A store whose responses have no end for a while; real processes."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout

from fleet.node_processes import NodeProcess, start_node, wait_ready
from fleet.processes import Process, spawn_standin
from fleet.running import (
    make_configuration,
    make_non_model_replicas,
    make_route,
    serve_app,
)
from soak.links import Link
from standins.objects import ObjectStore

_KINDS = ('interim', 'body', 'chunk size', 'headers')
_REQUESTS = 40
_PAUSE_SECONDS = 0.05
"""Between two requests; keys are confirmed for longer than all of them."""

_MIN_SERVED_RATIO = 0.9
_MAX_GROWTH_KB = 65_536
_APPLY_SECONDS = 20


@dataclass(frozen=True)
class _Running:
    """A node whose way to the store can lead elsewhere."""

    store: ObjectStore
    store_port: int
    link: Link
    spoiled: Process
    node: NodeProcess
    http: ClientSession

    def lead(self, port: int) -> None:
        """Lead the way to the store to a port; connections are reset."""
        self.link.target = ('127.0.0.1', port)
        self.link.reset()

    async def ask(self, path: str, identity: str) -> int:
        """Send a request; returns 0 if there is no complete answer."""
        try:
            async with self.node.open(self.http, path, identity) as response:
                await response.read()
                return int(response.status)
        except (ClientError, OSError):
            return 0


@contextlib.asynccontextmanager
async def _run(folder: Path, kind: str) -> AsyncIterator[_Running]:
    store = ObjectStore()
    store.put('config', 'main', make_configuration())
    runner, port = await serve_app(store.make_app())
    runners = [runner]
    for replica in make_non_model_replicas(2):
        replica.store = store
        runner, replica_port = await serve_app(replica.make_app())
        runners.append(runner)
        replica.address = f'127.0.0.1:{replica_port}'
        replica.register()
    spoiled = await spawn_standin('store', 'endless', '--kind', kind)
    link = Link(('127.0.0.1', port))
    await link.start()
    node = await start_node('node-a', link.address, folder)
    async with ClientSession(timeout=ClientTimeout(total=5)) as http:
        try:
            await wait_ready(http, node)
            yield _Running(store, port, link, spoiled, node, http)
        finally:
            if node.process.returncode is None:
                node.process.kill()
            await node.process.communicate()
            await spoiled.kill()
            await link.stop()
            for runner in runners:
                await runner.cleanup()


@pytest.mark.parametrize('kind', _KINDS)
async def test_endless_store_stops_no_node(kind: str, tmp_path: Path) -> None:
    """A store that sends without end takes a node's memory or time.

    Afterwards the node still follows the store.
    """
    async with _run(tmp_path, kind) as running:
        assert await running.ask('/ping/x', 'r-first') == 200
        before = running.node.read_peak()
        running.lead(int(running.spoiled.address.rpartition(':')[2]))
        asked = []
        for number in range(_REQUESTS):
            request = running.ask('/ping/x', f'r-{number}')
            asked.append(asyncio.create_task(request))
            await asyncio.sleep(_PAUSE_SECONDS)
        statuses = await asyncio.gather(*asked)
        assert statuses.count(200) >= _REQUESTS * _MIN_SERVED_RATIO
        assert running.node.read_peak() - before < _MAX_GROWTH_KB
        running.lead(running.store_port)
        routes = [*make_configuration()['routes'], make_route('news')]
        running.store.put(
            'config', 'main', make_configuration(2, routes=routes)
        )
        async with asyncio.timeout(_APPLY_SECONDS):
            while await running.ask('/news/x', 'r-last') != 200:
                await asyncio.sleep(_PAUSE_SECONDS)
