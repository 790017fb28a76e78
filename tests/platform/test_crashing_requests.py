"""Requests under which replicas end."""

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
from standins.replica import ReplicaStandIn

_CRASHING = b'a question under which replicas end'
_MOST_RETRIES = 3
_KNOWN_SECONDS = 0.5


@contextlib.asynccontextmanager
async def _run_nodes(
    replicas: list[ReplicaStandIn],
) -> AsyncIterator[list[RunningNode]]:
    """Run three nodes beside replicas that end under one request."""
    for replica in replicas:
        replica.ends_on = _CRASHING
    async with run_nodes(replicas, 3) as nodes:
        yield nodes


def _list_ended(replicas: list[ReplicaStandIn]) -> list[str]:
    return [one.name for one in replicas if one.ended]


@pytest.mark.parametrize('path', ['/plan/x', '/ping/x'])
async def test_crashing_request_reaches_few_replicas(path: str) -> None:
    """One request takes a service down, replica by replica.

    Each replica that begins to run it ends, and with it all that others had
    there. Its client comes back, each time to another node and as another
    request. Nothing was kept beyond one attempt, so every node took it for a
    new one: its digest in the lines of all nodes showed one request under
    which eighteen replicas had ended.
    """
    streams = path.startswith('/plan')
    replicas = make_model_replicas(*[(0, 8)] * 14) if streams else make_non_model_replicas(14)
    async with _run_nodes(replicas) as nodes:
        senders = itertools.cycle(nodes)
        for number in range(12):
            await ask(
                next(senders), path, identity=f'c-{number}', content=_CRASHING
            )
            await asyncio.sleep(_KNOWN_SECONDS)
        assert len(_list_ended(replicas)) <= 3 + _MOST_RETRIES
        assert sum(len(one.runs) for one in replicas) <= 3 + _MOST_RETRIES


async def test_resumed_stream_goes_where_its_copies_go() -> None:
    """One that ends replicas is resumed at a node that knows of no end."""
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
        met = {
            letter: {
                replica.name
                for replica in replicas
                for run in replica.runs
                if run.identity.endswith(letter)
            }
            for letter in 'abcdef'
        }
        assert all(len(names) == 1 for names in met.values())
        assert len(set.union(*met.values())) > 1
