"""Streams migrate from leaving replicas, within their allowed attempts."""

import asyncio
from dataclasses import replace
from typing import Any

import aiohttp
import pytest

from fleet.running import (
    MODEL_SERVICE,
    make_event_stream,
    make_model_replicas,
    open_request,
    run_node,
    wait_until,
)
from ryelatch_node.ports import CommandResult, MoveResult
from ryelatch_node.relay._watch import StreamWatch
from standins.replica import ReplicaStandIn


def _slow_down(
    replicas: list[ReplicaStandIn],
    events: int = 300,
) -> list[ReplicaStandIn]:
    """Make streams so slow that they last for the whole test."""
    for replica in replicas:
        replica.events = events
        replica.pause = 0.1
    return replicas


def _list_moves(replica: ReplicaStandIn) -> list[str]:
    return [
        command['path'] for command in replica.commands if 'path' in command
    ]


async def test_streams_leave_a_replica_that_leaves() -> None:
    """A replica that leaves takes the streams through it with it.

    It announces its departure seconds before it stops. The streams must be
    migrated to another path meanwhile, unnoticed by clients.
    """
    replicas = _slow_down(make_model_replicas((0, 4), (4, 8), (4, 8)))
    async with run_node(replicas) as node:
        first_replica = node.replicas['m-0']
        async with open_request(node, '/plan/x') as response:
            await response.content.readuntil(b'token 1\n\n')
            path = node.find('exchange-sent')['path']
            leaving = node.replicas[path[1][0]]
            leaving.register('draining')
            await wait_until(lambda: _list_moves(first_replica))
            first_replica.pause = 0
            rest = await response.read()
        assert leaving.address not in _list_moves(first_replica)[0]
        assert rest.endswith(b'token 300\n\n')
        assert len(first_replica.runs) == 1


async def test_streams_leave_layers_that_are_given_up() -> None:
    """A replica that is to load other layers waits for its streams.

    It loads them once no stream uses its old layers any more. With long
    answers its zone lacks layers for seven seconds.
    """
    replicas = _slow_down(make_model_replicas((0, 4), (4, 8), (4, 8)))
    async with run_node(replicas) as node:
        first_replica = node.replicas['m-0']
        async with open_request(node, '/plan/x') as response:
            await response.content.readuntil(b'token 1\n\n')
            path = node.find('exchange-sent')['path']
            released = node.replicas[path[1][0]]
            released.layers = (4, 5)
            released.register()
            await wait_until(lambda: _list_moves(first_replica))
            first_replica.pause = 0
            await response.read()
        assert released.address not in _list_moves(first_replica)[0]
        assert len(first_replica.runs) == 1


async def test_runs_that_were_cut_off_here_count() -> None:
    """A request runs three times on a route that allows two attempts.

    Two first replicas stall in turn, and the node itself aborts both runs.
    They count as attempts although neither replica is lost.
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
        runs = [
            run for stand_in in node.replicas.values() for run in stand_in.runs
        ]
        assert len(runs) == 2


async def test_stream_waits_for_a_repair_that_is_near(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stream starts over although the missing layers are back soon.

    The only replica of some layers is lost, and an empty one loads them. A
    restart would repeat the prefill of all such streams. The stream has to
    wait and migrate to the other replica.
    """
    for name in ('MAX_REPAIR_WAIT_SECONDS', 'HEDGE_SECONDS'):
        monkeypatch.setattr(f'ryelatch_node.relay._watch.{name}', 60)
    async with run_node(make_model_replicas((0, 4), (4, 8), None)) as node:
        first_replica, lost, spare = node.replicas.values()
        spare.fence = 99  # its orders are refused; the test loads it
        first_replica.stall_after = 2
        first_replica.stalled_address = lost.address
        async with open_request(node, '/plan/x') as response:
            await wait_until(lambda: node.count('replica-suspected'))
            await asyncio.sleep(0.3)
            spare.layers = (4, 8)
            spare.register()
            body = await response.read()
        assert body == make_event_stream(5)
        assert spare.address in _list_moves(first_replica)[0]
        assert len(first_replica.runs) == 1


