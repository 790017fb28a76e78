"""Answers that end with the connection of a process that was killed."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import aiohttp
import pytest

from fleet.cutting import discover_cut, run_linked_nodes
from fleet.processes import Process
from fleet.replica_processes import run_replica_process
from fleet.running import (
    MODEL_SERVICE,
    NON_MODEL_SERVICE,
    RunningNode,
    ask,
    make_event_stream,
    make_model_replicas,
    make_non_model_replicas,
    make_once_configuration,
    open_request,
    run_node,
    wait_until,
)
from soak.links import LinkMode
from standins.replica import ReplicaStandIn, Unframed, make_event

_HALF = ('--unframed', '--stall-after', '1')
_PART = ('--unframed', '--stall-after', '2')
_ENTRY_CHANGES = ('stays', 'dropped', 'started again')


@contextlib.asynccontextmanager
async def _open_stalled(
    node: RunningNode, path: str, first: bytes
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send a request, and read the part of its answer before a stall."""
    async with open_request(node, path) as response:
        assert await response.content.readexactly(len(first)) == first
        yield response


async def _read_rest(response: aiohttp.ClientResponse) -> tuple[bytes, bool]:
    """Read the rest of an answer.

    :returns: the rest, and whether the client takes it for complete.
    """
    pieces: list[bytes] = []
    try:
        async for piece in response.content.iter_any():
            pieces.append(piece)
    except aiohttp.ClientPayloadError:
        return b''.join(pieces), False
    return b''.join(pieces), True


async def _change_entry(
    node: RunningNode, entry: ReplicaStandIn, change: str
) -> None:
    """Change the entry of a killed replica, and let the node notice."""
    if change == 'dropped':
        node.store.drop('servers', entry.name)
    elif change == 'started again':
        entry.started_at += 1000
        entry.layers = None
        entry.register()


async def _wait_stalled(node: RunningNode, process: Process) -> None:
    """Wait until an answer of a replica stands still."""
    stalled: list[object] = []
    while not stalled:
        async with node.http.get(f'{process.url}/report') as response:
            stalled = (await response.json())['stalled']


async def _add_sound_replica(
    node: RunningNode, replica: ReplicaStandIn
) -> None:
    listed = node.count('replica-listed')
    await node.add(replica)
    await wait_until(lambda: node.count('replica-listed') > listed)


@pytest.mark.parametrize('change', _ENTRY_CHANGES)
async def test_stream_of_killed_replica_is_resumed(change: str) -> None:
    """A process killed between two events ends its stream like a whole one."""
    async with (
        run_node([]) as node,
        run_replica_process(node, 'm-9', MODEL_SERVICE, *_PART) as (
            process,
            entry,
        ),
        _open_stalled(node, '/plan/x', make_event_stream(2)) as response,
    ):
        await _add_sound_replica(node, make_model_replicas((0, 8))[0])
        await process.kill()
        await _change_entry(node, entry, change)
        rest = make_event_stream(5)[len(make_event_stream(2)) :]
        assert await _read_rest(response) == (rest, True)


async def test_stream_that_a_late_node_reads_is_resumed() -> None:
    """A node that stood still finds all events and the end at once."""
    async with (
        run_node([]) as node,
        run_replica_process(node, 'm-9', MODEL_SERVICE, *_PART) as (process, _),
        open_request(node, '/plan/x') as response,
    ):
        await _add_sound_replica(node, make_model_replicas((0, 8))[0])
        await response.content.readany()
        time.sleep(0.2)
        await process.kill()
        time.sleep(0.2)
        assert b'data: token 5' in await response.content.read()


async def test_stream_killed_in_its_only_run_breaks() -> None:
    """A part of a stream that can't be resumed looks like all of it."""
    async with (
        run_node([], make_once_configuration()) as node,
        run_replica_process(node, 'm-9', MODEL_SERVICE, *_PART) as (process, _),
        _open_stalled(node, '/once/x', make_event_stream(2)) as response,
    ):
        await process.kill()
        assert await _read_rest(response) == (b'', False)


async def test_half_of_a_plain_answer_is_replaced() -> None:
    """Half of a body is passed on with the length of the half."""
    async with (
        run_node([]) as node,
        run_replica_process(node, 'b-9', NON_MODEL_SERVICE, *_HALF) as (
            process,
            _,
        ),
    ):
        asking = asyncio.create_task(ask(node, '/ping/x'))
        await _wait_stalled(node, process)
        await _add_sound_replica(node, make_non_model_replicas(1)[0])
        await process.kill()
        status, body, _ = await asking
    assert (status, body) == (200, b'answer of b-0')


@pytest.mark.parametrize('path', ['/ping/x', '/book/x'])
async def test_half_of_a_plain_answer_is_no_answer(path: str) -> None:
    """Half of a body is passed on where no other replica may run it."""
    async with (
        run_node([]) as node,
        run_replica_process(node, 'b-9', NON_MODEL_SERVICE, *_HALF) as (
            process,
            _,
        ),
    ):
        asking = asyncio.create_task(ask(node, path))
        await _wait_stalled(node, process)
        await process.kill()
        status, _, _ = await asking
    assert status == 502


