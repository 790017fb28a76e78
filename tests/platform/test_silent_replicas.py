"""Streams whose replicas stand still for a while, as real processes."""

import asyncio
import contextlib
import signal
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout

from fleet.node_processes import NodeProcess, start_node, wait_ready
from fleet.processes import Process, spawn_standin
from fleet.running import (
    MODEL_SERVICE,
    make_configuration,
    make_event_stream,
    make_model_replicas,
    make_route,
    serve_app,
)
from standins.objects import ObjectStore
from standins.replica import ReplicaStandIn

_EVENTS = 20
_EVENT_SECONDS = 0.1
_STREAMS = 3
"""Streams at once, fewer than the slots of one replica."""

_SPREAD_STREAMS = 6
"""Streams at two replicas, more than the slots of either."""

_SHORT_SECONDS = 0.2
_PAUSES = (0.3, 1.0, 1.3, 1.8)
"""Seconds for which replicas stand still; clients leave after two."""

_READ_SECONDS = 60
_SIGNATURE = 'X-Ryelatch-Replica-Signature'

_RESUMABLE_PATH = '/plan/x'
_UNREPEATABLE_PATH = '/tell/x'
"""Path of streams that may run once only."""


@dataclass(eq=False)
class _Stream:
    """A stream as its client sees it.

    :param replica: name of the replica that signed its answer.
    :param begun: set when a part of it has arrived, or when it has ended.
    :param body: what arrived until its end.
    """

    replica: str = ''
    begun: asyncio.Event = field(default_factory=asyncio.Event)
    body: bytes = b''


@dataclass(frozen=True)
class _Running:
    """A node, and replicas that are processes of their own."""

    store: ObjectStore
    node: NodeProcess
    replicas: list[Process]
    http: ClientSession

    @contextlib.asynccontextmanager
    async def pause_replicas(
        self, seconds: float, name: str = ''
    ) -> AsyncIterator[None]:
        """Stop replicas, and let them go on after a time at least.

        :param name: of the only one that is stopped; by default all are.
        """
        paused = [
            replica for replica in self.replicas if name in {'', replica.name}
        ]
        _send(paused, signal.SIGSTOP)
        waiting = asyncio.create_task(asyncio.sleep(seconds))
        try:
            yield
            await waiting
        finally:
            _send(paused, signal.SIGCONT)

    async def change_configuration(self) -> None:
        """Change timeouts, and add a route."""
        configuration = _make_configuration(version=2)
        configuration['limits']['idleTimeoutMs'] = 4000
        configuration['routes'][-1]['timeoutMs'] = 20_000
        configuration['routes'].append(make_route('news'))
        self.store.put('config', 'main', configuration)

    async def reload(self) -> None:
        """Send SIGHUP to the node."""
        self.node.process.send_signal(signal.SIGHUP)

    async def terminate(self) -> None:
        """Send SIGTERM to the node."""
        self.node.process.send_signal(signal.SIGTERM)

    async def read(
        self, stream: _Stream, number: int, path: str = _RESUMABLE_PATH
    ) -> bytes:
        """Read a stream to its end, also if it is cut off."""
        with contextlib.suppress(ClientError, OSError):
            async with self.node.open(
                self.http, path, f'r-{number}'
            ) as response:
                signature = response.headers.get(_SIGNATURE, '')
                stream.replica = signature.removeprefix('signed-')
                async for line in response.content:
                    stream.body += line
                    stream.begun.set()
        stream.begun.set()
        return stream.body


def _send(replicas: list[Process], number: signal.Signals) -> None:
    for replica in replicas:
        replica.send(number)


def _make_configuration(version: int = 1) -> dict[str, Any]:
    """Make a configuration with streams that may run once only."""
    configuration = make_configuration(version)
    route = make_route(
        'tell',
        routeKind='streaming',
        service=MODEL_SERVICE,
        timeoutMs=10_000,
    )
    configuration['routes'].insert(0, route)
    return configuration


async def _start_replica(
    store: ObjectStore, stand_in: ReplicaStandIn
) -> Process:
    process = await spawn_standin(
        stand_in.name,
        'replica',
        *('--name', stand_in.name, '--service', stand_in.service),
        *('--accelerator', stand_in.accelerator, '--layers', '0', '8'),
        *('--events', str(_EVENTS), '--pause', str(_EVENT_SECONDS)),
    )
    stand_in.store = store
    stand_in.address = process.address
    stand_in.register()
    return process


