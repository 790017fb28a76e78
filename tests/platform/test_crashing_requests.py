"""Requests that crash replicas."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator

import pytest

from fleet.running import (
    RunningNode,
    ask,
    make_model_replicas,
    make_non_model_replicas,
    run_nodes,
)
from standins.replica import ReplicaStandIn, Unframed

_CRASHING = b'a question under which replicas end'
_MAX_RETRIES = 3
_SHARING_SECONDS = 0.5


@contextlib.asynccontextmanager
async def _run_nodes(
    replicas: list[ReplicaStandIn],
) -> AsyncIterator[list[RunningNode]]:
    """Run three nodes and replicas that one particular request crashes."""
    for replica in replicas:
        replica.crash_on = _CRASHING
    async with run_nodes(replicas, 3) as nodes:
        yield nodes


async def _count_runs(replicas: list[ReplicaStandIn], path: str) -> int:
    """Send the crashing request again and again, and count its runs."""
    async with _run_nodes(replicas) as nodes:
        senders = itertools.cycle(nodes)
        for number in range(12):
            await ask(
                next(senders), path, identity=f'c-{number}', content=_CRASHING
            )
            await asyncio.sleep(_SHARING_SECONDS)
    return sum(len(replica.runs) for replica in replicas)


@pytest.mark.parametrize('path', ['/plan/x', '/ping/x'])
async def test_crash_after_a_first_piece_is_recorded(path: str) -> None:
    """A crash that looks like the end of an answer clears its request.

    The replica sends a first piece without a length, and is gone.
    """
    replicas = (
        make_model_replicas(*[(0, 8)] * 14)
        if path.startswith('/plan')
        else make_non_model_replicas(14)
    )
    for replica in replicas:
        replica.unframed = Unframed.WHOLE
    assert await _count_runs(replicas, path) <= 3 + _MAX_RETRIES


def _list_crashed(replicas: list[ReplicaStandIn]) -> list[str]:
    return [replica.name for replica in replicas if replica.crashed]


@pytest.mark.parametrize('path', ['/plan/x', '/ping/x'])
async def test_crashing_request_reaches_few_replicas(path: str) -> None:
    """One request takes a service down, replica by replica.

    Each replica that begins to run it crashes, and loses the requests of
    others. Its client retries, each time at another node and under another
    id. Without crash records beyond one attempt, each node takes it for a new
    request: eighteen replicas crashed under one digest that way.
    """
    streams = path.startswith('/plan')
    replicas = (
        make_model_replicas(*[(0, 8)] * 14)
        if streams
        else make_non_model_replicas(14)
    )
    async with _run_nodes(replicas) as nodes:
        senders = itertools.cycle(nodes)
        for number in range(12):
            await ask(
                next(senders), path, identity=f'c-{number}', content=_CRASHING
            )
            await asyncio.sleep(_SHARING_SECONDS)
        assert len(_list_crashed(replicas)) <= 3 + _MAX_RETRIES
        assert (
            sum(len(replica.runs) for replica in replicas) <= 3 + _MAX_RETRIES
        )


async def test_resumed_stream_goes_where_its_copies_go() -> None:
    """A crashing stream is resumed at another replica than its copies.

    The node at which it is resumed has seen no crash.
    """
    replicas = make_model_replicas(*[(0, 8)] * 6)
    async with _run_nodes(replicas) as nodes:
        for (number, node), letter in itertools.product(
            enumerate(nodes), 'abcdef'
        ):
            await ask(
                node,
                '/plan/x',
                identity=f'c-{number}-{letter}',
                content=letter.encode(),
                Last_Event_Id='1',
            )
        replicas_by_content = {
            letter: {
                replica.name
                for replica in replicas
                for run in replica.runs
                if run.identity.endswith(letter)
            }
            for letter in 'abcdef'
        }
        assert all(len(names) == 1 for names in replicas_by_content.values())
        assert len(set.union(*replicas_by_content.values())) > 1