@pytest.mark.parametrize('path', ['/plan/x', '/once/x', '/ping/x', '/book/x'])
async def test_whole_answer_of_a_process_runs_once(path: str) -> None:
    """An answer without a length is repeated, or lost, though it is whole."""
    model = path in {'/plan/x', '/once/x'}
    service = MODEL_SERVICE if model else NON_MODEL_SERVICE
    expected = make_event_stream(5) if model else b'answer of r-9'
    async with (
        run_node([], make_once_configuration()) as node,
        run_replica_process(node, 'r-9', service, '--unframed'),
    ):
        for number in range(3):
            status, body, _ = await ask(node, path, identity=f'r-{number}')
            assert (status, body) == (200, expected)
        sends = node.count('exchange-sent') + node.count('stream-resumed')
    assert sends == 3


@pytest.mark.parametrize(
    ('path', 'has_other', 'end'),
    [
        ('/once/x', False, 'left'),
        ('/plan/x', False, 'left'),
        ('/plan/x', True, 'chunks'),
    ],
)
async def test_last_stream_of_a_leaver_is_complete(
    path: str, has_other: bool, end: str
) -> None:
    """The last stream of a replica that left in order is broken off."""
    async with run_node(
        make_model_replicas((0, 8)), make_once_configuration()
    ) as node:
        leaver = node.replicas['m-0']
        leaver.unframed = Unframed.WHOLE
        leaver.stall_after = 2
        async with _open_stalled(node, path, make_event_stream(2)) as response:
            if has_other:
                another = make_model_replicas(None, (0, 8))[1]
                await _add_sound_replica(node, another)
            leaver.register('draining')
            await wait_until(lambda: node.count('replica-leaving'))
            assert leaver.stop_listening is not None
            await leaver.stop_listening()
            leaver.resume()
            rest = make_event_stream(5)[len(make_event_stream(2)) :]
            assert await _read_rest(response) == (rest, True)
        await wait_until(lambda: node.count('exchange-ended'))
        assert node.find('exchange-ended')['end'] == end


async def _leave_stalled(node: RunningNode, leaver: ReplicaStandIn) -> None:
    """Let a replica leave in the middle of a stream, which then goes on."""
    leaver.register('draining')
    await wait_until(lambda: node.count('replica-leaving'))
    assert leaver.stop_listening is not None
    await leaver.stop_listening()
    leaver.resume()


async def test_leaver_cut_in_an_event_breaks() -> None:
    """A stream cut in an event is complete as its replica was leaving."""
    async with run_node(make_model_replicas((0, 8))) as node:
        leaver = node.replicas['m-0']
        leaver.unframed = Unframed.INSIDE
        leaver.stall_after = 1
        first = make_event_stream(1)
        async with _open_stalled(node, '/plan/x', first) as response:
            await _leave_stalled(node, leaver)
            assert await _read_rest(response) == (b'', False)


async def test_stream_spoiled_after_a_leaver_breaks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A second run that fails counts as complete as the first one left."""
    skipped: list[int] = []

    def make(number: int, *, numbered: bool = True) -> bytes:
        return make_event(number + len(skipped), numbered=numbered)

    monkeypatch.setattr('standins.replica.make_event', make)
    async with run_node(make_model_replicas((0, 8))) as node:
        leaver = node.replicas['m-0']
        leaver.unframed = Unframed.WHOLE
        leaver.events = 2
        leaver.stall_after = 1
        first = make_event_stream(1)
        async with _open_stalled(node, '/plan/x', first) as response:
            another = make_model_replicas(None, (0, 8))[1]
            another.stall_after = 3
            leaver.register('draining')
            await node.add(another)
            await wait_until(lambda: node.count('replica-listed') > 1)
            await _leave_stalled(node, leaver)
            more = make_event_stream(3)[len(first) :]
            assert await response.content.readexactly(len(more)) == more
            skipped.append(1)
            another.resume()
            assert await _read_rest(response) == (b'', False)


async def test_stream_of_a_lapsed_replica_breaks() -> None:
    """A replica that hung until its entry was gone and was killed has left."""
    async with (
        run_node([], make_once_configuration()) as node,
        run_replica_process(node, 'm-9', MODEL_SERVICE, *_PART) as (
            process,
            entry,
        ),
        _open_stalled(node, '/once/x', make_event_stream(2)) as response,
    ):
        node.store.drop('servers', entry.name)
        await wait_until(lambda: node.count('replica-gone'))
        await asyncio.sleep(1.1)
        await process.kill()
        assert await _read_rest(response) == (b'', False)


async def _end_in_order(replica: ReplicaStandIn) -> None:
    """End a replica as its system does for a process that is killed."""
    assert replica.stop_listening is not None
    assert replica.list_connections is not None
    replica.crashed = True
    await replica.stop_listening()
    for connection in replica.list_connections():
        assert connection.transport is not None
        connection.transport.close()


async def test_forwarded_stream_is_resumed() -> None:
    """A part of a stream that a helper reads is passed on as complete."""
    models = make_model_replicas((0, 8), (0, 8))
    for replica in models:
        replica.unframed = Unframed.WHOLE
        replica.stall_after = 2
    replicas = [*models, *make_non_model_replicas(2)]
    async with run_linked_nodes(replicas, 3) as nodes:
        nodes[0].cut(LinkMode.REFUSING)
        await discover_cut(nodes[0], 'first')
        first = make_event_stream(2)
        node = nodes[0].node
        async with _open_stalled(node, '/plan/x', first) as response:
            other, ended = sorted(models, key=lambda model: len(model.runs))
            other.stalls = 0
            await _end_in_order(ended)
            rest = make_event_stream(5)[len(first) :]
            assert await _read_rest(response) == (rest, True)
