"""Replicas whose answers have no end, beside sound ones; real processes."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout

from fleet.node_processes import NodeProcess, start_node, wait_ready
from fleet.processes import spawn_standin
from fleet.running import (
    LAYERS,
    MODEL_SERVICE,
    make_configuration,
    make_connector,
    make_non_model_replicas,
    make_route,
    serve_app,
    wait_until,
)
from standins.endless import KINDS
from standins.objects import ObjectStore

_SERVICE = 'endless'
_ROUTES = (('/spoiled/x', _SERVICE), ('/tell/x', MODEL_SERVICE))
"""Paths of routes to a plain service and to the model."""

_TIMEOUT_MS = 800
_SPOILED = 6
_MANY_SPOILED = 200
_MANY_KINDS = ('body', 'event', 'comments')
"""Kinds of which a node holds most, as it passes them on."""

_SOUND = 30
_SOUND_PAUSE_SECONDS = 0.05
_MIN_SERVED_RATIO = 0.9
_MAX_GROWTH_KB = 65_536
"""Memory that a node may take for all answers that it holds back."""

_MAX_MEMORY_KB = 300_000
"""Memory of a node on its VM."""

_CLIENT_SECONDS = 30
_TRICKLE_SECONDS = 0.05
_MAX_KEPT_FILES = 4
"""Connections that a node may keep open for further requests."""


@dataclass(frozen=True)
class _Running:
    """A node and its clients."""

    node: NodeProcess
    http: ClientSession

    async def ask(self, path: str, identity: str) -> int:
        """Send a request; returns 0 if its answer is cut off."""
        try:
            async with self.node.open(self.http, path, identity) as response:
                while not response.content.at_eof():
                    await response.content.readany()
                return int(response.status)
        except (ClientError, OSError):
            return 0


def _make_configuration() -> dict[str, Any]:
    configuration = make_configuration()
    configuration['services'].append({'name': _SERVICE})
    configuration['routes'] += [
        make_route('spoiled', service=_SERVICE, timeoutMs=_TIMEOUT_MS),
        make_route(
            'tell',
            routeKind='streaming',
            resumable=True,
            service=MODEL_SERVICE,
            timeoutMs=_TIMEOUT_MS,
        ),
    ]
    return configuration


def _make_entry(service: str, address: str) -> dict[str, Any]:
    """Make the entry of a replica; one of the model has all layers."""
    return {
        'service': service,
        'addr': address,
        'zone': 'zone-a',
        'slots': _MANY_SPOILED,
        'state': 'ready',
        'seq': 1,
        'version': 'v1',
        'coldRemainingMs': 0,
        'routeKind': 'big',
        'layers': {'from': 0, 'to': LAYERS, 'version': 1},
    }


@contextlib.asynccontextmanager
async def _run(
    folder: Path, kind: str, service: str, pause: float = 0
) -> AsyncIterator[_Running]:
    """Start a node, sound replicas, and one whose answers have no end.

    :param pause: seconds between two bytes of those answers.
    """
    store = ObjectStore()
    store.put('config', 'main', _make_configuration())
    runner, port = await serve_app(store.make_app())
    runners = [runner]
    spoiled = await spawn_standin(
        'spoiled-0', 'endless', '--kind', kind, '--pause', str(pause)
    )
    sound = make_non_model_replicas(2)
    for replica in sound:
        replica.store = store
        runner, replica_port = await serve_app(replica.make_app())
        runners.append(runner)
        replica.address = f'127.0.0.1:{replica_port}'
        replica.register()
    store.put('servers', 'spoiled-0', _make_entry(service, spoiled.address))
    node = await start_node('node-a', f'127.0.0.1:{port}', folder)
    timeout = ClientTimeout(total=_CLIENT_SECONDS)
    connector = make_connector(_make_configuration())
    async with ClientSession(connector=connector, timeout=timeout) as http:
        try:
            await wait_ready(http, node)
            yield _Running(node, http)
        finally:
            if node.process.returncode is None:
                node.process.kill()
            await node.process.communicate()
            await spoiled.kill()
            for runner in runners:
                await runner.cleanup()


@pytest.mark.parametrize(('path', 'service'), _ROUTES)
@pytest.mark.parametrize('kind', KINDS)
async def test_answer_without_end_stops_no_node(
    kind: str, path: str, service: str, tmp_path: Path
) -> None:
    """One replica that sends without end takes a node's memory or time."""
    async with _run(tmp_path, kind, service) as running:
        assert await running.ask('/ping/x', 'r-first') == 200
        before = running.node.read_peak()
        spoiled = [
            asyncio.create_task(running.ask(path, f's-{number}'))
            for number in range(_SPOILED)
        ]
        sound = []
        for number in range(_SOUND):
            sound.append(
                asyncio.create_task(running.ask('/ping/x', f'r-{number}'))
            )
            await asyncio.sleep(_SOUND_PAUSE_SECONDS)
        statuses = await asyncio.gather(*sound)
        assert statuses.count(200) >= _SOUND * _MIN_SERVED_RATIO
        answers = await asyncio.gather(*spoiled)
        assert answers.count(200) == _SPOILED * KINDS[kind].is_whole
        assert running.node.read_peak() - before < _MAX_GROWTH_KB


@pytest.mark.crowd
@pytest.mark.parametrize(('path', 'service'), _ROUTES)
@pytest.mark.parametrize('kind', _MANY_KINDS)
async def test_many_answers_without_end_stop_no_node(
    kind: str, path: str, service: str, tmp_path: Path
) -> None:
    """One replica sends to many callers until their node has no memory."""
    async with _run(tmp_path, kind, service) as running:
        assert await running.ask('/ping/x', 'r-first') == 200
        spoiled = [
            asyncio.create_task(running.ask(path, f's-{number}'))
            for number in range(_MANY_SPOILED)
        ]
        sound = [
            await running.ask('/ping/x', f'r-{number}')
            for number in range(_SOUND)
        ]
        assert sound.count(200) >= _SOUND * _MIN_SERVED_RATIO
        assert 200 not in await asyncio.gather(*spoiled)
        assert running.node.read_peak() < _MAX_MEMORY_KB
        assert await running.ask('/ping/x', 'r-last') == 200


@pytest.mark.parametrize(('path', 'service'), _ROUTES)
@pytest.mark.parametrize('kind', KINDS)
async def test_trickle_holds_no_connection(
    kind: str, path: str, service: str, tmp_path: Path
) -> None:
    """A byte now and then keeps a request or a connection for ever."""
    async with _run(tmp_path, kind, service, _TRICKLE_SECONDS) as running:
        assert await running.ask('/ping/x', 'r-first') == 200
        before = running.node.count_files()
        answers = await asyncio.gather(
            *(running.ask(path, f's-{number}') for number in range(_SPOILED))
        )
        assert answers.count(200) == _SPOILED * KINDS[kind].is_whole
        await wait_until(
            lambda: running.node.count_files() <= before + _MAX_KEPT_FILES
        )
        assert await running.ask('/ping/x', 'r-last') == 200
