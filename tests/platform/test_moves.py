"""Streams leave replicas that are about to go, and run no more than allowed."""

import asyncio

import aiohttp
import pytest

from fleet.running import (
    make_event_stream,
    make_model_replicas,
    open_request,
    run_node,
    wait_until,
)
from ryelatch_node.relay._watch import StreamWatch
from standins.replica import ReplicaStandIn


def _slow_down(
    replicas: list[ReplicaStandIn],
    events: int = 300,
) -> list[ReplicaStandIn]:
    """Let streams last until the test has done its part."""
    for replica in replicas:
        replica.events = events
        replica.pause = 0.1
    return replicas


def _list_moves(replica: ReplicaStandIn) -> list[str]:
    return [order['path'] for order in replica.orders if 'path' in order]


async def test_streams_leave_a_replica_that_leaves() -> None:
    """A replica in the middle of a path says that it will stop.

    It ends seconds later and takes its streams with it. They are moved to
    another path meanwhile, and callers see nothing of it.
    """
    replicas = _slow_down(make_model_replicas((0, 4), (4, 8), (4, 8)))
    async with run_node(replicas) as node:
        head = node.replicas['m-0']
        async with open_request(node, '/plan/x') as response:
            await response.content.readuntil(b'token 1\n\n')
            path = node.find('exchange-sent')['path']
            leaving = node.replicas[path[1][0]]
            leaving.register('draining')
            await wait_until(lambda: _list_moves(head))
            head.pause = 0
            rest = await response.read()
        assert leaving.address not in _list_moves(head)[0]
        assert rest.endswith(b'token 300\n\n')
        assert len(head.runs) == 1


async def test_streams_leave_layers_that_are_given_up() -> None:
    """A replica is ordered to hold other layers.

    It loads them when no stream passes through the old ones any more. With
    long answers its zone had a gap for seven seconds.
    """
    replicas = _slow_down(make_model_replicas((0, 4), (4, 8), (4, 8)))
    async with run_node(replicas) as node:
        head = node.replicas['m-0']
        async with open_request(node, '/plan/x') as response:
            await response.content.readuntil(b'token 1\n\n')
            path = node.find('exchange-sent')['path']
            released = node.replicas[path[1][0]]
            released.layers = (4, 5)
            released.register()
            await wait_until(lambda: _list_moves(head))
            head.pause = 0
            await response.read()
        assert released.address not in _list_moves(head)[0]
        assert len(head.runs) == 1


async def test_runs_that_were_cut_off_here_count() -> None:
    """Two first replicas in turn stand still; both are alive.

    The route allows two. A third run is one too many, though this node cut
    off both itself and neither replica was lost.
    """
    replicas = make_model_replicas((0, 8), (0, 8), (0, 8))
    for replica in replicas:
        replica.stall_after = 2
        replica.stalls = 9
    async with run_node(replicas) as node:
        async with open_request(
            node, '/plan/x', X_Ryelatch_Deadline_Ms='4500'
        ) as response:
            with pytest.raises(aiohttp.ClientError):
                await response.read()
        runs = [run for one in node.replicas.values() for run in one.runs]
        assert len(runs) == 2


