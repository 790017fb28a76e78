"""A draining node finishes its streams and takes none that it can't finish."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from aiohttp import ClientError, ClientSession

from fleet.node_processes import NodeProcess, start_node, wait_ready
from fleet.running import (
    NON_MODEL_SERVICE,
    ask,
    make_configuration,
    make_event_stream,
    make_model_replicas,
    make_non_model_replicas,
    make_route,
    open_request,
    run_node,
    serve_app,
    wait_until,
)
from standins.objects import ObjectStore
from standins.raw_replica import RawReplica

_WORK_SECONDS = 4.5
_TIMEOUT_MS = 8000
_KINDS = ('non_idempotent', 'idempotent')
_ASK_PAUSE_SECONDS = 0.1
_NOTICE_SECONDS = 3
"""Time for which requests that outlast a stop may be cut off."""

_SLACK_SECONDS = 0.5


async def test_stopping_node_takes_no_late_streams() -> None:
    """A draining node accepts a stream that it can't finish.

    Clients still send requests on open connections. A stream accepted late
    would be cut off at the end of the process, so it is refused with an
    immediate retry on another connection.
    """
    replicas = [*make_model_replicas((0, 8)), *make_non_model_replicas(1)]
    async with run_node(replicas, grace=10) as node:
        draining = asyncio.create_task(node.server.drain())
        await wait_until(lambda: node.count('node-draining'))
        status, body, headers = await ask(node, '/plan/x')
        assert (status, body) == (200, make_event_stream(5))
        assert headers['connection'] == 'close'
        while status == 200:
            status, body, headers = await ask(node, '/plan/x', identity='r-2')
            await asyncio.sleep(0.1)
        assert (status, headers['retry-after']) == (503, '0.00')
        status, _, _ = await ask(node, '/ping/x', identity='r-3')
        assert status == 200
        await draining


async def test_stream_in_progress_is_finished() -> None:
    """A stream that began before the drain is cut off by it."""
    async with run_node(make_model_replicas((0, 8)), grace=4) as node:
        node.replicas['m-0'].pause = 0.3
        async with open_request(node, '/plan/x') as response:
            begun = await response.content.readuntil(b'token 1\n\n')
            await asyncio.gather(node.server.drain(), asyncio.sleep(0))
            rest = await response.read()
        assert begun + rest == make_event_stream(5)


async def test_stopping_node_is_not_ready() -> None:
    """The load balancer sends requests to a draining node.

    The readiness check must fail as soon as the drain begins.
    """
    async with run_node(make_non_model_replicas(1), grace=1) as node:
        url = f'http://127.0.0.1:{node.server.readiness.port}/readyz'
        async with node.http.get(url) as response:
            assert response.status == 200
        draining = asyncio.create_task(node.server.drain())
        await wait_until(lambda: node.count('node-draining'))
        async with node.http.get(url) as response:
            assert response.status == 503
        await draining


@pytest.mark.parametrize(
    ('path', 'deadline', 'status'),
    [
        ('/book/x', '5000', 503),
        ('/book/x', '400', 200),
        ('/ping/x', '5000', 200),
    ],
)
async def test_stopping_node_takes_no_long_bookings(
    path: str, deadline: str, status: int
) -> None:
    """A booking that may outlast the process is cut off at its end.

    What ends in time is served, and what its client may repeat.
    """
    async with run_node(make_non_model_replicas(1), grace=2) as node:
        draining = asyncio.create_task(node.server.drain())
        await wait_until(lambda: node.count('node-draining'))
        answer = await ask(node, path, X_Ryelatch_Deadline_Ms=deadline)
        runs = [
            run for replica in node.replicas.values() for run in replica.runs
        ]
        await draining
    assert (answer[0], len(runs)) == (status, int(status == 200))
    assert status == 200 or answer[2]['retry-after'] == '0.00'


@pytest.mark.parametrize('path', ['/book/x', '/ping/x'])
async def test_requests_at_the_end_are_answered(path: str) -> None:
    """A request in progress ends with its process, without an answer."""
    replica = make_non_model_replicas(1)[0]
    replica.hang = True
    async with run_node([replica], grace=1) as node:
        asking = asyncio.create_task(ask(node, path))
        await wait_until(lambda: replica.received)
        await node.server.drain()
        async with asyncio.timeout(1):
            status, body, _ = await asking
    assert (status, body) == (504, b'{"error": "this node stops"}')


@contextlib.asynccontextmanager
async def _run_slow(
    folder: Path, kind: str
) -> AsyncIterator[tuple[NodeProcess, ClientSession, RawReplica]]:
    """Start a node and a replica of a service that takes long."""
    store = ObjectStore()
    route = make_route('slow', routeKind=kind, timeoutMs=_TIMEOUT_MS)
    store.put('config', 'main', make_configuration(routes=[route]))
    runner, port = await serve_app(store.make_app())
    replica = RawReplica(pause=_WORK_SECONDS)
    async with replica.serve(), ClientSession() as http:
        entry = {
            'service': NON_MODEL_SERVICE,
            'addr': replica.address,
            'zone': 'zone-a',
            'slots': 1000,
            'state': 'ready',
            'seq': 1,
            'version': 'v1',
            'coldRemainingMs': 0,
        }
        store.put('servers', 'b-0', entry)
        node = await start_node('node-a', f'127.0.0.1:{port}', folder)
        try:
            await wait_ready(http, node)
            yield node, http, replica
        finally:
            if node.process.returncode is None:
                node.process.kill()
            await node.process.communicate()
            await runner.cleanup()


async def _ask_late(node: NodeProcess, http: ClientSession, name: str) -> int:
    """Send a request; returns 0 if it gets no answer."""
    try:
        async with node.open(http, '/slow/x', name) as response:
            await response.read()
            return int(response.status)
    except (ClientError, OSError):
        return 0


@pytest.mark.parametrize('kind', _KINDS)
async def test_late_requests_outlast_no_process(
    kind: str, tmp_path: Path
) -> None:
    """Requests that come late in a planned stop are cut off at its end."""
    asked: dict[str, asyncio.Task[int]] = {}
    late: set[str] = set()
    async with _run_slow(tmp_path, kind) as (node, http, replica):
        node.process.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        started = loop.time()
        while node.process.returncode is None:
            name = f'r-{len(asked)}'
            asked[name] = asyncio.create_task(_ask_late(node, http, name))
            if loop.time() - started > _NOTICE_SECONDS + _SLACK_SECONDS:
                late.add(name)
            await asyncio.sleep(_ASK_PAUSE_SECONDS)
        statuses = await asyncio.gather(*asked.values())
    # What crosses the end of the process and isn't passed on has not run.
    passed_on = {
        name: status
        for name, status in zip(asked, statuses, strict=True)
        if status or name.encode() in replica.identities
    }
    ended = {name for name, status in passed_on.items() if status == 504}
    assert set(passed_on.values()) <= {200, 503, 504}
    assert not ended & late
    assert not ended or kind == 'idempotent'