@contextlib.asynccontextmanager
async def _run(folder: Path, count: int) -> AsyncIterator[_Running]:
    """Start a store, replicas of the model and a node.

    :param count: replicas, each with all layers.
    """
    store = ObjectStore()
    store.put('config', 'main', _make_configuration())
    runner, port = await serve_app(store.make_app())
    replicas = [
        await _start_replica(store, stand_in)
        for stand_in in make_model_replicas(*[(0, 8)] * count)
    ]
    node = await start_node('node-a', f'127.0.0.1:{port}', folder)
    timeout = ClientTimeout(total=_READ_SECONDS)
    async with ClientSession(timeout=timeout) as http:
        try:
            await wait_ready(http, node)
            yield _Running(store, node, replicas, http)
        finally:
            if node.process.returncode is None:
                node.process.kill()
            await node.process.communicate()
            for replica in replicas:
                await replica.kill()
            await runner.cleanup()


async def _stream_over_pause(
    running: _Running,
    seconds: float,
    plan: Callable[[_Running], Awaitable[None]],
) -> list[bytes]:
    """Pause the replicas of streams in progress beside planned work.

    :returns: what each client received.
    """
    _, reading = await _start_streams(running, _STREAMS)
    async with running.pause_replicas(seconds):
        await asyncio.sleep(_SHORT_SECONDS)
        await plan(running)
    return await reading


async def _start_streams(
    running: _Running, count: int, path: str = _RESUMABLE_PATH
) -> tuple[list[_Stream], 'asyncio.Future[list[bytes]]']:
    """Start streams, and wait until all are in progress.

    :returns: the streams, and what arrives of each until its end.
    """
    streams = [_Stream() for _ in range(count)]
    reading = asyncio.gather(
        *(
            running.read(stream, number, path)
            for number, stream in enumerate(streams)
        )
    )
    await asyncio.gather(*(stream.begun.wait() for stream in streams))
    await asyncio.sleep(_SHORT_SECONDS)
    return streams, reading


_WHOLE = [make_event_stream(_EVENTS)] * _STREAMS


@pytest.mark.parametrize('seconds', _PAUSES)
async def test_streams_of_a_paused_replica_are_finished(
    seconds: float, tmp_path: Path
) -> None:
    """Streams are cut off when their only replica stands still for a while.

    The configuration changes meanwhile, and the replica then goes on.
    """
    async with _run(tmp_path, 1) as running:
        bodies = await _stream_over_pause(
            running, seconds, _Running.change_configuration
        )
        assert bodies == _WHOLE


@pytest.mark.parametrize('seconds', _PAUSES)
async def test_streams_of_a_paused_service_are_finished(
    seconds: float, tmp_path: Path
) -> None:
    """Streams are cut off when all replicas stand still at once."""
    async with _run(tmp_path, 2) as running:
        bodies = await _stream_over_pause(
            running, seconds, _Running.change_configuration
        )
        assert bodies == _WHOLE


@pytest.mark.parametrize('seconds', _PAUSES)
async def test_stop_of_a_node_awaits_paused_replicas(
    seconds: float, tmp_path: Path
) -> None:
    """A node that is stopped while replicas stand still cuts streams off."""
    async with _run(tmp_path, 2) as running:
        bodies = await _stream_over_pause(running, seconds, _Running.terminate)
        assert bodies == _WHOLE
        assert not await running.node.process.wait()


@pytest.mark.parametrize('seconds', _PAUSES)
async def test_request_sent_in_a_pause_is_answered(
    seconds: float, tmp_path: Path
) -> None:
    """A request is refused as its replica stands still before any event."""
    async with _run(tmp_path, 1) as running:
        async with running.pause_replicas(seconds):
            reader = asyncio.create_task(running.read(_Stream(), 0))
            await asyncio.sleep(_SHORT_SECONDS)
            await running.change_configuration()
        assert await reader == make_event_stream(_EVENTS)


@pytest.mark.parametrize('path', [_RESUMABLE_PATH, _UNREPEATABLE_PATH])
@pytest.mark.parametrize('seconds', _PAUSES)
@pytest.mark.parametrize(
    'plan',
    [_Running.terminate, _Running.reload, _Running.change_configuration],
)
async def test_planned_work_awaits_one_paused_replica(
    plan: Callable[[_Running], Awaitable[None]],
    seconds: float,
    path: str,
    tmp_path: Path,
) -> None:
    """Streams are cut off at a silent replica while others have room.

    Their node stops or changes its settings shortly before, and the replica
    goes on afterwards.
    """
    async with _run(tmp_path, 2) as running:
        streams, reading = await _start_streams(running, _SPREAD_STREAMS, path)
        counts = Counter(stream.replica for stream in streams)
        silent = max(counts, key=lambda name: counts[name])
        await plan(running)
        await asyncio.sleep(_SHORT_SECONDS)
        async with running.pause_replicas(seconds, silent):
            await asyncio.sleep(seconds)
        assert await reading == [make_event_stream(_EVENTS)] * _SPREAD_STREAMS
