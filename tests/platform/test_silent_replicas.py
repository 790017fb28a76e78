"""Streams whose replicas stand still for a while, as real processes."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout

from fleet.node_processes import NodeProcess, start_node, wait_ready
from fleet.processes import Process, spawn_standin
from fleet.running import (
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

_SHORT_SECONDS = 0.2
_PAUSES = (0.3, 1.0, 1.3, 1.8)
"""Seconds for which replicas stand still; clients leave after two."""

_READ_SECONDS = 60


@dataclass(frozen=True)
class _Running:
    """A node, and replicas that are processes of their own."""

    store: ObjectStore
    node: NodeProcess
    replicas: list[Process]
    http: ClientSession

    @contextlib.asynccontextmanager
    async def pause_replicas(self, seconds: float) -> AsyncIterator[None]:
        """Stop all replicas, and let them go on after a time at least."""
        self._send(signal.SIGSTOP)
        paused = asyncio.create_task(asyncio.sleep(seconds))
        try:
            yield
            await paused
        finally:
            self._send(signal.SIGCONT)

    async def change_configuration(self) -> None:
        """Change timeouts, and add a route."""
        configuration = make_configuration(version=2)
        configuration['limits']['idleTimeoutMs'] = 4000
        configuration['routes'][-1]['timeoutMs'] = 20_000
        configuration['routes'].append(make_route('news'))
        self.store.put('config', 'main', configuration)

    async def terminate(self) -> None:
        """Send SIGTERM to the node."""
        self.node.process.send_signal(signal.SIGTERM)

    async def read(self, number: int, begun: asyncio.Event) -> bytes:
        """Read a stream, and report that it has begun.

        :returns: what came of it, if it was cut off.
        """
        lines: list[bytes] = []
        with contextlib.suppress(ClientError, OSError):
            async with self.node.open(
                self.http, '/plan/x', f'r-{number}'
            ) as response:
                async for line in response.content:
                    lines.append(line)
                    begun.set()
        begun.set()
        return b''.join(lines)

    def _send(self, number: signal.Signals) -> None:
        for replica in self.replicas:
            replica.send(number)


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
    store.put('config', 'main', make_configuration())
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
    begun = [asyncio.Event() for _ in range(_STREAMS)]
    readers = [
        asyncio.create_task(running.read(number, event))
        for number, event in enumerate(begun)
    ]
    await asyncio.gather(*(event.wait() for event in begun))
    await asyncio.sleep(_SHORT_SECONDS)
    async with running.pause_replicas(seconds):
        await asyncio.sleep(_SHORT_SECONDS)
        await plan(running)
    return await asyncio.gather(*readers)


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
            reader = asyncio.create_task(running.read(0, asyncio.Event()))
            await asyncio.sleep(_SHORT_SECONDS)
            await running.change_configuration()
        assert await reader == make_event_stream(_EVENTS)