async def test_last_attempt_is_not_cut_off() -> None:
    """A stalled stream in its last attempt is aborted.

    It can't be resumed elsewhere any more, but goes on if its replica does.
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
    """Streams are aborted that would have completed in time.

    The first replica of a path and one behind it are leaving, and the first
    one accepts no commands any more. Streams through both were aborted to be
    resumed elsewhere, found no path, and clients lost their answers.
    """
    monkeypatch.setattr(
        'ryelatch_node.relay._migration_planner.LEAVING_SECONDS', 0
    )
    replicas = _slow_down(make_model_replicas((0, 4), (4, 8), (4, 8)), 8)
    async with run_node(replicas) as node:
        first_replica = node.replicas['m-0']
        async with open_request(node, '/plan/x') as response:
            await response.content.readuntil(b'token 1\n\n')
            path = node.find('exchange-sent')['path']
            first_replica.register('draining')
            node.replicas[path[1][0]].register('draining')
            await wait_until(lambda: node.count('replica-leaving') == 2)
            await response.read()
        assert not node.count('stream-moved')
        assert not node.count('exchange-failed')


async def test_only_first_replica_is_tried_again() -> None:
    """A request fails after one failure of the only first replica.

    Retries avoid a replica that failed if there are others. As there are
    none, the second attempt has to use it again.
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
    """A stream is aborted for a resume when there is no other path.

    The only replica of some layers is lost, and the repair takes long. 38 of
    69 clients lost their answers that way after one crash. The stream has to
    wait until the layers are held again.
    """
    monkeypatch.setattr('ryelatch_node.relay._watch.HEDGE_SECONDS', 60)
    async with run_node(make_model_replicas((0, 4), (4, 8), None)) as node:
        first_replica, lost, spare = node.replicas.values()
        spare.fence = 99  # its orders are refused; the test loads it
        first_replica.stall_after = 2
        first_replica.stalled_address = lost.address
        async with open_request(node, '/plan/x') as response:
            await wait_until(lambda: node.count('replica-suspected'))
            # Longer than a stream waits for a repair that is due soon.
            await asyncio.sleep(2)
            spare.layers = (4, 8)
            spare.register()
            body = await response.read()
        assert body == make_event_stream(5)
        assert len(first_replica.runs) == 1


async def test_stream_without_a_retry_is_moved() -> None:
    """A stream is lost when the node's retry budget is used up.

    A replica of its path is lost. A new run would exceed the budget; a
    migration is no retry, as the first replica continues the stream.
    """
    model = make_model_replicas((0, 4), (4, 8), (0, 8))
    model[2].zone = 'zone-b'
    async with run_node(model) as node:
        budgets = node.app.find('streams', StreamWatch).context.budgets
        budget = budgets.get(MODEL_SERVICE)
        replicas = list(node.replicas.values())
        for replica in replicas:
            replica.stall_after = 2
            replica.stalled_address = replicas[1].address
        replicas[2].stalls = 0
        async with open_request(node, '/plan/x') as response:
            while budget.spend():
                """Use up the retry budget."""
            body = await response.read()
        assert body == make_event_stream(5)
        runs = [
            run for stand_in in node.replicas.values() for run in stand_in.runs
        ]
        assert len(runs) == 1


async def test_ended_stream_is_not_interrupted() -> None:
    """The watch of streams crashes on a stream that has just finished.

    The stream finishes while the command to migrate it is in transit. The
    command fails, and there is nothing left to abort.
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


async def test_stream_ended_in_its_move_leaves_no_load() -> None:
    """A replica counts a stream that ended as its move was commanded."""
    replicas = _slow_down(make_model_replicas((0, 4), (4, 8), (4, 8)))
    async with run_node(replicas) as node:
        context = node.app.find('streams', StreamWatch).context
        commanded, answered = asyncio.Event(), asyncio.Event()

        async def move(*_: Any) -> MoveResult:
            commanded.set()
            await answered.wait()
            return MoveResult(CommandResult.BEGUN)

        context.commands = replace(context.commands, move=move)
        async with open_request(node, '/plan/x') as response:
            await response.content.readuntil(b'token 1\n\n')
            path = node.find('exchange-sent')['path']
            node.replicas[path[1][0]].register('draining')
            await commanded.wait()
            node.replicas['m-0'].pause = 0
            await response.read()
        await wait_until(lambda: node.count('exchange-ended'))
        answered.set()
        await wait_until(lambda: node.count('stream-moved'))
        assert not any(context.load.requests.values())