async def test_stream_waits_for_a_repair_that_is_near(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The only replica of some layers is lost; an empty one loads them.

    Run anew elsewhere, the stream and all others like it would be read
    again from the beginning. It waits and is moved to the empty replica.
    """
    for name in ('MAX_REPAIR_WAIT_SECONDS', 'GIVE_UP_SECONDS'):
        monkeypatch.setattr(f'ryelatch_node.relay._watch.{name}', 60)
    async with run_node(make_model_replicas((0, 4), (4, 8), None)) as node:
        head, lost, spare = node.replicas.values()
        spare.fence = 99  # its orders are refused; the test loads it
        head.stall_after = 2
        head.stalled_on = lost.address
        async with open_request(node, '/plan/x') as response:
            await wait_until(lambda: node.count('replica-suspected'))
            await asyncio.sleep(0.3)
            spare.layers = (4, 8)
            spare.register()
            body = await response.read()
        assert body == make_event_stream(5)
        assert spare.address in _list_moves(head)[0]
        assert len(head.runs) == 1


async def test_last_attempt_is_not_cut_off() -> None:
    """A stream has used its two attempts and stands still once more.

    Cutting it off could not bring it back. It goes on when its replica does.
    """
    replicas = make_model_replicas((0, 8), (0, 8))
    for replica in replicas:
        replica.stall_after = 2
    async with run_node(replicas) as node:
        async with open_request(node, '/plan/x') as response:
            await wait_until(lambda: node.count('stream-resumed'))
            second = node.replicas[node.find('stream-resumed')['path'][0][0]]
            await asyncio.sleep(1.6)
            second.resume()
            body = await response.read()
        assert body == make_event_stream(5)


async def test_leaving_first_replica_keeps_its_streams(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first replica of a path leaves, and so does one behind it.

    The first one takes no orders any more. Streams through both were cut off
    to be resumed elsewhere, found no place, and callers lost answers that
    would have ended in time.
    """
    monkeypatch.setattr('ryelatch_node.relay._migration_planner.LEAVING_SECONDS', 0)
    replicas = _slow_down(make_model_replicas((0, 4), (4, 8), (4, 8)), 8)
    async with run_node(replicas) as node:
        head = node.replicas['m-0']
        async with open_request(node, '/plan/x') as response:
            await response.content.readuntil(b'token 1\n\n')
            path = node.find('exchange-sent')['path']
            head.register('draining')
            node.replicas[path[1][0]].register('draining')
            await wait_until(lambda: node.count('replica-leaving') == 2)
            await response.read()
        assert not node.count('stream-moved')
        assert not node.count('exchange-failed')


async def test_only_first_replica_is_tried_again() -> None:
    """The one first replica that there is fails a request, once.

    It would be left for others that are sound; as there are none, the second
    try goes to it again and brings the answer.
    """
    replicas = make_model_replicas((0, 8))
    replicas[0].failures = 1
    async with run_node(replicas) as node:
        async with open_request(node, '/plan/x') as response:
            assert await response.read() == make_event_stream(5)
        assert len(node.replicas['m-0'].runs) == 2


async def test_stream_without_a_place_is_not_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The only replica of some layers is lost, and its repair takes long.

    Cut off to be resumed, the stream had no path to go on: 38 of 69 callers
    lost their answers so after one crash. It waits, and goes on when the
    layers are held again.
    """
    monkeypatch.setattr('ryelatch_node.relay._watch.GIVE_UP_SECONDS', 60)
    async with run_node(make_model_replicas((0, 4), (4, 8), None)) as node:
        head, lost, spare = node.replicas.values()
        spare.fence = 99  # its orders are refused; the test loads it
        head.stall_after = 2
        head.stalled_on = lost.address
        async with open_request(node, '/plan/x') as response:
            await wait_until(lambda: node.count('replica-suspected'))
            # Longer than a stream waits for a repair that is near.
            await asyncio.sleep(2)
            spare.layers = (4, 8)
            spare.register()
            body = await response.read()
        assert body == make_event_stream(5)
        assert len(head.runs) == 1


async def test_stream_without_a_retry_is_moved() -> None:
    """A replica of a path is lost when this node has no retry left.

    A new run would be one retry too many. The stream is moved instead, which
    is none: its first replica goes on with it.
    """
    model = make_model_replicas((0, 4), (4, 8), (0, 8))
    model[2].zone = 'zone-b'
    async with run_node(model) as node:
        budget = node.app.find('streams', StreamWatch).context.budget
        replicas = list(node.replicas.values())
        for replica in replicas:
            replica.stall_after = 2
            replica.stalled_on = replicas[1].address
        replicas[2].stalls = 0
        async with open_request(node, '/plan/x') as response:
            while budget.spend():
                """Leave none."""
            body = await response.read()
        assert body == make_event_stream(5)
        runs = [run for one in node.replicas.values() for run in one.runs]
        assert len(runs) == 1


async def test_ended_stream_is_not_interrupted() -> None:
    """A stream ends while an order to move it is on its way.

    The order fails, and there is nothing left to cut off; trying to ended
    the part of the node that looks after streams.
    """
    async with run_node(make_model_replicas((0, 8))) as node:
        async with open_request(node, '/plan/x') as response:
            await response.content.readuntil(b'token 1\n\n')
            streams = node.app.find('streams', StreamWatch).streams
            stream = next(iter(streams))
            await response.read()
        await wait_until(lambda: stream.finished)
        stream.interrupt('no path')
        assert not stream.reason
